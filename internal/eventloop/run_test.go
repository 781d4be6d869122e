package eventloop

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"martenlock/internal/timerwheel"
)

// TestStartedTimerFiresAndStoppedDoesNot: a timer fires once its delay has passed, but not after StopTimer.
func TestStartedTimerFiresAndStoppedDoesNot(t *testing.T) {
	l, do := start(t, Options{})
	fired := make(chan time.Duration, 2)
	var started, stopped timerwheel.Timer
	var startedAt time.Duration
	do(func() {
		startedAt = l.Now()
		started.Fire = func() { fired <- l.Now() }
		stopped.Fire = func() { t.Error("a stopped timer fired") }
		l.StartTimer(&stopped, 10*time.Millisecond)
		l.StartTimer(&started, 20*time.Millisecond)
		l.StopTimer(&stopped)
	})
	if at := <-fired; at-startedAt < 20*time.Millisecond {
		t.Errorf("timer fired after %v, want at least 20 ms", at-startedAt)
	}
}

// panicsOnData panics in Data and reports the error with which its connection closes.
type panicsOnData struct {
	discard
	closed chan error
}

func (h *panicsOnData) Data(*Conn, []byte) int    { panic("a fault") }
func (h *panicsOnData) Closed(_ *Conn, err error) { h.closed <- err }

// TestHandlerPanicClosesOnlyItsConnection: a handler's panic is passed to OnPanic and does not affect
// other connections.
func TestHandlerPanicClosesOnlyItsConnection(t *testing.T) {
	reported := make(chan any, 4)
	l, do := start(t, Options{OnPanic: func(reason any) { reported <- reason }})
	closed := make(chan error, 4)
	accepted := 0
	ln := listen(t, l, do, func(*Conn) Handler {
		accepted++
		if accepted%2 == 0 {
			return newEcho()
		}
		return &panicsOnData{closed: closed}
	})
	for i := range 4 {
		c := dial(t, ln)
		c.SetDeadline(time.Now().Add(10 * time.Second))
		send(t, c, "hi")
		got := make([]byte, 2)
		_, err := io.ReadFull(c, got)
		if panics := i%2 == 0; panics != (err != nil) {
			t.Errorf("connection %d: %q, %v", i, got, err)
		} else if panics {
			if reason := <-reported; reason != "a fault" {
				t.Errorf("OnPanic got %v, want the value of the panic", reason)
			}
			if err := <-closed; err == nil {
				t.Error("Closed got no error")
			}
		}
		c.Close()
	}
}

// TestDelayedLoopReadsBeforeTimersFire: a delayed loop reads all bytes that arrived meanwhile before it
// fires the timers that became due, even if that takes several iterations. Otherwise it would time
// out peers whose bytes arrived in time.
func TestDelayedLoopReadsBeforeTimersFire(t *testing.T) {
	l, err := New(Options{})
	if err != nil {
		t.Fatal(err)
	}
	l.maxEvents = 3
	do := run(t, l)
	const peers = 10
	order := make(chan string, peers+1)
	ln := listen(t, l, do, func(*Conn) Handler {
		return onData{do: func(_ *Conn, b []byte) int {
			order <- "data"
			return len(b)
		}}
	})
	var conns []net.Conn
	for range peers {
		conns = append(conns, dial(t, ln))
	}
	for open := 0; open < peers; {
		do(func() { open = ln.Open() })
	}

	do(func() {
		l.StartTimer(&timerwheel.Timer{Fire: func() { order <- "timer" }}, 20*time.Millisecond)
		for _, c := range conns {
			if _, err := c.Write([]byte("x")); err != nil {
				t.Error(err)
			}
		}
		time.Sleep(100 * time.Millisecond) // delays the loop
	})

	for i := range peers {
		if event := <-order; event != "data" {
			t.Errorf("got event %q after the data of %d of %d peers", event, i, peers)
		}
	}
}

// TestEventNotDeliveredToReusedDescriptor: if a connection is closed before its event of the same
// iteration is handled, a new connection that reuses the descriptor must not get that event. The
// descriptor of a closed connection is free for reuse at once.
func TestEventNotDeliveredToReusedDescriptor(t *testing.T) {
	l, do := start(t, Options{})
	unresponsive := addressWithFullBacklog(t)
	replacement := &eventCounter{}
	var served []*Conn
	var dialed *Conn
	reused := false
	// replaceOther aborts the other connection and dials a new one, which reuses the descriptor. The new
	// connection must get no event, as its address does not respond.
	replaceOther := func(c *Conn, b []byte) int {
		for _, other := range served {
			if other == c || dialed != nil {
				continue
			}
			fd := other.fd
			other.Abort()
			var err error
			if dialed, err = l.Dial(unresponsive, replacement); err != nil {
				t.Error(err)
				continue
			}
			reused = dialed.fd == fd
		}
		return len(b)
	}
	ln := listen(t, l, do, func(c *Conn) Handler {
		served = append(served, c)
		return onData{do: replaceOther}
	})
	a, b := dial(t, ln), dial(t, ln)
	for n := 0; n < 2; {
		do(func() { n = len(served) })
	}

	do(func() { // both have an event in the next iteration
		for _, c := range []net.Conn{a, b} {
			if _, err := c.Write([]byte("x")); err != nil {
				t.Error(err)
			}
		}
	})
	do(func() {})

	do(func() {
		if !reused {
			t.Error("the new connection did not reuse the descriptor")
		}
		if replacement.opened+replacement.closed != 0 {
			t.Errorf("on the new connection Opened was called %d times, Closed %d times; want no call", replacement.opened, replacement.closed)
		}
	})
}

// addressWithFullBacklog returns the address of a listener whose backlog is full, so that a new
// connection to it is not established. It uses high descriptors, which the test's own connections do
// not get.
func addressWithFullBacklog(t *testing.T) netip.AddrPort {
	t.Helper()
	fd := highSocket(t, 0)
	if err := errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: local.Addr().As4()}), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		_ = unix.Connect(highSocket(t, unix.SOCK_NONBLOCK), sa) // returns EINPROGRESS; the connection fills the backlog
	}
	return addrPort(sa)
}

// highSocket returns a TCP socket with a descriptor of 500 or more.
func highSocket(t *testing.T, flags int) int {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|flags, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer closeDescriptor(fd)
	high, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 500)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeDescriptor(high) })
	return high
}
