package membership

import (
	"testing"
	"time"
)

// TestChangesArriveInTimeDespiteFailedCalls: a change reaches the router within the time that the
// platform allows, even if two calls to discovery in a row become unresponsive.
func TestChangesArriveInTimeDespiteFailedCalls(t *testing.T) {
	const allowed = 6 * time.Second
	backoff := NextBackoff(0)
	worst := WatchTimeout + backoff + WatchTimeout + NextBackoff(backoff) + MaxBackoff
	if worst >= allowed || WatchTimeout <= HeartbeatInterval {
		t.Errorf("a change takes %v in the worst case, WatchTimeout is %v", worst, WatchTimeout)
	}

	for range 20 {
		backoff = NextBackoff(backoff)
		if backoff > MaxBackoff || backoff < MinBackoff {
			t.Errorf("backoff %v, want %v to %v", backoff, MinBackoff, MaxBackoff)
		}
	}
}
