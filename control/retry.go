package control

import "time"

const (
	// rejectionLimit is the rejection rate of prefill engines above which two attempts of a request are enough.
	rejectionLimit = 0.3
	// minTimeout is the least time-out of an attempt.
	minTimeout = time.Millisecond
	// minRetryAfter is the least Retry-After of a rejected request.
	minRetryAfter = tickInterval
)

// attemptInFlight is a request with an attempt in flight, and the endpoint that an event names.
type attemptInFlight struct {
	request  *request
	endpoint *endpoint
}

// findAttempt returns the attempt in flight of a request. It returns false if there is none, or if the
// endpoint is unknown.
func (r *Router) findAttempt(id RequestID, target EndpointID) (found attemptInFlight, ok bool) {
	found = attemptInFlight{request: r.requests[id], endpoint: r.endpoints.byID[target]}
	ok = found.request != nil && found.endpoint != nil && found.request.latest.inFlight
	return found, ok
}

// forward starts the next attempt of a request.
func (r *Router) forward(request *request, target *endpoint) {
	tokens := request.PromptTokens
	if request.kv.holder == nil {
		tokens = request.uncachedTokens(target)
	}
	target.addAttempt(request, attempt{inFlight: true, sentAt: r.now, tokensToPrefill: tokens})
	r.capacity.addAttempt(target.role, request.demand)
	if target.role != RoleDecode {
		request.session.lastPrefill = target
		request.session.cachedTokens = request.PromptTokens
	}
	if target.health.ejected() {
		target.health.nextProbation = r.now.Add(probationInterval)
	}
	timeout := max(request.Deadline.Sub(r.now), minTimeout)
	action := Forward{ID: request.ID, Endpoint: target.ID, Timeout: timeout}
	if deadline := request.sendDeadline(r.settings.Limits.KVRetentionLimit); deadline < request.Deadline {
		action.SendWithin = deadline.Sub(r.now)
	}
	r.emit(action)
}

// handleFirstToken processes the start of an answer.
func (r *Router) handleFirstToken(event AnswerStarted) {
	started, ok := r.findAttempt(event.ID, event.Endpoint)
	if !ok {
		return
	}
	request, target := started.request, started.endpoint
	target.recordProgress(request, r.now)
	r.latency.observe(target.role, event.Elapsed, request.latest.tokensToPrefill, r.now)
	request.hasFirstToken = true
	request.kv.holder = nil
}

// handleOutcome processes the outcome of an attempt. The attempt's request may already be finished.
func (r *Router) handleOutcome(event Outcome) {
	ended, ok := r.findAttempt(event.ID, event.Endpoint)
	if !ok {
		// No request uses what the attempt may have left.
		r.emit(ReleaseKV{ID: event.ID, Reason: ReleasedForLateOutcome})
		return
	}
	request, target := ended.request, ended.endpoint
	target.removeAttempt(request)
	r.capacity.removeAttempt(target.role, request.demand)
	wasReleased := request.kv.released
	request.kv.recordOutcome(event.Result, target, r.now)
	r.capacity.recordReport(target, event.Report, r.now)
	r.recordOutcome(request, target, event)
	request.serviceTime += event.Elapsed
	if event.Result == OK {
		request.session.serviceTime += request.serviceTime
	}
	if event.Final || request.finished {
		r.finish(request)
		return
	}
	r.followUp(request, target, event, wasReleased)
}

// followUp decides what follows an attempt that did not end its request. wasReleased is set if the KV state
// was released while the attempt was in flight. A prompt is computed again for a forfeited KV state only if
// the request can still meet its objective.
func (r *Router) followUp(request *request, target *endpoint, event Outcome, wasReleased bool) {
	if event.Result.MayHaveExecuted() && target.role != RolePrefill {
		request.recordExecution(target)
	}
	if event.Result == Reset {
		request.connectionsLost++
	}
	if event.Result == Rejected && event.KVMissing {
		r.releaseKV(request, ReleasedAsKVMissing) // released, or out of this engine's reach
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

// retry forwards a request again or to its next stage, parks it, or finishes it without service. A KV state
// that no decode engine takes now stays at its prefill engine until its retention limit is near.
func (r *Router) retry(request *request) {
	if obstacle, blocked := r.retryObstacle(request); blocked {
		r.finishWithoutService(request, obstacle)
		return
	}
	target := r.placeNext(request)
	if target != nil {
		if request.kv.holder == nil {
			r.releaseBeforePrefill(request)
		}
		r.forward(request, target)
		return
	}
	releaseDeadline := request.kv.releaseDeadline(r.settings.Limits.KVRetentionLimit)
	if request.kv.holder != nil && r.now < releaseDeadline && r.now.Add(finishReserve) < request.Deadline {
		r.parked = append(r.parked, request)
		return
	}
	r.finishWithoutService(request, FinishedWithoutEndpoint)
}

// placeNext returns the endpoint for the next attempt of a request; nil for none. If every decode engine that
// could take the KV state has failed the request, all of them may be tried again.
func (r *Router) placeNext(request *request) *endpoint {
	if request.kv.holder == nil {
		return r.placePrefill(request)
	}
	if target := r.placeDecode(request); target != nil {
		return target
	}
	request.excluded = nil
	return r.placeDecode(request)
}

// retryParked tries to place the parked requests, in order.
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
	rejecting := r.rejectionRates[RolePrefill].Value > rejectionLimit
	sendDeadline := request.sendDeadline(r.settings.Limits.KVRetentionLimit)
	switch {
	case !request.mayRepeat(r.now):
		return FinishedNotRepeatable, true
	case request.attempts >= request.maxAttempts:
		return FinishedOutOfAttempts, true
	case r.now >= min(request.Deadline, sendDeadline):
		return FinishedAtDeadline, true
	case rejecting && request.kv.holder == nil && len(request.excluded) > 1:
		return FinishedWithPrefillFull, true
	}
	return 0, false
}

// finishWithoutService emits the final answer of a request: a rejection if the client may safely repeat it,
// else a failure. A request that lost its connection to every engine fails too, since it may have crashed
// them.
func (r *Router) finishWithoutService(request *request, reason FinishReason) {
	switch {
	case request.mayCrashEngines():
		r.emit(Fail{ID: request.ID, Reason: FinishedForLostConnections})
	case !request.clientMayRetry():
		r.emit(Fail{ID: request.ID, Reason: reason})
	default:
		retryAfter := max(r.estimateFirstToken(request), minRetryAfter)
		retryAfter = min(r.settings.Limits.MaxRetryAfter, retryAfter)
		r.emit(Reject{ID: request.ID, RetryAfter: retryAfter, Reason: reason})
	}
	r.finish(request)
}

// finish finishes a request and releases the KV states that engines may retain for it, known or not: an
// engine may keep a state that was reported missing if the link to it was cut. A late outcome releases them
// again.
func (r *Router) finish(request *request) {
	if !request.finished {
		r.queue.remove(request)
	}
	request.finished = true
	if request.attempts > 0 && !request.hasFirstToken {
		r.emit(ReleaseKV{ID: request.ID, Reason: ReleasedAtFinish})
	}
	if !request.latest.inFlight {
		delete(r.requests, request.ID)
	}
}
