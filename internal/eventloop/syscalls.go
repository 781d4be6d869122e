package eventloop

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// On a non-blocking socket these calls never wait, so the scheduler need not be told of
// them: unix.Read would hand the processor over and take it back each time.

func read(fd int, b []byte) (int, error) {
	n, _, errno := unix.RawSyscall(unix.SYS_READ, uintptr(fd), uintptr(unsafe.Pointer(unsafe.SliceData(b))), uintptr(len(b)))
	if errno != 0 {
		return -1, errno
	}
	return int(n), nil
}

func write(fd int, b []byte) (int, error) {
	n, _, errno := unix.RawSyscall(unix.SYS_WRITE, uintptr(fd), uintptr(unsafe.Pointer(unsafe.SliceData(b))), uintptr(len(b)))
	if errno != 0 {
		return -1, errno
	}
	return int(n), nil
}

func writev(fd int, iovecs []unix.Iovec) (int, error) {
	n, _, errno := unix.RawSyscall(unix.SYS_WRITEV, uintptr(fd), uintptr(unsafe.Pointer(unsafe.SliceData(iovecs))), uintptr(len(iovecs)))
	if errno != 0 {
		return -1, errno
	}
	return int(n), nil
}

// peek returns the error that a read would and consumes nothing: nil where there are bytes or
// the end of the stream.
func peek(fd int) error {
	var b [1]byte
	_, _, errno := unix.RawSyscall6(unix.SYS_RECVFROM, uintptr(fd), uintptr(unsafe.Pointer(&b[0])), 1, unix.MSG_PEEK|unix.MSG_DONTWAIT, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// pollEvents is an epoll_wait that does not wait. It returns how many events it has set, and false where the
// call failed and has set none.
func pollEvents(epoll int, events []unix.EpollEvent) (n int, ok bool) {
	count, _, errno := unix.RawSyscall6(unix.SYS_EPOLL_PWAIT, uintptr(epoll), uintptr(unsafe.Pointer(unsafe.SliceData(events))), uintptr(len(events)), 0, 0, 0)
	if errno != 0 {
		return 0, false
	}
	return int(count), true
}
