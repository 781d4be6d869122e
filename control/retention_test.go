package control

import (
	"slices"
	"testing"
	"time"
)

// socketSettings are testSettings where a release may be asked for under an attempt.
func socketSettings() Settings {
	settings := testSettings(RolePrefill, RoleDecode)
	settings.Caller.ReleaseSparesAttempts = true
	return settings
}

// startDecode plays a request of a class up to its decode attempt.
func (s *script) startDecode(class int) Forward {
	s.t.Helper()
	prefill := s.onlyForward(s.handle(0, s.request(1, class)))
	return s.onlyForward(s.finishPrefill(prefill, 0))
}

// TestKVStateReleasedUnderSilentAttempt: while nothing proves that a decode attempt has reached its engine, the
// release is asked for, once, so early that it can arrive within the limit.
func TestKVStateReleasedUnderSilentAttempt(t *testing.T) {
	for class := range 3 {
		s := startRouter(t, socketSettings(), 0, 1, 1)
		s.startDecode(class)
		retainedSince := s.now
		released := 0
		for s.now < retainedSince.Add(time.Second) {
			for _, release := range actionsOf[ReleaseKV](s.ticks(50 * ms)) {
				released++
				if age := s.now.Sub(retainedSince); age > 400*ms || release.Reason != ReleasedWithoutProof {
					t.Errorf("class %d: released after %v, %v", class, age, release.Reason)
				}
			}
		}
		if released != 1 {
			t.Errorf("class %d: %d releases", class, released)
		}
	}
}

// TestKVStateKeptOnceItsAttemptIsProven: no release after the answer has begun, and none where a release would
// take the state from an attempt that waits for it.
func TestKVStateKeptOnceItsAttemptIsProven(t *testing.T) {
	s := startRouter(t, socketSettings(), 0, 1)
	decode := s.startDecode(0)
	s.handle(10*ms, AnswerStarted{ID: 1, Endpoint: decode.Endpoint, Attempt: 1, Elapsed: 10 * ms})
	if releases := actionsOf[ReleaseKV](s.ticks(2 * time.Second)); len(releases) != 0 {
		t.Errorf("released under a stream: %v", releases)
	}
	s = startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 1)
	s.startDecode(1)
	if releases := actionsOf[ReleaseKV](s.ticks(2 * time.Second)); len(releases) != 0 {
		t.Errorf("released though that takes the state from the attempt: %v", releases)
	}
}

// TestAgeOfKVStateCountsFromTheLatestProof: attempts that end without proof of having arrived do not make the
// state younger, one that was answered does.
func TestAgeOfKVStateCountsFromTheLatestProof(t *testing.T) {
	for result, isProof := range map[Result]bool{Reset: false, Cancelled: false, ConnectFailed: false, NotSent: false, Failed: true, Rejected: true} {
		s := startRouter(t, socketSettings(), 0, 1, 1, 1)
		decode := s.startDecode(0)
		retainedSince := s.now
		again := s.handle(150*ms, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: result, Elapsed: 150 * ms})
		s.onlyForward(again)
		if isProof {
			retainedSince = s.now
		}
		for len(actionsOf[ReleaseKV](s.ticks(50*ms))) == 0 {
			if s.now > retainedSince.Add(time.Second) {
				t.Fatalf("%v: never released", result)
			}
		}
		if age := s.now.Sub(retainedSince); age < 200*ms || age > 400*ms {
			t.Errorf("%v: released after %v", result, age)
		}
	}
}

// TestKVStateOfEarlierPrefillReleasedBeforeRetry: a prefill that was lost with its connection may have left KV
// state, and its retry may reach nobody. The release comes before the retry, since it would take that one's state.
func TestKVStateOfEarlierPrefillReleasedBeforeRetry(t *testing.T) {
	for result, mayRetain := range map[Result]bool{Reset: true, Cancelled: true, Failed: true, ConnectFailed: false, NotSent: false, Rejected: false} {
		s := startRouter(t, socketSettings(), 0, 0, 1)
		prefill := s.onlyForward(s.handle(0, s.request(1, 1)))
		actions := s.handle(10*ms, Outcome{ID: 1, Endpoint: prefill.Endpoint, Result: result, Elapsed: 10 * ms})
		s.onlyForward(actions)
		isForward := func(a Action) bool { _, ok := a.(Forward); return ok }
		before := actions[:slices.IndexFunc(actions, isForward)]
		if len(actionsOf[ReleaseKV](actions)) > 1 || (len(actionsOf[ReleaseKV](before)) == 1) != mayRetain {
			t.Errorf("%v: %v", result, actions)
		}
		if releases := actionsOf[ReleaseKV](s.ticks(600 * ms)); len(releases) != 0 {
			t.Errorf("%v: released under the retry: %v", result, releases)
		}
	}
}

// TestForfeitedKVStateIsNotCountedOn: after a release under an attempt that then ends without proof, the state
// is released again, since the attempt may have kept it; the prompt is computed anew while the request can meet
// its objective, and else the client is told at once that it may come again.
func TestForfeitedKVStateIsNotCountedOn(t *testing.T) {
	for after, isRetried := range map[time.Duration]bool{350 * ms: true, 900 * ms: false} {
		s := startRouter(t, socketSettings(), 0, 1, 1)
		decode := s.startDecode(0)
		s.ticks(after)
		actions := s.handle(0, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Reset, Elapsed: after})
		if len(actionsOf[ReleaseKV](actions)) == 0 {
			t.Errorf("reset after %v: not released again", after)
		}
		if !isRetried {
			if rejects := actionsOf[Reject](actions); len(rejects) != 1 || rejects[0].Reason != FinishedMissingObjective {
				t.Errorf("reset after %v: %v", after, actions)
			}
			continue
		}
		if again := s.onlyForward(actions); again.Endpoint != 1 {
			t.Errorf("reset after %v: forwarded to %d, want the prefill engine", after, again.Endpoint)
		}
	}
}

// TestForfeitedKVStateOfNotIdempotentRequestFails: it may have been executed, and is not refused.
func TestForfeitedKVStateOfNotIdempotentRequestFails(t *testing.T) {
	s := startRouter(t, socketSettings(), 0, 1, 1)
	decode := s.startDecode(1)
	s.ticks(350 * ms)
	actions := s.handle(0, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Reset, Elapsed: 350 * ms})
	if fails := actionsOf[Fail](actions); len(fails) != 1 || fails[0].Reason != FinishedNotRepeatable || len(actionsOf[Forward](actions)) != 0 {
		t.Errorf("got %v", actions)
	}
}

// TestAttemptsInQuickSuccessionDoNotPutOffTheRelease: an attempt that was sent just now is given a moment to prove
// itself, but not beyond the time by which the release must be on its way.
func TestAttemptsInQuickSuccessionDoNotPutOffTheRelease(t *testing.T) {
	s := startRouter(t, socketSettings(), 0, 1, 1, 1, 1)
	decode := s.startDecode(0)
	retainedSince := s.now
	for attempt, after := range []time.Duration{1: 330 * ms, 2: 30 * ms} {
		if after > 0 {
			decode = s.onlyForward(s.handle(after, Outcome{ID: 1, Attempt: AttemptNumber(attempt), Endpoint: decode.Endpoint, Result: ConnectFailed}))
		}
	}
	if releases := actionsOf[ReleaseKV](s.handle(20*ms, Timer{})); len(releases) != 1 {
		t.Errorf("%v after the prefill: %d releases", s.now.Sub(retainedSince), len(releases))
	}
}
