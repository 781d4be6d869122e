package eventloop

import (
	"errors"
	"testing"

	"golang.org/x/sys/unix"
)

// TestFailedWakeUpIsTriedAgain: a function that was posted while the loop could not be woken is run with the next
// one, instead of being waited for for ever.
func TestFailedWakeUpIsTriedAgain(t *testing.T) {
	eventfd, err := openEventfd()
	if err != nil {
		t.Fatal(err)
	}
	broken, err := unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0) // can't be written
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(broken)
	m := mailbox{eventfd: broken}
	m.put(func() {})
	if m.signalled {
		t.Error("a wake-up that failed counts as one")
	}
	m.eventfd = eventfd
	defer m.close()
	m.put(func() {})
	if peekEventfd(t, eventfd); len(m.takeAll()) != 2 {
		t.Error("a function was lost")
	}
}

// peekEventfd fails the test unless an eventfd is readable.
func peekEventfd(t *testing.T, fd int) {
	t.Helper()
	ready, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	if err != nil || ready != 1 {
		t.Errorf("not readable: %d, %v", ready, err)
	}
}

// TestFailedPollLeavesEventsAlone: events that were got before are not lost with a poll that fails.
func TestFailedPollLeavesEventsAlone(t *testing.T) {
	events := []unix.EpollEvent{{Fd: 7}}
	if n, ok := pollEvents(-1, events); ok || n != 0 || events[0].Fd != 7 {
		t.Errorf("%d events, ok %v, %v", n, ok, events)
	}
}

// TestAcceptErrorsOfOneConnectionDoNotStopAccepting follows accept(2): errors of the network belong to one
// connection, and lack of resources pauses the listener.
func TestAcceptErrorsOfOneConnectionDoNotStopAccepting(t *testing.T) {
	for _, errno := range []unix.Errno{
		unix.ENETDOWN, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH,
		unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ECONNABORTED, unix.EINTR, unix.ETIMEDOUT,
	} {
		if !isTransient(errno) || isResourceShortage(errno) {
			t.Errorf("%v stops accepting", errno)
		}
	}
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM} {
		if !isResourceShortage(errno) || isTransient(errno) {
			t.Errorf("%v does not pause the listener", errno)
		}
	}
	if isTransient(unix.EAGAIN) || isTransient(errors.New("x")) {
		t.Error("an empty backlog is no passing error")
	}
}

// TestRefusedConnectionGetsNoHandler: a descriptor that epoll does not take, here a file, is closed before anyone is
// told of a connection; its handler would never hear of the end.
func TestRefusedConnectionGetsNoHandler(t *testing.T) {
	l, do := start(t, Options{})
	told := 0
	ln := listen(t, l, do, func(*Conn) Handler { told++; return discard{} })
	fd, err := unix.Open(t.TempDir(), unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	do(func() {
		ln.admit(fd)
		_, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0)
		if told != 0 || ln.Open() != 0 || err != unix.EBADF {
			t.Errorf("told %d times, %d open, descriptor: %v", told, ln.Open(), err)
		}
	})
}
