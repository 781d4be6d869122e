package control

import (
	"testing"
)

func TestNotIdempotentRequestThatMayHaveExecutedFails(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode, RoleDecode)
	decode := h.arriveAndPrefill(0, h.request(1, classNotIdempotent))
	actions := h.end(10*ms, decode, 1, Failed)
	if count[Fail](actions) != 1 || count[Forward](actions) != 0 || count[Reject](actions) != 0 {
		t.Fatalf("got %v", actions)
	}
	if count[ReleaseKV](actions) != 1 {
		t.Fatalf("the KV state stays: %v", actions)
	}
}

func TestNotIdempotentRequestThatNeverArrivedIsRetried(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode, RoleDecode)
	decode := h.arriveAndPrefill(0, h.request(1, classNotIdempotent))
	retry := h.onlyForward(h.end(10*ms, decode, 1, ConnectFailed))
	if retry.Endpoint == decode.Endpoint || retry.Endpoint == 1 {
		t.Fatalf("forwarded to %d after %d failed", retry.Endpoint, decode.Endpoint)
	}
}

func TestKVStateOfLatePrefillIsReleased(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode)
	prefill := h.arrive(0, h.request(1, classIdempotent))
	h.handle(10*ms, ClientGone{ID: 1})
	if actions := h.finishPrefill(prefill, 0); count[ReleaseKV](actions) != 1 || count[Forward](actions) != 0 {
		t.Fatalf("got %v", actions)
	}
}

func TestKVStateIsReleasedWhenItsLastAttemptOutlivesTheClient(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode)
	decode := h.arriveAndPrefill(0, h.request(1, classIdempotent))
	h.handle(10*ms, ClientGone{ID: 1})
	actions := h.handle(10*ms, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Rejected, Final: true})
	if count[ReleaseKV](actions) != 1 {
		t.Fatalf("got %v", actions)
	}
}

func TestKVStateIsReleasedWhenNoDecodeEngineTakesIt(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill)
	h.finishPrefill(h.arrive(0, h.request(1, classIdempotent)), 0)
	if actions := h.ticks(450 * ms); count[ReleaseKV](actions) != 1 || count[Reject](actions) != 1 {
		t.Fatalf("got %v", actions)
	}
}

func TestMissingKVStateIsPrefilledAgain(t *testing.T) {
	// Given a decode engine that can't fetch the KV state.
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode)
	decode := h.arriveAndPrefill(0, h.request(1, classIdempotent))
	actions := h.handle(10*ms, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Rejected, KVMissing: true})

	// Then the prompt is computed again, and the state released in case that only this engine can't reach it.
	retry := h.onlyForward(actions)
	if retry.Endpoint != 1 {
		t.Fatalf("forwarded to %d", retry.Endpoint)
	}
	if count[ReleaseKV](actions) != 1 {
		t.Fatalf("a KV state that only this decode engine can't reach stays: %v", actions)
	}

	// And it is released at the end of the request, in case that it was behind a cut link.
	timedOut := Outcome{ID: 1, Attempt: 2, Endpoint: retry.Endpoint, Result: TimedOut, Elapsed: 10 * ms}
	if done := h.handle(10*ms, timedOut, ClientGone{ID: 1}); count[ReleaseKV](done) == 0 {
		t.Fatal("the first state stays if it was behind a cut link")
	}
}

func TestParkedRequestIsRejectedBeforeItsDeadline(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill)
	request := h.request(1, classIdempotent)
	request.Deadline = h.now.Add(300 * ms)
	h.finishPrefill(h.arrive(0, request), 0)
	if actions := h.ticks(250 * ms); count[Reject](actions) != 1 {
		t.Fatalf("got %v", actions)
	}
}

func TestKVStateOfUnknownRequestIsReleased(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode)
	if actions := h.end(0, Forward{ID: 99, Endpoint: 1}, 0, PrefillDone); count[ReleaseKV](actions) != 1 {
		t.Fatalf("got %v", actions)
	}
}

// TestDecodeEngineThatMissedKVStateIsExcluded: the engine may be the only one that can't reach the prefill engine,
// or may say so of every state.
func TestDecodeEngineThatMissedKVStateIsExcluded(t *testing.T) {
	for id := RequestID(1); id <= 10; id++ {
		h := startRouter(t, testSettings(), RolePrefill, RoleDecode, RoleDecode)
		decode := h.arriveAndPrefill(0, h.request(id, classIdempotent))
		missing := Outcome{ID: id, Attempt: 1, Endpoint: decode.Endpoint, Result: Rejected, KVMissing: true}
		prefill := h.onlyForward(h.handle(ms, missing))
		if prefill.Endpoint != 1 {
			t.Fatalf("not prefilled again but forwarded to %d", prefill.Endpoint)
		}
		if retry := h.onlyForward(h.end(ms, prefill, 2, PrefillDone)); retry.Endpoint == decode.Endpoint {
			t.Fatalf("forwarded to decode engine %d again", decode.Endpoint)
		}
	}
}

// TestRequestThatCrashesEnginesFailsAtItsMaxAttempts: a request that crashes each engine it meets takes no more
// of them than its class may, and fails. Its client is not told to come again. One that lost an engine and then
// met a full one is rejected.
func TestRequestThatCrashesEnginesFailsAtItsMaxAttempts(t *testing.T) {
	for _, second := range []Result{Reset, Rejected} {
		settings := testSettings()
		settings.Classes[classIdempotent].MaxAttempts = 2
		h := startRouter(t, settings, RoleColocated, RoleColocated, RoleColocated, RoleColocated, RoleColocated)
		first := h.arrive(0, h.request(1, classIdempotent))
		retry := h.onlyForward(h.end(ms, first, 0, Reset))

		actions := h.end(ms, retry, 1, second)
		if count[Forward](actions) != 0 {
			t.Fatalf("a third engine: %v", actions)
		}
		fails, rejections := count[Fail](actions), count[Reject](actions)
		if (fails == 1) != (second == Reset) || fails+rejections != 1 {
			t.Fatalf("second attempt ended with %v: %d failures, %d rejections", second, fails, rejections)
		}
	}
}

// TestPriorAttemptsAndResetsCount: attempts that a request had in a batch count towards its greatest number. A
// request that loses the rest too fails, since a repeat would crash more engines.
func TestPriorAttemptsAndResetsCount(t *testing.T) {
	settings := testSettings()
	settings.Classes[classIdempotent].MaxAttempts = 2
	for _, c := range []struct {
		attempts, resets int
		result           Result
		fails            bool
	}{{1, 1, Reset, true}, {1, 0, Reset, false}, {1, 1, Rejected, false}} {
		h := startRouter(t, settings, RoleColocated, RoleColocated, RoleColocated, RoleColocated)
		request := h.request(1, classIdempotent)
		request.PriorAttempts, request.PriorResets = c.attempts, c.resets
		actions := h.end(ms, h.arrive(0, request), 0, c.result)
		if count[Forward](actions) > 0 || count[Fail](actions) > 0 != c.fails || count[Reject](actions) > 0 == c.fails {
			t.Errorf("%+v: %v", c, actions)
		}
	}

	settings.Classes[classIdempotent].MaxAttempts = 3
	h := startRouter(t, settings, RoleColocated, RoleColocated, RoleColocated, RoleColocated)
	request := h.request(1, classIdempotent)
	request.PriorAttempts = 1 // that one lost nothing
	second := h.onlyForward(h.end(ms, h.arrive(0, request), 0, Reset))
	if actions := h.end(ms, second, 1, Reset); count[Reject](actions) != 1 {
		t.Errorf("two of three attempts lost: %v", actions)
	}
}

// TestKVStateIsNotRetainedWhileDecodeEnginesAreUnreachable: the retention limit of a KV state runs on while one
// decode engine after another can't be reached, and SendWithin of each attempt is what is left of it.
func TestKVStateIsNotRetainedWhileDecodeEnginesAreUnreachable(t *testing.T) {
	for class := range 3 {
		h := startRouter(t, testSettings(), RolePrefill, RoleDecode, RoleDecode, RoleDecode, RoleDecode)
		actions := h.finishPrefill(h.arrive(0, h.request(1, class)), 0)
		retainedSince := h.now
		for attempt := AttemptNumber(1); count[Forward](actions) > 0; attempt++ {
			forward := actionsOf[Forward](actions)[0]
			if left := retainedSince.Add(400 * ms).Sub(h.now); forward.SendWithin != left || left <= 0 {
				t.Fatalf("class %d, attempt %d: must be sent within %v, and its KV state must be released in %v", class, attempt, forward.SendWithin, left)
			}
			after := min(forward.SendWithin, 200*ms)
			actions = h.handle(after, Outcome{ID: 1, Attempt: attempt, Endpoint: forward.Endpoint, Result: ConnectFailed})
		}
		if count[ReleaseKV](actions) == 0 || count[Reject](actions) != 1 || h.now > retainedSince.Add(400*ms) {
			t.Errorf("class %d, %v after the prefill: %v", class, h.now.Sub(retainedSince), actions)
		}
	}

	// A decode engine that rejected the request was reached: the time begins anew.
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode, RoleDecode)
	decode := h.arriveAndPrefill(0, h.request(1, classIdempotent))
	rejected := Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Rejected}
	if retry := h.onlyForward(h.handle(400*ms, rejected)); retry.SendWithin != 400*ms {
		t.Errorf("after a decode engine's answer: must be sent within %v", retry.SendWithin)
	}
}

// TestRetryIsSentWithinItsDedupWindow: a request with a key that may have been executed is forwarded again only
// as long as its engines drop repeats. The time that a connection takes counts.
func TestRetryIsSentWithinItsDedupWindow(t *testing.T) {
	h := startRouter(t, testSettings(), RoleColocated, RoleColocated)
	first := h.arrive(0, h.request(1, classWithKey))
	if first.SendWithin != 0 {
		t.Errorf("a first attempt must be sent within %v", first.SendWithin)
	}
	if retry := h.onlyForward(h.end(700*ms, first, 0, Reset)); retry.SendWithin != 300*ms {
		t.Errorf("a repeat must be sent within %v of the 300ms left", retry.SendWithin)
	}
}

func TestSecondRejectionIsFinalWhileManyAttemptsAreRejected(t *testing.T) {
	// Given engines that reject every attempt, then the second rejection is final.
	h := startRouter(t, testSettings())
	h.handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(20, 20)})
	actions := h.handle(0, h.request(1, classIdempotent))
	for attempt := range AttemptNumber(2) {
		actions = h.end(ms, h.onlyForward(actions), attempt, Rejected)
	}
	if count[Reject](actions) != 1 {
		t.Fatalf("a third attempt where all engines are full: %v", actions)
	}

	// When hardly any are rejected, then others may have capacity.
	playRequests([]*harness{h}, 30, func(h *harness, id RequestID) Request { return h.request(id, classIdempotent) })
	actions = h.handle(0, h.request(2, classIdempotent))
	for attempt := range AttemptNumber(2) {
		actions = h.end(ms, h.onlyForward(actions), attempt, Rejected)
		if count[Forward](actions) != 1 && attempt == 0 {
			t.Fatalf("rejected after one attempt: %v", actions)
		}
	}
}
