package control

import (
	"testing"
)

func TestNotIdempotentRequestThatMayHaveExecutedFails(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode, RoleDecode)
	decode := h.arriveAndPrefill(0, h.request(1, classNotIdempotent))
	actions := h.end(10*ms, decode, 1, Failed)
	if count[Fail](actions) != 1 || count[Forward](actions) != 0 || count[Reject](actions) != 0 {
		t.Fatalf("want only a Fail as final answer, got %v", actions)
	}
	if count[ReleaseKV](actions) != 1 {
		t.Fatalf("want one ReleaseKV, got %v", actions)
	}
}

// TestDroppedResponseCountsAsExecuted guards against a response that the caller has no memory for and that counts as not
// sent: the request is executed again. Its engine is not at fault and stays in use.
func TestDroppedResponseCountsAsExecuted(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode, RoleDecode)
	for id := RequestID(1); id <= 40; id++ {
		decode := h.arriveAndPrefill(ms, h.request(id, classNotIdempotent))
		actions := h.end(ms, decode, 1, ResponseDropped)
		if count[Fail](actions) != 1 || count[Forward](actions) != 0 || count[Reject](actions) != 0 {
			t.Fatalf("request %d: want only a Fail as final answer, got %v", id, actions)
		}
		if count[Log](actions) != 0 {
			t.Fatalf("request %d: an engine is ejected: %v", id, actions)
		}
	}
}

// TestIdempotentRequestIsRetriedAfterDroppedResponse: another engine's response may be smaller, or come when there is
// memory again.
func TestIdempotentRequestIsRetriedAfterDroppedResponse(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RolePrefill, RoleDecode)
	prefill := h.arrive(0, h.request(1, classIdempotent))
	if retry := h.onlyForward(h.end(ms, prefill, 0, ResponseDropped)); retry.Endpoint == prefill.Endpoint {
		t.Fatalf("forwarded to endpoint %d again, want the other prefill engine", retry.Endpoint)
	}
}

func TestNotIdempotentRequestThatNeverArrivedIsRetried(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode, RoleDecode)
	decode := h.arriveAndPrefill(0, h.request(1, classNotIdempotent))
	retry := h.onlyForward(h.end(10*ms, decode, 1, ConnectFailed))
	if retry.Endpoint == decode.Endpoint || retry.Endpoint == 1 {
		t.Fatalf("forwarded to endpoint %d after %d failed, want the other decode engine", retry.Endpoint, decode.Endpoint)
	}
}

func TestKVStateOfLatePrefillIsReleased(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode)
	prefill := h.arrive(0, h.request(1, classIdempotent))
	h.handle(10*ms, ClientGone{ID: 1})
	if actions := h.finishPrefill(prefill, 0); count[ReleaseKV](actions) != 1 || count[Forward](actions) != 0 {
		t.Fatalf("want one ReleaseKV and no Forward after the client left, got %v", actions)
	}
}

func TestKVStateIsReleasedWhenItsLastAttemptOutlivesTheClient(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode)
	decode := h.arriveAndPrefill(0, h.request(1, classIdempotent))
	h.handle(10*ms, ClientGone{ID: 1})
	actions := h.handle(10*ms, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Rejected, Final: true})
	if count[ReleaseKV](actions) != 1 {
		t.Fatalf("want one ReleaseKV, got %v", actions)
	}
}

func TestKVStateIsReleasedWhenNoDecodeEngineTakesIt(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill)
	h.finishPrefill(h.arrive(0, h.request(1, classIdempotent)), 0)
	if actions := h.ticks(450 * ms); count[ReleaseKV](actions) != 1 || count[Reject](actions) != 1 {
		t.Fatalf("want one ReleaseKV and one Reject, got %v", actions)
	}
}

func TestMissingKVStateIsPrefilledAgain(t *testing.T) {
	// Given a decode engine that can't fetch the KV state.
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode)
	decode := h.arriveAndPrefill(0, h.request(1, classIdempotent))
	actions := h.handle(10*ms, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Rejected, KVMissing: true})

	// Then the prompt is computed again, and the KV state is released, since it may only be unreachable for this
	// engine.
	retry := h.onlyForward(actions)
	if retry.Endpoint != 1 {
		t.Fatalf("forwarded to endpoint %d, want the prefill engine, 1", retry.Endpoint)
	}
	if count[ReleaseKV](actions) != 1 {
		t.Fatalf("want one ReleaseKV, got %v", actions)
	}

	// And it is released again at the end of the request, since the first release may not have arrived.
	timedOut := Outcome{ID: 1, Attempt: 2, Endpoint: retry.Endpoint, Result: TimedOut, Elapsed: 10 * ms}
	if done := h.handle(10*ms, timedOut, ClientGone{ID: 1}); count[ReleaseKV](done) == 0 {
		t.Fatalf("no ReleaseKV at the end of the request: %v", done)
	}
}

func TestParkedRequestIsRejectedBeforeItsDeadline(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill)
	request := h.request(1, classIdempotent)
	request.Deadline = h.now.Add(300 * ms)
	h.finishPrefill(h.arrive(0, request), 0)
	if actions := h.ticks(250 * ms); count[Reject](actions) != 1 {
		t.Fatalf("want one Reject before the deadline, got %v", actions)
	}
}

func TestKVStateOfUnknownRequestIsReleased(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode)
	if actions := h.end(0, Forward{ID: 99, Endpoint: 1}, 0, PrefillDone); count[ReleaseKV](actions) != 1 {
		t.Fatalf("want one ReleaseKV, got %v", actions)
	}
}

// TestDecodeEngineThatCouldNotFetchKVStateIsExcluded: a decode engine that could not fetch a KV state may be
// unable to fetch the next one too, so the request goes to another.
func TestDecodeEngineThatCouldNotFetchKVStateIsExcluded(t *testing.T) {
	for id := RequestID(1); id <= 10; id++ {
		h := startRouter(t, testSettings(), RolePrefill, RoleDecode, RoleDecode)
		decode := h.arriveAndPrefill(0, h.request(id, classIdempotent))
		missing := Outcome{ID: id, Attempt: 1, Endpoint: decode.Endpoint, Result: Rejected, KVMissing: true}
		prefill := h.onlyForward(h.handle(ms, missing))
		if prefill.Endpoint != 1 {
			t.Fatalf("forwarded to endpoint %d, want the prefill engine, 1", prefill.Endpoint)
		}
		if retry := h.onlyForward(h.end(ms, prefill, 2, PrefillDone)); retry.Endpoint == decode.Endpoint {
			t.Fatalf("forwarded to decode engine %d again, want the other", decode.Endpoint)
		}
	}
}

// TestRequestThatCrashesEnginesFailsAtItsMaxAttempts: a request that loses its connection at every attempt
// gets no more attempts than its class allows, and ends with Fail, so that its client does not repeat it. If
// one of the attempts was rejected instead, the request ends with Reject.
func TestRequestThatCrashesEnginesFailsAtItsMaxAttempts(t *testing.T) {
	for _, second := range []Result{Reset, Rejected} {
		settings := testSettings()
		settings.Classes[classIdempotent].MaxAttempts = 2
		h := startRouter(t, settings, RoleColocated, RoleColocated, RoleColocated, RoleColocated, RoleColocated)
		first := h.arrive(0, h.request(1, classIdempotent))
		retry := h.onlyForward(h.end(ms, first, 0, Reset))

		actions := h.end(ms, retry, 1, second)
		if count[Forward](actions) != 0 {
			t.Fatalf("forwarded a third time: %v", actions)
		}
		fails, rejections := count[Fail](actions), count[Reject](actions)
		if (fails == 1) != (second == Reset) || fails+rejections != 1 {
			t.Fatalf("second attempt ended with %v: %d Fail, %d Reject", second, fails, rejections)
		}
	}
}

// TestPriorAttemptsAndLostConnectionsAreCounted: the attempts of a request as part of a batch count towards its
// maximum. If all of its attempts lost their connection, it ends with Fail, since a repeat could crash more
// engines.
func TestPriorAttemptsAndLostConnectionsAreCounted(t *testing.T) {
	settings := testSettings()
	settings.Classes[classIdempotent].MaxAttempts = 2
	for _, c := range []struct {
		attempts, lostConnections int
		result                    Result
		fails                     bool
	}{{1, 1, Reset, true}, {1, 0, Reset, false}, {1, 1, Rejected, false}} {
		h := startRouter(t, settings, RoleColocated, RoleColocated, RoleColocated, RoleColocated)
		request := h.request(1, classIdempotent)
		request.PriorAttempts, request.PriorLostConnections = c.attempts, c.lostConnections
		actions := h.end(ms, h.arrive(0, request), 0, c.result)
		if count[Forward](actions) > 0 || count[Fail](actions) > 0 != c.fails || count[Reject](actions) > 0 == c.fails {
			t.Errorf("%+v: want no Forward and one Fail or Reject, got %v", c, actions)
		}
	}

	settings.Classes[classIdempotent].MaxAttempts = 3
	h := startRouter(t, settings, RoleColocated, RoleColocated, RoleColocated, RoleColocated)
	request := h.request(1, classIdempotent)
	request.PriorAttempts = 1 // this attempt did not lose its connection
	second := h.onlyForward(h.end(ms, h.arrive(0, request), 0, Reset))
	if actions := h.end(ms, second, 1, Reset); count[Reject](actions) != 1 {
		t.Errorf("two of three attempts lost their connection: want one Reject, got %v", actions)
	}
}

// TestKVStateIsNotRetainedWhileDecodeEnginesAreUnreachable: unreachable decode engines do not extend the
// retention of a KV state. SendWithin of each attempt is the time left until the release deadline.
func TestKVStateIsNotRetainedWhileDecodeEnginesAreUnreachable(t *testing.T) {
	for class := range 3 {
		h := startRouter(t, testSettings(), RolePrefill, RoleDecode, RoleDecode, RoleDecode, RoleDecode)
		actions := h.finishPrefill(h.arrive(0, h.request(1, class)), 0)
		retainedSince := h.now
		for attempt := AttemptNumber(1); count[Forward](actions) > 0; attempt++ {
			forward := actionsOf[Forward](actions)[0]
			if left := retainedSince.Add(400 * ms).Sub(h.now); forward.SendWithin != left || left <= 0 {
				t.Fatalf("class %d, attempt %d: SendWithin %v, want the %v left until the release deadline", class, attempt, forward.SendWithin, left)
			}
			after := min(forward.SendWithin, 200*ms)
			actions = h.handle(after, Outcome{ID: 1, Attempt: attempt, Endpoint: forward.Endpoint, Result: ConnectFailed})
		}
		if count[ReleaseKV](actions) == 0 || count[Reject](actions) != 1 || h.now > retainedSince.Add(400*ms) {
			t.Errorf("class %d: want ReleaseKV and one Reject within 400ms of the prefill, got %v after %v", class, actions, h.now.Sub(retainedSince))
		}
	}

	// A rejection proves that the attempt reached its engine, so the retention time starts again.
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode, RoleDecode)
	decode := h.arriveAndPrefill(0, h.request(1, classIdempotent))
	rejected := Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Rejected}
	if retry := h.onlyForward(h.handle(400*ms, rejected)); retry.SendWithin != 400*ms {
		t.Errorf("SendWithin %v after a rejection, want 400ms", retry.SendWithin)
	}
}

// TestRetryIsSentWithinItsDedupWindow: a request with a key that may have been executed is repeated only
// within its deduplication window. SendWithin also limits the time to connect and to send.
func TestRetryIsSentWithinItsDedupWindow(t *testing.T) {
	h := startRouter(t, testSettings(), RoleColocated, RoleColocated)
	first := h.arrive(0, h.request(1, classWithKey))
	if first.SendWithin != 0 {
		t.Errorf("SendWithin of the first attempt is %v, want 0", first.SendWithin)
	}
	if retry := h.onlyForward(h.end(700*ms, first, 0, Reset)); retry.SendWithin != 300*ms {
		t.Errorf("SendWithin of the repeat is %v, want the 300ms left in the window", retry.SendWithin)
	}
}

func TestSecondRejectionIsFinalWhileManyAttemptsAreRejected(t *testing.T) {
	// When engines reject every attempt, then a second rejection is final.
	h := startRouter(t, testSettings())
	h.handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(20, 20)})
	actions := h.handle(0, h.request(1, classIdempotent))
	for attempt := range AttemptNumber(2) {
		actions = h.end(ms, h.onlyForward(actions), attempt, Rejected)
	}
	if count[Reject](actions) != 1 {
		t.Fatalf("want a Reject after two rejected attempts, got %v", actions)
	}

	// When few attempts are rejected, then a rejected request is retried, since other engines may have capacity.
	playRequests([]*harness{h}, 30, func(h *harness, id RequestID) Request { return h.request(id, classIdempotent) })
	actions = h.handle(0, h.request(2, classIdempotent))
	for attempt := range AttemptNumber(2) {
		actions = h.end(ms, h.onlyForward(actions), attempt, Rejected)
		if count[Forward](actions) != 1 && attempt == 0 {
			t.Fatalf("not retried after one rejected attempt: %v", actions)
		}
	}
}
