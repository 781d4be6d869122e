package upstream

import (
	"io"
	"net"
	"slices"
	"testing"
	"time"
)

// TestConnectionReusedUnlessClosedOrStrayBytesArrived: a connection is kept for the next request unless
// the engine has closed it or sent bytes after its response. The pool notices both even if the loop
// has not reported them yet.
func TestConnectionReusedUnlessClosedOrStrayBytesArrived(t *testing.T) {
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4})
	for range 3 {
		f.request(false)
	}
	f.expectEngineEvents("connection", "request", "request", "request")
	for _, closeOrSend := range []func(net.Conn){
		func(c net.Conn) { c.Close() },
		func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray") },
	} {
		done := make(chan struct{})
		f.afterResponse <- func(c net.Conn) { closeOrSend(c); close(done) }
		f.request(false)
		<-done

		f.request(false)

		// The next request comes on a new connection. The old one may close at any point.
		var seen []string
		for len(seen) < 3 {
			if event := <-f.engineEvents; event != "gone" {
				seen = append(seen, event)
			}
		}
		if !slices.Equal(seen, []string{"request", "connection", "request"}) {
			t.Fatalf("events at the engine: %q", seen)
		}
	}
}

// policyFunc is a ReusePolicy that calls a function to decide and ignores outcomes.
type policyFunc func(idleFor time.Duration, notIdempotent bool) bool

func (p policyFunc) MayReuse(idleFor time.Duration, notIdempotent bool) bool {
	return p(idleFor, notIdempotent)
}
func (p policyFunc) Observe(time.Duration, time.Duration, bool) {}

// TestConnectionThatPolicyRejectsStaysIdleOrCloses: a connection that the policy rejects only for
// requests that must not be retried stays idle. One that it rejects for all requests is closed.
func TestConnectionThatPolicyRejectsStaysIdleOrCloses(t *testing.T) {
	isAllowed := true
	policy := policyFunc(func(_ time.Duration, notIdempotent bool) bool { return isAllowed && !notIdempotent })
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4, ReusePolicy: policy})
	f.request(false)
	f.request(true)
	f.expectEngineEvents("connection", "request", "connection", "request")
	f.request(false)
	f.expectEngineEvents("request")

	f.loop.Do(func() { isAllowed = false })
	f.request(false)

	seen := map[string]int{}
	for range 4 {
		seen[<-f.engineEvents]++
	}
	if seen["connection"] != 1 || seen["request"] != 1 || seen["gone"] != 2 {
		t.Errorf("events at the engine: %v", seen)
	}
}

// TestConnectionToFormerAddressNotKept: a connection that was in use when its engine's address changed
// is not kept for reuse.
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
	f.expectEngineEvents("connection", "request", "gone")

	f.request(false)

	other.expectEngineEvents("connection", "request")
}
