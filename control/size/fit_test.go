package size

import (
	"testing"

	"pgregory.net/rapid"
)

// TestNever: what fits is never refused while estimates are wrong by up to four times and
// engines tell the truth; far too much is refused, from the first request on.
func TestNever(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wrong := rapid.Float64Range(0.25, 4).Draw(t, "actual over estimated")
		limit := rapid.Float64Range(100, 1e6).Draw(t, "limit")
		e, room := Estimate{}, Room{Context: limit}
		for range rapid.IntRange(0, 200).Draw(t, "learned") {
			e.Learn(1000, 1000*wrong*rapid.Float64Range(0.95, 1.05).Draw(t, "noise"))
		}
		actual := limit * rapid.Float64Range(0, 1).Draw(t, "prompt")
		if _, never := room.Never(&e, actual/wrong, limit-actual); never {
			t.Fatalf("refused %v of %v tokens, estimated as %v", actual, limit, actual/wrong)
		}
		if _, never := room.Never(&e, limit*17/wrong, 0); !never {
			t.Fatalf("%v tokens, estimated as %v, taken for %v", limit*17, limit*17/wrong, limit)
		}
	})
	e := Estimate{}
	e.Learn(1000, 500) // and then the prompts change
	for range 300 {
		e.Learn(1000, 2000)
	}
	room := Room{Read: 1000, Write: 600}
	for _, c := range []struct {
		prompt, answer, limit float64
		never                 bool
	}{{300, 0, 600, false}, {300, 100, 600, true}, {299, 0, 600, false}, {600, 0, 600, true}, {1, 601, 600, true}, {1, 590, 600, false}} {
		if limit, never := room.Never(&e, c.prompt, c.answer); never != c.never || limit != c.limit {
			t.Errorf("%+v: %v, %v", c, limit, never)
		}
	}
	if _, never := (Room{}).Never(&e, 1e12, 1e12); never {
		t.Error("refused though nothing is known")
	}
	if d := e.Tokens(100) - 200; d > 1 || d < -1 {
		t.Errorf("corrected to %v", e.Tokens(100))
	}
}
