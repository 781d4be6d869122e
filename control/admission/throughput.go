package admission

import (
	"math"
	"time"

	"martenlock/control"
	"martenlock/control/internal/ewma"
)

const (
	// minWindow is the minimum length of a window in which a unit was served.
	minWindow = 250 * time.Millisecond
	// minEmptyWindow is the minimum length of a window in which no unit was served.
	minEmptyWindow = time.Second
	// throughputAlpha is the weight of a new sample in the average.
	throughputAlpha = 0.3
	// optimismPeriod is the time constant of the exponential rise of the estimated throughput while there
	// are no new samples.
	optimismPeriod = 2 * time.Second
	// maxOptimismPeriods limits this rise, so that the estimate stays finite.
	maxOptimismPeriods = 20
	// recoveryUnitsPerSecond is the floor to which empty windows lower the throughput, in mean units per
	// second. Without a floor, the estimate would approach 0 and recover only slowly.
	recoveryUnitsPerSecond = 0.25
)

// throughput measures the rate at which the pool serves large requests.
//
// A sample is the number of tokens served in a window, divided by the window's length. If work was waiting
// during the whole window, the sample measures the pool's capacity and enters the average. Otherwise the
// pool may have been idle for part of the window, and the sample is only a lower bound: it can raise the
// throughput but not lower it. A sample of 0, while units were outstanding, halves the throughput in both
// cases, but not below recoveryUnitsPerSecond.
type throughput struct {
	rate               ewma.Average[float64] // tokens per second
	updatedAt          control.Time
	windowStart        control.Time
	windowTokens       float64 // of units served in the window
	windowIsBacklogged bool    // work has been waiting during the whole window
}

// queueState is the state of the queue at the end of a window. It determines how the window's sample counts.
type queueState struct {
	hasOutstanding bool
	hasWaiting     bool
	meanUnitTokens float64
}

func (t *throughput) addServed(tokens float64) { t.windowTokens += tokens }

// restartWindow discards the current window and starts a new one.
func (t *throughput) restartWindow(now control.Time, isBacklogged bool) {
	t.windowStart = now
	t.windowTokens = 0
	t.windowIsBacklogged = isBacklogged
}

// observe ends the current window and records its sample, if the window is long enough.
func (t *throughput) observe(now control.Time, state queueState) {
	if !state.hasOutstanding && t.windowTokens == 0 { // idle: nothing to measure
		t.restartWindow(now, state.hasWaiting)
		return
	}
	length := now.Sub(t.windowStart)
	if length < minWindow || t.windowTokens == 0 && length < minEmptyWindow {
		return
	}
	sample := t.windowTokens / length.Seconds()
	switch {
	case sample == 0:
		floor := state.meanUnitTokens * recoveryUnitsPerSecond
		t.rate.Value = min(t.rate.Value, max(t.rate.Value/2, floor))
		t.updatedAt = now
	case t.windowIsBacklogged && t.rate.Value > 0:
		t.rate.Observe(sample, throughputAlpha)
		t.updatedAt = now
	case sample > t.rate.Value:
		t.rate.Value = sample
		t.updatedAt = now
	}
	t.restartWindow(now, state.hasWaiting)
}

// optimisticRate returns the throughput, raised with the age of its last sample. Otherwise a pool that was
// slow would get no more requests, and its recovery would not be observed.
func (t *throughput) optimisticRate(now control.Time) float64 {
	periods := now.Sub(t.updatedAt).Seconds() / optimismPeriod.Seconds()
	return t.rate.Value * math.Exp(min(max(periods, 0), maxOptimismPeriods))
}
