package upstream

import (
	"io"
	"net"
	"slices"
	"testing"
	"time"
)

// TestConnectionReusedUnlessEndedOrStrayBytesCame: a connection is kept for the next request, unless
// it has ended or carried more than its response since. The pool notices that even if the loop has
// not reported it yet.
func TestConnectionReusedUnlessEndedOrStrayBytesCame(t *testing.T) {
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4})
	for range 3 {
		f.request(false)
	}
	f.expectEngineSaw("connection", "request", "request", "request")
	for _, spoil := range []func(net.Conn){
		func(c net.Conn) { c.Close() },
		func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray") },
	} {
		done := make(chan struct{})
		f.afterAnswer <- func(c net.Conn) { spoil(c); close(done) }
		f.request(false)
		<-done

		f.request(false)

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

// policyFunc is a ReusePolicy that decides by a function and observes nothing.
type policyFunc func(idleFor time.Duration, notIdempotent bool) bool

func (p policyFunc) MayReuse(idleFor time.Duration, notIdempotent bool) bool {
	return p(idleFor, notIdempotent)
}
func (p policyFunc) Observe(time.Duration, time.Duration, bool) {}

// TestUntrustedConnectionWaitsOrCloses: a connection that is not trusted with a request that must not
// be retried waits for another. One that is trusted with no request is closed.
func TestUntrustedConnectionWaitsOrCloses(t *testing.T) {
	trusted := true
	policy := policyFunc(func(_ time.Duration, notIdempotent bool) bool { return trusted && !notIdempotent })
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4, ReusePolicy: policy})
	f.request(false)
	f.request(true)
	f.expectEngineSaw("connection", "request", "connection", "request")
	f.request(false)
	f.expectEngineSaw("request")

	f.loop.Do(func() { trusted = false })
	f.request(false)

	seen := map[string]int{}
	for range 4 {
		seen[<-f.engineSaw]++
	}
	if seen["connection"] != 1 || seen["request"] != 1 || seen["gone"] != 2 {
		t.Error(seen)
	}
}

// TestConnectionToFormerAddressNotKept: a connection that was in use when its engine's address changed
// is not kept for the next request.
func TestConnectionToFormerAddressNotKept(t *testing.T) {
	f, other := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4}), newFixture(t, Options{})
	response := newRecordedResponse()
	f.loop.Do(func() {
		if _, err := f.pool.Start(response, getRequest, nil, false); err != nil {
			t.Error(err)
		}
		f.pool.Addr = other.pool.Addr
	})
	f.expectComplete(response)
	f.expectEngineSaw("connection", "request", "gone")

	f.request(false)

	other.expectEngineSaw("connection", "request")
}
