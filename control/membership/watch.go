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
//
// A router without a watch can't tell a call that discovery has lost from one that discovery answers slowly.
// A new call helps only in the first case, so calls overlap: most of them are quick, and the others are
// patient. If discovery needs at most 4 s for each answer, then the next patient call is answered within 6 s
// after discovery can be reached. The first call that is answered becomes the watch.
const (
	// HeartbeatInterval is how often discovery sends an empty line on a watch.
	HeartbeatInterval = 2 * time.Second
	// WatchTimeout is the time without a complete message or heartbeat after which a watch has failed.
	// An incomplete message does not count. A heartbeat may be late by a quarter of its interval. It is also
	// how long a call may go without further bytes after the head of its response.
	WatchTimeout = HeartbeatInterval + HeartbeatInterval/4
	// QuickCallTimeout is how long a quick call waits for its response.
	QuickCallTimeout = 350 * time.Millisecond
	// PatientCallTimeout is how long a patient call waits for its response.
	PatientCallTimeout = 4400 * time.Millisecond
	// PatientCallInterval is the minimum time between the starts of two patient calls.
	PatientCallInterval = 1500 * time.Millisecond
	// MaxConcurrentCalls is the maximum number of calls in flight while none is answered. It has room for the
	// patient calls and the quick ones that overlap.
	MaxConcurrentCalls = 5
	// MinBackoff is the shortest wait before another call.
	MinBackoff = 50 * time.Millisecond
	// MaxBackoff is the longest wait before another call.
	MaxBackoff = 200 * time.Millisecond
	// BackoffResetAfter is how long a watch must last to reset the backoff.
	BackoffResetAfter = time.Second
)

// messageShare is the share of the memory for buffers that one message may take, as a divisor.
const messageShare = 8

// MaxMessageBytes returns the maximum length of a message of discovery, given the memory for buffers. The
// incomplete messages of MaxConcurrentCalls fit into that memory.
func MaxMessageBytes(bufferedBytes int) int { return bufferedBytes / messageShare }

// NextBackoff returns the backoff before the next call: twice the previous backoff, bounded by MinBackoff
// and MaxBackoff. previous is 0 before the first call.
func NextBackoff(previous time.Duration) time.Duration {
	return min(max(2*previous, MinBackoff), MaxBackoff)
}

// PendingCall is a call to discovery without a complete message or heartbeat so far.
type PendingCall struct {
	Age     time.Duration // since it was started
	Timeout time.Duration // as NextCallTimeout has returned it
}

// NextCallTimeout returns how long the next call may wait for its response, given the calls that are pending.
// The next call is a patient one unless another patient call has been started recently and is pending.
func NextCallTimeout(pending []PendingCall) time.Duration {
	for _, call := range pending {
		if call.Timeout == PatientCallTimeout && call.Age < PatientCallInterval {
			return QuickCallTimeout
		}
	}
	return PatientCallTimeout
}

// RemainingTimeout returns how long a call may go without further bytes after it has received some. A
// response that makes progress is not given up for another one that would be as slow.
func (c PendingCall) RemainingTimeout() time.Duration { return max(c.Timeout-c.Age, WatchTimeout) }
