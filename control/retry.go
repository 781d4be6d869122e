package control

import "time"

const (
	// rejectionLimit is the rejection rate of prefill engines above which a request that failed on two
	// endpoints is not prefilled again.
	rejectionLimit = 0.3
	minTimeout     = time.Millisecond // lower bound of Forward.Timeout
	minRetryAfter  = tickInterval     // lower bound of Reject.RetryAfter, unless Limits.MaxRetryAfter is lower
)

// attemptInFlight pairs a request that has an attempt in flight with the endpoint named by an event.
type attemptInFlight struct {
	request  *request
	endpoint *endpoint
}

// findAttempt returns a request's attempt in flight. It returns false if there is none or if the endpoint is
// unknown.
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
	target.addAttempt(request, attempt{inFlight: true, sentAt: r.now, tokensToProcess: tokens})
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

func (r *Router) handleFirstToken(event AnswerStarted) {
	started, ok := r.findAttempt(event.ID, event.Endpoint)
	if !ok {
		return
	}
	request, target := started.request, started.endpoint
	target.recordProgress(request, r.now)
	r.latency.observe(target.role, event.Elapsed, request.latest.tokensToProcess, r.now)
	request.hasFirstToken = true
	request.kv.holder = nil
}

// handleOutcome processes the end of an attempt. The request may already be finished.
func (r *Router) handleOutcome(event Outcome) {
	ended, ok := r.findAttempt(event.ID, event.Endpoint)
	if !ok {
		// The attempt may have left a KV state that no request uses.
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

// followUp decides how a request continues after an attempt that did not end it. wasReleased is set if the KV
// state was released while the attempt was in flight. If the KV state had to be discarded, the request is
// prefilled again only if it can still meet its objective.
func (r *Router) followUp(request *request, target *endpoint, event Outcome, wasReleased bool) {
	if event.Result.MayHaveExecuted() && target.role != RolePrefill {
		request.recordExecution(target)
	}
	if event.Result == Reset {
		request.lostConnections++
	}
	if event.Result == Rejected && event.KVMissing {
		r.releaseKV(request, ReleasedAsKVMissing) // it may exist but be unreachable for this engine
	}
	if event.Result != PrefillDone {
		request.excluded = append(request.excluded, target)
	}
	if r.discardStaleKV(request, event.Result, wasReleased) && r.missesObjective(request) {
		reason, blocked := r.retryObstacle(request)
		if !blocked {
			reason = FinishedMissingObjective
		}
		r.finishWithoutService(request, reason)
		return
	}
	r.retry(request)
}

// retry forwards the next attempt of a request, at the same stage or the next. If the request has a KV state
// but no decode engine can take the request, it is parked until the retention limit or its deadline is near.
// If no attempt is possible, the request is finished without service.
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

// placeNext returns the endpoint for the next attempt of a request, or nil if there is none. If the request
// has a KV state and failed on every eligible decode engine, all of them may be tried again.
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

// retryParked retries the parked requests, in order.
func (r *Router) retryParked() {
	parked := r.parked
	r.parked = nil
	for _, request := range parked {
		if !request.finished {
			r.retry(request)
		}
	}
}

// retryObstacle returns the reason why a request must not have another attempt. blocked is false if it may.
// While prefill engines reject many attempts, a request that failed on two endpoints is not prefilled again,
// because that would add load to the remaining engines.
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

// finishWithoutService emits the final answer of a request: Reject if the client may safely repeat it, else
// Fail. It also emits Fail if every attempt lost its connection, since the request may crash engines.
func (r *Router) finishWithoutService(request *request, reason FinishReason) {
	retryAfter := max(r.estimateFirstToken(request), minRetryAfter)
	retryAfter = min(r.settings.Limits.MaxRetryAfter, retryAfter)
	switch {
	case request.mayCrashEngines():
		r.emit(Fail{ID: request.ID, Reason: FinishedForLostConnections})
	case !request.clientMayRetry(r.now, retryAfter):
		r.emit(Fail{ID: request.ID, Reason: reason})
	default:
		r.emit(Reject{ID: request.ID, RetryAfter: retryAfter, Reason: reason})
	}
	r.finish(request)
}

// finish marks a request as finished. If it has had an attempt and its answer has not begun, finish releases
// the KV states that engines may retain, even if none is known: a KV state that was reported missing may
// still exist behind a broken network link. If an attempt is still in flight, its outcome releases them
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
