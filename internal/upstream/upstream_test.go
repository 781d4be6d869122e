package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"martenlock/internal/enginetest"
	"martenlock/internal/eventloop/eventlooptest"
	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
)

// recordedResponse is a ResponseHandler that reports how the response ended.
type recordedResponse struct {
	ended chan ConnError // the zero ConnError for a complete response
}

func newRecordedResponse() *recordedResponse { return &recordedResponse{make(chan ConnError, 1)} }

func (r *recordedResponse) Connected()       {}
func (r *recordedResponse) Head(*http1.Head) {}
func (r *recordedResponse) Data([]byte)      {}
func (r *recordedResponse) Complete()        { r.ended <- ConnError{} }
func (r *recordedResponse) Failed(err ConnError) {
	select {
	case r.ended <- err:
	default: // it has ended already
	}
}

// getRequest is the head of a request without a body.
var getRequest = []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")

// fixture is a pool on a loop, beside an engine that answers every request.
type fixture struct {
	*testing.T
	loop        eventlooptest.Loop
	pool        *Pool
	afterAnswer chan func(net.Conn) // what the engine does after its next answer, if anything waits here
	engineSaw   chan string         // "connection", "request" and, at a connection's end, "gone"
}

func newFixture(t *testing.T, options Options) *fixture {
	t.Helper()
	f := &fixture{T: t, afterAnswer: make(chan func(net.Conn), 1), engineSaw: make(chan string, 100)}
	engine := enginetest.Listen(t, f.serveAsEngine)
	f.loop = eventlooptest.Start(t)
	options.Limits = http1.Limits{Line: 1000, Headers: 4000, Fields: 20, Body: 1 << 20}
	options.ConnectTimeout = 5 * time.Second
	f.pool = &Pool{Loop: f.loop.Loop, Options: &options, Budget: &Budget{}, Addr: engine.Addr()}
	return f
}

// serveAsEngine answers the requests on one connection.
func (f *fixture) serveAsEngine(conn *net.TCPConn) {
	f.engineSaw <- "connection"
	for reader := bufio.NewReader(conn); ; {
		if _, err := http.ReadRequest(reader); err != nil {
			f.engineSaw <- "gone"
			return
		}
		f.engineSaw <- "request"
		var after func(net.Conn) // taken before the answer: what comes later is for the next request
		select {
		case after = <-f.afterAnswer:
		default:
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if after != nil {
			after(conn)
		}
	}
}

// expectComplete sends a request to the engine, and fails the test unless its response is complete.
func (f *fixture) expectComplete(mustNotRepeat bool) {
	f.Helper()
	response := newRecordedResponse()
	f.loop.Do(func() {
		if _, err := f.pool.Start(response, getRequest, nil, mustNotRepeat); err != nil {
			f.Error(err)
			response.Failed(ConnError{Malformed: err.Error()})
		}
	})
	if err := <-response.ended; err != (ConnError{}) {
		f.Fatal(err)
	}
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
			f.Fatalf("the engine saw no %q", want)
		}
	}
}

// TestConnectionReusedUnlessEndedOrStrayBytesCame: a connection is kept for the next request, but
// not one that has ended or brought more than its answer meanwhile, even when the loop has not
// been told of it yet.
func TestConnectionReusedUnlessEndedOrStrayBytesCame(t *testing.T) {
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4})
	for range 3 {
		f.expectComplete(false)
	}
	f.expectEngineSaw("connection", "request", "request", "request")
	for _, after := range []func(net.Conn){
		func(c net.Conn) { c.Close() },
		func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray") },
	} {
		done := make(chan struct{})
		f.afterAnswer <- func(c net.Conn) { after(c); close(done) }
		f.expectComplete(false)
		<-done
		f.expectComplete(false)
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

// reusePolicyFunc decides on reuse by a function and observes nothing.
type reusePolicyFunc func(idle time.Duration, mustNotRepeat bool) bool

func (p reusePolicyFunc) MayReuse(idle time.Duration, mustNotRepeat bool) bool {
	return p(idle, mustNotRepeat)
}
func (p reusePolicyFunc) Observe(time.Duration, time.Duration, bool) {}

// TestUntrustedConnectionWaitsOrCloses: a connection that is not trusted for a request that must
// not be repeated waits for another; one that is trusted for none is closed.
func TestUntrustedConnectionWaitsOrCloses(t *testing.T) {
	trusted := true
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4, ReusePolicy: reusePolicyFunc(func(_ time.Duration, mustNotRepeat bool) bool { return trusted && !mustNotRepeat })})
	f.expectComplete(false)
	f.expectComplete(true)
	f.expectEngineSaw("connection", "request", "connection", "request")
	f.expectComplete(false)
	f.expectEngineSaw("request")
	f.loop.Do(func() { trusted = false })
	f.expectComplete(false)
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
	f.expectComplete(false)
	other := &Pool{Loop: f.loop.Loop, Options: f.pool.Options, Budget: f.pool.Budget, Addr: f.pool.Addr}
	response, overBudget := newRecordedResponse(), newRecordedResponse()
	f.loop.Do(func() {
		if _, err := other.Start(response, getRequest, nil, false); err != nil {
			t.Error(err)
		}
		if _, err := f.pool.Start(overBudget, nil, nil, false); err == nil {
			t.Error("more than the budget")
		}
		if f.pool.Open() != 0 || f.pool.Budget.Open() != 1 {
			t.Errorf("%d and %d open", f.pool.Open(), f.pool.Budget.Open())
		}
	})
	if err := <-response.ended; err != (ConnError{}) {
		t.Error(err)
	}
}

// TestRequestNotSentWithinDeadlineBreaks: a request that has not left in its time breaks as not
// sent, however long a connection may take; one that has left does not.
func TestRequestNotSentWithinDeadlineBreaks(t *testing.T) {
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 9})
	testEnds := make(chan struct{})
	defer close(testEnds)
	engine := enginetest.Listen(t, func(*net.TCPConn) { <-testEnds }) // accepts the connection and reads nothing of it
	unreadPool := &Pool{Loop: f.loop.Loop, Options: f.pool.Options, Budget: f.pool.Budget, Addr: engine.Addr()}
	for _, c := range []struct {
		body int
		want ConnError
	}{{0, ConnError{Malformed: "not ended"}}, {32 << 20, ConnError{Established: true}}} { // more than the system's buffers hold
		response := newRecordedResponse()
		f.loop.Do(func() {
			conn, err := unreadPool.Start(response, []byte("POST / HTTP/1.1\r\n\r\n"), make([]byte, c.body), false)
			if err != nil {
				t.Fatal(err)
			}
			conn.SendWithin(150 * time.Millisecond)
			var later timerwheel.Timer
			later.Fire = func() { response.Failed(ConnError{Malformed: "not ended"}) }
			f.loop.StartTimer(&later, 300*time.Millisecond)
		})
		if err := <-response.ended; err != c.want {
			t.Errorf("body of %d: %+v", c.body, err)
		}
	}
}

// headBuildingResponse builds the request's head when the connection is established, and counts how often.
type headBuildingResponse struct {
	*recordedResponse
	headsBuilt int
}

// RequestHead implements HeadBuilder.
func (r *headBuildingResponse) RequestHead() []byte {
	r.headsBuilt++
	return []byte("GET /late HTTP/1.1\r\nHost: x\r\n\r\n")
}

// TestLateHeadMadeOnceWhenConnectionEstablished: a head that tells the time left is made when the
// connection is established, once.
func TestLateHeadMadeOnceWhenConnectionEstablished(t *testing.T) {
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4})
	for i := range 2 { // over a new connection, then over an idle one
		response := &headBuildingResponse{recordedResponse: newRecordedResponse()}
		f.loop.Do(func() {
			if _, err := f.pool.Start(response, []byte("not this"), nil, false); err != nil {
				t.Error(err)
			}
			if response.headsBuilt != i {
				t.Errorf("built %d times before the connection was established", response.headsBuilt)
			}
		})
		if err := <-response.ended; err != (ConnError{}) || response.headsBuilt != 1 {
			t.Error(err, response.headsBuilt)
		}
	}
	f.expectEngineSaw("connection", "request", "request")
}

// TestConnectionToFormerAddressNotKept: a connection in use when its engine's address changed is not
// kept for the next request.
func TestConnectionToFormerAddressNotKept(t *testing.T) {
	f, other := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4}), newFixture(t, Options{})
	response := newRecordedResponse()
	f.loop.Do(func() {
		if _, err := f.pool.Start(response, getRequest, nil, false); err != nil {
			t.Error(err)
		}
		f.pool.Addr = other.pool.Addr
	})
	if err := <-response.ended; err != (ConnError{}) {
		t.Error(err)
	}
	f.expectEngineSaw("connection", "request", "gone")
	f.expectComplete(false)
	other.expectEngineSaw("connection", "request")
}
