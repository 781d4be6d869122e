package control

import (
	"container/heap"
	"math"
	"time"
)

// What follows an attempt.
const (
	rejectionLimit = 0.3              // rejection rate of prefill engines above which two attempts are enough
	minTimeout     = time.Millisecond // least time-out of an attempt
	minRetryAfter  = tickInterval     // least time after which a rejected client is asked to come again
	suspectResets  = 2                // lost connections, of all attempts, that make a request suspect
)

// forward starts the next attempt of a request.
func (r *Router) forward(request *request, target *endpoint) {
	tokens := request.PromptTokens
	if request.kvHolder == nil {
		tokens = request.uncachedTokens(target)
	}
	target.addAttempt(request, attempt{inFlight: true, sentAt: r.now, tokensToPrefill: tokens})
	r.capacity.add(target, request, 1)
	if target.role != RoleDecode {
		request.session.lastPrefill = target
		request.session.cachedTokens = request.PromptTokens
	}
	if target.ejected() {
		target.nextProbation = r.now.Add(probationInterval)
	}
	timeout := max(request.Deadline.Sub(r.now), minTimeout)
	action := Forward{ID: request.ID, Endpoint: target.ID, Timeout: timeout}
	if deadline := r.sendDeadline(request); deadline < request.Deadline {
		action.SendWithin = deadline.Sub(r.now)
	}
	r.do(action)
}

// sendDeadline is when the last byte of a request's next attempt must have left. The dangers are a KV state
// that stays retained while one decode engine after another can't be reached, and a repeat that arrives when
// its engines have forgotten the first: either way a connection that takes its time has sent nothing yet.
func (r *Router) sendDeadline(request *request) Time {
	deadline := Time(math.MaxInt64)
	if request.kvHolder != nil {
		deadline = r.releaseDeadline(request)
	}
	first := request.firstExecution
	if first.endpoint != nil && request.class.Idempotency == IdempotentWithKey {
		deadline = min(deadline, first.sentAt.Add(request.class.DedupWindow))
	}
	return deadline
}

// handleFirstToken takes in the start of an answer.
func (r *Router) handleFirstToken(event AnswerStarted) {
	request, target := r.attemptInFlight(event.ID, event.Endpoint)
	if request == nil {
		return
	}
	target.recordProgress(request, r.now)
	r.latency.observe(target.role, event.Elapsed, request.latest.tokensToPrefill, r.now)
	request.hasFirstToken = true
	request.kvHolder = nil
}

// handleOutcome takes in the end of an attempt, late ones too.
func (r *Router) handleOutcome(event Outcome) {
	request, target := r.attemptInFlight(event.ID, event.Endpoint)
	if request == nil {
		// Whatever the attempt left behind, nobody waits for it.
		r.do(ReleaseKV{ID: event.ID, Reason: ReleasedForLateOutcome})
		return
	}
	target.removeAttempt(request)
	r.capacity.add(target, request, -1)
	wasReleased := request.retention.released
	request.retention.recordOutcome(event.Result, target.role, r.now)
	r.recordReport(target, event.Report)
	r.recordOutcome(request, target, event)
	request.serviceTime += event.Elapsed
	switch event.Result {
	case PrefillDone:
		request.kvHolder = target
	case OK:
		request.session.serviceTime += request.serviceTime
	}
	if event.Final || request.finished {
		r.finish(request)
		return
	}
	r.followUp(request, target, event, wasReleased)
}

// followUp decides what comes after an attempt that did not end its request; wasReleased tells that its KV
// state was released under it. A prompt whose KV state is forfeited is computed anew only in time.
func (r *Router) followUp(request *request, target *endpoint, event Outcome, wasReleased bool) {
	if event.Result.MayHaveExecuted() && target.role != RolePrefill && request.firstExecution.endpoint == nil {
		request.firstExecution = execution{endpoint: target, sentAt: request.latest.sentAt}
	}
	if event.Result == Reset {
		request.connectionsLost++
	}
	if event.Result == Rejected && event.KVMissing { // gone, or out of this engine's reach: prefill anew
		request.kvHolder = nil
		r.do(ReleaseKV{ID: request.ID, Reason: ReleasedAsKVMissing})
		request.retention = kvRetention{}
	}
	if event.Result != PrefillDone {
		request.excluded = append(request.excluded, target)
	}
	if r.forfeitKV(request, event.Result, wasReleased) && r.missesObjective(request) {
		reason, blocked := r.retryObstacle(request)
		if !blocked {
			reason = FinishedMissingObjective
		}
		r.finishWithoutService(request, reason)
		return
	}
	r.retry(request)
}

// retry forwards a request again or to its next stage, parks it, or finishes it without service. Where every
// decode engine has failed it once, all may be tried again; a KV state that none takes now stays at its
// prefill engine until its retention limit is near.
func (r *Router) retry(request *request) {
	if obstacle, blocked := r.retryObstacle(request); blocked {
		r.finishWithoutService(request, obstacle)
		return
	}
	place := r.placePrefill
	if request.kvHolder != nil {
		place = r.placeDecode
	}
	target := place(request)
	if target == nil && request.kvHolder != nil {
		request.excluded = nil
		target = place(request)
	}
	mayPark := r.now < r.releaseDeadline(request) && r.now.Add(finishReserve) < request.Deadline
	switch {
	case target != nil:
		if request.kvHolder == nil {
			r.releaseBeforePrefill(request)
		}
		r.forward(request, target)
	case request.kvHolder != nil && mayPark:
		r.parked = append(r.parked, request)
	default:
		r.finishWithoutService(request, FinishedWithoutEndpoint)
	}
}

// retryParked looks for endpoints for the parked requests, in order.
func (r *Router) retryParked() {
	parked := r.parked
	r.parked = nil
	for _, request := range parked {
		if !request.finished {
			r.retry(request)
		}
	}
}

// retryObstacle returns why a request may not have another attempt. It returns false if the request may.
// While prefill engines reject many requests, two rejections of this one are enough: further attempts would
// add load to the other engines.
func (r *Router) retryObstacle(request *request) (reason FinishReason, blocked bool) {
	rejecting := r.latency.roles[RolePrefill].rejectionRate.value > rejectionLimit
	switch {
	case !r.mayRepeat(request):
		return FinishedNotRepeatable, true
	case request.attempts >= request.maxAttempts:
		return FinishedOutOfAttempts, true
	case r.now >= min(request.Deadline, r.sendDeadline(request)):
		return FinishedAtDeadline, true
	case rejecting && request.kvHolder == nil && len(request.excluded) > 1:
		return FinishedWithPrefillFull, true
	}
	return 0, false
}

// mayRepeat keeps effects from happening twice.
func (r *Router) mayRepeat(request *request) bool {
	first, class := request.firstExecution, request.class
	return first.endpoint == nil || class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentWithKey && r.now.Sub(first.sentAt) < class.DedupWindow
}

// finishWithoutService gives the final answer at once: a rejection where a repeat is known to be harmless,
// else a failure. A request that lost its connection to every engine may be what crashed them.
func (r *Router) finishWithoutService(request *request, reason FinishReason) {
	lost := request.connectionsLost
	crashesEngines := lost >= suspectResets && lost >= request.maxAttempts+request.PriorAttempts
	if crashesEngines {
		reason = FinishedForLostConnections
	}
	if crashesEngines || !clientMayRetry(request) {
		r.do(Fail{ID: request.ID, Reason: reason})
	} else {
		after := max(r.estimateFirstToken(request), minRetryAfter)
		r.do(Reject{ID: request.ID, RetryAfter: min(r.settings.Limits.MaxRetryAfter, after), Reason: reason})
	}
	r.finish(request)
}

// clientMayRetry tells whether a request can come again, by any router, without a second effect.
func clientMayRetry(request *request) bool {
	class := request.class
	dropped := class.Idempotency == IdempotentWithKey && class.DedupScope == DedupScopeAll
	return request.firstExecution.endpoint == nil || class.Idempotency == Idempotent || dropped
}

// finish closes a request and releases whatever KV state may be retained for it, known or not: one behind a
// cut link outlives the word that it is gone. It is released again on a late outcome.
func (r *Router) finish(request *request) {
	if !request.finished && request.attempts == 0 && request.heapIndex >= 0 {
		heap.Remove(&r.queue, request.heapIndex)
	}
	request.finished = true
	if request.attempts > 0 && !request.hasFirstToken {
		r.do(ReleaseKV{ID: request.ID, Reason: ReleasedAtFinish})
	}
	if !request.latest.inFlight {
		delete(r.requests, request.ID)
	}
}
