package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"martenlock/internal/enginetest"
	"martenlock/internal/eventloop/eventlooptest"
	"martenlock/internal/http1"
)

// getRequest is the head of a request without a body.
var getRequest = []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")

// recordedResponse is a ResponseHandler that records how the response ended.
type recordedResponse struct {
	ended chan ConnError // receives the zero value for a complete response
}

func newRecordedResponse() *recordedResponse { return &recordedResponse{make(chan ConnError, 1)} }

func (r *recordedResponse) Connected()       {}
func (r *recordedResponse) Head(*http1.Head) {}
func (r *recordedResponse) Data([]byte)      {}
func (r *recordedResponse) Complete()        { r.ended <- ConnError{} }

func (r *recordedResponse) Failed(err ConnError) {
	select {
	case r.ended <- err:
	default: // the response has ended already
	}
}

// fixture is a pool on a loop, and an engine that responds to every request.
type fixture struct {
	t             *testing.T
	loop          eventlooptest.Loop
	pool          *ConnPool
	afterResponse chan func(net.Conn) // a function sent on it is called after the engine's next response
	engineEvents  chan string         // "connection", "request", or "gone" at the end of a connection
}

// newFixture returns a pool with the given options, except that it sets Limits and ConnectTimeout itself.
func newFixture(t *testing.T, options Options) *fixture {
	t.Helper()
	f := &fixture{t: t, afterResponse: make(chan func(net.Conn), 1), engineEvents: make(chan string, 100)}
	engine := enginetest.Listen(t, f.serveAsEngine)
	f.loop = eventlooptest.Start(t)
	options.Limits = http1.Limits{Line: 1000, Headers: 4000, Fields: 20, Body: 1 << 20}
	options.ConnectTimeout = 5 * time.Second
	f.pool = &ConnPool{Loop: f.loop.Loop, Options: &options, Budget: &Budget{}, Addr: engine.Addr()}
	return f
}

// newPool returns another pool with the fixture's loop, options and budget.
func (f *fixture) newPool(addr netip.AddrPort) *ConnPool {
	return &ConnPool{Loop: f.loop.Loop, Options: f.pool.Options, Budget: f.pool.Budget, Addr: addr}
}

// serveAsEngine responds to the requests on one connection.
func (f *fixture) serveAsEngine(conn *net.TCPConn) {
	f.engineEvents <- "connection"
	for reader := bufio.NewReader(conn); ; {
		if _, err := http.ReadRequest(reader); err != nil {
			f.engineEvents <- "gone"
			return
		}
		f.engineEvents <- "request"
		var after func(net.Conn) // received before responding, so that a later one applies to the next request
		select {
		case after = <-f.afterResponse:
		default:
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if after != nil {
			after(conn)
		}
	}
}

// request sends a request to the engine and expects a complete response.
func (f *fixture) request(notIdempotent bool) {
	f.t.Helper()
	response := newRecordedResponse()
	f.loop.Do(func() {
		if _, err := f.pool.Start(response, getRequest, nil, notIdempotent); err != nil {
			response.Failed(ConnError{Malformed: err.Error()})
		}
	})
	f.expectComplete(response)
}

// expectComplete waits for the end of a response and fails the test if it is not complete.
func (f *fixture) expectComplete(response *recordedResponse) {
	f.t.Helper()
	if err := <-response.ended; err != (ConnError{}) {
		f.t.Fatalf("response failed: %+v", err)
	}
}

// expectEngineEvents checks the next events at the engine.
func (f *fixture) expectEngineEvents(events ...string) {
	f.t.Helper()
	for _, want := range events {
		select {
		case got := <-f.engineEvents:
			if got != want {
				f.t.Errorf("event %q at the engine, want %q", got, want)
			}
		case <-time.After(5 * time.Second):
			f.t.Fatalf("no event at the engine within 5 s, want %q", want)
		}
	}
}
