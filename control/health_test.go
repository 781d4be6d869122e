package control

import (
	"testing"
	"time"
)

func TestUnresponsiveEndpointIsEjectedAndItsPrefillsMove(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 0, 1)
	prefill := s.onlyForward(s.handle(0, s.request(1, 0)))
	if cancels := actionsOf[CancelAttempt](s.ticks(1300 * ms)); len(cancels) != 1 {
		t.Fatalf("cancels: %v", cancels)
	}
	again := s.onlyForward(s.handle(0, Outcome{ID: 1, Attempt: 0, Endpoint: prefill.Endpoint, Result: Cancelled}))
	if again.Endpoint == prefill.Endpoint {
		t.Fatal("sent to the unresponsive engine again")
	}
}

func TestFirstSlowPrefillIsNotUnresponsive(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 0, 1)
	s.handle(0, s.request(1, 0))
	if logs := actionsOf[Log](s.ticks(700 * ms)); len(logs) != 0 {
		t.Fatalf("a first prefill of 0.7 s is taken for unresponsiveness: %v", logs)
	}
}

func TestStreamingEndpointIsNotUnresponsive(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 1, 1)
	decode := s.onlyForward(s.finishPrefill(s.onlyForward(s.handle(0, s.request(1, 0))), 0))
	s.handle(10*ms, AnswerStarted{ID: 1, Endpoint: decode.Endpoint, Attempt: 1, Elapsed: 10 * ms})
	if logs := actionsOf[Log](s.ticks(5 * time.Second)); len(logs) != 0 {
		t.Fatalf("got %v", logs)
	}
}

func TestFailingEndpointIsEjected(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 0, 0, 1)
	bad := map[EndpointID]int{}
	for id := range RequestID(60) {
		actions := s.handle(10*ms, s.request(id+1, 0))
		for attempt := AttemptNumber(0); ; attempt++ {
			forward := s.onlyForward(actions)
			if forward.Endpoint != 1 {
				s.finishPrefill(forward, attempt)
				break
			}
			bad[1]++
			actions = s.handle(ms, Outcome{ID: id + 1, Attempt: attempt, Endpoint: 1, Result: Failed})
		}
	}
	if bad[1] == 0 || bad[1] > 5 {
		t.Fatalf("%d attempts to an engine that fails them all", bad[1])
	}
}

func TestUnresponsiveEndpointThatAnswersIsNotInSlowStart(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 0, 1)
	first := s.onlyForward(s.handle(0, s.request(1, 0)))
	if logs := actionsOf[Log](s.ticks(1300 * ms)); len(logs) != 1 {
		t.Fatalf("not ejected: %v", logs)
	}
	s.finishPrefill(first, 0)
	s.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 3 - first.Endpoint, State: Gone, Weight: 1}}})
	s.finishPrefill(s.onlyForward(s.handle(2*time.Second, s.request(2, 0))), 0)
	s.finishPrefill(s.onlyForward(s.handle(10*ms, s.request(3, 0))), 0)
	s.onlyForward(s.handle(10*ms, s.request(4, 0)))
}

func TestSlowEndpointIsEjected(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 0, 0, 1)
	forwards := 0
	for id := RequestID(1); id < 60; id++ {
		forward := s.onlyForward(s.handle(10*ms, s.request(id, 0)))
		took := 20 * ms
		if forward.Endpoint == 1 {
			forwards++
			took = 300 * ms
		}
		s.handle(took, Outcome{ID: id, Endpoint: forward.Endpoint, Result: PrefillDone, Elapsed: took})
		s.handle(0, Outcome{ID: id, Attempt: 1, Endpoint: 4, Result: OK, Elapsed: 10 * ms, Final: true})
	}
	if forwards == 0 || forwards > 12 {
		t.Fatalf("%d of 59 prefills at a prefill engine 15 times slower", forwards)
	}
}

func TestUnreachableEndpointGetsOneProbationAttemptAndComesBack(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 0, 1)
	id := RequestID(0)
	round := func(n int, lost bool) (forwards int) {
		for range n {
			id++
			forward := s.onlyForward(s.handle(10*ms, s.request(id, 0)))
			attempt := AttemptNumber(0)
			if forward.Endpoint == 1 {
				forwards++
				if lost {
					forward = s.onlyForward(s.handle(0, Outcome{ID: id, Endpoint: 1, Result: ConnectFailed}))
					attempt = 1
				}
			}
			s.finishPrefill(forward, attempt)
			s.handle(0, Outcome{ID: id, Attempt: attempt + 1, Endpoint: 3, Result: OK, Elapsed: 10 * ms, Final: true})
		}
		return forwards
	}
	if n := round(30, true); n != 1 {
		t.Fatalf("%d attempts in under a second to an engine that can't be reached", n)
	}
	s.ticks(2 * time.Second)
	if n := round(30, false); n == 0 {
		t.Fatal("no attempts to an engine that is back")
	}
}

func TestFaultSharedByARoleEjectsAtMostHalf(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 0, 1)
	for id := RequestID(1); id < 30; id++ {
		actions := s.handle(10*ms, s.request(id, 0))
		for attempt := AttemptNumber(0); len(actionsOf[Forward](actions)) == 1; attempt++ {
			actions = s.handle(ms, Outcome{ID: id, Attempt: attempt, Endpoint: s.onlyForward(actions).Endpoint, Result: Failed})
		}
		if len(s.actions) == 0 || len(actionsOf[Reject](actions)) != 1 {
			t.Fatalf("request %d: %v", id, actions)
		}
	}
	if logs := actionsOf[Log](s.actions); len(logs) != 1 {
		t.Fatalf("more than half of the prefill engines ejected: %v", logs)
	}
}

func TestRejectingEndpointIsPaused(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 1, 1)
	decode := s.onlyForward(s.finishPrefill(s.onlyForward(s.handle(0, s.request(1, 0))), 0))
	s.onlyForward(s.handle(0, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Rejected}))
	for id := RequestID(2); id < 6; id++ {
		if again := s.onlyForward(s.finishPrefill(s.onlyForward(s.handle(10*ms, s.request(id, 0))), 0)); again.Endpoint == decode.Endpoint {
			t.Fatal("sent to an engine that has just rejected us")
		}
	}
}

func TestEndpointWithUnansweredHealthCheckIsEjected(t *testing.T) {
	settings := testSettings(RolePrefill, RoleDecode)
	settings.Caller.CanHealthCheck = true
	s := startRouter(t, settings, 0, 0, 1)
	checks := 0
	for id := RequestID(20); id < 26; id++ {
		s.finishPrefill(s.onlyForward(s.handle(0, s.request(id, 0))), 0)
		checks += len(actionsOf[HealthCheck](s.ticks(100 * ms)))
	}
	if checks != 3 {
		t.Fatalf("%d health checks in 0.7 s of 3 engines", checks)
	}
	if more := actionsOf[HealthCheck](s.ticks(3 * time.Second)); len(more) > 1 {
		t.Fatalf("%d health checks without a request", len(more))
	}
	s.handle(0, HealthCheckResult{Endpoint: 1, Result: TimedOut})
	for id := RequestID(1); id < 10; id++ {
		forward := s.onlyForward(s.handle(10*ms, s.request(id, 0)))
		if forward.Endpoint == 1 {
			t.Fatal("sent to an engine whose health check went unanswered")
		}
		s.finishPrefill(forward, 0)
	}
}

// TestQueueingBehindOthersIsNotSlowness: two short prefills in a row that waited behind long ones of other
// routers don't make their prefill engine slow; TestSlowEndpointIsEjected holds the other side.
func TestQueueingBehindOthersIsNotSlowness(t *testing.T) {
	settings := testSettings(RolePrefill, RoleDecode)
	settings.Classes[0].TTFTObjective = 10 * time.Second // nothing is rejected for its objective
	s := startRouter(t, settings, 0, 0, 0, 1)
	waits := 0
	for id := RequestID(1); id < 120; id++ {
		forward := s.onlyForward(s.handle(10*ms, s.request(id, 0)))
		took := 20 * ms
		if forward.Endpoint == 1 && id%20 < 8 && waits < 2 {
			waits++
			took = 700 * ms
		} else if forward.Endpoint == 1 {
			waits = 0
		}
		s.handle(took, Outcome{ID: id, Endpoint: forward.Endpoint, Result: PrefillDone, Elapsed: took})
		s.handle(0, Outcome{ID: id, Attempt: 1, Endpoint: 4, Result: OK, Elapsed: 10 * ms, Final: true})
		if s.router.endpoints.byID[1].health.ejected() {
			t.Fatalf("request %d: ejected after %d waits", id, waits)
		}
	}
}

// TestLostReusedConnectionsEjectNoEndpoint: requests lost with connections that were idle before
// don't eject a role; each that is lost with a new connection ejects its engine.
func TestLostReusedConnectionsEjectNoEndpoint(t *testing.T) {
	for _, reused := range []bool{true, false} {
		s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 0, 0, 0, 1)
		ejected := 0
		actions := s.handle(ms, s.request(1, 0))
		for attempt := range AttemptNumber(4) {
			forward := s.onlyForward(actions)
			actions = s.handle(ms, Outcome{ID: 1, Attempt: attempt, Endpoint: forward.Endpoint, Result: Reset, ReusedConnection: reused})
		}
		for _, v := range s.router.endpoints.all {
			if v.health.ejected() {
				ejected++
			}
		}
		if want := map[bool]int{true: 0, false: 4}[reused]; ejected != want {
			t.Errorf("reused %v: %d prefill engines ejected, want %d", reused, ejected, want)
		}
	}
}

// TestUnresponsivenessIsJudgedByTheShortestObjective: a request with a long objective that was sent first does
// not make those behind it wait as long: at an unresponsive engine these are cancelled by their own objective.
func TestUnresponsivenessIsJudgedByTheShortestObjective(t *testing.T) {
	settings := testSettings(RolePrefill, RoleDecode)
	settings.Classes[1].TTFTObjective = 6 * time.Second
	s := startRouter(t, settings, 0, 0, 1)
	s.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 2, State: Draining, Kind: 0, Weight: 1}}})
	slow := s.request(1, 1)
	slow.Deadline = s.now.Add(20 * time.Second)
	s.onlyForward(s.handle(0, slow))
	s.onlyForward(s.handle(0, s.request(2, 0)))
	s.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 2, State: Ready, Kind: 0, Weight: 1}}})
	cancelled := map[RequestID]bool{}
	for _, c := range actionsOf[CancelAttempt](s.ticks(1300 * ms)) {
		cancelled[c.ID] = true
	}
	if !cancelled[2] {
		t.Errorf("cancelled: %v", cancelled)
	}
}

// TestOvertakenAttemptIsCancelled: a prefill that two later ones at its engine have overtaken is cancelled
// though the engine lives, and the engine is not ejected for it; one that nobody overtook waits on, and so does
// a request that is not idempotent at a decode engine.
func TestOvertakenAttemptIsCancelled(t *testing.T) {
	for later := range 4 {
		s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 1)
		s.onlyForward(s.handle(0, s.request(1, 0)))
		for i := range later {
			id := RequestID(10 + i)
			s.onlyForward(s.handle(ms, s.request(id, 0)))
			s.handle(5*ms, Outcome{ID: id, Endpoint: 1, Result: PrefillDone, Elapsed: 5 * ms})
			s.handle(0, Outcome{ID: id, Attempt: 1, Endpoint: 2, Result: OK, Elapsed: 10 * ms, Final: true})
		}
		cancelled := actionsOf[CancelAttempt](s.ticks(600 * ms))
		if want := later >= overtakenLimit; want != (len(cancelled) == 1 && cancelled[0].ID == 1) || s.router.endpoints.byID[1].health.ejected() {
			t.Errorf("%d later ones: %v, ejected %v", later, cancelled, s.router.endpoints.byID[1].health.ejected())
		}
	}
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 1)
	for id := RequestID(1); id < 6; id++ {
		class := 0
		if id == 1 {
			class = 1
		}
		s.finishPrefill(s.onlyForward(s.handle(0, s.request(id, class))), 0)
		if id > 1 {
			s.handle(ms, AnswerStarted{ID: id, Endpoint: 2, Attempt: 1, Elapsed: ms})
		}
	}
	if cancelled := actionsOf[CancelAttempt](s.ticks(600 * ms)); len(cancelled) != 0 {
		t.Errorf("a request that is not idempotent at a decode engine: %v", cancelled)
	}
}

func TestHealthChecksAreBoundedByRequests(t *testing.T) {
	settings := testSettings(RolePrefill, RoleDecode)
	settings.Caller.CanHealthCheck = true
	s := startRouter(t, settings)
	s.handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(50, 50)})
	checks := len(actionsOf[HealthCheck](s.ticks(5 * time.Second)))
	for id := RequestID(1); id < 6; id++ {
		s.finishPrefill(s.onlyForward(s.handle(0, s.request(id, 0))), 0)
		checks += len(actionsOf[HealthCheck](s.ticks(time.Second)))
	}
	if checks < 3 || checks > 5 {
		t.Fatalf("%d health checks for 5 requests", checks)
	}
}
