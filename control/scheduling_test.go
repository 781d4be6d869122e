package control

import (
	"testing"
	"time"
)

func TestQueuedRequestIsRejectedBeforeItsDeadline(t *testing.T) {
	h := startRouter(t, testSettings()) // no endpoints
	request := h.request(1, classIdempotent)
	request.Resumed = true
	request.Deadline = h.now.Add(300 * ms)
	h.handle(0, request)

	h.ticks(250 * ms)
	if n := count[Reject](h.actions); n != 1 {
		t.Fatalf("%d Reject before the deadline, want 1", n)
	}
	if actions := h.ticks(time.Second); count[Reject](actions) != 0 {
		t.Fatalf("rejected a second time: %v", actions)
	}
}

func TestRequestNearItsDeadlineIsRejectedAtOnce(t *testing.T) {
	h := startRouter(t, testSettings())
	request := h.request(1, classIdempotent)
	request.Resumed = true
	request.Deadline = h.now.Add(10 * ms)
	if actions := h.handle(0, request); count[Reject](actions) != 1 {
		t.Fatalf("want one Reject, got %v", actions)
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
		t.Fatalf("want one Reject and no Forward, got %v", actions)
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

	// Given session 7 with a service time of 60 ms, whose next request waits 400 ms for a request of session 8.
	h.answer(40*ms, h.arriveAndPrefill(0, requestOf(1, 7)), 1)
	occupying := h.arriveAndPrefill(0, requestOf(2, 8))
	h.handle(0, requestOf(3, 7))
	h.ticks(400 * ms)

	// When a request of session 9, which has no service time, arrives and then capacity becomes free.
	h.handle(0, requestOf(4, 9))
	actions := h.handle(10*ms, Outcome{ID: 2, Attempt: 1, Endpoint: occupying.Endpoint, Result: OK, Elapsed: 400 * ms, Final: true})

	// Then the request that has waited long is forwarded first.
	if forward := h.onlyForward(actions); forward.ID != 3 {
		t.Fatalf("request %d is forwarded first, want 3, which has waited long", forward.ID)
	}
}

func TestRequestTooFarBackInQueueIsRejectedAtOnce(t *testing.T) {
	settings := testSettings()
	settings.Engines.Kinds[RoleDecode].MemoryTokens = 1500 // capacity for one request
	h := startRouter(t, settings, RolePrefill, RoleDecode)
	h.handle(0, h.request(1, classIdempotent))
	h.ticks(1100 * ms) // the router then expects one dispatch per second
	for id := RequestID(2); id < 9; id++ {
		actions := h.handle(0, h.request(id, classIdempotent))
		if rejected := count[Reject](actions) == 1; rejected != (id > 5) {
			t.Fatalf("request %d: rejected %v, want %v: %v", id, rejected, id > 5, actions)
		}
	}
}

// TestBurstWithinCapacityIsForwarded: a low dispatch rate during a quiet time does not cause the rejection of
// a burst of requests for which there is capacity.
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
		t.Fatalf("%d of 100 requests forwarded, %d rejected", count[Forward](actions), count[Reject](actions))
	}
}

// TestPromptThatMissesItsDeadlineIsRejectedAtOnce: a prompt that is too long to be prefilled before the
// deadline is rejected, even if its objective lies after the deadline.
func TestPromptThatMissesItsDeadlineIsRejectedAtOnce(t *testing.T) {
	settings := testSettings()
	settings.Classes[classIdempotent].TTFTPer1000Tokens = 200 * ms
	for _, c := range []struct {
		prompt   Tokens
		rejected bool
	}{{100_000, true}, {10_000, false}} { // estimated at 12.6 s and 1.3 s from the prefill of the first request
		h := startRouter(t, settings, RolePrefill, RoleDecode)
		h.end(150*ms, h.arrive(0, h.request(1, classIdempotent)), 0, PrefillDone)
		request := h.request(2, classIdempotent)
		request.PromptTokens = c.prompt
		if actions := h.handle(0, request); count[Reject](actions) > 0 != c.rejected {
			t.Errorf("prompt of %v tokens: want rejected %v, got %v", c.prompt, c.rejected, actions)
		}
	}
}
