package outcome

import (
	"fmt"
	"testing"
)

// TestStringNamesEachOutcome: logs and test failures distinguish the outcomes, including an unknown one.
func TestStringNamesEachOutcome(t *testing.T) {
	seen := map[string]bool{}
	for value := Served; value <= InvalidRequest+1; value++ {
		name := value.String()
		if name == "" || seen[name] {
			t.Errorf("outcome %d is called %q", uint8(value), name)
		}
		seen[name] = true
	}
	if got, want := (InvalidRequest + 1).String(), "Outcome(4)"; got != want {
		t.Errorf("an unknown outcome is called %q, want %q", got, want)
	}
}

func Example() {
	fmt.Println(Served, Rejected, Failed, InvalidRequest)
	// Output: served rejected failed invalid request
}
