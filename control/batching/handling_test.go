package batching

import "testing"

// TestStringNamesEachHandling: each handling, even an unknown one, has a distinct name.
func TestStringNamesEachHandling(t *testing.T) {
	seen := map[string]bool{}
	for value := Handling(0); value <= RetrySequentially+1; value++ {
		name := value.String()
		if name == "" || seen[name] {
			t.Errorf("handling %d has the name %q, want a unique one", uint8(value), name)
		}
		seen[name] = true
	}
	if got, want := (RetrySequentially + 1).String(), "Handling(3)"; got != want {
		t.Errorf("an unknown handling has the name %q, want %q", got, want)
	}
}
