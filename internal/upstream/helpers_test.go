package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"martenlock/internal/eventloop/eventlooptest"
	"martenlock/internal/http1"
)

const simpleRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// outcome is a ResponseHandler that reports how a request ended.
type outcome struct {
	ended chan ConnError // the zero value for a complete response
}

func newOutcome() *outcome { return &outcome{make(chan ConnError, 1)} }

func (o *outcome) Connected()       {}
func (o *outcome) Head(*http1.Head) {}
func (o *outcome) Data([]byte)      {}
func (o *outcome) Complete()        { o.ended <- ConnError{} }

// Failed reports the first end only.
func (o *outcome) Failed(err ConnError) {
	select {
	case o.ended <- err:
	default:
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
func newFixture(t *testing.T, opts Options) *fixture {
	t.Helper()
	opts.Limits = http1.Limits{Line: 1000, Headers: 4000, Fields: 20, Body: 1 << 20}
	opts.ConnectTimeout = 5 * time.Second
	ln := listenLocal(t)
	loop := eventlooptest.Start(t)
	f := &fixture{
		t:           t,
		loop:        loop,
		pool:        &Pool{Loop: loop.Loop, Options: &opts, Budget: &Budget{}, Addr: addressOf(ln)},
		afterAnswer: make(chan func(net.Conn), 1),
		engineSaw:   make(chan string, 100),
	}
	go f.acceptAsEngine(ln)
	return f
}

// listenLocal opens a listener on loopback until the test ends.
func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func addressOf(ln net.Listener) netip.AddrPort { return netip.MustParseAddrPort(ln.Addr().String()) }

// newPool returns another pool with the fixture's loop, options and budget.
func (f *fixture) newPool(addr netip.AddrPort) *Pool {
	return &Pool{Loop: f.loop.Loop, Options: f.pool.Options, Budget: f.pool.Budget, Addr: addr}
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
		var after func(net.Conn) // received before the answer: what is sent later is for the next request
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

// request sends a request to the engine and expects a complete response.
func (f *fixture) request(notIdempotent bool) {
	f.t.Helper()
	o := newOutcome()
	f.loop.Do(func() {
		if _, err := f.pool.Start(o, []byte(simpleRequest), nil, notIdempotent); err != nil {
			f.t.Error(err)
			o.ended <- ConnError{}
		}
	})
	f.expectComplete(o)
}

// expectComplete waits for the end of a request and expects a complete response.
func (f *fixture) expectComplete(o *outcome) {
	f.t.Helper()
	if err := <-o.ended; err != (ConnError{}) {
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
			f.t.Fatalf("no %q", want)
		}
	}
}
