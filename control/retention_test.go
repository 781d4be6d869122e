package control

import (
	"slices"
	"testing"
	"time"
)

// startReleasing starts a router whose releases may be emitted under an attempt.
func startReleasing(t *testing.T, roles ...Role) *harness {
	t.Helper()
	settings := testSettings()
	settings.Caller.ReleaseSparesAttempts = true
	return startRouter(t, settings, roles...)
}

// TestKVStateIsReleasedDuringUnprovenAttempt: while nothing proves that a decode attempt has reached its engine, the
// release is emitted, once, so early that it can arrive within the limit.
func TestKVStateIsReleasedDuringUnprovenAttempt(t *testing.T) {
	for class := range 3 {
		h := startReleasing(t, RolePrefill, RoleDecode, RoleDecode)
		h.arriveAndPrefill(0, h.request(1, class))
		retainedSince := h.now

		released := 0
		for h.now < retainedSince.Add(time.Second) {
			for _, release := range actionsOf[ReleaseKV](h.ticks(50 * ms)) {
				released++
				if age := h.now.Sub(retainedSince); age > 400*ms || release.Reason != ReleasedWithoutProof {
					t.Errorf("class %d: released after %v, %v", class, age, release.Reason)
				}
			}
		}
		if released != 1 {
			t.Errorf("class %d: %d releases", class, released)
		}
	}
}

// TestKVStateIsKeptOnceItsAttemptHasArrived: no release follows the start of an answer, and none if it would take the
// state from an attempt that waits for it.
func TestKVStateIsKeptOnceItsAttemptHasArrived(t *testing.T) {
	h := startReleasing(t, RolePrefill, RoleDecode)
	h.startAnswer(10*ms, h.arriveAndPrefill(0, h.request(1, classIdempotent)))
	if releases := actionsOf[ReleaseKV](h.ticks(2 * time.Second)); len(releases) != 0 {
		t.Errorf("released under a stream: %v", releases)
	}

	h = startRouter(t, testSettings(), RolePrefill, RoleDecode)
	h.arriveAndPrefill(0, h.request(1, classNotIdempotent))
	if releases := actionsOf[ReleaseKV](h.ticks(2 * time.Second)); len(releases) != 0 {
		t.Errorf("released though that takes the state from the attempt: %v", releases)
	}
}

// TestAgeOfKVStateCountsFromTheLatestProof: an attempt that ends without proof of arrival does not make the
// state younger. One that was answered does.
func TestAgeOfKVStateCountsFromTheLatestProof(t *testing.T) {
	for result, isProof := range map[Result]bool{Reset: false, Cancelled: false, ConnectFailed: false, NotSent: false, Failed: true, Rejected: true} {
		h := startReleasing(t, RolePrefill, RoleDecode, RoleDecode, RoleDecode)
		decode := h.arriveAndPrefill(0, h.request(1, classIdempotent))
		retainedSince := h.now
		h.onlyForward(h.end(150*ms, decode, 1, result))
		if isProof {
			retainedSince = h.now
		}
		for count[ReleaseKV](h.ticks(50*ms)) == 0 {
			if h.now > retainedSince.Add(time.Second) {
				t.Fatalf("%v: never released", result)
			}
		}
		if age := h.now.Sub(retainedSince); age < 200*ms || age > 400*ms {
			t.Errorf("%v: released after %v", result, age)
		}
	}
}

// TestKVStateOfEarlierPrefillReleasedBeforeRetry: a prefill that was lost with its connection may have left KV
// state, and its retry may reach nobody. The release precedes the retry, since it would take that one's state.
func TestKVStateOfEarlierPrefillReleasedBeforeRetry(t *testing.T) {
	for result, mayRetain := range map[Result]bool{Reset: true, Cancelled: true, Failed: true, ConnectFailed: false, NotSent: false, Rejected: false} {
		h := startReleasing(t, RolePrefill, RolePrefill, RoleDecode)
		actions := h.end(10*ms, h.arrive(0, h.request(1, classNotIdempotent)), 0, result)
		h.onlyForward(actions)

		isForward := func(action Action) bool { _, ok := action.(Forward); return ok }
		before := actions[:slices.IndexFunc(actions, isForward)]
		if count[ReleaseKV](actions) > 1 || (count[ReleaseKV](before) == 1) != mayRetain {
			t.Errorf("%v: %v", result, actions)
		}
		if releases := actionsOf[ReleaseKV](h.ticks(600 * ms)); len(releases) != 0 {
			t.Errorf("%v: released under the retry: %v", result, releases)
		}
	}
}

// TestStaleKVStateIsReleasedAgainAndNotReused: after a release under an attempt that then ends without proof, the state
// is released again, since the attempt may have kept it. The prompt is computed again if the request can meet
// its objective. Otherwise it is rejected at once.
func TestStaleKVStateIsReleasedAgainAndNotReused(t *testing.T) {
	for after, isRetried := range map[time.Duration]bool{350 * ms: true, 900 * ms: false} {
		h := startReleasing(t, RolePrefill, RoleDecode, RoleDecode)
		decode := h.arriveAndPrefill(0, h.request(1, classIdempotent))
		h.ticks(after)
		actions := h.handle(0, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Reset, Elapsed: after})
		if count[ReleaseKV](actions) == 0 {
			t.Errorf("reset after %v: not released again", after)
		}
		if !isRetried {
			if rejects := actionsOf[Reject](actions); len(rejects) != 1 || rejects[0].Reason != FinishedMissingObjective {
				t.Errorf("reset after %v: %v", after, actions)
			}
			continue
		}
		if retry := h.onlyForward(actions); retry.Endpoint != 1 {
			t.Errorf("reset after %v: forwarded to %d, want the prefill engine", after, retry.Endpoint)
		}
	}
}

// TestNotIdempotentRequestWithStaleKVStateFails: the request may have been executed, and is not rejected.
func TestNotIdempotentRequestWithStaleKVStateFails(t *testing.T) {
	h := startReleasing(t, RolePrefill, RoleDecode, RoleDecode)
	decode := h.arriveAndPrefill(0, h.request(1, classNotIdempotent))
	h.ticks(350 * ms)
	actions := h.handle(0, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Reset, Elapsed: 350 * ms})
	if fails := actionsOf[Fail](actions); len(fails) != 1 || fails[0].Reason != FinishedNotRepeatable || count[Forward](actions) != 0 {
		t.Errorf("got %v", actions)
	}
}

// TestQuickRetriesDoNotDelayTheRelease: an attempt that was sent just now has a moment to prove its
// arrival, but not beyond the time by which the release must be on its way.
func TestQuickRetriesDoNotDelayTheRelease(t *testing.T) {
	h := startReleasing(t, RolePrefill, RoleDecode, RoleDecode, RoleDecode, RoleDecode)
	first := h.arriveAndPrefill(0, h.request(1, classIdempotent))
	retainedSince := h.now
	second := h.onlyForward(h.end(330*ms, first, 1, ConnectFailed))
	h.onlyForward(h.end(30*ms, second, 2, ConnectFailed))
	if releases := count[ReleaseKV](h.handle(20*ms, Timer{})); releases != 1 {
		t.Errorf("%v after the prefill: %d releases", h.now.Sub(retainedSince), releases)
	}
}
