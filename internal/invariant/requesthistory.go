package invariant

import (
	"cmp"
	"slices"
	"time"
)

// requestHistory is what was observed of one request or shard.
type requestHistory struct {
	id     string
	parent *requestHistory // of a shard; nil for a request

	// Observed by the client.
	isSent       bool
	sentAt       time.Duration
	deadline     time.Duration
	effect       Effect
	dedupWindow  time.Duration
	firstTokenAt time.Duration // 0 for none
	answers      []Event
	clientLeft   bool

	// Observed by engines.
	inFlight    []attempt
	lastEndedAt time.Duration // end of the latest attempt
	executions  []Event
	retained    map[string]time.Duration // by engine that retains KV state: since when the state is unused
}

// attempt is one attempt in flight.
type attempt struct {
	engine    string
	beganAt   time.Duration
	nextBegan time.Duration // start of the next attempt; 0 for none
}

// wasSent reports whether a client sent the request, or the parent of the shard.
func (r *requestHistory) wasSent() bool {
	if r.parent != nil {
		return r.parent.isSent
	}
	return r.isSent
}

// inFlightAt returns the index of the attempt in flight at an engine, -1 if there is none.
func (r *requestHistory) inFlightAt(engine string) int {
	return slices.IndexFunc(r.inFlight, func(a attempt) bool { return a.engine == engine })
}

// recordSent records what the client declared.
func (r *requestHistory) recordSent(event Event) {
	r.isSent = true
	r.sentAt = event.At
	r.deadline = event.Deadline
	r.effect = event.Effect
	r.dedupWindow = event.DedupWindow
}

// beginAttempt adds an attempt.
func (r *requestHistory) beginAttempt(event Event) {
	for i := range r.inFlight {
		r.inFlight[i].nextBegan = cmp.Or(r.inFlight[i].nextBegan, event.At)
	}
	r.inFlight = append(r.inFlight, attempt{engine: event.Engine, beganAt: event.At})
}

// endAttempt removes the attempt at an index. Retained KV state counts as unused from then on at the earliest.
func (r *requestHistory) endAttempt(index int, at time.Duration) {
	r.inFlight = slices.Delete(r.inFlight, index, index+1)
	r.lastEndedAt = at
	for engine, since := range r.retained {
		r.retained[engine] = max(since, at)
	}
}
