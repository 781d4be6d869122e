package admission

import (
	"math"
	"time"

	"martenlock/control"
	"martenlock/control/internal/ewma"
)

const (
	// throughputWindow is the least time over which throughput is measured: long enough for several
	// units to end.
	throughputWindow = 250 * time.Millisecond
	// emptyWindow is the least time after which a window in which no unit ended counts as a sample.
	emptyWindow = time.Second
	// throughputAlpha is the weight of a new sample.
	throughputAlpha = 0.3
	// optimismPeriod is the time in which the estimate of a throughput without new samples rises by a
	// factor of e.
	optimismPeriod = 2 * time.Second
	// maxOptimismPeriods bounds that rise, so that it stays finite.
	maxOptimismPeriods = 20
	// recoveryUnitsPerSecond is the lowest throughput after empty windows, in mean units a second. It is low
	// enough to reject most arriving requests, and high enough to recover within seconds.
	recoveryUnitsPerSecond = 0.25
)

// throughput measures the rate at which the pool serves large requests.
//
// A sample is the tokens of units that ended in a window, divided by the window's length. A window in which
// work waited all the time measures the pool's capacity, and its sample enters the average. In any other window
// the pool may have been idle, so that the sample is only a lower bound: it can raise the throughput but not
// lower it.
type throughput struct {
	rate               ewma.Average[float64] // tokens a second
	updatedAt          control.Time
	windowStart        control.Time
	windowTokens       float64 // of units that ended in the window
	windowIsBacklogged bool    // work waited all through the window
}

// queueState is the state of the queue at the end of a window. It decides what the window's sample means.
type queueState struct {
	hasOutstanding bool
	hasWaiting     bool
	meanUnitTokens float64
}

// addServed records that a unit was served.
func (t *throughput) addServed(tokens float64) { t.windowTokens += tokens }

// restartWindow discards the current window and begins another.
func (t *throughput) restartWindow(now control.Time, isBacklogged bool) {
	t.windowStart = now
	t.windowTokens = 0
	t.windowIsBacklogged = isBacklogged
}

// observe ends the current window and observes its sample, if the window is long enough.
func (t *throughput) observe(now control.Time, state queueState) {
	if !state.hasOutstanding && t.windowTokens == 0 { // idle: nothing to measure
		t.restartWindow(now, state.hasWaiting)
		return
	}
	length := now.Sub(t.windowStart)
	if length < throughputWindow || t.windowTokens == 0 && length < emptyWindow {
		return
	}
	sample := t.windowTokens / length.Seconds()
	switch {
	case sample == 0:
		lowest := state.meanUnitTokens * recoveryUnitsPerSecond
		t.rate.Value = min(t.rate.Value, max(t.rate.Value/2, lowest))
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

// optimisticRate returns the throughput, raised by the age of its last sample. Without this, a pool that was
// slow would get no more requests and its recovery would not be observed.
func (t *throughput) optimisticRate(now control.Time) float64 {
	periods := now.Sub(t.updatedAt).Seconds() / optimismPeriod.Seconds()
	return t.rate.Value * math.Exp(min(max(periods, 0), maxOptimismPeriods))
}
