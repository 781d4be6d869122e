package eventloop

import (
	"net"
	"net/netip"
	"testing"
)

// local is a loopback address whose port the kernel chooses.
var local = netip.MustParseAddrPort("127.0.0.1:0")

// start runs a new loop until the test ends. The returned function runs its argument on the loop and
// waits for it to return.
func start(t *testing.T, opts Options) (*Loop, func(func())) {
	t.Helper()
	l, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	return l, run(t, l)
}

// run does the same as start for an existing loop.
func run(t *testing.T, l *Loop) func(func()) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- l.Run() }()
	t.Cleanup(func() {
		l.Post(l.Stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return func(fn func()) {
		done := make(chan struct{})
		l.Post(func() { fn(); close(done) })
		<-done
	}
}

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

// dial connects a peer to the listener. The peer is closed when the test ends.
func dial(t *testing.T, ln *Listener) *net.TCPConn {
	t.Helper()
	c, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(ln.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// countIterations returns how many iterations the loop makes during fn.
func countIterations(l *Loop, do func(func()), fn func()) uint64 {
	var before, after uint64
	do(func() { before = l.Iterations() })
	fn()
	do(func() { after = l.Iterations() })
	return after - before
}

// echo writes back what it receives, and pauses reading while its peer does not read the output.
type echo struct {
	maxUnsent int
	events    chan string
}

func newEcho() *echo { return &echo{events: make(chan string, 8)} }

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
	if c.Paused() && e.maxUnsent > 0 { // earlier bytes are unread; EOF is called again after Resume
		return
	}
	e.events <- "eof"
	c.Close()
}

func (e *echo) Writable(c *Conn) { c.Resume() }

func (e *echo) Closed(*Conn, error) { e.events <- "closed" }

// onData calls do when bytes arrive, and ignores all other events.
type onData struct {
	discard
	do func(c *Conn, b []byte) int
}

func (h onData) Data(c *Conn, b []byte) int { return h.do(c, b) }

// recorder reports all events except Opened and Writable.
type recorder struct {
	discard
	events chan string
}

func (r *recorder) Data(_ *Conn, b []byte) int { r.events <- string(b); return len(b) }
func (r *recorder) EOF(*Conn)                  { r.events <- "eof" }
func (r *recorder) Closed(*Conn, error)        { r.events <- "closed" }

// eventCounter counts the calls of Opened and Closed.
type eventCounter struct {
	discard
	opened, closed int
}

func (e *eventCounter) Opened(*Conn)        { e.opened++ }
func (e *eventCounter) Closed(*Conn, error) { e.closed++ }
