package enginecall

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
	"martenlock/internal/upstream"
)

// never is a time-out that no test reaches.
const never = time.Hour

// callFixture is a pool on a loop, with connections to an engine that the test implements.
type callFixture struct {
	t       *testing.T
	loop    eventlooptest.Loop
	pool    *upstream.ConnPool
	results chan Result // with a buffer for more results than a test expects, so that sending never blocks
}

// newCallFixture returns a pool whose connections go to addr.
func newCallFixture(t *testing.T, addr netip.AddrPort) *callFixture {
	t.Helper()
	loop := eventlooptest.Start(t)
	options := &upstream.Options{
		Limits:         http1.Limits{Line: 1000, Headers: 4000, Fields: 20, Body: 1 << 20},
		ConnectTimeout: never,
		IdleTimeout:    never,
		MaxPerEngine:   1,
	}
	pool := &upstream.ConnPool{Loop: loop.Loop, Options: options, Budget: &upstream.Budget{}, Addr: addr}
	return &callFixture{t: t, loop: loop, pool: pool, results: make(chan Result, 10)}
}

// call makes a call and returns its result. It fails the test if a second result follows before the end
// of the loop's iteration.
func (f *callFixture) call(timeout time.Duration, body []byte) Result {
	f.t.Helper()
	head := http1.AppendField(http1.AppendRequest(nil, http.MethodPost, "/"), "Host", "engine")
	call := Call{
		Head:    http1.AppendContentLength(head, len(body)),
		Body:    body,
		Timeout: timeout,
		OnDone:  func(result Result) { f.results <- result },
	}
	f.loop.Do(func() { call.Start(f.pool) })
	result := <-f.results
	f.loop.DoIteration(func() {})
	if len(f.results) != 0 {
		f.t.Errorf("the call has a second result: %+v", <-f.results)
	}
	return result
}

// expectRemaining checks which connections and timers remain.
func (f *callFixture) expectRemaining(open, idle, timers int) {
	f.t.Helper()
	f.loop.Do(func() {
		if f.pool.Open() != open || f.pool.Idle() != idle || f.loop.RunningTimers() != timers {
			f.t.Errorf("%d connections, %d of them idle, and %d timers remain; want %d, %d, %d",
				f.pool.Open(), f.pool.Idle(), f.loop.RunningTimers(), open, idle, timers)
		}
	})
}

// readRequest reads a request with its body.
func readRequest(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	request, err := http.ReadRequest(reader)
	if err != nil {
		t.Error(err)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		t.Error(err)
	}
}

// bodyBeyondKernelBuffers returns a body that cannot be sent completely to a peer that does not read.
func bodyBeyondKernelBuffers() []byte { return make([]byte, 64<<20) }

// TestCallEndsWithCompleteResponse: the result has the status, OnHead gets the head, and the
// connection is kept for the next call.
func TestCallEndsWithCompleteResponse(t *testing.T) {
	f := newCallFixture(t, enginetest.Listen(t, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for range 2 {
			readRequest(t, reader)
			io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nLoad: 3\r\nContent-Length: 4\r\n\r\nbusy")
		}
		enginetest.AwaitClose(conn)
	}).Addr())
	want := Result{Outcome: Responded, Status: http.StatusServiceUnavailable}
	if got := f.call(never, []byte("ids")); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	f.expectRemaining(1, 1, 1) // the remaining timer is the idle time-out
	var load string
	f.loop.Do(func() {
		Call{
			Head:    []byte("GET / HTTP/1.1\r\nHost: engine\r\n\r\n"),
			Timeout: never,
			OnHead:  func(head *http1.Head) { load = string(head.Get("load")) },
			OnDone:  func(result Result) { f.results <- result },
		}.Start(f.pool)
	})
	if got := <-f.results; got != want || load != "3" {
		t.Errorf("%+v with load %q, want %+v with load 3", got, load, want)
	}
	f.loop.Do(func() {
		if f.pool.ConnsMade() != 1 {
			t.Errorf("%d connections were made, want 1", f.pool.ConnsMade())
		}
	})
}

// TestCallEndsWithFailedConnection: the result tells how far the call got, and no connection or timer
// remains.
func TestCallEndsWithFailedConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		body   []byte
		engine func(*net.TCPConn) // nil if connections are refused
		want   Result
	}{
		{
			name: "connection refused",
			want: Result{Outcome: ConnFailed},
		},
		{
			name: "reset before it was written",
			body: bodyBeyondKernelBuffers(),
			engine: func(conn *net.TCPConn) {
				if _, err := conn.Read(make([]byte, 1)); err != nil {
					t.Error(err)
				}
				enginetest.Reset(conn)
			},
			want: Result{Outcome: ConnFailed, ConnError: upstream.ConnError{Established: true}},
		},
		{
			name: "closed after it was written",
			engine: func(conn *net.TCPConn) {
				readRequest(t, bufio.NewReader(conn))
			},
			want: Result{Outcome: ConnFailed, ConnError: upstream.ConnError{Established: true, RequestWritten: true}},
		},
		{
			name: "closed within the response",
			engine: func(conn *net.TCPConn) {
				readRequest(t, bufio.NewReader(conn))
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok")
			},
			want: Result{
				Outcome:   ConnFailed,
				Status:    http.StatusOK,
				ConnError: upstream.ConnError{Established: true, RequestWritten: true},
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := enginetest.RefusingAddress(t)
			if c.engine != nil {
				addr = enginetest.Listen(t, c.engine).Addr()
			}
			f := newCallFixture(t, addr)
			if got := f.call(never, c.body); got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
			f.expectRemaining(0, 0, 0)
		})
	}
}

// TestCallTimesOutBeforeItWasWritten: the engine reads nothing, so the request cannot be sent completely.
func TestCallTimesOutBeforeItWasWritten(t *testing.T) {
	testEnds := make(chan struct{})
	engine := enginetest.Listen(t, func(*net.TCPConn) { <-testEnds })
	defer close(testEnds)
	f := newCallFixture(t, engine.Addr())
	want := Result{Outcome: TimedOut}
	if got := f.call(time.Millisecond, bodyBeyondKernelBuffers()); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	f.expectRemaining(0, 0, 0)
}

// TestCallTimesOutAfterItWasWritten: the call reuses the connection of an earlier one, so its request is
// written before the time-out even on a slow machine.
func TestCallTimesOutAfterItWasWritten(t *testing.T) {
	f := newCallFixture(t, enginetest.Listen(t, func(conn *net.TCPConn) {
		readRequest(t, bufio.NewReader(conn))
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		enginetest.AwaitClose(conn) // the next request gets no response
	}).Addr())
	want := Result{Outcome: Responded, Status: http.StatusOK}
	if got := f.call(never, nil); got != want {
		t.Fatalf("%+v, want %+v", got, want)
	}
	want = Result{Outcome: TimedOut, WrittenBeforeTimeout: true}
	if got := f.call(time.Millisecond, []byte("ids")); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	f.expectRemaining(0, 0, 0)
}

// TestCallWithoutConnectionEndsBeforeStartReturns: if the pool can make no connection, OnDone is called
// before Start returns.
func TestCallWithoutConnectionEndsBeforeStartReturns(t *testing.T) {
	f := newCallFixture(t, enginetest.RefusingAddress(t))
	f.pool.Options.MaxPerEngine = 0
	f.loop.Do(func() {
		Call{Timeout: never, OnDone: func(result Result) { f.results <- result }}.Start(f.pool)
		if len(f.results) != 1 {
			t.Errorf("%d results after Start returned, want 1", len(f.results))
		}
	})
	if got := <-f.results; got != (Result{Outcome: NoConnection}) {
		t.Errorf("%+v, want NoConnection", got)
	}
	f.expectRemaining(0, 0, 0)
}

// TestCallReportsOnlyItsFirstEnd: a call that has ended ignores any later response, failure or time-out.
func TestCallReportsOnlyItsFirstEnd(t *testing.T) {
	ends := map[string]func(*runningCall){
		"response": (*runningCall).Complete,
		"failure":  func(c *runningCall) { c.Failed(upstream.ConnError{}) },
		"time-out": (*runningCall).handleTimeout,
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			f := newCallFixture(t, enginetest.RefusingAddress(t))
			f.loop.Do(func() {
				call := &runningCall{pool: f.pool}
				call.OnDone = func(result Result) { f.results <- result }
				end(call)
				for _, laterEnd := range ends {
					laterEnd(call)
				}
			})
			if len(f.results) != 1 {
				t.Errorf("%d results, want 1", len(f.results))
			}
		})
	}
}
