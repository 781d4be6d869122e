package control

import (
	"testing"
	"time"
)

func TestDrainingEndpointGetsNoRequest(t *testing.T) {
	for _, state := range []EndpointState{Draining, Gone} {
		s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 0, 1)
		s.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 1, State: state, Kind: 0, Weight: 1}}})
		for id := range RequestID(8) {
			if forward := s.onlyForward(s.handle(time.Second, s.request(id+1, 0))); forward.Endpoint != 2 {
				t.Fatalf("sent to engine %d in state %v", forward.Endpoint, state)
			}
			s.finishPrefill(Forward{ID: id + 1, Endpoint: 2}, 0)
		}
	}
}

func TestEndpointMissingFromFullListGetsNoRequest(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 1)
	s.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 2, State: Ready, Kind: 1}}, Full: true})
	if actions := s.handle(0, s.request(1, 0)); len(actionsOf[Forward](actions)) != 0 {
		t.Fatalf("got %v", actions)
	}
}

func TestGoneEndpointsLeaveNoEntry(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 0, 1)
	prefill := s.onlyForward(s.handle(0, s.request(1, 0)))
	s.handle(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: 9, State: Ready, Weight: 1}}})
	if len(s.router.endpoints.all) != 2 || len(s.router.endpoints.byID) != 2 {
		t.Fatalf("%d engines known: one listed, one with an attempt in flight", len(s.router.endpoints.all))
	}
	s.handle(0, HealthCheckResult{Endpoint: 777, Result: TimedOut})
	again := s.onlyForward(s.handle(0, Outcome{ID: 1, Endpoint: prefill.Endpoint, Result: Reset}))
	s.handle(0, ClientGone{ID: 1})
	s.handle(0, Outcome{ID: 1, Attempt: 1, Endpoint: again.Endpoint, Result: Cancelled})
	s.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 9, State: Ready, Weight: 1}}})
	if len(s.router.endpoints.all) != 1 || len(s.router.endpoints.byID) != 1 {
		t.Fatalf("%d engines known after all but one left", len(s.router.endpoints.all))
	}
	if actions := s.handle(0, Outcome{ID: 99, Endpoint: 777, Result: PrefillDone}); len(actionsOf[ReleaseKV](actions)) != 1 {
		t.Fatalf("a KV state of an unknown request stays: %v", actions)
	}
	s.ticks(90 * time.Second)
	if len(s.router.requests) != 0 || len(s.router.sessions) != 0 || len(s.router.prefixes.requests) != 0 {
		t.Fatalf("left behind: %d requests, %d sessions", len(s.router.requests), len(s.router.sessions))
	}
}

// TestRestartedEndpointIsNotEjectedForOldLatency: an engine that was ejected as slow and has restarted starts
// over: after a quick prefill, three that waited behind others' don't eject it again.
func TestRestartedEndpointIsNotEjectedForOldLatency(t *testing.T) {
	settings := testSettings(RolePrefill, RoleDecode)
	settings.Classes[0].TTFTObjective = 10 * time.Second // nothing is rejected for its objective
	settings.SlowStart.Duration = 0                      // the restarted engine takes its share at once
	s := startRouter(t, settings, 0, 0, 0, 1)
	lastID := RequestID(0)
	serveOnFirst := func(took time.Duration) { // and on the others in 20 ms, until the first has had one
		for range 100 {
			lastID++
			forward := s.onlyForward(s.handle(10*ms, s.request(lastID, 0)))
			elapsed := 20 * ms
			if forward.Endpoint == 1 {
				elapsed = took
			}
			s.handle(elapsed, Outcome{ID: lastID, Endpoint: forward.Endpoint, Result: PrefillDone, Elapsed: elapsed})
			s.handle(0, Outcome{ID: lastID, Attempt: 1, Endpoint: 4, Result: OK, Elapsed: 10 * ms, Final: true})
			if forward.Endpoint == 1 {
				return
			}
		}
		t.Fatal("no prefill of 100 at the first engine")
	}
	first := s.router.endpoints.byID[1]
	serveOnFirst(20 * ms)
	for range 10 { // the later ones on probation
		serveOnFirst(500 * ms)
	}
	if !first.health.ejected() {
		t.Fatal("a slow engine is not ejected")
	}
	s.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 1, State: Ready, Kind: 0, StartedAt: s.now, Weight: 1}}})
	if first.health.ejected() {
		t.Fatal("ejected when it has just restarted")
	}
	for i, took := range []time.Duration{20 * ms, 500 * ms, 500 * ms, 500 * ms} {
		serveOnFirst(took)
		if first.health.ejected() {
			t.Fatalf("ejected by prefill %d after the restart, of %v", i+1, took)
		}
	}
}
