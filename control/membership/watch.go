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
// A new call helps only in the first case, so calls overlap: most of them have a short time-out, the others a
// long one. If discovery needs at most 4 s for each answer, then the next call with a long time-out is answered
// within 6 s after discovery can be reached. The first call that is answered becomes the watch.
const (
	// HeartbeatInterval is how often discovery sends an empty line on a watch.
	HeartbeatInterval = 2 * time.Second
	// WatchTimeout is the time without a complete message or heartbeat after which a watch has failed.
	// An incomplete message does not count. A heartbeat may be late by a quarter of its interval. It is also
	// how long a call may go without further bytes after the head of its response.
	WatchTimeout = HeartbeatInterval + HeartbeatInterval/4
	// ResponseBackoff is the wait before another call once the response to one has begun.
	ResponseBackoff = WatchTimeout
	// ShortCallTimeout is how long most calls wait for their response.
	ShortCallTimeout = 350 * time.Millisecond
	// LongCallTimeout is how long the other calls wait for their response.
	LongCallTimeout = 4400 * time.Millisecond
	// LongCallInterval is the minimum time between the starts of two calls with LongCallTimeout.
	LongCallInterval = 1500 * time.Millisecond
	// MaxConcurrentCalls is the maximum number of calls in flight while none is answered: three with
	// LongCallTimeout and two with ShortCallTimeout can overlap.
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

// NextCallTimeout returns how long the next call may wait for its response, given the calls that are pending:
// LongCallTimeout, unless a pending call with that time-out has been started recently.
func NextCallTimeout(pending []PendingCall) time.Duration {
	for _, call := range pending {
		if call.Timeout == LongCallTimeout && call.Age < LongCallInterval {
			return ShortCallTimeout
		}
	}
	return LongCallTimeout
}

// RemainingTimeout returns how long a call may go without further bytes after it has received some. A
// response that makes progress is not given up for another one that would be as slow.
func (c PendingCall) RemainingTimeout() time.Duration { return max(c.Timeout-c.Age, WatchTimeout) }

// OverdueWatchTimeout returns how long a watch may go without further bytes after WatchTimeout has passed
// without a complete message or heartbeat. 0 means that it has failed. isMidMessage is set if a message has
// arrived in part, and sinceBytes is the time since its latest bytes.
func OverdueWatchTimeout(isMidMessage bool, sinceBytes time.Duration) time.Duration {
	if !isMidMessage {
		return 0
	}
	return max(WatchTimeout-sinceBytes, 0)
}
