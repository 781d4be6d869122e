package ewma

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "martenlock/internal/proptest"
)

// The weights and values below are powers of two or small integers, so that the expected values are exact.

func TestFirstObservationBecomesTheAverage(t *testing.T) {
	var average Average[float64]

	average.Observe(12, 0.25)

	checkValue(t, average, 12)
}

func TestObserveMovesTheAverageByItsWeight(t *testing.T) {
	average := Average[float64]{Value: 8}

	average.Observe(16, 0.25)
	checkValue(t, average, 10)

	average.Observe(2, 0.5)
	checkValue(t, average, 6)
}

func TestApproachMovesTheAverageFromZero(t *testing.T) {
	var average Average[float64]

	average.Approach(1, 0.25)
	checkValue(t, average, 0.25)

	average.Approach(1, 0.5)
	checkValue(t, average, 0.625)
}

func TestObserveLowFollowsLowValues(t *testing.T) {
	const fallAlpha, riseAlpha = 0.5, 0.125
	tests := map[string]struct {
		before, value, want float64
	}{
		"first value":                {before: 0, value: 16, want: 16},
		"equal value":                {before: 16, value: 16, want: 16},
		"high value: rise only":      {before: 16, value: 32, want: 18},
		"low value: fall, rise":      {before: 16, value: 0, want: 7},
		"0 above a negative average": {before: -16, value: 0, want: -14},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			average := Average[float64]{Value: test.before}

			average.ObserveLow(test.value, fallAlpha, riseAlpha)

			checkValue(t, average, test.want)
		})
	}
}

// TestArithmeticIsBitIdenticalToTheFormula: decisions compare averages, so a difference in the last bit could
// change a decision.
func TestArithmeticIsBitIdenticalToTheFormula(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := rapid.Float64Range(1e-9, 1e9).Draw(t, "before")
		value := rapid.Float64Range(0, 1e9).Draw(t, "value")
		alpha := rapid.Float64Range(0, 1).Draw(t, "alpha")
		average := Average[float64]{Value: before}

		average.Observe(value, alpha)

		want := before + alpha*(value-before)
		if math.Float64bits(average.Value) != math.Float64bits(want) {
			t.Fatalf("average of %v after %v with weight %v: %v, want %v", before, value, alpha, average.Value, want)
		}
	})
}

func TestAverageDoesNotAllocate(t *testing.T) {
	var average Average[float64]

	allocations := testing.AllocsPerRun(100, func() { average.ObserveLow(2, 0.5, 0.125) })

	if allocations != 0 {
		t.Errorf("%v allocations, want none", allocations)
	}
}

func checkValue(t *testing.T, average Average[float64], want float64) {
	t.Helper()
	if average.Value != want {
		t.Errorf("average %v, want %v", average.Value, want)
	}
}
