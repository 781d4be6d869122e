package control

import (
	"testing"
	"time"
)

func TestEndpointInSlowStartGetsASmallShare(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RolePrefill, RoleDecode)
	id := RequestID(0)
	serve := func(requests int) (prefillsAtSecond int) {
		for range requests {
			id++
			prefill := h.arrive(10*ms, h.request(id, classIdempotent))
			if prefill.Endpoint == 2 {
				prefillsAtSecond++
			}
			h.finishPrefill(prefill, 0)
			h.handle(0, Outcome{ID: id, Attempt: 1, Endpoint: 3, Result: OK, Elapsed: 10 * ms, Final: true}, Timer{})
		}
		return prefillsAtSecond
	}

	warmedUp := serve(100)
	h.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 2, State: Ready, Kind: int(RolePrefill), StartedAt: h.now, Weight: 1}}})
	slowStarting := serve(100)
	if warmedUp < 20 || slowStarting == 0 || slowStarting > warmedUp/2 {
		t.Fatalf("%d prefills while warmed up, want at least 20; %d in slow start, want 1 to half of that", warmedUp, slowStarting)
	}
}

func TestSlowStartShareHoldsForFewAndManyRouters(t *testing.T) {
	for _, routers := range []int{3, 60} {
		settings := testSettings()
		settings.SlowStart.Duration = time.Hour
		all := startRouters(t, routers, settings, testEndpoints(4, 4))
		for _, h := range all {
			h.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 1, State: Ready, Weight: 1, Cell: 1, StartedAt: h.now}}})
		}
		forwards := playRequests(all, 1200/routers, func(h *harness, id RequestID) Request { return h.request(id, classIdempotent) })
		if forwards[1] == 0 || forwards[1] > forwards[2]/2 {
			t.Errorf("%d routers: %d prefills at the engine in slow start, want 1 to half of the %d at a warmed-up engine", routers, forwards[1], forwards[2])
		}
	}
}

func TestRejectedRequestIsNotRetriedInSlowStart(t *testing.T) {
	attemptsInSlowStart := 0
	for i, h := range startRouters(t, 60, testSettings(), testEndpoints(3, 1)) {
		h.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 1, State: Ready, Weight: 1, StartedAt: h.now}}})
		actions := h.handle(0, h.request(RequestID(5000+97*i), classIdempotent))
		for attempt := AttemptNumber(0); count[Forward](actions) > 0; attempt++ {
			forward := h.onlyForward(actions)
			if forward.Endpoint == 1 {
				attemptsInSlowStart++
			}
			actions = h.end(ms, forward, attempt, Rejected)
		}
	}
	if attemptsInSlowStart > 11 { // a quarter of the requests may go there, only with their first attempt
		t.Fatalf("%d attempts of 60 rejected requests at the engine in slow start, want at most 11", attemptsInSlowStart)
	}
}
