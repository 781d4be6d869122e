package batching

import "testing"

// TestStringNamesEachHandling: logs and test failures distinguish the handlings, including an unknown one.
func TestStringNamesEachHandling(t *testing.T) {
	seen := map[string]bool{}
	for value := FailureHandling(0); value <= RetrySequentially+1; value++ {
		name := value.String()
		if name == "" || seen[name] {
			t.Errorf("handling %d is called %q", uint8(value), name)
		}
		seen[name] = true
	}
	if got, want := (RetrySequentially + 1).String(), "FailureHandling(3)"; got != want {
		t.Errorf("an unknown value is called %q, want %q", got, want)
	}
}
