package eventloop

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestAcceptResumesAfterDescriptorsRunOut: while accept fails with EMFILE, a client waits in the backlog
// and the loop does not spin. The client is served once a descriptor is free.
func TestAcceptResumesAfterDescriptorsRunOut(t *testing.T) {
	l, do := start(t, Options{})
	ln := listen(t, l, do, func(*Conn) Handler { return newEcho() })
	taken := takeAllDescriptors(t)
	taken[0].Close()
	c, err := net.Dial("tcp", ln.Addr().String()) // takes the last descriptor
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for starved := false; !starved; {
		do(func() { starved = len(l.starved) == 1 })
	}

	iterations := countIterations(l, do, func() { time.Sleep(2 * starvedRetryDelay) })
	if iterations > 20 {
		t.Errorf("loop made %d iterations while no descriptor was free, want at most 20", iterations)
	}

	for _, f := range taken[1:] {
		f.Close()
	}
	send(t, c, "x")
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// takeAllDescriptors lowers the process's descriptor limit until the test ends and opens files up to it.
func takeAllDescriptors(t *testing.T) []*os.File {
	t.Helper()
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	low := unix.Rlimit{Cur: 200, Max: limit.Max}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &low); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			t.Error(err)
		}
	})
	var taken []*os.File
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			return taken
		}
		taken = append(taken, f)
	}
}

// TestConnectionsAboveMaxOpenWait: connections above Listener.MaxOpen wait in the backlog until one
// closes.
func TestConnectionsAboveMaxOpenWait(t *testing.T) {
	l, do := start(t, Options{})
	e := newEcho()
	ln := listen(t, l, do, func(*Conn) Handler { return e })
	do(func() { ln.MaxOpen = 1 })
	first, second := dial(t, ln), dial(t, ln)
	send(t, first, "x")
	send(t, second, "x")

	b := make([]byte, 1)
	if _, err := io.ReadFull(first, b); err != nil {
		t.Fatal(err)
	}
	do(func() {
		if ln.Open() != 1 {
			t.Errorf("%d open, want 1", ln.Open())
		}
	})
	first.Close()
	if _, err := io.ReadFull(second, b); err != nil {
		t.Fatal(err)
	}
}

// TestAcceptErrorsOfOneConnectionDoNotStopAccepting: per accept(2), a network error concerns one
// connection only. A lack of resources pauses the listener.
func TestAcceptErrorsOfOneConnectionDoNotStopAccepting(t *testing.T) {
	for _, errno := range []unix.Errno{
		unix.ENETDOWN, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH,
		unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ECONNABORTED, unix.EINTR, unix.ETIMEDOUT,
	} {
		if !isTransient(errno) || isResourceShortage(errno) {
			t.Errorf("%v is not a transient error", errno)
		}
	}
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM} {
		if !isResourceShortage(errno) || isTransient(errno) {
			t.Errorf("%v is not a resource shortage", errno)
		}
	}
	if isTransient(unix.EAGAIN) || isTransient(errors.New("x")) {
		t.Error("EAGAIN or an unknown error is a transient error")
	}
}

// TestUnwatchableConnectionGetsNoHandler: a descriptor that epoll rejects, here a directory, is closed
// without a call of the accept function, as the handler's Closed would never be called.
func TestUnwatchableConnectionGetsNoHandler(t *testing.T) {
	l, do := start(t, Options{})
	accepted := 0
	ln := listen(t, l, do, func(*Conn) Handler { accepted++; return discard{} })
	fd, err := unix.Open(t.TempDir(), unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	do(func() {
		ln.admit(fd)
		_, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0)
		if accepted != 0 || ln.Open() != 0 || !errors.Is(err, unix.EBADF) {
			t.Errorf("accepted %d times, %d open, descriptor: %v", accepted, ln.Open(), err)
		}
	})
}
