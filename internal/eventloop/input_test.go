package eventloop

import (
	"errors"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// neverRead handles a connection whose reading stays paused, and reports its end.
type neverRead struct{ echo }

func (h *neverRead) Data(*Conn, []byte) int { panic("data on a paused connection") }

func (h *neverRead) Closed(_ *Conn, err error) {
	switch {
	case errors.Is(err, ErrOverflow):
		h.events <- "overflow"
	case errors.Is(err, unix.ECONNREFUSED):
		h.events <- "refused"
	default:
		h.events <- "closed"
	}
}

// TestEndOfPausedConnectionReported: a peer's close or reset is reported at once although reading is
// paused and bytes are unread. The overflow of output that the peer does not read is reported as well.
func TestEndOfPausedConnectionReported(t *testing.T) {
	l, do := start(t, Options{MaxUnsentBytes: 1 << 20})
	h := &neverRead{echo{events: make(chan string, 4)}}
	var served *Conn
	ln := listen(t, l, do, func(c *Conn) Handler {
		c.Pause()
		served = c
		return h
	})
	for _, want := range []string{"eof", "closed", "overflow"} {
		c := dial(t, ln)
		send(t, c, "unread")
		switch want {
		case "eof":
			c.Close()
		case "closed":
			c.SetLinger(0)
			c.Close()
		case "overflow":
			for isServed := false; !isServed; {
				do(func() {
					if isServed = served != nil && !served.IsClosed(); isServed {
						served.Write(make([]byte, 32<<20))
					}
				})
			}
		}
		if event := <-h.events; event != want {
			t.Errorf("event %q, want %q", event, want)
		}
		do(func() { served = nil })
	}
}

// TestRefusedDialClosesWithError: Closed gets ECONNREFUSED if nothing listens on the address.
func TestRefusedDialClosesWithError(t *testing.T) {
	l, do := start(t, Options{})
	h := &neverRead{echo{events: make(chan string, 4)}}
	do(func() {
		closedListener, err := l.Listen(local, func(*Conn) Handler { return nil })
		if err != nil {
			t.Error(err)
			return
		}
		closedListener.Close()
		if _, err := l.Dial(closedListener.Addr(), h); err != nil {
			t.Error(err)
		}
	})
	if event := <-h.events; event != "refused" {
		t.Errorf("event %q, want refused", event)
	}
}

// TestHandlerMayCloseWhileUnconsumedBytesAreDelivered: a handler may close its connection in a call of
// Data that delivers unconsumed bytes again. The close must not release the buffer that holds them.
func TestHandlerMayCloseWhileUnconsumedBytesAreDelivered(t *testing.T) {
	l, do := start(t, Options{})
	for name, end := range map[string]func(*Conn){
		"close":  (*Conn).Close,
		"linger": (*Conn).CloseLingering,
		"abort":  (*Conn).Abort,
		"reset":  (*Conn).Reset,
	} {
		data := make(chan string, 4)
		var served *Conn
		ln := listen(t, l, do, func(c *Conn) Handler {
			served = c
			return onData{do: func(c *Conn, b []byte) int {
				if len(b) < 4 {
					return 0
				}
				data <- string(b)
				end(c)
				return len(b)
			}}
		})
		c := dial(t, ln)
		send(t, c, "ab")
		for unconsumed := 0; unconsumed == 0; {
			do(func() {
				if served != nil {
					unconsumed = len(served.in.unconsumed)
				}
			})
		}

		send(t, c, "cd")

		if got := <-data; got != "abcd" {
			t.Errorf("%s: handler got %q, want %q", name, got, "abcd")
		}
		_ = c.CloseWrite() // it fails after a reset
		c.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: read of the peer returned %v, want the end of the connection", name, err)
		}
	}
}

// TestBytesBeforeResetDeliveredAfterPause: with DeliverBeforeReset, bytes that a peer sent before its
// reset are delivered after Resume, and then Closed is called. The loop does not spin during the pause.
func TestBytesBeforeResetDeliveredAfterPause(t *testing.T) {
	l, do := start(t, Options{})
	r := &recorder{events: make(chan string, 8)}
	var served *Conn
	ln := listen(t, l, do, func(c *Conn) Handler {
		served = c
		c.DeliverBeforeReset()
		c.Pause()
		return r
	})
	expect := func(want string) {
		t.Helper()
		select {
		case got := <-r.events:
			if got != want {
				t.Fatalf("event %q, want %q", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("timed out waiting for event %q", want)
		}
	}
	c := dial(t, ln)
	send(t, c, "the end of it")
	if err := c.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	c.Close()
	expect("eof")

	iterations := countIterations(l, do, func() { time.Sleep(20 * time.Millisecond) })
	if iterations > 10 {
		t.Errorf("loop made %d iterations in 20 ms, want at most 10", iterations)
	}

	do(func() { served.Resume() })
	expect("the end of it")
	expect("closed")
}
