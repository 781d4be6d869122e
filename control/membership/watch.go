package membership

import "time"

// Time-outs of the connections to discovery. A watch is a response of discovery that never ends. It carries
// messages, and an empty line as a heartbeat after each HeartbeatInterval.
//
// The platform expects the router to know a change within 6 s after discovery has it and can be reached, and
// at once if discovery comes back from an outage, so that the drain grace leaves little time for delays. The
// time-outs must be short enough for that even if two calls in a row become unresponsive. Each of them takes
// WatchTimeout and a backoff, 5.2 s together: a watch becomes unresponsive, the next call hangs after the
// head of its response, and the one after that is answered.
const (
	// HeartbeatInterval is how often discovery sends an empty line on a watch.
	HeartbeatInterval = 2 * time.Second
	// WatchTimeout is the time without a complete message or heartbeat after which a watch has failed.
	// An incomplete message does not count. A heartbeat may be late by a quarter of its interval.
	WatchTimeout = HeartbeatInterval + HeartbeatInterval/4
	// MaxConcurrentCalls is the maximum number of calls in flight while none is answered. A new call does
	// not wait for a hanging one, and a call made during an outage of discovery may be answered when the
	// outage ends.
	MaxConcurrentCalls = 4
	// MinBackoff is the shortest wait before another call.
	MinBackoff = 50 * time.Millisecond
	// MaxBackoff is the longest wait before another call.
	MaxBackoff = 200 * time.Millisecond
	// BackoffResetAfter is how long a watch must last to reset the backoff.
	BackoffResetAfter = time.Second
)

// NextBackoff returns the backoff before the next call: twice the previous backoff, bounded by MinBackoff
// and MaxBackoff. previous is 0 before the first call.
func NextBackoff(previous time.Duration) time.Duration {
	return min(max(2*previous, MinBackoff), MaxBackoff)
}
