package eventloop

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// Unlike unix.Read, the raw system calls below do not notify the Go scheduler, which saves time on each
// call. They must be used on non-blocking descriptors only: a raw call that blocks stalls other
// goroutines. They return the errno itself, 0 on success, which is cheaper to compare than an error.

func read(fd int, b []byte) (int, unix.Errno) {
	n, _, errno := unix.RawSyscall(unix.SYS_READ, uintptr(fd), uintptr(unsafe.Pointer(unsafe.SliceData(b))), uintptr(len(b)))
	return int(n), errno
}

func write(fd int, b []byte) (int, unix.Errno) {
	n, _, errno := unix.RawSyscall(unix.SYS_WRITE, uintptr(fd), uintptr(unsafe.Pointer(unsafe.SliceData(b))), uintptr(len(b)))
	return int(n), errno
}

func writev(fd int, iovecs []unix.Iovec) (int, unix.Errno) {
	n, _, errno := unix.RawSyscall(unix.SYS_WRITEV, uintptr(fd), uintptr(unsafe.Pointer(unsafe.SliceData(iovecs))), uintptr(len(iovecs)))
	return int(n), errno
}

// peek returns the errno that a read would fail with, without consuming input. It returns 0 if there
// are bytes to read or the peer has closed its sending half.
func peek(fd int) unix.Errno {
	var b [1]byte
	_, _, errno := unix.RawSyscall6(unix.SYS_RECVFROM, uintptr(fd), uintptr(unsafe.Pointer(&b[0])), 1, unix.MSG_PEEK|unix.MSG_DONTWAIT, 0, 0)
	return errno
}

// pollEvents is epoll_wait with a time-out of 0. It returns how many events it has stored. If it
// reports false, the call failed and events is unchanged.
func pollEvents(epoll int, events []unix.EpollEvent) (n int, ok bool) {
	count, _, errno := unix.RawSyscall6(unix.SYS_EPOLL_PWAIT, uintptr(epoll), uintptr(unsafe.Pointer(unsafe.SliceData(events))), uintptr(len(events)), 0, 0, 0)
	if errno != 0 {
		return 0, false
	}
	return int(count), true
}

// closeDescriptor closes a descriptor of the loop. The error is ignored: Linux releases the descriptor
// even if close fails (close(2)), and no caller could act on the error.
func closeDescriptor(fd int) { _ = unix.Close(fd) }
