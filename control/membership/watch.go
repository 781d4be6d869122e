package membership

import "time"

// Time-outs of the connections to discovery. A watch is a long poll that never ends: it brings
// complete messages, and an empty line each HeartbeatInterval in between.
//
// The platform counts a change as known to the router 6 s after discovery has it and can be reached,
// whatever happens to calls meanwhile, and at once if discovery comes back from an outage. So the
// drain grace leaves little time for delays. In the worst case a watch becomes unresponsive, the next
// call hangs after the head of its response, and the one after that is answered. That takes
// WatchTimeout, a backoff, WatchTimeout and a backoff, 5.2 s.
const (
	// HeartbeatInterval is how often discovery sends an empty line on a watch.
	HeartbeatInterval = 2 * time.Second
	// WatchTimeout is the time without a complete message or heartbeat after which a watch has
	// failed. Part of a message does not count. A heartbeat may be late by a quarter of its interval.
	WatchTimeout = HeartbeatInterval + HeartbeatInterval/4
	// MaxConcurrentCalls bounds the calls in flight while none is answered. A call that hangs does
	// not delay a later one, and a call made during an outage of discovery is answered after it.
	MaxConcurrentCalls = 4
	// MinBackoff is the least time between two calls.
	MinBackoff = 50 * time.Millisecond
	// MaxBackoff is the longest time between two calls.
	MaxBackoff = 200 * time.Millisecond
	// BackoffResetAfter is how long a watch must last for the backoff to restart.
	BackoffResetAfter = time.Second
)

// NextBackoff returns the time to the next call: twice the previous one, from MinBackoff to
// MaxBackoff. The previous one is 0 at the start.
func NextBackoff(previous time.Duration) time.Duration {
	return min(max(2*previous, MinBackoff), MaxBackoff)
}
