package connreuse

import "testing"

// TestConnectionRestsUnlessNoOtherCanBeMade: a connection may be reused before MinIdleTime only if the engine can't get
// another one, and only if the engine has never sent stray bytes.
func TestConnectionRestsUnlessNoOtherCanBeMade(t *testing.T) {
	var policy RestPolicy
	if got := policy.MinIdleTime(false); got != MinIdleTime {
		t.Errorf("below the limit: %v, want %v", got, MinIdleTime)
	}
	if got := policy.MinIdleTime(true); got != 0 {
		t.Errorf("at the limit: %v, want 0", got)
	}

	policy.RecordStrayBytes()

	for _, atLimit := range []bool{false, true} {
		if got := policy.MinIdleTime(atLimit); got != MinIdleTime {
			t.Errorf("after stray bytes, at the limit %v: %v, want %v", atLimit, got, MinIdleTime)
		}
	}
}
