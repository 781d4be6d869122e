package control

import (
	"slices"
	"testing"
	"time"
)

// startReleasing starts a router with ReleaseSparesAttempts, so that it may emit ReleaseKV while an attempt
// is in flight.
func startReleasing(t *testing.T, roles ...Role) *harness {
	t.Helper()
	settings := testSettings()
	settings.Caller.ReleaseSparesAttempts = true
	return startRouter(t, settings, roles...)
}

// TestKVStateIsReleasedWhileArrivalOfAttemptIsUnknown: while nothing proves that a decode attempt has reached
// its engine, the release is emitted exactly once, early enough to arrive within the retention limit.
func TestKVStateIsReleasedWhileArrivalOfAttemptIsUnknown(t *testing.T) {
	for class := range 3 {
		h := startReleasing(t, RolePrefill, RoleDecode, RoleDecode)
		h.arriveAndPrefill(0, h.request(1, class))
		retainedSince := h.now

		released := 0
		for h.now < retainedSince.Add(time.Second) {
			for _, release := range actionsOf[ReleaseKV](h.ticks(50 * ms)) {
				released++
				if age := h.now.Sub(retainedSince); age > 400*ms || release.Reason != ReleasedWithoutProof {
					t.Errorf("class %d: released after %v for %v, want at most 400ms for %v", class, age, release.Reason, ReleasedWithoutProof)
				}
			}
		}
		if released != 1 {
			t.Errorf("class %d: %d releases, want 1", class, released)
		}
	}
}

// TestKVStateIsKeptOnceItsAttemptHasArrived: no release is emitted after the start of an answer. Without
// ReleaseSparesAttempts, none is emitted while an attempt is in flight.
func TestKVStateIsKeptOnceItsAttemptHasArrived(t *testing.T) {
	h := startReleasing(t, RolePrefill, RoleDecode)
	h.startAnswer(10*ms, h.arriveAndPrefill(0, h.request(1, classIdempotent)))
	if releases := actionsOf[ReleaseKV](h.ticks(2 * time.Second)); len(releases) != 0 {
		t.Errorf("released while the answer is streamed: %v", releases)
	}

	h = startRouter(t, testSettings(), RolePrefill, RoleDecode)
	h.arriveAndPrefill(0, h.request(1, classNotIdempotent))
	if releases := actionsOf[ReleaseKV](h.ticks(2 * time.Second)); len(releases) != 0 {
		t.Errorf("released while an attempt may wait for the KV state: %v", releases)
	}
}

// TestAgeOfKVStateCountsFromLatestProvenArrival: an attempt that ends without proof of arrival does not reset
// the age of the KV state. An attempt that got a response does.
func TestAgeOfKVStateCountsFromLatestProvenArrival(t *testing.T) {
	for result, isProof := range map[Result]bool{Reset: false, Cancelled: false, ConnectFailed: false, NotSent: false, Failed: true, Rejected: true, ResponseDropped: true} {
		h := startReleasing(t, RolePrefill, RoleDecode, RoleDecode, RoleDecode)
		decode := h.arriveAndPrefill(0, h.request(1, classIdempotent))
		retainedSince := h.now
		h.onlyForward(h.end(150*ms, decode, 1, result))
		if isProof {
			retainedSince = h.now
		}
		for count[ReleaseKV](h.ticks(50*ms)) == 0 {
			if h.now > retainedSince.Add(time.Second) {
				t.Fatalf("%v: not released within a second", result)
			}
		}
		if age := h.now.Sub(retainedSince); age < 200*ms || age > 400*ms {
			t.Errorf("%v: released after %v, want 200ms to 400ms", result, age)
		}
	}
}

// TestKVStateOfEarlierPrefillReleasedBeforeRetry: a failed prefill may have left a KV state. It is released
// before the retry, since a later release would also take the KV state of the retry.
func TestKVStateOfEarlierPrefillReleasedBeforeRetry(t *testing.T) {
	for result, mayRetain := range map[Result]bool{Reset: true, Cancelled: true, Failed: true, ResponseDropped: true, ConnectFailed: false, NotSent: false, Rejected: false} {
		h := startReleasing(t, RolePrefill, RolePrefill, RoleDecode)
		actions := h.end(10*ms, h.arrive(0, h.request(1, classNotIdempotent)), 0, result)
		h.onlyForward(actions)

		isForward := func(action Action) bool { _, ok := action.(Forward); return ok }
		before := actions[:slices.IndexFunc(actions, isForward)]
		if count[ReleaseKV](actions) > 1 || (count[ReleaseKV](before) == 1) != mayRetain {
			t.Errorf("%v: want a ReleaseKV before the Forward: %v, got %v", result, mayRetain, actions)
		}
		if releases := actionsOf[ReleaseKV](h.ticks(600 * ms)); len(releases) != 0 {
			t.Errorf("%v: released while the retry is in flight: %v", result, releases)
		}
	}
}

// TestStaleKVStateIsReleasedAgainAndNotReused: if a KV state is released while an attempt is in flight, and
// the attempt ends without proof of arrival, the state is released again, since the attempt may have kept it.
// The prompt is computed again if the request can still meet its objective. Otherwise the request is
// rejected.
func TestStaleKVStateIsReleasedAgainAndNotReused(t *testing.T) {
	for after, isRetried := range map[time.Duration]bool{350 * ms: true, 900 * ms: false} {
		h := startReleasing(t, RolePrefill, RoleDecode, RoleDecode)
		decode := h.arriveAndPrefill(0, h.request(1, classIdempotent))
		h.ticks(after)
		actions := h.handle(0, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Reset, Elapsed: after})
		if count[ReleaseKV](actions) == 0 {
			t.Errorf("reset after %v: the KV state is not released again", after)
		}
		if !isRetried {
			if rejects := actionsOf[Reject](actions); len(rejects) != 1 || rejects[0].Reason != FinishedMissingObjective {
				t.Errorf("reset after %v: want Reject for %v, got %v", after, FinishedMissingObjective, actions)
			}
			continue
		}
		if retry := h.onlyForward(actions); retry.Endpoint != 1 {
			t.Errorf("reset after %v: forwarded to endpoint %d, want the prefill engine, 1", after, retry.Endpoint)
		}
	}
}

// TestNotIdempotentRequestWithStaleKVStateFails: the request may have been executed, so its client must not
// repeat it.
func TestNotIdempotentRequestWithStaleKVStateFails(t *testing.T) {
	h := startReleasing(t, RolePrefill, RoleDecode, RoleDecode)
	decode := h.arriveAndPrefill(0, h.request(1, classNotIdempotent))
	h.ticks(350 * ms)
	actions := h.handle(0, Outcome{ID: 1, Attempt: 1, Endpoint: decode.Endpoint, Result: Reset, Elapsed: 350 * ms})
	if fails := actionsOf[Fail](actions); len(fails) != 1 || fails[0].Reason != FinishedNotRepeatable || count[Forward](actions) != 0 {
		t.Errorf("want Fail for %v and no Forward, got %v", FinishedNotRepeatable, actions)
	}
}

// TestQuickRetriesDoNotDelayTheRelease: a new attempt has some time to prove its arrival, but it does not
// delay the release past its deadline.
func TestQuickRetriesDoNotDelayTheRelease(t *testing.T) {
	h := startReleasing(t, RolePrefill, RoleDecode, RoleDecode, RoleDecode, RoleDecode)
	first := h.arriveAndPrefill(0, h.request(1, classIdempotent))
	retainedSince := h.now
	second := h.onlyForward(h.end(330*ms, first, 1, ConnectFailed))
	h.onlyForward(h.end(30*ms, second, 2, ConnectFailed))
	if releases := count[ReleaseKV](h.handle(20*ms, Timer{})); releases != 1 {
		t.Errorf("%d releases %v after the prefill, want 1", releases, h.now.Sub(retainedSince))
	}
}
