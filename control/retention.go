package control

import (
	"math"
	"time"
)

// When KV state that a request's attempts have left at engines is released.
//
// A retained KV state has to be used or released within a limit. An attempt that is in flight uses it only
// where it has reached its engine, and of that there is no proof but an answer: connections may be open and
// silent, and take all that is written to them. So the age of the state is counted from the latest proof, and
// as the limit comes near the state is released although an attempt is in flight. An engine that has the
// attempt and waits for the state keeps it.
const (
	releaseShare   = 0.6          // of the limit, after which a state is released under an attempt without proof
	attemptTransit = tickInterval // an attempt that was sent later than this may yet be on its way
)

// kvRetention is what is known of the KV state that a request's attempts may have left at engines.
type kvRetention struct {
	mayRetain bool // an engine may retain a state
	since     Time // end of the latest attempt that is known to have reached its engine
	released  bool // under the attempt in flight
}

// provesArrival tells whether an attempt that ended so had reached its engine.
func (r Result) provesArrival() bool {
	return r == OK || r == PrefillDone || r == Failed || r == Rejected
}

// recordOutcome takes in the end of an attempt at an engine of a role.
func (k *kvRetention) recordOutcome(result Result, role Role, now Time) {
	k.released = false
	if !k.mayRetain || result.provesArrival() {
		k.since = now
	}
	prefillMayHaveEnded := role == RolePrefill && (result == PrefillDone || result.MayHaveExecuted())
	k.mayRetain = k.mayRetain || prefillMayHaveEnded
}

// releaseDeadline is when a release of a request's KV state has to be asked for, so that it reaches an engine
// within the retention limit.
func (r *Router) releaseDeadline(request *request) Time {
	limit := r.settings.Limits.KVRetentionLimit
	if limit <= 0 {
		return math.MaxInt64
	}
	early := limit - finishReserve
	return request.retention.since.Add(max(early, shareOf(limit, releaseShare)))
}

// releaseUnproven releases the KV states whose age comes near the limit while nothing proves that the attempt
// in flight has reached its engine.
func (r *Router) releaseUnproven() {
	if !r.settings.Caller.ReleaseSparesAttempts {
		return
	}
	for _, e := range r.endpoints.all {
		for _, request := range e.attempts {
			if r.mustReleaseUnproven(request) {
				request.retention.released = true
				r.do(ReleaseKV{ID: request.ID, Reason: ReleasedWithoutProof})
			}
		}
	}
}

// mustReleaseUnproven tells whether a request's KV state can't wait for the next look. One whose attempt was
// sent just now waits a little longer: most prove to have arrived.
func (r *Router) mustReleaseUnproven(request *request) bool {
	retention := &request.retention
	limit := r.settings.Limits.KVRetentionLimit
	if limit <= 0 || !retention.mayRetain || retention.released || !request.awaitsFirstToken() {
		return false
	}
	nextLook := r.now.Add(tickInterval)
	if r.now.Sub(request.latest.sentAt) < attemptTransit {
		return nextLook > r.releaseDeadline(request)
	}
	return nextLook > retention.since.Add(shareOf(limit, releaseShare))
}

// forfeitKV gives up a KV state that was released, or has to be, under an attempt that then ended without
// proof of having reached its engine: none may count on it. It tells whether it did so.
func (r *Router) forfeitKV(request *request, outcome Result, wasReleased bool) bool {
	isStale := wasReleased || r.now >= r.releaseDeadline(request)
	isUnproven := outcome.MayHaveExecuted() && !outcome.provesArrival()
	if request.kvHolder == nil || !isStale || !isUnproven {
		return false
	}
	request.kvHolder = nil
	r.do(ReleaseKV{ID: request.ID, Reason: ReleasedWithoutProof})
	request.retention = kvRetention{}
	return true
}

// releaseBeforePrefill releases what an earlier prefill may have left before the prompt is computed again: a
// release that comes while that goes on would take the new state too.
func (r *Router) releaseBeforePrefill(request *request) {
	if !r.settings.Caller.ReleaseSparesAttempts || !request.retention.mayRetain {
		return
	}
	r.do(ReleaseKV{ID: request.ID, Reason: ReleasedBeforeRetry})
	request.retention = kvRetention{}
}

// shareOf is a share of a span.
func shareOf(span time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(span))
}
