package membership

import (
	"slices"
	"testing"
	"time"
)

// TestChangesArriveInTimeDespiteFailedCalls: a change reaches the router within the time that the
// platform allows, even if two calls to discovery in a row become unresponsive.
func TestChangesArriveInTimeDespiteFailedCalls(t *testing.T) {
	const allowed = 6 * time.Second
	backoff := NextBackoff(0)
	worst := WatchTimeout + backoff + WatchTimeout + NextBackoff(backoff) + MaxBackoff
	if worst >= allowed || WatchTimeout <= HeartbeatInterval {
		t.Errorf("a change takes %v in the worst case, WatchTimeout is %v", worst, WatchTimeout)
	}

	for range 20 {
		backoff = NextBackoff(backoff)
		if backoff > MaxBackoff || backoff < MinBackoff {
			t.Errorf("backoff %v, want %v to %v", backoff, MinBackoff, MaxBackoff)
		}
	}
}

// simulatedCall is a call to discovery in a simulated outage.
type simulatedCall struct {
	startedAt time.Duration
	timeout   time.Duration
	answerAt  time.Duration // 0 if it is never answered
}

// timeToFirstAnswer simulates calls to a discovery that loses all calls before outageEnd and answers each later one after
// delay. It returns the time from outageEnd to the first answer, and the largest number of concurrent calls.
func timeToFirstAnswer(outageEnd, delay time.Duration) (elapsed time.Duration, maxCalls int) {
	const step = 10 * time.Millisecond
	var calls []simulatedCall
	var backoff, nextCallAt time.Duration
	for now := time.Duration(0); now < outageEnd+time.Minute; now += step {
		for _, call := range calls {
			if call.answerAt > 0 && now >= call.answerAt {
				return now - outageEnd, maxCalls
			}
		}
		calls = slices.DeleteFunc(calls, func(call simulatedCall) bool { return now-call.startedAt >= call.timeout })
		if now < nextCallAt {
			continue
		}
		pending := make([]PendingCall, len(calls))
		for i, call := range calls {
			pending[i] = PendingCall{Age: now - call.startedAt, Timeout: call.timeout}
		}
		call := simulatedCall{startedAt: now, timeout: NextCallTimeout(pending)}
		if now >= outageEnd {
			call.answerAt = now + delay + step
		}
		calls = append(calls, call)
		maxCalls = max(maxCalls, len(calls))
		backoff = NextBackoff(backoff)
		nextCallAt = now + backoff
	}
	return time.Minute, maxCalls
}

// TestSlowDiscoveryIsAwaited guards against calls that are given up before a slow discovery answers them: whenever an
// outage ends, a discovery that needs up to 4 s for each answer is heard within 6 s.
func TestSlowDiscoveryIsAwaited(t *testing.T) {
	const allowed = 6 * time.Second
	delays := []time.Duration{0, 200, 350, 700, 1000, 1500, 2000, 3000, 4000}
	for outageEnd := time.Duration(0); outageEnd < 12*time.Second; outageEnd += 30 * time.Millisecond {
		for _, milliseconds := range delays {
			delay := milliseconds * time.Millisecond
			elapsed, calls := timeToFirstAnswer(outageEnd, delay)
			if elapsed > allowed || calls > MaxConcurrentCalls {
				t.Errorf("outage until %v, answers after %v: heard after %v with %d calls, want %v and %d",
					outageEnd, delay, elapsed, calls, allowed, MaxConcurrentCalls)
			}
		}
	}
}

// TestOutageIsOverAtTheNextCall: while calls get no response, a new one starts in each MaxBackoff, so that a discovery
// that answers at once is heard at once when it returns.
func TestOutageIsOverAtTheNextCall(t *testing.T) {
	const tolerance = 20 * time.Millisecond // two steps of the simulation
	for outageEnd := time.Duration(0); outageEnd < 12*time.Second; outageEnd += 30 * time.Millisecond {
		if elapsed, _ := timeToFirstAnswer(outageEnd, 0); elapsed > MaxBackoff+tolerance {
			t.Errorf("outage until %v: heard after %v, want at most %v", outageEnd, elapsed, MaxBackoff)
		}
	}
}

// TestResponseWithProgressIsNotGivenUp: a response that has begun may go WatchTimeout without further bytes, however old
// its call is, and never less than the call's own time-out allows.
func TestResponseWithProgressIsNotGivenUp(t *testing.T) {
	for _, c := range []struct{ age, timeout, want time.Duration }{
		{0, ShortCallTimeout, WatchTimeout},
		{time.Minute, ShortCallTimeout, WatchTimeout},
		{0, LongCallTimeout, LongCallTimeout},
		{time.Second, LongCallTimeout, LongCallTimeout - time.Second},
		{4 * time.Second, LongCallTimeout, WatchTimeout},
	} {
		if got := (PendingCall{Age: c.age, Timeout: c.timeout}).RemainingTimeout(); got != c.want {
			t.Errorf("call of age %v with time-out %v: %v remain, want %v", c.age, c.timeout, got, c.want)
		}
	}
}

// TestWatchMidMessageIsNotGivenUp: a watch that is overdue has failed, unless it is in the middle of a message whose bytes
// still arrive.
func TestWatchMidMessageIsNotGivenUp(t *testing.T) {
	for _, c := range []struct {
		isMidMessage     bool
		sinceBytes, want time.Duration
	}{
		{false, 0, 0},
		{true, 0, WatchTimeout},
		{true, time.Second, WatchTimeout - time.Second},
		{true, WatchTimeout, 0},
		{true, time.Minute, 0},
	} {
		if got := OverdueWatchTimeout(c.isMidMessage, c.sinceBytes); got != c.want {
			t.Errorf("in a message %v, %v after its latest bytes: %v remain, want %v", c.isMidMessage, c.sinceBytes, got, c.want)
		}
	}
}

// TestMessagesOfAllCallsFitIntoTheBuffers: the incomplete messages of all calls fit into the memory for buffers.
func TestMessagesOfAllCallsFitIntoTheBuffers(t *testing.T) {
	const bufferedBytes = 6 << 20
	if got := MaxMessageBytes(bufferedBytes); got <= 0 || got*MaxConcurrentCalls > bufferedBytes {
		t.Errorf("%d messages of %d bytes, want at most %d bytes", MaxConcurrentCalls, got, bufferedBytes)
	}
}
