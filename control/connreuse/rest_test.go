package connreuse

import (
	"testing"
	"time"
)

// expectRest fails the test unless connections must rest for this time below the limit and at the limit.
func expectRest(t *testing.T, policy *RestPolicy, below, atLimit time.Duration) {
	t.Helper()
	if got := policy.MinIdleTime(false); got != below {
		t.Errorf("below the limit: %v, want %v", got, below)
	}
	if got := policy.MinIdleTime(true); got != atLimit {
		t.Errorf("at the limit: %v, want %v", got, atLimit)
	}
}

// TestConnectionRestsUnlessNoOtherCanBeMade: a connection may be reused before MinIdleTime only if the engine can't get
// another one, and only if the engine has never sent stray bytes.
func TestConnectionRestsUnlessNoOtherCanBeMade(t *testing.T) {
	var policy RestPolicy
	expectRest(t, &policy, MinIdleTime, 0)

	policy.RecordStrayBytes(time.Second)

	expectRest(t, &policy, MinIdleTime, MinIdleTime)
}

// TestRestFollowsTheLongestDelayOfStrayBytes: stray bytes that come later prolong the rest, and those that come sooner don't
// shorten it. Stray bytes after a long idle time are not a second response.
func TestRestFollowsTheLongestDelayOfStrayBytes(t *testing.T) {
	var policy RestPolicy
	for _, c := range []struct{ delay, rest time.Duration }{
		{0, MinIdleTime},
		{8 * ms, MinIdleTime},
		{20 * ms, 60 * ms},
		{5 * ms, 60 * ms},
		{100 * ms, 300 * ms},
		{5 * time.Second, 300 * ms},
	} {
		policy.RecordStrayBytes(c.delay)
		if got := policy.MinIdleTime(false); got != c.rest {
			t.Errorf("after stray bytes %v late: %v, want %v", c.delay, got, c.rest)
		}
	}
}
