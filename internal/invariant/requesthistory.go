package invariant

import (
	"cmp"
	"slices"
	"time"
)

// requestHistory contains the observations of a request or shard.
type requestHistory struct {
	id     string
	parent *requestHistory // the request that a shard belongs to; nil for a request

	// Recorded by the client.
	isSent       bool
	sentAt       time.Duration
	deadline     time.Duration
	effect       Effect
	dedupWindow  time.Duration
	firstTokenAt time.Duration // 0 for none
	answers      []Event
	clientLeft   bool

	// Recorded by engines.
	inFlight      []attempt
	lastEndedAt   time.Duration // end of the latest attempt
	executions    []Event
	kvUnusedSince map[string]time.Duration // start of the latest unused period of a KV state, by the engine that retains it
}

// attempt is one attempt in flight.
type attempt struct {
	engine      string
	beganAt     time.Duration
	nextBeganAt time.Duration // start of the next attempt; 0 for none
}

// sentByClient reports whether a client sent the request, or the parent of the shard.
func (r *requestHistory) sentByClient() bool {
	if r.parent != nil {
		return r.parent.isSent
	}
	return r.isSent
}

// attemptIndex returns the index in inFlight of the attempt at an engine, or -1 if there is none.
func (r *requestHistory) attemptIndex(engine string) int {
	return slices.IndexFunc(r.inFlight, func(a attempt) bool { return a.engine == engine })
}

// recordSent records that a client sent the request, and what it declared.
func (r *requestHistory) recordSent(event Event) {
	r.isSent = true
	r.sentAt = event.At
	r.deadline = event.Deadline
	r.effect = event.Effect
	r.dedupWindow = event.DedupWindow
}

// beginAttempt adds an attempt in flight. Its start becomes the nextBeganAt of attempts in flight that have none.
func (r *requestHistory) beginAttempt(event Event) {
	for i := range r.inFlight {
		r.inFlight[i].nextBeganAt = cmp.Or(r.inFlight[i].nextBeganAt, event.At)
	}
	r.inFlight = append(r.inFlight, attempt{engine: event.Engine, beganAt: event.At})
}

// endAttempt removes the attempt at an index of inFlight. The unused time of retained KV states starts when the
// attempt ends.
func (r *requestHistory) endAttempt(index int, at time.Duration) {
	r.inFlight = slices.Delete(r.inFlight, index, index+1)
	r.lastEndedAt = at
	for engine, since := range r.kvUnusedSince {
		r.kvUnusedSince[engine] = max(since, at)
	}
}
