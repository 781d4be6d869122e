package control

import (
	"math"
	"time"
)

// A retained KV state has to be used or released within the retention limit. An attempt in flight uses the
// state only once the attempt has reached its engine. Only a response proves this, because a broken
// connection may accept all written data without delivering it. The age of a state is therefore measured from
// the latest such proof. With Capabilities.ReleaseSparesAttempts, a state that nears the limit is released
// even while an attempt is in flight: the release does not affect an engine that has received the attempt and
// waits for the state.
const (
	// unprovenReleaseShare is the fraction of the retention limit after which a state is released while an
	// attempt without proof of arrival is in flight.
	unprovenReleaseShare = 0.6
	// attemptTransit is how long an attempt may take to reach its engine.
	attemptTransit = tickInterval
)

// kvRetention describes the KV states that a request's attempts may have left at engines.
type kvRetention struct {
	holder    *endpoint // prefill engine that retains a usable state; nil for none
	mayRetain bool      // an engine may retain a state, usable or not
	released  bool      // a release was emitted while the latest attempt was in flight

	// since is the end of the latest attempt with proof of arrival. Without such an attempt, it is the end of
	// the first attempt that may have left a state. The age of the states is measured from it.
	since Time
}

// provesArrival reports whether the result proves that the attempt reached its engine.
func (r Result) provesArrival() bool {
	return r == OK || r == PrefillDone || r == Failed || r == Rejected || r == ResponseDropped
}

// recordOutcome updates the retention after the end of an attempt at an endpoint.
func (k *kvRetention) recordOutcome(result Result, target *endpoint, now Time) {
	k.released = false
	if !k.mayRetain || result.provesArrival() {
		k.since = now
	}
	if target.role == RolePrefill && (result == PrefillDone || result.MayHaveExecuted()) {
		k.mayRetain = true
	}
	if result == PrefillDone {
		k.holder = target
	}
}

// releaseDeadline returns the time by which the state has to be released, so that the release reaches an
// engine within the retention limit. From then on, no attempt that uses the state may be sent. A limit of 0
// means no limit, and the deadline is then math.MaxInt64.
func (k *kvRetention) releaseDeadline(limit time.Duration) Time {
	if limit <= 0 {
		return math.MaxInt64
	}
	return k.since.Add(max(limit-finishReserve, shareOf(limit, unprovenReleaseShare)))
}

// unprovenDeadline returns the time by which the state is released while an attempt without proof of arrival
// is in flight.
func (k *kvRetention) unprovenDeadline(limit time.Duration) Time {
	return k.since.Add(shareOf(limit, unprovenReleaseShare))
}

// releaseUnproven releases the KV states that near the retention limit while nothing proves that the attempt
// in flight has reached its engine.
func (r *Router) releaseUnproven() {
	if !r.settings.Caller.ReleaseSparesAttempts {
		return
	}
	for _, e := range r.endpoints.all {
		for _, request := range e.load.attempts {
			if r.mustReleaseUnproven(request) {
				request.kv.released = true
				r.emit(ReleaseKV{ID: request.ID, Reason: ReleasedWithoutProof})
			}
		}
	}
}

// mustReleaseUnproven reports whether a request's KV state has to be released before the next tick. If the
// attempt was sent less than attemptTransit ago, the state is kept until the release deadline, since the
// attempt has probably arrived or will arrive soon.
func (r *Router) mustReleaseUnproven(request *request) bool {
	kv := &request.kv
	limit := r.settings.Limits.KVRetentionLimit
	if limit <= 0 || !kv.mayRetain || kv.released || !request.awaitsFirstToken() {
		return false
	}
	nextTick := r.now.Add(tickInterval)
	if r.now.Sub(request.latest.sentAt) < attemptTransit {
		return nextTick > kv.releaseDeadline(limit)
	}
	return nextTick > kv.unprovenDeadline(limit)
}

// discardStaleKV releases and forgets a request's KV state after an attempt that may have reached its engine
// but ended without proof of this. It does so only if the state was released during the attempt or is past
// its release deadline, because further attempts must not rely on such a state. It reports whether it
// discarded the state.
func (r *Router) discardStaleKV(request *request, result Result, wasReleased bool) bool {
	stale := wasReleased || r.now >= request.kv.releaseDeadline(r.settings.Limits.KVRetentionLimit)
	unproven := result.MayHaveExecuted() && !result.provesArrival()
	if request.kv.holder == nil || !stale || !unproven {
		return false
	}
	r.releaseKV(request, ReleasedWithoutProof)
	return true
}

// releaseBeforePrefill is called before the prompt of a request is computed again. With ReleaseSparesAttempts
// it releases the KV state that an earlier prefill may have left, since a later release would also take the
// new state.
func (r *Router) releaseBeforePrefill(request *request) {
	if r.settings.Caller.ReleaseSparesAttempts && request.kv.mayRetain {
		r.releaseKV(request, ReleasedBeforeRetry)
	}
}

// releaseKV releases all KV states of a request. The request continues without one.
func (r *Router) releaseKV(request *request, reason ReleaseReason) {
	r.emit(ReleaseKV{ID: request.ID, Reason: reason})
	request.kv = kvRetention{}
}

func shareOf(duration time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(duration))
}
