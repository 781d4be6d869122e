package outcome

import (
	"fmt"
	"testing"
)

// TestStringNamesEachOutcome: each outcome, even an unknown one, has a distinct name.
func TestStringNamesEachOutcome(t *testing.T) {
	seen := map[string]bool{}
	for value := Served; value <= InvalidRequest+1; value++ {
		name := value.String()
		if name == "" || seen[name] {
			t.Errorf("outcome %d has the name %q, want a unique one", uint8(value), name)
		}
		seen[name] = true
	}
	if got, want := (InvalidRequest + 1).String(), "Outcome(4)"; got != want {
		t.Errorf("an unknown outcome has the name %q, want %q", got, want)
	}
}

func Example() {
	fmt.Println(Served, Rejected, Failed, InvalidRequest)
	// Output: served rejected failed invalid request
}
