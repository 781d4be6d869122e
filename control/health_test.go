package control

import (
	"testing"
	"time"
)

func TestUnresponsiveEndpointIsEjectedAndItsPrefillsAreRetried(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RolePrefill, RoleDecode)
	prefill := h.arrive(0, h.request(1, classIdempotent))

	if cancels := actionsOf[CancelAttempt](h.ticks(1300 * ms)); len(cancels) != 1 {
		t.Fatalf("want one cancelled attempt, got %v", cancels)
	}
	if retry := h.onlyForward(h.end(0, prefill, 0, Cancelled)); retry.Endpoint == prefill.Endpoint {
		t.Fatal("the retry goes to the unresponsive engine again")
	}
}

func TestFirstSlowPrefillDoesNotEjectItsEndpoint(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RolePrefill, RoleDecode)
	h.handle(0, h.request(1, classIdempotent))
	if logs := actionsOf[Log](h.ticks(700 * ms)); len(logs) != 0 {
		t.Fatalf("the engine is ejected during its first prefill, after 0.7 s: %v", logs)
	}
}

func TestStreamingEndpointIsNotEjected(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode, RoleDecode)
	decode := h.arriveAndPrefill(0, h.request(1, classIdempotent))
	h.startAnswer(10*ms, decode)
	if logs := actionsOf[Log](h.ticks(5 * time.Second)); len(logs) != 0 {
		t.Fatalf("an engine that streams an answer is ejected: %v", logs)
	}
}

func TestFailingEndpointIsEjected(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RolePrefill, RolePrefill, RoleDecode)
	attemptsAtFailing := 0
	for id := RequestID(1); id <= 60; id++ {
		forward := h.arrive(10*ms, h.request(id, classIdempotent))
		attempt := AttemptNumber(0)
		for ; forward.Endpoint == 1; attempt++ {
			attemptsAtFailing++
			forward = h.onlyForward(h.end(ms, forward, attempt, Failed))
		}
		h.finishPrefill(forward, attempt)
	}
	if attemptsAtFailing == 0 || attemptsAtFailing > 5 {
		t.Fatalf("%d attempts at an engine that fails all of them, want 1 to 5", attemptsAtFailing)
	}
}

func TestUnresponsiveEndpointThatAnswersIsNotInSlowStart(t *testing.T) {
	// Given an engine that was ejected as unresponsive and then answers.
	h := startRouter(t, testSettings(), RolePrefill, RolePrefill, RoleDecode)
	first := h.arrive(0, h.request(1, classIdempotent))
	if logs := actionsOf[Log](h.ticks(1300 * ms)); len(logs) != 1 {
		t.Fatalf("want the engine ejected, got %v", logs)
	}
	h.finishPrefill(first, 0)

	// When it is the only prefill engine left, then it gets every request.
	h.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 3 - first.Endpoint, State: Gone, Weight: 1}}})
	h.finishPrefill(h.arrive(2*time.Second, h.request(2, classIdempotent)), 0)
	h.finishPrefill(h.arrive(10*ms, h.request(3, classIdempotent)), 0)
	h.arrive(10*ms, h.request(4, classIdempotent))
}

// servePrefills serves a number of requests. elapsed returns the duration of each prefill. Endpoint 4
// decodes.
func (h *harness) servePrefills(requests int, elapsed func(Forward) time.Duration) {
	h.t.Helper()
	for range requests {
		prefill := h.arrive(10*ms, h.request(RequestID(h.router.lastSequence+1), classIdempotent))
		h.end(elapsed(prefill), prefill, 0, PrefillDone)
		h.handle(0, Outcome{ID: prefill.ID, Attempt: 1, Endpoint: 4, Result: OK, Elapsed: 10 * ms, Final: true})
	}
}

func TestSlowEndpointIsEjected(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RolePrefill, RolePrefill, RoleDecode)
	slowPrefills := 0
	h.servePrefills(59, func(prefill Forward) time.Duration {
		if prefill.Endpoint != 1 {
			return 20 * ms
		}
		slowPrefills++
		return 300 * ms
	})
	if slowPrefills == 0 || slowPrefills > 12 {
		t.Fatalf("%d of 59 prefills at an engine that is 15 times slower than the others, want 1 to 12", slowPrefills)
	}
}

func TestUnreachableEndpointIsEjectedAtOnceAndComesBack(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RolePrefill, RoleDecode)
	id := RequestID(0)
	serve := func(requests int, unreachable bool) (attemptsAtFirst int) {
		for range requests {
			id++
			forward, attempt := h.arrive(10*ms, h.request(id, classIdempotent)), AttemptNumber(0)
			if forward.Endpoint == 1 {
				attemptsAtFirst++
				if unreachable {
					forward, attempt = h.onlyForward(h.end(0, forward, 0, ConnectFailed)), 1
				}
			}
			decode := h.onlyForward(h.finishPrefill(forward, attempt))
			h.handle(0, Outcome{ID: id, Attempt: attempt + 1, Endpoint: decode.Endpoint, Result: OK, Elapsed: 10 * ms, Final: true})
		}
		return attemptsAtFirst
	}

	if n := serve(30, true); n != 1 {
		t.Fatalf("%d attempts in under a second at an unreachable engine, want 1", n)
	}
	h.ticks(2 * time.Second)
	if n := serve(30, false); n == 0 {
		t.Fatal("no attempts at the engine after it became reachable again")
	}
}

func TestFaultSharedByARoleEjectsAtMostHalf(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RolePrefill, RoleDecode)
	for id := RequestID(1); id < 30; id++ {
		actions := h.handle(10*ms, h.request(id, classIdempotent))
		for attempt := AttemptNumber(0); count[Forward](actions) == 1; attempt++ {
			actions = h.end(ms, h.onlyForward(actions), attempt, Failed)
		}
		if len(h.actions) == 0 || count[Reject](actions) != 1 {
			t.Fatalf("request %d: want a Reject, got %v", id, actions)
		}
	}
	if logs := actionsOf[Log](h.actions); len(logs) != 1 {
		t.Fatalf("want one of two prefill engines ejected, got %v", logs)
	}
}

func TestRejectingEndpointIsPaused(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode, RoleDecode)
	rejected := h.arriveAndPrefill(0, h.request(1, classIdempotent))
	h.onlyForward(h.end(0, rejected, 1, Rejected))
	for id := RequestID(2); id < 6; id++ {
		if decode := h.arriveAndPrefill(10*ms, h.request(id, classIdempotent)); decode.Endpoint == rejected.Endpoint {
			t.Fatal("request forwarded to an engine that has just rejected an attempt")
		}
	}
}

func TestEndpointWithUnansweredHealthCheckIsEjected(t *testing.T) {
	// Given a router whose health checks are limited by the rate of requests.
	settings := testSettings()
	settings.Caller.CanHealthCheck = true
	h := startRouter(t, settings, RolePrefill, RolePrefill, RoleDecode)
	checks := 0
	for id := RequestID(20); id < 26; id++ {
		h.arriveAndPrefill(0, h.request(id, classIdempotent))
		checks += count[HealthCheck](h.ticks(100 * ms))
	}
	if checks != 3 {
		t.Fatalf("%d health checks of 3 engines in 0.7 s, want 3", checks)
	}
	if more := count[HealthCheck](h.ticks(3 * time.Second)); more > 1 {
		t.Fatalf("%d health checks without new requests, want at most 1", more)
	}

	// When a health check times out, then its engine gets no requests.
	h.handle(0, HealthCheckResult{Endpoint: 1, Result: TimedOut})
	for id := RequestID(1); id < 10; id++ {
		forward := h.arrive(10*ms, h.request(id, classIdempotent))
		if forward.Endpoint == 1 {
			t.Fatal("request forwarded to an engine whose health check timed out")
		}
		h.finishPrefill(forward, 0)
	}
}

// TestQueueingBehindOthersEjectsNoEndpoint: two short prefills in a row that waited behind long prefills of
// other routers do not eject their engine. TestSlowEndpointIsEjected checks the opposite case.
func TestQueueingBehindOthersEjectsNoEndpoint(t *testing.T) {
	settings := testSettings()
	settings.Classes[classIdempotent].TTFTObjective = 10 * time.Second // nothing is rejected for its objective
	h := startRouter(t, settings, RolePrefill, RolePrefill, RolePrefill, RoleDecode)
	waits := 0
	for range 119 {
		h.servePrefills(1, func(prefill Forward) time.Duration {
			if prefill.Endpoint != 1 {
				return 20 * ms
			}
			if prefill.ID%20 < 8 && waits < 2 {
				waits++
				return 700 * ms
			}
			waits = 0
			return 20 * ms
		})
		if h.router.endpoints.byID[1].health.ejected() {
			t.Fatalf("request %d: endpoint 1 is ejected after %d slow prefills in a row", h.router.lastSequence, waits)
		}
	}
}

// TestLostReusedConnectionsEjectNoEndpoint: the loss of a reused connection does not eject its engine at
// once. The loss of a new connection does.
func TestLostReusedConnectionsEjectNoEndpoint(t *testing.T) {
	for _, c := range []struct {
		reused      bool
		wantEjected int
	}{{true, 0}, {false, 4}} {
		h := startRouter(t, testSettings(), RolePrefill, RolePrefill, RolePrefill, RolePrefill, RoleDecode)
		actions := h.handle(ms, h.request(1, classIdempotent))
		for attempt := range AttemptNumber(4) {
			endpoint := h.onlyForward(actions).Endpoint
			actions = h.handle(ms, Outcome{ID: 1, Attempt: attempt, Endpoint: endpoint, Result: Reset, ReusedConnection: c.reused})
		}
		ejected := 0
		for _, e := range h.router.endpoints.all {
			if e.health.ejected() {
				ejected++
			}
		}
		if ejected != c.wantEjected {
			t.Errorf("reused connection %v: %d prefill engines ejected, want %d", c.reused, ejected, c.wantEjected)
		}
	}
}

// TestUnresponsivenessIsJudgedByTheShortestObjective: a request with a long objective does not delay the
// cancellation of later requests with shorter objectives at an unresponsive engine.
func TestUnresponsivenessIsJudgedByTheShortestObjective(t *testing.T) {
	// Given an engine with a request with a long objective, followed by one with a short objective.
	settings := testSettings()
	settings.Classes[classNotIdempotent].TTFTObjective = 6 * time.Second
	h := startRouter(t, settings, RolePrefill, RolePrefill, RoleDecode)
	h.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 2, State: Draining, Kind: int(RolePrefill), Weight: 1}}})
	patient := h.request(1, classNotIdempotent)
	patient.Deadline = h.now.Add(20 * time.Second)
	h.arrive(0, patient)
	h.arrive(0, h.request(2, classIdempotent))

	// When another engine is ready and the first makes no progress.
	h.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 2, State: Ready, Kind: int(RolePrefill), Weight: 1}}})
	cancelled := map[RequestID]bool{}
	for _, cancel := range actionsOf[CancelAttempt](h.ticks(1300 * ms)) {
		cancelled[cancel.ID] = true
	}

	// Then the second request is cancelled.
	if !cancelled[2] {
		t.Errorf("request 2 is not cancelled, only %v", cancelled)
	}
}

// TestPrefillOvertakenByLaterOnesIsCancelled: a prefill is cancelled if two later prefills at its engine
// finish first, and the engine is not ejected. With fewer, it is not cancelled. A request that is not
// idempotent is never cancelled at a decode engine.
func TestPrefillOvertakenByLaterOnesIsCancelled(t *testing.T) {
	for later := range 4 {
		h := startRouter(t, testSettings(), RolePrefill, RoleDecode)
		h.arrive(0, h.request(1, classIdempotent))
		for i := range later {
			prefill := h.arrive(ms, h.request(RequestID(10+i), classIdempotent))
			decode := h.onlyForward(h.end(5*ms, prefill, 0, PrefillDone))
			h.handle(0, Outcome{ID: decode.ID, Attempt: 1, Endpoint: decode.Endpoint, Result: OK, Elapsed: 10 * ms, Final: true})
		}
		cancelled := actionsOf[CancelAttempt](h.ticks(600 * ms))
		isCancelled := len(cancelled) == 1 && cancelled[0].ID == 1
		ejected := h.router.endpoints.byID[1].health.ejected()
		if isCancelled != (later >= overtakenLimit) || ejected {
			t.Errorf("overtaken by %d prefills: cancelled %v, engine ejected %v", later, cancelled, ejected)
		}
	}

	h := startRouter(t, testSettings(), RolePrefill, RoleDecode)
	h.arriveAndPrefill(0, h.request(1, classNotIdempotent))
	for id := RequestID(2); id < 6; id++ {
		h.startAnswer(ms, h.arriveAndPrefill(0, h.request(id, classIdempotent)))
	}
	if cancelled := actionsOf[CancelAttempt](h.ticks(600 * ms)); len(cancelled) != 0 {
		t.Errorf("a request that is not idempotent was cancelled at a decode engine: %v", cancelled)
	}
}

func TestHealthChecksAreBoundedByRequests(t *testing.T) {
	settings := testSettings()
	settings.Caller.CanHealthCheck = true
	h := startRouter(t, settings)
	h.handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(50, 50)})

	checks := count[HealthCheck](h.ticks(5 * time.Second))
	for id := RequestID(1); id < 6; id++ {
		h.arriveAndPrefill(0, h.request(id, classIdempotent))
		checks += count[HealthCheck](h.ticks(time.Second))
	}
	if checks < 3 || checks > 5 {
		t.Fatalf("%d health checks for 5 requests, want 3 to 5", checks)
	}
}
