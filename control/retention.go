package control

import (
	"math"
	"time"
)

// A retained KV state has to be used or released within a limit. An attempt in flight uses it only if the
// attempt has reached its engine, and only a response proves that: a connection may be open and accept all
// that is written without delivering it. So the age of the state counts from the latest proof. As the limit
// comes near, the state is released although an attempt is in flight. An engine that has the attempt and
// waits for the state keeps it.
const (
	// releaseShare is the share of the limit after which a state is released under an attempt without proof.
	releaseShare = 0.6
	// attemptTransit is the time for which an attempt may still be on its way to its engine.
	attemptTransit = tickInterval
)

// kvRetention is what is known of the KV state that a request's attempts may have left at engines.
type kvRetention struct {
	holder    *endpoint // the prefill engine that retains a usable state; nil for none
	mayRetain bool      // an engine may retain a state, usable or not
	since     Time      // end of the latest attempt that is known to have reached its engine
	released  bool      // under the attempt in flight
}

// provesArrival reports whether an attempt with this result had reached its engine.
func (r Result) provesArrival() bool {
	return r == OK || r == PrefillDone || r == Failed || r == Rejected
}

// recordOutcome records the end of an attempt at an endpoint.
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

// releaseDeadline returns when the release has to be emitted to reach an engine within the retention limit.
// It is never if there is no limit.
func (k *kvRetention) releaseDeadline(limit time.Duration) Time {
	if limit <= 0 {
		return math.MaxInt64
	}
	return k.since.Add(max(limit-finishReserve, shareOf(limit, releaseShare)))
}

// unprovenDeadline returns when the state is released under an attempt without proof of arrival.
func (k *kvRetention) unprovenDeadline(limit time.Duration) Time {
	return k.since.Add(shareOf(limit, releaseShare))
}

// releaseUnproven releases the KV states whose age comes near the limit while nothing proves that the attempt
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
// attempt was sent just now, the state is kept a little longer: most attempts prove to have arrived.
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

// forfeitKV drops a request's KV state if its attempt ended without proof of arrival while the state was
// released, or has to be. No further attempt may rely on it. It reports whether it dropped the state.
func (r *Router) forfeitKV(request *request, result Result, wasReleased bool) bool {
	stale := wasReleased || r.now >= request.kv.releaseDeadline(r.settings.Limits.KVRetentionLimit)
	unproven := result.MayHaveExecuted() && !result.provesArrival()
	if request.kv.holder == nil || !stale || !unproven {
		return false
	}
	r.releaseKV(request, ReleasedWithoutProof)
	return true
}

// releaseBeforePrefill releases what an earlier prefill may have left before the prompt is computed again. A
// later release would take the new state too.
func (r *Router) releaseBeforePrefill(request *request) {
	if r.settings.Caller.ReleaseSparesAttempts && request.kv.mayRetain {
		r.releaseKV(request, ReleasedBeforeRetry)
	}
}

// releaseKV releases all KV states of a request, which continues without one.
func (r *Router) releaseKV(request *request, reason ReleaseReason) {
	r.emit(ReleaseKV{ID: request.ID, Reason: reason})
	request.kv = kvRetention{}
}

// shareOf returns a share of a duration.
func shareOf(duration time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(duration))
}
