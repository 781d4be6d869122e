package control

import (
	"testing"
	"time"
)

func TestQueuedRequestIsRejectedBeforeItsDeadline(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode)) // no engine at all
	request := s.request(1, 0)
	request.Resumed = true
	request.Deadline = s.now.Add(300 * ms)
	s.handle(0, request)
	s.ticks(250 * ms)
	if n := len(actionsOf[Reject](s.actions)); n != 1 {
		t.Fatalf("%d final answers before the client left", n)
	}
	if actions := s.ticks(time.Second); len(actionsOf[Reject](actions)) != 0 {
		t.Fatal("answered twice")
	}
}

func TestRequestNearItsDeadlineIsRejectedAtOnce(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode))
	request := s.request(1, 0)
	request.Resumed = true
	request.Deadline = s.now.Add(10 * ms)
	if actions := s.handle(0, request); len(actionsOf[Reject](actions)) != 1 {
		t.Fatalf("got %v", actions)
	}
}

func TestRequestThatMissesItsObjectiveIsRejectedBeforePrefill(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 1)
	for id := RequestID(1); id < 4; id++ {
		s.handle(0, s.request(id, 0))
	}
	for id := RequestID(1); id < 4; id++ {
		s.handle(300*ms, Outcome{ID: id, Endpoint: 1, Result: PrefillDone, Elapsed: 900 * ms})
	}
	actions := s.handle(10*ms, s.request(9, 0))
	if len(actionsOf[Reject](actions)) != 1 || len(actionsOf[Forward](actions)) != 0 {
		t.Fatalf("got %v", actions)
	}
}

func TestLongWaitingRequestIsPromoted(t *testing.T) {
	settings := testSettings(RolePrefill, RoleDecode)
	settings.Engines.Kinds[1].MemoryTokens = 1500 // capacity for one request
	s := startRouter(t, settings, 0, 1)
	turn := func(id RequestID, session uint64) Request {
		request := s.request(id, 0)
		request.SessionID = session
		return request
	}
	s.finishPrefill(s.onlyForward(s.handle(0, turn(1, 7))), 0) // session 7 gets a service time of 60 ms
	s.handle(40*ms, Outcome{ID: 1, Attempt: 1, Endpoint: 2, Result: OK, Elapsed: 40 * ms, Final: true})
	s.finishPrefill(s.onlyForward(s.handle(0, turn(2, 8))), 0)
	s.handle(0, turn(3, 7))
	s.ticks(400 * ms)       // long for a session of 60 ms
	s.handle(0, turn(4, 9)) // a new session, with no service time at all
	actions := s.handle(10*ms, Outcome{ID: 2, Attempt: 1, Endpoint: 2, Result: OK, Elapsed: 400 * ms, Final: true})
	if forward := s.onlyForward(actions); forward.ID != 3 {
		t.Fatalf("request %d goes before the one that waits for long", forward.ID)
	}
}

func TestRequestTooFarBackInQueueIsRejectedAtOnce(t *testing.T) {
	settings := testSettings(RolePrefill, RoleDecode)
	settings.Engines.Kinds[1].MemoryTokens = 1500 // capacity for one request
	s := startRouter(t, settings, 0, 1)
	s.handle(0, s.request(1, 0))
	s.ticks(1100 * ms) // one release a second, as far as is known
	for id := RequestID(2); id < 9; id++ {
		actions := s.handle(0, s.request(id, 0))
		if rejected := len(actionsOf[Reject](actions)) == 1; rejected != (id > 5) {
			t.Fatalf("request %d: %v", id, actions)
		}
	}
}

// TestBurstWithinCapacityIsForwarded: after a quiet time, when few are released a second, many
// requests that come in one instant are no queue as long as there is capacity for them.
func TestBurstWithinCapacityIsForwarded(t *testing.T) {
	s := startRouter(t, testSettings(RoleColocated), 0)
	id := RequestID(0)
	for range 20 {
		id++
		forward := s.onlyForward(s.handle(500*ms, s.request(id, 0), Timer{}))
		s.handle(ms, Outcome{ID: id, Endpoint: forward.Endpoint, Result: OK, Elapsed: ms, Final: true}, Timer{})
	}
	var burst []Event
	for range 100 {
		id++
		burst = append(burst, s.request(id, 0))
	}
	if actions := s.handle(ms, burst...); len(actionsOf[Forward](actions)) != 100 {
		t.Fatalf("%d sent, %d rejected", len(actionsOf[Forward](actions)), len(actionsOf[Reject](actions)))
	}
}

// TestPromptThatMissesItsDeadlineIsRejectedAtOnce: though the objective of so long a prompt lies
// past the deadline.
func TestPromptThatMissesItsDeadlineIsRejectedAtOnce(t *testing.T) {
	settings := testSettings(RolePrefill, RoleDecode)
	settings.Classes[0].TTFTPer1000Tokens = 200 * ms
	for _, tokens := range []Tokens{100_000, 10_000} { // 12 s by what was seen, and 1.3 s
		s := startRouter(t, settings, 0, 1)
		first := s.onlyForward(s.handle(0, s.request(1, 0)))
		s.handle(150*ms, Outcome{ID: 1, Endpoint: first.Endpoint, Result: PrefillDone, Elapsed: 150 * ms})
		request := s.request(2, 0)
		request.PromptTokens = tokens
		if actions := s.handle(0, request); len(actionsOf[Reject](actions)) > 0 != (tokens > 50_000) {
			t.Errorf("%v tokens: %v", tokens, actions)
		}
	}
}
