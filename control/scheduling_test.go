package control

import (
	"testing"
	"time"
)

func TestQueuedRequestIsRejectedBeforeItsDeadline(t *testing.T) {
	h := startRouter(t, testSettings()) // no engine at all
	request := h.request(1, classIdempotent)
	request.Resumed = true
	request.Deadline = h.now.Add(300 * ms)
	h.handle(0, request)

	h.ticks(250 * ms)
	if n := count[Reject](h.actions); n != 1 {
		t.Fatalf("%d final answers before the client left", n)
	}
	if actions := h.ticks(time.Second); count[Reject](actions) != 0 {
		t.Fatal("answered twice")
	}
}

func TestRequestNearItsDeadlineIsRejectedAtOnce(t *testing.T) {
	h := startRouter(t, testSettings())
	request := h.request(1, classIdempotent)
	request.Resumed = true
	request.Deadline = h.now.Add(10 * ms)
	if actions := h.handle(0, request); count[Reject](actions) != 1 {
		t.Fatalf("got %v", actions)
	}
}

func TestRequestThatMissesItsObjectiveIsRejectedBeforePrefill(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode)
	for id := RequestID(1); id < 4; id++ {
		h.handle(0, h.request(id, classIdempotent))
	}
	for id := RequestID(1); id < 4; id++ {
		h.handle(300*ms, Outcome{ID: id, Endpoint: 1, Result: PrefillDone, Elapsed: 900 * ms})
	}
	actions := h.handle(10*ms, h.request(9, classIdempotent))
	if count[Reject](actions) != 1 || count[Forward](actions) != 0 {
		t.Fatalf("got %v", actions)
	}
}

func TestLongWaitingRequestIsPromoted(t *testing.T) {
	settings := testSettings()
	settings.Engines.Kinds[RoleDecode].MemoryTokens = 1500 // capacity for one request
	h := startRouter(t, settings, RolePrefill, RoleDecode)
	requestOf := func(id RequestID, session uint64) Request {
		request := h.request(id, classIdempotent)
		request.SessionID = session
		return request
	}

	// Given session 7 with a service time of 60 ms, whose next request waits for long behind session 8.
	h.answer(40*ms, h.arriveAndPrefill(0, requestOf(1, 7)), 1)
	occupying := h.arriveAndPrefill(0, requestOf(2, 8))
	h.handle(0, requestOf(3, 7))
	h.ticks(400 * ms)

	// When capacity is free after the arrival of session 9, which has no service time at all.
	h.handle(0, requestOf(4, 9))
	actions := h.handle(10*ms, Outcome{ID: 2, Attempt: 1, Endpoint: occupying.Endpoint, Result: OK, Elapsed: 400 * ms, Final: true})

	// Then the request that waited long goes first.
	if forward := h.onlyForward(actions); forward.ID != 3 {
		t.Fatalf("request %d goes before the one that waits for long", forward.ID)
	}
}

func TestRequestTooFarBackInQueueIsRejectedAtOnce(t *testing.T) {
	settings := testSettings()
	settings.Engines.Kinds[RoleDecode].MemoryTokens = 1500 // capacity for one request
	h := startRouter(t, settings, RolePrefill, RoleDecode)
	h.handle(0, h.request(1, classIdempotent))
	h.ticks(1100 * ms) // one release a second, as far as is known
	for id := RequestID(2); id < 9; id++ {
		actions := h.handle(0, h.request(id, classIdempotent))
		if rejected := count[Reject](actions) == 1; rejected != (id > 5) {
			t.Fatalf("request %d: %v", id, actions)
		}
	}
}

// TestBurstWithinCapacityIsForwarded: after a quiet time, when few are released a second, many requests that
// arrive in one instant do not queue as long as there is capacity for them.
func TestBurstWithinCapacityIsForwarded(t *testing.T) {
	h := startRouter(t, testSettings(), RoleColocated)
	id := RequestID(0)
	for range 20 {
		id++
		forward := h.onlyForward(h.handle(500*ms, h.request(id, classIdempotent), Timer{}))
		h.handle(ms, Outcome{ID: id, Endpoint: forward.Endpoint, Result: OK, Elapsed: ms, Final: true}, Timer{})
	}

	var burst []Event
	for range 100 {
		id++
		burst = append(burst, h.request(id, classIdempotent))
	}
	if actions := h.handle(ms, burst...); count[Forward](actions) != 100 {
		t.Fatalf("%d forwarded, %d rejected", count[Forward](actions), count[Reject](actions))
	}
}

// TestPromptThatMissesItsDeadlineIsRejectedAtOnce: this holds though the objective of so long a prompt lies past
// the deadline.
func TestPromptThatMissesItsDeadlineIsRejectedAtOnce(t *testing.T) {
	settings := testSettings()
	settings.Classes[classIdempotent].TTFTPer1000Tokens = 200 * ms
	for _, c := range []struct {
		prompt   Tokens
		rejected bool
	}{{100_000, true}, {10_000, false}} { // 12 s and 1.3 s, at the speed of the first
		h := startRouter(t, settings, RolePrefill, RoleDecode)
		h.end(150*ms, h.arrive(0, h.request(1, classIdempotent)), 0, PrefillDone)
		request := h.request(2, classIdempotent)
		request.PromptTokens = c.prompt
		if actions := h.handle(0, request); count[Reject](actions) > 0 != c.rejected {
			t.Errorf("%v tokens: %v", c.prompt, actions)
		}
	}
}
