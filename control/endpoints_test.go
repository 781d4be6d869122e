package control

import (
	"testing"
	"time"
)

func TestDrainingEndpointGetsNoRequest(t *testing.T) {
	for _, state := range []EndpointState{Draining, Gone} {
		h := startRouter(t, testSettings(), RolePrefill, RolePrefill, RoleDecode)
		h.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 1, State: state, Kind: int(RolePrefill), Weight: 1}}})
		for id := range RequestID(8) {
			forward := h.arrive(time.Second, h.request(id+1, classIdempotent))
			if forward.Endpoint != 2 {
				t.Fatalf("forwarded to endpoint %d in state %v", forward.Endpoint, state)
			}
			h.finishPrefill(forward, 0)
		}
	}
}

func TestEndpointMissingFromFullListGetsNoRequest(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode)
	h.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 2, State: Ready, Kind: int(RoleDecode)}}, Full: true})
	if actions := h.handle(0, h.request(1, classIdempotent)); count[Forward](actions) != 0 {
		t.Fatalf("request forwarded although the only prefill engine is gone: %v", actions)
	}
}

func TestGoneEndpointsLeaveNoEntry(t *testing.T) {
	// Given an endpoint that is gone, with an attempt in flight.
	h := startRouter(t, testSettings(), RolePrefill, RolePrefill, RoleDecode)
	prefill := h.arrive(0, h.request(1, classIdempotent))
	h.handle(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: 9, State: Ready, Weight: 1}}})
	if len(h.router.endpoints.all) != 2 || len(h.router.endpoints.byID) != 2 {
		t.Fatalf("%d endpoints known, want the listed one and the one with an attempt in flight", len(h.router.endpoints.all))
	}

	// When its attempt fails and is retried, the client leaves, and the retry ends.
	h.handle(0, HealthCheckResult{Endpoint: 777, Result: TimedOut})
	retry := h.onlyForward(h.end(0, prefill, 0, Reset))
	h.handle(0, ClientGone{ID: 1})
	h.end(0, retry, 1, Cancelled)
	h.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 9, State: Ready, Weight: 1}}})

	// Then only the listed endpoint is known. After a while no request, session or prefix is known.
	if len(h.router.endpoints.all) != 1 || len(h.router.endpoints.byID) != 1 {
		t.Fatalf("%d endpoints known, want only the listed one", len(h.router.endpoints.all))
	}
	if actions := h.end(0, Forward{ID: 99, Endpoint: 777}, 0, PrefillDone); count[ReleaseKV](actions) != 1 {
		t.Fatalf("the KV state of an unknown request is not released: %v", actions)
	}
	h.ticks(90 * time.Second)
	if len(h.router.requests) != 0 || len(h.router.sessions) != 0 || len(h.router.prefixes.requests) != 0 {
		t.Fatalf("%d requests, %d sessions and %d prefixes remain", len(h.router.requests), len(h.router.sessions), len(h.router.prefixes.requests))
	}
}

// TestRestartedEndpointIsNotEjectedForOldLatency: the latency from before a restart does not count. After a
// quick prefill, three prefills that wait behind those of other routers do not eject the engine again.
func TestRestartedEndpointIsNotEjectedForOldLatency(t *testing.T) {
	// Given an engine that was ejected as slow.
	settings := testSettings()
	settings.Classes[classIdempotent].TTFTObjective = 10 * time.Second // nothing is rejected for its objective
	settings.SlowStart.Duration = 0                                    // no slow start after the restart
	h := startRouter(t, settings, RolePrefill, RolePrefill, RolePrefill, RoleDecode)
	first := h.router.endpoints.byID[1]
	h.serveOnFirst(20 * ms)
	for range 10 { // the last prefills are on probation
		h.serveOnFirst(500 * ms)
	}
	if !first.health.ejected() {
		t.Fatal("the slow engine is not ejected")
	}

	// When it restarts.
	h.handle(0, EndpointUpdate{Endpoints: []Endpoint{
		{ID: 1, State: Ready, Kind: int(RolePrefill), StartedAt: h.now, Weight: 1},
	}})

	// Then it is not ejected, even after some slow prefills.
	if first.health.ejected() {
		t.Fatal("the engine is still ejected after its restart")
	}
	for i, elapsed := range []time.Duration{20 * ms, 500 * ms, 500 * ms, 500 * ms} {
		h.serveOnFirst(elapsed)
		if first.health.ejected() {
			t.Fatalf("the engine is ejected by prefill %d after the restart, which took %v", i+1, elapsed)
		}
	}
}

// serveOnFirst serves requests until one is prefilled at endpoint 1. That prefill takes elapsed, the others
// take 20 ms. Endpoint 4 decodes.
func (h *harness) serveOnFirst(elapsed time.Duration) {
	h.t.Helper()
	for range 100 {
		forward := h.arrive(10*ms, h.request(RequestID(h.router.lastSequence+1), classIdempotent))
		if forward.Endpoint == 1 {
			h.end(elapsed, forward, 0, PrefillDone)
		} else {
			h.finishPrefill(forward, 0)
		}
		h.handle(0, Outcome{ID: forward.ID, Attempt: 1, Endpoint: 4, Result: OK, Elapsed: 10 * ms, Final: true})
		if forward.Endpoint == 1 {
			return
		}
	}
	h.t.Fatal("none of 100 requests was prefilled at endpoint 1")
}
