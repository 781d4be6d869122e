package membership

import (
	"testing"
	"time"
)

// TestChangesAreKnownInTimeWhateverCallsFail: a change reaches the router within the time that the
// platform grants, in whatever phase calls to discovery fail.
func TestChangesAreKnownInTimeWhateverCallsFail(t *testing.T) {
	const granted = 6 * time.Second
	backoff := NextBackoff(0)
	worst := WatchTimeout + backoff + WatchTimeout + NextBackoff(backoff) + MaxBackoff
	if worst >= granted || WatchTimeout <= HeartbeatInterval {
		t.Errorf("%v in the worst case, time-out of a watch %v", worst, WatchTimeout)
	}

	for range 20 {
		backoff = NextBackoff(backoff)
		if backoff > MaxBackoff || backoff < MinBackoff {
			t.Error(backoff)
		}
	}
}
