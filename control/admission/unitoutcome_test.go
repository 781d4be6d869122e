package admission

import "testing"

// TestStringNamesEachOutcome: each outcome, even an unknown one, has a distinct name.
func TestStringNamesEachOutcome(t *testing.T) {
	seen := map[string]bool{}
	for value := UnitOutcome(0); value <= UnitCancelled+1; value++ {
		name := value.String()
		if name == "" || seen[name] {
			t.Errorf("outcome %d has the name %q, want a unique one", uint8(value), name)
		}
		seen[name] = true
	}
	if got, want := (UnitCancelled + 1).String(), "UnitOutcome(3)"; got != want {
		t.Errorf("an unknown outcome has the name %q, want %q", got, want)
	}
}
