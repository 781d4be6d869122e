package eventloop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestBufferedOutputBoundedForSlowPeer echoes 8 MB to a peer that starts to read only when all of
// it has been sent: what is buffered stays bounded, and every byte comes back in order.
func TestBufferedOutputBoundedForSlowPeer(t *testing.T) {
	l, do := start(t, Options{HighWaterMark: 64 << 10})
	e := &echo{events: make(chan string, 4)}
	c := dial(t, listen(t, l, do, func(*Conn) Handler { return e }))
	sent := make([]byte, 8<<20)
	for i := range sent {
		sent[i] = byte(i * 7 >> 8)
	}
	go func() {
		_, _ = c.Write(sent)
		_ = c.CloseWrite()
	}()
	time.Sleep(50 * time.Millisecond) // let it jam; right or wrong, the verdict does not hang on it
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("got %d bytes of %d, %v", len(got), len(sent), err)
	}
	if ev := <-e.events; ev != "eof" {
		t.Errorf("told %q, want eof", ev)
	}
	do(func() {
		if e.maxUnsent > 64<<10+scratchSize {
			t.Errorf("buffered %d bytes, more than the high-water mark and one read", e.maxUnsent)
		}
	})
}

// pausedFromStart handles a connection that is never read, and reports how it ends.
type pausedFromStart struct {
	echo
	opened func(*Conn)
}

func (m *pausedFromStart) Opened(c *Conn) {
	if m.opened != nil {
		m.opened(c)
	}
}
func (m *pausedFromStart) Data(*Conn, []byte) int { panic("data on a paused connection") }
func (m *pausedFromStart) Closed(_ *Conn, err error) {
	switch {
	case errors.Is(err, ErrOverflow):
		m.events <- "overflow"
	case errors.Is(err, unix.ECONNREFUSED):
		m.events <- "refused"
	default:
		m.events <- "closed"
	}
}

// TestEndOfPausedConnectionNoticed: a peer that closes or resets is noticed at once though reading
// is paused and bytes of it lie unread; one that takes no output while its source does not heed
// the high-water mark is ended.
func TestEndOfPausedConnectionNoticed(t *testing.T) {
	l, do := start(t, Options{MaxUnsentBytes: 1 << 20})
	m := &pausedFromStart{echo: echo{events: make(chan string, 4)}}
	var last *Conn
	ln := listen(t, l, do, func(c *Conn) Handler {
		c.Pause()
		last = c
		return m
	})
	for _, want := range []string{"eof", "closed", "overflow"} {
		c := dial(t, ln)
		_, _ = c.Write([]byte("unread"))
		switch want {
		case "eof":
			_ = c.Close()
		case "closed":
			_ = c.SetLinger(0)
			_ = c.Close()
		case "overflow":
			for done := false; !done; { // until the connection has been accepted
				do(func() {
					if done = last != nil && !last.IsClosed(); done {
						last.Write(make([]byte, 32<<20))
					}
				})
			}
		}
		if ev := <-m.events; ev != want {
			t.Errorf("told %q, want %q", ev, want)
		}
		do(func() { last = nil })
	}
	do(func() {
		free, _ := l.Listen(local, func(*Conn) Handler { return nil })
		free.Close()
		_, err := l.Dial(free.Addr(), m)
		if err != nil {
			t.Error(err)
		}
	})
	if ev := <-m.events; ev != "refused" {
		t.Errorf("a dial to nobody told %q", ev)
	}
}

// closeOnSecondRead consumes nothing of the first bytes, and ends the connection on the next ones.
type closeOnSecondRead struct {
	echo
	end func(*Conn)
}

func (q *closeOnSecondRead) Data(c *Conn, b []byte) int {
	if len(b) < 4 {
		return 0
	}
	q.events <- string(b)
	q.end(c)
	return len(b)
}

// TestHandlerMayCloseWhileKeptBytesAreDelivered: a handler may end its connection while bytes are
// handed to it that it did not consume before. This once ended the whole program.
func TestHandlerMayCloseWhileKeptBytesAreDelivered(t *testing.T) {
	l, do := start(t, Options{})
	for name, end := range map[string]func(*Conn){"close": (*Conn).Close, "linger": (*Conn).CloseLingering, "abort": (*Conn).Abort, "reset": (*Conn).Reset} {
		q := &closeOnSecondRead{echo{events: make(chan string, 4)}, end}
		ln := listen(t, l, do, func(*Conn) Handler { return q })
		c := dial(t, ln)
		c.Write([]byte("ab"))
		for kept := 0; kept == 0; {
			do(func() {
				for _, s := range l.sources {
					if c, ok := s.(*Conn); ok && c.listener == ln {
						kept = len(c.in.unconsumed)
					}
				}
			})
		}
		c.Write([]byte("cd"))
		if got := <-q.events; got != "abcd" {
			t.Errorf("%s: %q", name, got)
		}
		c.CloseWrite()
		c.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestBytesBeforeResetDeliveredAfterPause: what a peer sent before it reset the connection is handed over when a
// paused handler goes on, and the end after it; the loop does not spin meanwhile.
func TestBytesBeforeResetDeliveredAfterPause(t *testing.T) {
	l, do := start(t, Options{})
	p := &recorder{told: make(chan string, 8)}
	var served *Conn
	ln := listen(t, l, do, func(c *Conn) Handler {
		served = c
		c.DeliverBeforeReset()
		c.Pause()
		return p
	})
	expect := func(want string) {
		t.Helper()
		select {
		case got := <-p.told:
			if got != want {
				t.Fatalf("told %q, want %q", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("not told %q", want)
		}
	}
	c := dial(t, ln)
	if _, err := c.Write([]byte("the end of it")); err != nil {
		t.Fatal(err)
	}
	if err := c.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	c.Close()
	expect("eof")
	var before, after uint64
	do(func() { before = l.Iterations() })
	time.Sleep(20 * time.Millisecond)
	do(func() {
		after = l.Iterations()
		served.Resume()
	})
	if after-before > 10 {
		t.Errorf("%d iterations in 20 ms", after-before)
	}
	expect("the end of it")
	expect("closed")
}

// recorder reports everything that it is told.
type recorder struct{ told chan string }

func (r *recorder) Opened(*Conn)               {}
func (r *recorder) Data(_ *Conn, b []byte) int { r.told <- string(b); return len(b) }
func (r *recorder) EOF(*Conn)                  { r.told <- "eof" }
func (r *recorder) Writable(*Conn)             {}
func (r *recorder) Closed(*Conn, error)        { r.told <- "closed" }

// TestCloseWhileConnectingSendsOutputFirst: what was written to a connection that was closed before
// it was established reaches the peer, and then the end.
func TestCloseWhileConnectingSendsOutputFirst(t *testing.T) {
	l, do := start(t, Options{})
	peer, err := net.Listen("tcp", local.String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	handler := &eventCounter{}
	do(func() {
		c, err := l.Dial(netip.MustParseAddrPort(peer.Addr().String()), handler)
		if err != nil {
			t.Error(err)
			return
		}
		c.Write([]byte("last words"))
		c.Close()
	})
	accepted, err := peer.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	accepted.SetDeadline(time.Now().Add(10 * time.Second))
	got, err := io.ReadAll(accepted)
	if err != nil || string(got) != "last words" {
		t.Errorf("got %q, %v", got, err)
	}
	do(func() {
		if handler.opened+handler.closed != 0 {
			t.Errorf("the handler was told %d times that it opened, %d times that it ended", handler.opened, handler.closed)
		}
	})
}
