package control

import (
	"testing"
)

func TestNotIdempotentRequestThatMayHaveExecutedFails(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 1, 1)
	decode := s.onlyForward(s.finishPrefill(s.onlyForward(s.handle(0, s.request(1, 1))), 0))
	actions := s.handle(10*ms, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Failed, Elapsed: 10 * ms})
	if len(actionsOf[Fail](actions)) != 1 || len(actionsOf[Forward](actions)) != 0 || len(actionsOf[Reject](actions)) != 0 {
		t.Fatalf("got %v", actions)
	}
	if len(actionsOf[ReleaseKV](actions)) != 1 {
		t.Fatalf("the KV state stays: %v", actions)
	}
}

func TestNotIdempotentRequestThatNeverArrivedIsRetried(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 1, 1)
	decode := s.onlyForward(s.finishPrefill(s.onlyForward(s.handle(0, s.request(1, 1))), 0))
	again := s.onlyForward(s.handle(10*ms, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: ConnectFailed}))
	if again.Endpoint == decode.Endpoint || again.Endpoint == 1 {
		t.Fatalf("sent to %d after %d failed", again.Endpoint, decode.Endpoint)
	}
}

func TestKVStateOfLatePrefillIsReleased(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 1)
	prefill := s.onlyForward(s.handle(0, s.request(1, 0)))
	s.handle(10*ms, ClientGone{ID: 1})
	if actions := s.finishPrefill(prefill, 0); len(actionsOf[ReleaseKV](actions)) != 1 || len(actionsOf[Forward](actions)) != 0 {
		t.Fatalf("got %v", actions)
	}
}

func TestKVStateIsReleasedWhenItsLastAttemptOutlivesTheClient(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 1)
	decode := s.onlyForward(s.finishPrefill(s.onlyForward(s.handle(0, s.request(1, 0))), 0))
	s.handle(10*ms, ClientGone{ID: 1})
	actions := s.handle(10*ms, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Rejected, Final: true})
	if len(actionsOf[ReleaseKV](actions)) != 1 {
		t.Fatalf("got %v", actions)
	}
}

func TestKVStateIsReleasedWhenNoDecodeEngineTakesIt(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0)
	s.finishPrefill(s.onlyForward(s.handle(0, s.request(1, 0))), 0)
	actions := s.ticks(450 * ms)
	if len(actionsOf[ReleaseKV](actions)) != 1 || len(actionsOf[Reject](actions)) != 1 {
		t.Fatalf("got %v", actions)
	}
}

func TestMissingKVStateIsPrefilledAgain(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 1)
	decode := s.onlyForward(s.finishPrefill(s.onlyForward(s.handle(0, s.request(1, 0))), 0))
	actions := s.handle(10*ms, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Rejected, KVMissing: true})
	if again := s.onlyForward(actions); again.Endpoint != 1 {
		t.Fatalf("sent to %d", again.Endpoint)
	}
	done := s.handle(10*ms, Outcome{ID: 1, Attempt: 2, Endpoint: 1, Result: TimedOut, Elapsed: 10 * ms}, ClientGone{ID: 1})
	if len(actionsOf[ReleaseKV](done)) == 0 {
		t.Fatal("the first state stays if it was behind a cut link")
	}
	if len(actionsOf[ReleaseKV](actions)) != 1 {
		t.Fatalf("a KV state that only this decode engine can't reach stays: %v", actions)
	}
}

func TestParkedRequestIsRejectedBeforeItsDeadline(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0)
	request := s.request(1, 0)
	request.Deadline = s.now.Add(300 * ms)
	s.finishPrefill(s.onlyForward(s.handle(0, request)), 0)
	if actions := s.ticks(250 * ms); len(actionsOf[Reject](actions)) != 1 {
		t.Fatalf("got %v", actions)
	}
}

func TestKVStateOfUnknownRequestIsReleased(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 1)
	if actions := s.handle(0, Outcome{ID: 99, Endpoint: 1, Result: PrefillDone}); len(actionsOf[ReleaseKV](actions)) != 1 {
		t.Fatalf("got %v", actions)
	}
}

// TestDecodeEngineThatMissedKVStateIsExcluded: it may be the only one that can't reach the
// prefill engine, or say so of every state.
func TestDecodeEngineThatMissedKVStateIsExcluded(t *testing.T) {
	for id := range RequestID(10) {
		s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 1, 1)
		request := s.request(id+1, 0)
		decode := s.onlyForward(s.finishPrefill(s.onlyForward(s.handle(0, request)), 0))
		prefill := s.onlyForward(s.handle(ms, Outcome{ID: request.ID, Attempt: 1, Endpoint: decode.Endpoint, Result: Rejected, KVMissing: true}))
		if prefill.Endpoint != 1 {
			t.Fatalf("not prefilled again but sent to %d", prefill.Endpoint)
		}
		again := s.onlyForward(s.handle(ms, Outcome{ID: request.ID, Attempt: 2, Endpoint: 1, Result: PrefillDone, Elapsed: ms}))
		if again.Endpoint == decode.Endpoint {
			t.Fatalf("sent to decode engine %d again", decode.Endpoint)
		}
	}
}

// TestRequestThatCrashesEnginesFailsAtItsMaxAttempts: a request that crashes each engine it meets takes no more
// of them than its class may, and is failed, not sent back for another round; one that
// lost an engine and then met a full one is rejected.
func TestRequestThatCrashesEnginesFailsAtItsMaxAttempts(t *testing.T) {
	for _, second := range []Result{Reset, Rejected} {
		settings := testSettings(RoleColocated)
		settings.Classes[0].MaxAttempts = 2
		s := startRouter(t, settings, 0, 0, 0, 0, 0)
		first := s.onlyForward(s.handle(0, s.request(1, 0)))
		again := s.onlyForward(s.handle(ms, Outcome{ID: 1, Attempt: 0, Endpoint: first.Endpoint, Result: Reset}))
		actions := s.handle(ms, Outcome{ID: 1, Attempt: 1, Endpoint: again.Endpoint, Result: second})
		if len(actionsOf[Forward](actions)) != 0 {
			t.Fatalf("a third engine: %v", actions)
		}
		if fails, rejections := len(actionsOf[Fail](actions)), len(actionsOf[Reject](actions)); (fails == 1) != (second == Reset) || fails+rejections != 1 {
			t.Fatalf("second attempt ended with %v: %d failures, %d rejections", second, fails, rejections)
		}
	}
}

// TestPriorAttemptsAndResetsCount: what a request had in a batch is off its attempts, and a
// request that loses the rest too is failed: its repeat would crash more engines.
func TestPriorAttemptsAndResetsCount(t *testing.T) {
	settings := testSettings(RoleColocated)
	settings.Classes[0].MaxAttempts = 2
	for _, c := range []struct {
		tried, lost int
		end         Result
		fails       bool
	}{{1, 1, Reset, true}, {1, 0, Reset, false}, {1, 1, Rejected, false}} {
		s := startRouter(t, settings, 0, 0, 0, 0)
		request := s.request(1, 0)
		request.PriorAttempts, request.PriorResets = c.tried, c.lost
		forward := s.onlyForward(s.handle(0, request))
		actions := s.handle(ms, Outcome{ID: 1, Endpoint: forward.Endpoint, Result: c.end})
		if len(actionsOf[Forward](actions)) > 0 || len(actionsOf[Fail](actions)) > 0 != c.fails || len(actionsOf[Reject](actions)) > 0 == c.fails {
			t.Errorf("%+v: %v", c, actions)
		}
	}
	settings.Classes[0].MaxAttempts = 3
	s := startRouter(t, settings, 0, 0, 0, 0)
	request := s.request(1, 0)
	request.PriorAttempts = 1 // that one lost nothing
	forward := s.onlyForward(s.handle(0, request))
	forward = s.onlyForward(s.handle(ms, Outcome{ID: 1, Endpoint: forward.Endpoint, Result: Reset}))
	if actions := s.handle(ms, Outcome{ID: 1, Attempt: 1, Endpoint: forward.Endpoint, Result: Reset}); len(actionsOf[Reject](actions)) != 1 {
		t.Errorf("two of three attempts lost: %v", actions)
	}
}

// TestKVStateIsNotRetainedWhileDecodeEnginesAreUnreachable: the retention limit of a KV state runs on while one
// decode engine after another can't be reached, and each attempt is told what is left of it.
func TestKVStateIsNotRetainedWhileDecodeEnginesAreUnreachable(t *testing.T) {
	for class := range 3 {
		s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 1, 1, 1, 1)
		s.handle(0, s.request(1, class))
		actions := s.handle(20*ms, Outcome{ID: 1, Endpoint: 1, Result: PrefillDone, Elapsed: 20 * ms})
		retainedSince := s.now
		for attempt := AttemptNumber(1); ; attempt++ {
			forwards := actionsOf[Forward](actions)
			if len(forwards) == 0 {
				break
			}
			if left := retainedSince.Add(400 * ms).Sub(s.now); forwards[0].SendWithin != left || left <= 0 {
				t.Fatalf("class %d, attempt %d: must be sent within %v, and its KV state must be released in %v", class, attempt, forwards[0].SendWithin, left)
			}
			actions = s.handle(min(forwards[0].SendWithin, 200*ms), Outcome{ID: 1, Attempt: attempt, Endpoint: forwards[0].Endpoint, Result: ConnectFailed})
		}
		if len(actionsOf[ReleaseKV](actions)) == 0 || len(actionsOf[Reject](actions)) != 1 || s.now > retainedSince.Add(400*ms) {
			t.Errorf("class %d, %v after the prefill: %v", class, s.now.Sub(retainedSince), actions)
		}
	}
	// A decode engine that rejected it was reached: the time begins anew.
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 1, 1)
	s.handle(0, s.request(1, 0))
	decode := s.onlyForward(s.handle(20*ms, Outcome{ID: 1, Endpoint: 1, Result: PrefillDone, Elapsed: 20 * ms}))
	if again := s.onlyForward(s.handle(400*ms, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Rejected})); again.SendWithin != 400*ms {
		t.Errorf("after a decode engine's answer: must be sent within %v", again.SendWithin)
	}
}

// TestRetryIsSentWithinItsDedupWindow: a request with a key that may have run is sent again only as long
// as its engines drop repeats, the time that a connection takes included.
func TestRetryIsSentWithinItsDedupWindow(t *testing.T) {
	s := startRouter(t, testSettings(RoleColocated), 0, 0)
	first := s.onlyForward(s.handle(0, s.request(1, 2)))
	if first.SendWithin != 0 {
		t.Errorf("a first attempt must be sent within %v", first.SendWithin)
	}
	if again := s.onlyForward(s.handle(700*ms, Outcome{ID: 1, Endpoint: first.Endpoint, Result: Reset, Elapsed: 700 * ms})); again.SendWithin != 300*ms {
		t.Errorf("a repeat must be sent within %v of the 300ms left", again.SendWithin)
	}
}

func TestRequestRejectedTwiceIsGivenUpWhileManyAreRejected(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode))
	s.handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(20, 20)})
	actions := s.handle(0, s.request(1, 0))
	for attempt := range AttemptNumber(2) {
		actions = s.handle(ms, Outcome{ID: 1, Attempt: attempt, Endpoint: s.onlyForward(actions).Endpoint, Result: Rejected})
	}
	if len(actionsOf[Reject](actions)) != 1 {
		t.Fatalf("a third attempt where all engines are full: %v", actions)
	}
	playRequests([]*script{s}, 30, func(s *script, id RequestID) Request { return s.request(id, 0) })
	actions = s.handle(0, s.request(2, 0))
	for attempt := range AttemptNumber(2) { // now hardly any are: others may have capacity
		actions = s.handle(ms, Outcome{ID: 2, Attempt: attempt, Endpoint: s.onlyForward(actions).Endpoint, Result: Rejected})
		if len(actionsOf[Forward](actions)) != 1 && attempt == 0 {
			t.Fatalf("given up at once: %v", actions)
		}
	}
}
