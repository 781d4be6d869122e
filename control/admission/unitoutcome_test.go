package admission

import "testing"

// TestStringNamesEachOutcome: logs and test failures distinguish the outcomes, including an unknown one.
func TestStringNamesEachOutcome(t *testing.T) {
	seen := map[string]bool{}
	for value := UnitOutcome(0); value <= UnitCancelled+1; value++ {
		name := value.String()
		if name == "" || seen[name] {
			t.Errorf("outcome %d is called %q", uint8(value), name)
		}
		seen[name] = true
	}
	if got, want := (UnitCancelled + 1).String(), "UnitOutcome(3)"; got != want {
		t.Errorf("an unknown value is called %q, want %q", got, want)
	}
}
