package connlimit

import "time"

const (
	// eventLinesPerSecond is how many lines of one kind a busy router may log. Enough to follow single requests
	// through a fault; a flood costs less than a hundredth of a core.
	eventLinesPerSecond = 50.0
	// eventLineBurst may be logged at once: a fault begins for many requests in the same moment.
	eventLineBurst = 200.0
)

// RateBudget bounds how many log lines of one kind are written (a token bucket). The zero RateBudget is full.
type RateBudget struct {
	used      float64
	updatedAt time.Duration
}

// Allow tells whether one more line may be written now, and if so counts it.
func (b *RateBudget) Allow(now time.Duration) bool {
	refilled := (now - b.updatedAt).Seconds() * eventLinesPerSecond
	b.used = max(b.used-refilled, 0)
	b.updatedAt = now
	if b.used+1 > eventLineBurst {
		return false
	}
	b.used++
	return true
}
