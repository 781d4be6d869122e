package upstream

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"testing"
	"time"

	"martenlock/internal/enginetest"
	"martenlock/internal/timerwheel"
)

// recordedBody is a recordedResponse that also collects the content. onComplete, if set, is called on the
// loop at the end of a complete response.
type recordedBody struct {
	*recordedResponse
	body       []byte
	onComplete func()
}

func newRecordedBody() *recordedBody { return &recordedBody{recordedResponse: newRecordedResponse()} }

func (r *recordedBody) Data(b []byte) { r.body = append(r.body, b...) }

func (r *recordedBody) Complete() {
	if r.onComplete != nil {
		r.onComplete()
	}
	r.recordedResponse.Complete()
}

// response returns a complete response with this content.
func response(content string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
}

// listenNumbered starts an engine that passes each request to respond with its number on the connection,
// from 1.
func listenNumbered(t *testing.T, respond func(conn net.Conn, number int)) *enginetest.Listener {
	t.Helper()
	return enginetest.Listen(t, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for number := 1; ; number++ {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			respond(conn, number)
		}
	})
}

// TestStrayResponseInTheSameReadIsNotTakenForTheNextOne guards against a second response that arrives in one
// read with the first, and is taken for the response to a request that Complete starts.
func TestStrayResponseInTheSameReadIsNotTakenForTheNextOne(t *testing.T) {
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4})
	engine := listenNumbered(t, func(conn net.Conn, number int) {
		text := response("own")
		if number == 1 {
			text += response("stray")
		}
		io.WriteString(conn, text)
	})
	pool := f.newPool(engine.Addr())
	rest := &fixedRest{}
	pool.Rest = rest
	first, second := newRecordedBody(), newRecordedBody()
	start := func(handler ResponseHandler) {
		if _, err := pool.Start(handler, getRequest, nil, false); err != nil {
			t.Error(err)
		}
	}
	first.onComplete = func() { start(second) }

	f.loop.Do(func() { start(first) })

	f.expectComplete(first.recordedResponse)
	f.expectComplete(second.recordedResponse)
	if string(first.body) != "own" {
		t.Errorf("the first request got %q", first.body)
	}
	// The second connection answers its first request with a stray response as well, which nobody waits for.
	if string(second.body) != "own" {
		t.Errorf("the second request got %q, want its own response", second.body)
	}
	if engine.Accepted() != 2 {
		t.Errorf("%d connections, want 2: the first one has carried a stray response", engine.Accepted())
	}
	f.loop.Do(func() {
		if len(rest.delays) == 0 || rest.delays[0] != 0 {
			t.Errorf("delays of stray bytes: %v, want 0 for those in the same read", rest.delays)
		}
	})
}

// fixedRest is a RestPolicy with the same rest at and below the limit. It records the delays of stray bytes.
type fixedRest struct {
	minIdleTime time.Duration
	delays      []time.Duration
}

func (p *fixedRest) MinIdleTime(bool) time.Duration       { return p.minIdleTime }
func (p *fixedRest) RecordStrayBytes(delay time.Duration) { p.delays = append(p.delays, delay) }

// TestLateStrayResponseIsNotTakenForTheNextOne guards against a second response that arrives after the
// connection was taken for the next request, and is taken for the response to that request.
func TestLateStrayResponseIsNotTakenForTheNextOne(t *testing.T) {
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4})
	sendStray := make(chan struct{})
	engine := listenNumbered(t, func(conn net.Conn, _ int) {
		io.WriteString(conn, response("own"))
		<-sendStray
		io.WriteString(conn, response("stray"))
	})
	pool := f.newPool(engine.Addr())
	rest := &fixedRest{minIdleTime: time.Minute}
	pool.Rest = rest
	strayClosed := make(chan struct{})
	pool.OnConnClosed = func(reason CloseReason, _ ConnUse) {
		if reason == CloseStrayBytes && len(rest.delays) == 2 {
			close(strayClosed)
		}
	}
	start := func() *recordedBody {
		handler := newRecordedBody()
		f.loop.Do(func() {
			if _, err := pool.Start(handler, getRequest, nil, false); err != nil {
				t.Error(err)
			}
		})
		return handler
	}
	f.expectComplete(start().recordedResponse)

	second := start()
	close(sendStray)

	f.expectComplete(second.recordedResponse)
	if string(second.body) != "own" {
		t.Errorf("the second request got %q, want its own response", second.body)
	}
	<-strayClosed // the stray bytes on both connections are recorded
}

// TestConnectionReusedAfterItsRest: a connection that has been idle for the time that the RestPolicy wants is
// reused, and until then a request gets another one.
func TestConnectionReusedAfterItsRest(t *testing.T) {
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4})
	rest := &fixedRest{minIdleTime: 20 * time.Millisecond}
	f.pool.Rest = rest
	f.request(false)
	f.expectEngineEvents("connection", "request")
	rested := make(chan struct{})
	timer := &timerwheel.Timer{Fire: func() { close(rested) }}
	f.loop.Do(func() { f.loop.StartTimer(timer, rest.minIdleTime) })
	<-rested

	f.request(false)

	f.expectEngineEvents("request")
	f.loop.Do(func() { rest.minIdleTime = time.Minute })
	f.request(false)
	f.expectEngineEvents("connection", "request")
}

// restUntilLimit is a RestPolicy without a rest at the limit.
type restUntilLimit struct{ fixedRest }

func (p *restUntilLimit) MinIdleTime(atLimit bool) time.Duration {
	if atLimit {
		return 0
	}
	return p.minIdleTime
}

// TestConnectionAtLimitReusedOrReplaced: if all connections to an engine are open and must still rest, the one
// that has been idle for longest is reused if the RestPolicy allows that at the limit, or else replaced.
func TestConnectionAtLimitReusedOrReplaced(t *testing.T) {
	for _, c := range []struct {
		name string
		rest RestPolicy
		want map[string]int
	}{
		{"reused", &restUntilLimit{fixedRest{minIdleTime: time.Minute}}, map[string]int{"request": 1}},
		{"replaced", &fixedRest{minIdleTime: time.Minute}, map[string]int{"gone": 1, "connection": 1, "request": 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 2})
			f.pool.Rest = c.rest
			f.request(false)
			f.request(false)
			f.expectEngineEvents("connection", "request", "connection", "request")

			f.request(false)

			seen := map[string]int{}
			for seen["request"] < c.want["request"] || seen["gone"] < c.want["gone"] {
				seen[<-f.engineEvents]++
			}
			if !maps.Equal(seen, c.want) {
				t.Errorf("events at the engine: %v, want %v", seen, c.want)
			}
		})
	}
}

// TestDelayOfStrayBytesIsRecorded guards against a RestPolicy that never hears how late an engine's stray bytes
// are, and therefore never prolongs the rest.
func TestDelayOfStrayBytesIsRecorded(t *testing.T) {
	const minDelay = 20 * time.Millisecond
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4})
	sendStray := make(chan struct{})
	f.afterResponse <- func(c net.Conn) {
		<-sendStray
		io.WriteString(c, response("stray"))
	}
	rest := &fixedRest{}
	f.pool.Rest = rest
	closed := make(chan CloseReason, 1)
	f.pool.OnConnClosed = func(reason CloseReason, _ ConnUse) { closed <- reason }
	f.request(false)
	timer := &timerwheel.Timer{Fire: func() { close(sendStray) }}
	f.loop.Do(func() { f.loop.StartTimer(timer, minDelay) })

	reason := <-closed

	f.loop.Do(func() {
		if reason != CloseStrayBytes || len(rest.delays) != 1 || rest.delays[0] < minDelay {
			t.Errorf("closed for %v, delays %v, want %v and a delay of at least %v", reason, rest.delays, CloseStrayBytes, minDelay)
		}
	})
}
