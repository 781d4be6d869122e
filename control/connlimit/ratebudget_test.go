package connlimit

import (
	"math"
	"testing"
	"time"
)

// TestRateBudgetAllowsABurstAndThenItsRate: a flood gets the burst and no more than the rate after it.
func TestRateBudgetAllowsABurstAndThenItsRate(t *testing.T) {
	var budget RateBudget
	allowed := 0
	for range 10 * int(eventLineBurst) {
		if budget.Allow(time.Second) {
			allowed++
		}
	}
	if allowed != int(eventLineBurst) {
		t.Errorf("%d lines at once, want %v", allowed, eventLineBurst)
	}
	allowed = 0
	const seconds = 10
	for now := time.Second; now < (1+seconds)*time.Second; now += time.Millisecond {
		if budget.Allow(now) {
			allowed++
		}
	}
	if math.Abs(float64(allowed)-seconds*eventLinesPerSecond) > 1 {
		t.Errorf("%d lines in %d s of a flood", allowed, seconds)
	}
}
