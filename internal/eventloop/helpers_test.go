package eventloop

import (
	"net"
	"net/netip"
	"testing"
)

var local = netip.MustParseAddrPort("127.0.0.1:0")

// start runs a loop for the test and returns a function that runs one on it and waits.
func start(t *testing.T, opts Options) (*Loop, func(func())) {
	t.Helper()
	l, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- l.Run() }()
	t.Cleanup(func() {
		l.Post(l.Stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return l, func(fn func()) {
		done := make(chan struct{})
		l.Post(func() { fn(); close(done) })
		<-done
	}
}

// echo writes back what comes, and pauses reading while its peer does not take it.
type echo struct {
	maxUnsent int
	events    chan string
}

func (e *echo) Opened(*Conn) {}
func (e *echo) Data(c *Conn, b []byte) int {
	c.Write(b)
	e.maxUnsent = max(e.maxUnsent, c.UnsentBytes())
	if c.AboveHighWaterMark() {
		c.Pause()
	}
	return len(b)
}

func (e *echo) EOF(c *Conn) {
	if c.Paused() && e.maxUnsent > 0 { // early: more lies unread
		return
	}
	e.events <- "eof"
	c.Close()
}
func (e *echo) Writable(c *Conn)          { c.Resume() }
func (e *echo) Closed(_ *Conn, err error) { e.events <- "closed" }

func listen(t *testing.T, l *Loop, do func(func()), accept func(*Conn) Handler) *Listener {
	t.Helper()
	var ln *Listener
	var err error
	do(func() { ln, err = l.Listen(local, accept) })
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func dial(t *testing.T, ln *Listener) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}
