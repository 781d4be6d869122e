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

// recordedResponse is a ResponseHandler that reports how the response ended.
type recordedResponse struct {
	ended chan ConnError // the zero value for a complete response
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

// fixture is a pool on a loop, beside an engine that answers every request.
type fixture struct {
	t           *testing.T
	loop        eventlooptest.Loop
	pool        *Pool
	afterAnswer chan func(net.Conn) // what the engine does after its next answer, if anything is in it
	engineSaw   chan string         // "connection", "request" and, at a connection's end, "gone"
}

// newFixture returns a pool with the given options, whose limits and time-out to connect it sets.
func newFixture(t *testing.T, options Options) *fixture {
	t.Helper()
	f := &fixture{t: t, afterAnswer: make(chan func(net.Conn), 1), engineSaw: make(chan string, 100)}
	engine := enginetest.Listen(t, f.serveAsEngine)
	f.loop = eventlooptest.Start(t)
	options.Limits = http1.Limits{Line: 1000, Headers: 4000, Fields: 20, Body: 1 << 20}
	options.ConnectTimeout = 5 * time.Second
	f.pool = &Pool{Loop: f.loop.Loop, Options: &options, Budget: &Budget{}, Addr: engine.Addr()}
	return f
}

// newPool returns another pool with the fixture's loop, options and budget.
func (f *fixture) newPool(addr netip.AddrPort) *Pool {
	return &Pool{Loop: f.loop.Loop, Options: f.pool.Options, Budget: f.pool.Budget, Addr: addr}
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
		var after func(net.Conn) // received before the answer: what is sent later is for the next request
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

// expectComplete waits for the end of a response and expects it to be complete.
func (f *fixture) expectComplete(response *recordedResponse) {
	f.t.Helper()
	if err := <-response.ended; err != (ConnError{}) {
		f.t.Fatalf("%+v", err)
	}
}

// expectEngineSaw checks what the engine saw next.
func (f *fixture) expectEngineSaw(events ...string) {
	f.t.Helper()
	for _, want := range events {
		select {
		case got := <-f.engineSaw:
			if got != want {
				f.t.Errorf("the engine saw %q, not %q", got, want)
			}
		case <-time.After(5 * time.Second):
			f.t.Fatalf("the engine saw no %q", want)
		}
	}
}
