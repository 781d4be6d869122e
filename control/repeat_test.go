package control

import (
	"testing"
	"time"
)

// startDeduplicating starts a router with one prefill and one decode engine. All engines drop repeats of classWithKey
// within window, and its requests have one attempt at each stage.
func startDeduplicating(t *testing.T, window time.Duration) *harness {
	t.Helper()
	settings := testSettings()
	class := &settings.Classes[classWithKey]
	class.DedupScope, class.DedupWindow, class.MaxAttempts = DedupScopeAll, window, 2
	return startRouter(t, settings, RolePrefill, RoleDecode)
}

// TestRequestWithKeyIsNotRejectedIfItsRepeatMayBeTooLate guards against a rejection that promises that a repeat is harmless
// although engines may have forgotten the request by then: its window is over, ends before Retry-After, or ends before the
// deadline of the repeat.
func TestRequestWithKeyIsNotRejectedIfItsRepeatMayBeTooLate(t *testing.T) {
	const timeBudget = 4 * time.Second // of each request
	for _, c := range []struct {
		name          string
		window, after time.Duration // dedup window; time from the attempt to its end
		isRejected    bool
	}{
		{"window over", time.Second, 1500 * ms, false},
		{"window ends before Retry-After", time.Second, 900 * ms, false},
		{"window ends before the deadline of the repeat", timeBudget, 100 * ms, false},
		{"window ends with Retry-After, rounded up, and the deadline", timeBudget + time.Second + 100*ms, 100 * ms, false},
		{"window ends later", timeBudget + time.Second + 101*ms, 100 * ms, true},
	} {
		h := startDeduplicating(t, c.window)
		request := h.request(1, classWithKey)
		request.Deadline = h.now.Add(timeBudget)
		decode := h.arriveAndPrefill(0, request)
		actions := h.end(c.after, decode, 1, Failed)
		if count[Reject](actions) == 1 != c.isRejected || count[Fail](actions) == 1 == c.isRejected || count[Forward](actions) != 0 {
			t.Errorf("%s: want rejected %v, got %v", c.name, c.isRejected, actions)
		}
	}
}

// TestRequestWithKeyThatNeverArrivedIsRejected: the window matters only if the request may have been executed.
func TestRequestWithKeyThatNeverArrivedIsRejected(t *testing.T) {
	for _, result := range []Result{ConnectFailed, NotSent, Rejected} {
		h := startDeduplicating(t, ms)
		decode := h.arriveAndPrefill(0, h.request(1, classWithKey))
		actions := h.end(100*ms, decode, 1, result)
		if count[Reject](actions) != 1 || count[Fail](actions) != 0 {
			t.Errorf("%v: want one Reject, got %v", result, actions)
		}
	}
}

// TestEachResultOfAnExecutionCounts: after the window, a request with a key fails whichever way its attempt has ended, if
// that leaves open whether it was executed.
func TestEachResultOfAnExecutionCounts(t *testing.T) {
	for _, result := range []Result{Failed, TimedOut, Reset, Cancelled, ResponseDropped} {
		h := startDeduplicating(t, time.Second)
		decode := h.arriveAndPrefill(0, h.request(1, classWithKey))
		actions := h.end(1100*ms, decode, 1, result)
		if count[Fail](actions) != 1 || count[Reject](actions) != 0 {
			t.Errorf("%v: want one Fail, got %v", result, actions)
		}
	}
}

// TestIsRepeatHarmlessDependsOnIdempotency: an idempotent request may always be repeated, any other one never, unless all
// endpoints remember its key.
func TestIsRepeatHarmlessDependsOnIdempotency(t *testing.T) {
	repeat := Repeat{ExecutedAt: 1, RejectedAt: 1, RetryAfter: ms, TimeBudget: time.Second}
	for _, c := range []struct {
		class Class
		want  bool
	}{
		{Class{Idempotency: Idempotent}, true},
		{Class{Idempotency: NotIdempotent, DedupWindow: time.Hour}, false},
		{Class{Idempotency: IdempotentWithKey, DedupScope: DedupScopeAll, DedupWindow: time.Hour}, true},
		{Class{Idempotency: IdempotentWithKey, DedupScope: DedupScopeAll, DedupWindow: 2 * time.Second}, false},
		{Class{Idempotency: IdempotentWithKey, DedupScope: DedupScopeZone, DedupWindow: time.Hour}, false},
		{Class{Idempotency: IdempotentWithKey, DedupScope: DedupScopeCell, DedupWindow: time.Hour}, false},
	} {
		if got := c.class.IsRepeatHarmless(repeat); got != c.want {
			t.Errorf("class %+v: %v, want %v", c.class, got, c.want)
		}
	}
}
