package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"martenlock/internal/eventloop"
	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
)

// outcomeSink reports how a request ended.
type outcomeSink struct {
	ended chan ConnError // the zero Break for a complete response
}

func newOutcomeSink() *outcomeSink { return &outcomeSink{make(chan ConnError, 1)} }

func (s *outcomeSink) Connected()       {}
func (s *outcomeSink) Head(*http1.Head) {}
func (s *outcomeSink) Data([]byte)      {}
func (s *outcomeSink) Complete()        { s.ended <- ConnError{} }
func (s *outcomeSink) Failed(how ConnError) {
	select {
	case s.ended <- how:
	default:
	}
}

// fixture is a pool on a loop, beside an engine that answers every request.
type fixture struct {
	*testing.T
	loop        *eventloop.Loop
	pool        *Pool
	afterAnswer chan func(net.Conn) // what the engine does after its next answer, if anything waits here
	engineSaw   chan string         // "connection", "request" and, at a connection's end, "gone"
}

func newFixture(t *testing.T, opts Options) *fixture {
	loop, err := eventloop.New(eventloop.Options{})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opts.Limits = http1.Limits{Line: 1000, Headers: 4000, Fields: 20, Body: 1 << 20}
	opts.ConnectTimeout = 5 * time.Second
	pool := &Pool{Loop: loop, Options: &opts, Budget: &Budget{}, Addr: netip.MustParseAddrPort(ln.Addr().String())}
	f := &fixture{
		T:           t,
		loop:        loop,
		pool:        pool,
		afterAnswer: make(chan func(net.Conn), 1),
		engineSaw:   make(chan string, 100),
	}
	go f.acceptAsEngine(ln)
	ended := make(chan error, 1)
	go func() { ended <- loop.Run() }()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		ln.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return f
}

// acceptAsEngine is the engine's listener.
func (f *fixture) acceptAsEngine(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		f.engineSaw <- "connection"
		go f.answerAsEngine(c)
	}
}

// answerAsEngine answers the requests on one connection.
func (f *fixture) answerAsEngine(c net.Conn) {
	for reader := bufio.NewReader(c); ; {
		if _, err := http.ReadRequest(reader); err != nil {
			f.engineSaw <- "gone"
			c.Close()
			return
		}
		f.engineSaw <- "request"
		var after func(net.Conn) // taken before the answer: what comes later is for the next request
		select {
		case after = <-f.afterAnswer:
		default:
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if after != nil {
			after(c)
		}
	}
}

// onLoop runs a function on the loop and waits for it.
func (f *fixture) onLoop(fn func()) {
	done := make(chan struct{})
	f.loop.Post(func() { fn(); close(done) })
	<-done
}

// request sends a request to the engine and returns how it ended.
func (f *fixture) request(once bool) ConnError {
	f.Helper()
	s := newOutcomeSink()
	f.onLoop(func() {
		if _, err := f.pool.Start(s, []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), nil, once); err != nil {
			f.Error(err)
			s.ended <- ConnError{Malformed: err.Error()}
		}
	})
	return <-s.ended
}

// expectEngineSaw checks what the engine saw next.
func (f *fixture) expectEngineSaw(events ...string) {
	f.Helper()
	for _, want := range events {
		select {
		case got := <-f.engineSaw:
			if got != want {
				f.Errorf("the engine saw %q, not %q", got, want)
			}
		case <-time.After(5 * time.Second):
			f.Fatalf("no %q", want)
		}
	}
}

// TestConnectionReusedUnlessEndedOrStrayBytesCame: a connection is kept for the next request, but
// not one that has ended or brought more than its answer meanwhile, even when the loop has not
// been told of it yet.
func TestConnectionReusedUnlessEndedOrStrayBytesCame(t *testing.T) {
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4})
	for range 3 {
		if how := f.request(false); how != (ConnError{}) {
			t.Fatal(how)
		}
	}
	f.expectEngineSaw("connection", "request", "request", "request")
	for _, after := range []func(net.Conn){
		func(c net.Conn) { c.Close() },
		func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray") },
	} {
		done := make(chan struct{})
		f.afterAnswer <- func(c net.Conn) { after(c); close(done) }
		if how := f.request(false); how != (ConnError{}) {
			t.Fatal(how)
		}
		<-done
		if how := f.request(false); how != (ConnError{}) {
			t.Fatal(how)
		}
		// The next request comes on a new connection. The engine may see the old one's end at any point.
		var seen []string
		for len(seen) < 3 {
			if event := <-f.engineSaw; event != "gone" {
				seen = append(seen, event)
			}
		}
		if !slices.Equal(seen, []string{"request", "connection", "request"}) {
			t.Fatal(seen)
		}
	}
}

// trustFunc decides on reuse by a function and observes nothing.
type trustFunc func(rested time.Duration, once bool) bool

func (t trustFunc) MayReuse(rested time.Duration, once bool) bool { return t(rested, once) }
func (t trustFunc) Observe(time.Duration, time.Duration, bool)    {}

// TestUntrustedConnectionWaitsOrCloses: a connection that is not trusted for a request that must
// not be repeated waits for another; one that is trusted for none is closed.
func TestUntrustedConnectionWaitsOrCloses(t *testing.T) {
	trusted := true
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4, ReusePolicy: trustFunc(func(_ time.Duration, once bool) bool { return trusted && !once })})
	f.request(false)
	f.request(true)
	f.expectEngineSaw("connection", "request", "connection", "request")
	f.request(false)
	f.expectEngineSaw("request")
	f.onLoop(func() { trusted = false })
	f.request(false)
	seen := map[string]int{}
	for range 4 {
		seen[<-f.engineSaw]++
	}
	if seen["connection"] != 1 || seen["request"] != 1 || seen["gone"] != 2 {
		t.Error(seen)
	}
}

// TestIdleConnectionClosedWhereBudgetIsSpent: connections to all engines together are bounded; an
// idle one makes room.
func TestIdleConnectionClosedWhereBudgetIsSpent(t *testing.T) {
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 9, MaxTotal: 1})
	f.request(false)
	other := &Pool{Loop: f.loop, Options: f.pool.Options, Budget: f.pool.Budget, Addr: f.pool.Addr}
	s, overBudget := newOutcomeSink(), newOutcomeSink()
	f.onLoop(func() {
		if _, err := other.Start(s, []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), nil, false); err != nil {
			t.Error(err)
		}
		if _, err := f.pool.Start(overBudget, nil, nil, false); err == nil {
			t.Error("more than the budget")
		}
		if f.pool.Open() != 0 || f.pool.Budget.Open() != 1 {
			t.Errorf("%d and %d open", f.pool.Open(), f.pool.Budget.Open())
		}
	})
	if how := <-s.ended; how != (ConnError{}) {
		t.Error(how)
	}
}

// TestRequestNotSentWithinDeadlineBreaks: a request that has not left in its time breaks as not
// sent, however long a connection may take; one that has left does not.
func TestRequestNotSentWithinDeadlineBreaks(t *testing.T) {
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 9})
	ln, err := net.Listen("tcp", "127.0.0.1:0") // takes the connection and reads nothing of it
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	unreadPool := &Pool{Loop: f.loop, Options: f.pool.Options, Budget: f.pool.Budget, Addr: netip.MustParseAddrPort(ln.Addr().String())}
	for _, c := range []struct {
		body int
		want ConnError
	}{{0, ConnError{Malformed: "not ended"}}, {32 << 20, ConnError{Established: true}}} { // more than the system's buffers hold
		s := newOutcomeSink()
		f.onLoop(func() {
			k, err := unreadPool.Start(s, []byte("POST / HTTP/1.1\r\n\r\n"), make([]byte, c.body), false)
			if err != nil {
				t.Fatal(err)
			}
			k.SendWithin(150 * time.Millisecond)
			var later timerwheel.Timer
			later.Fire = func() { s.Failed(ConnError{Malformed: "not ended"}) }
			f.loop.StartTimer(&later, 300*time.Millisecond)
		})
		if how := <-s.ended; how != c.want {
			t.Errorf("body of %d: %+v", c.body, how)
		}
	}
}

// lateSink makes its head when the connection is established, and counts how often.
type lateSink struct {
	*outcomeSink
	headsMade int
}

func (s *lateSink) RequestHead() []byte {
	s.headsMade++
	return []byte("GET /late HTTP/1.1\r\nHost: x\r\n\r\n")
}

// TestLateHeadMadeOnceWhenConnectionEstablished: a head that tells the time left is made when the
// connection is established, once.
func TestLateHeadMadeOnceWhenConnectionEstablished(t *testing.T) {
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4})
	for i := range 2 { // over a new connection, then over an idle one
		s := &lateSink{outcomeSink: newOutcomeSink()}
		f.onLoop(func() {
			if _, err := f.pool.Start(s, []byte("not this"), nil, false); err != nil {
				t.Error(err)
			}
			if s.headsMade != i {
				t.Errorf("made %d times before the connection was established", s.headsMade)
			}
		})
		if how := <-s.ended; how != (ConnError{}) || s.headsMade != 1 {
			t.Error(how, s.headsMade)
		}
	}
	f.expectEngineSaw("connection", "request", "request")
}

// TestConnectionToFormerAddressNotKept: a connection in use when its engine's address changed is not
// kept for the next request.
func TestConnectionToFormerAddressNotKept(t *testing.T) {
	f, other := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4}), newFixture(t, Options{})
	s := newOutcomeSink()
	f.onLoop(func() {
		if _, err := f.pool.Start(s, []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), nil, false); err != nil {
			t.Error(err)
		}
		f.pool.Addr = other.pool.Addr
	})
	<-s.ended
	f.expectEngineSaw("connection", "request", "gone")
	f.request(false)
	other.expectEngineSaw("connection", "request")
}
