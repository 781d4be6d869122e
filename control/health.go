package control

import (
	"cmp"
	"time"

	"martenlock/control/internal/ewma"
)

// Ejection and probation.
const (
	// failureAlpha is the weight of one outcome in an endpoint's failure rate.
	failureAlpha = 0.3
	// unresponsiveAlpha is the weight of unresponsiveness. It ejects until two attempts succeed.
	unresponsiveAlpha = 0.5
	// certainAlpha is the weight of a failure that ejects at once.
	certainAlpha = 1.0
	// ejectionThreshold is the failure rate above which an endpoint is ejected: two failures of the last four.
	ejectionThreshold = 0.35
	// maxEjectedShare is the share of a role that may be ejected for errors, slowness or unresponsiveness.
	maxEjectedShare = 0.5
	// slowLatency is the relative latency above which a time counts as a failure.
	slowLatency = 3.0
	// relativeLatencyCap is the multiple of slowLatency as which a relative latency counts at most. One prefill
	// that waited behind those of other routers is not slowness.
	relativeLatencyCap = 1.5
	// probationInterval is the time until an ejected endpoint gets an attempt, and between such attempts.
	probationInterval = 2 * time.Second
	// rejectionPause is the time for which an endpoint that rejected an attempt gets none.
	rejectionPause = 200 * time.Millisecond
)

// Progress and health checks.
const (
	// unresponsiveFactor is the multiple of its role's usual time that an endpoint gets to make progress.
	unresponsiveFactor = 4.0
	// overtakenLimit is the number of later requests with earlier progress that shows an attempt to be lost.
	overtakenLimit = 2
	// overtakenDivisor divides the progress time-out of such an attempt.
	overtakenDivisor = 3
	// healthCheckInterval is the least time between health checks of one endpoint.
	healthCheckInterval = time.Second
	// healthChecksPerRequest is the number of health checks that may be sent for each request.
	healthChecksPerRequest = 1.0
)

// endpointHealth is what outcomes, progress and health checks say of an endpoint.
type endpointHealth struct {
	failureRate     float64               // share of recent attempts that failed
	relativeLatency ewma.Average[float64] // its better times over the mean of its role, or of the answer's class
	lastProgress    Time                  // latest outcome or start of an answer
	nextProbation   Time                  // while ejected, it gets no attempt before
	rejectingUntil  Time                  // after a rejection, it gets no attempt before
	checkedAt       Time                  // latest health check
	checkInFlight   bool
}

// ejected reports whether an endpoint gets no attempts but those of its probation.
func (h *endpointHealth) ejected() bool { return h.failureRate > ejectionThreshold }

// restart forgets what was observed before the engine started anew.
func (h *endpointHealth) restart() {
	h.failureRate = 0
	h.relativeLatency = ewma.Average[float64]{}
}

// recordSuccess records an attempt that succeeded. An ejected endpoint may be tried again at once.
func (h *endpointHealth) recordSuccess(now Time) {
	h.failureRate *= 1 - failureAlpha
	h.nextProbation = now
}

// recordFailure records a failure. Weight certainAlpha ejects the endpoint at once. It reports whether the
// failure ejected the endpoint.
func (h *endpointHealth) recordFailure(weight float64, now Time) (ejectedNow bool) {
	wasEjected := h.ejected()
	h.failureRate += weight * (1 - h.failureRate)
	h.nextProbation = now.Add(probationInterval)
	return !wasEjected && h.ejected()
}

// recordRejection records that the endpoint rejected an attempt.
func (h *endpointHealth) recordRejection(now Time) { h.rejectingUntil = now.Add(rejectionPause) }

// observeLatency records a time over the mean of the endpoint's role. It reports whether the endpoint is
// slow. The comparison is with its peers, not with its own past, so that an endpoint that slows ever more
// shows too.
func (h *endpointHealth) observeLatency(relative float64) (slow bool) {
	h.relativeLatency.ObserveLow(min(relative, relativeLatencyCap*slowLatency), bestAlpha, latencyAlpha)
	return min(relative, h.relativeLatency.Value) > slowLatency
}

// onProbation reports whether an ejected endpoint may be tried with a request.
func (e *endpoint) onProbation(request *request, now Time) bool {
	return now >= e.health.nextProbation && len(e.load.attempts) == 0 && request.class.Idempotency == Idempotent
}

// recordProgress records that an endpoint made progress on a request. Requests sent there earlier without
// progress may have been lost with their connection while the endpoint lives.
func (e *endpoint) recordProgress(progressed *request, now Time) {
	e.health.lastProgress = now
	for _, request := range e.load.attempts {
		if request.latest.sentAt < progressed.latest.sentAt {
			request.latest.overtakenBy++
		}
	}
}

// recordOutcome records what the end of an attempt says of its endpoint's health.
func (r *Router) recordOutcome(request *request, target *endpoint, event Outcome) {
	rejected := 0.0
	switch event.Result {
	case OK, PrefillDone:
		r.recordSuccess(request, target, event)
	case Failed:
		r.recordFailure(target, failureAlpha, EjectedForErrors)
	case TimedOut:
		if target.health.lastProgress < request.latest.sentAt {
			r.recordFailure(target, failureAlpha, EjectedForTimeouts)
		}
	case ConnectFailed, Reset:
		weight := certainAlpha
		if event.ReusedConnection { // engines that close idle connections are not unreachable
			weight = failureAlpha
		}
		r.recordFailure(target, weight, EjectedAsUnreachable)
	case Rejected:
		if !event.KVMissing {
			target.health.recordRejection(r.now)
			rejected = 1
		}
	case Cancelled, NotSent: // our own doing
	}
	r.rejectionRates[target.role].Approach(rejected, latencyAlpha)
	target.health.lastProgress = r.now
	if event.Result == PrefillDone {
		target.recordProgress(request, r.now)
	}
}

// recordSuccess records the time of a prefill or of a whole answer.
func (r *Router) recordSuccess(request *request, target *endpoint, event Outcome) {
	target.health.recordSuccess(r.now)
	var relative float64
	if event.Result == PrefillDone {
		computed := max(request.PromptTokens-Tokens(event.CachedTokens), 0)
		perToken := r.latency.observe(target.role, event.Elapsed, computed, r.now)
		relative = float64(perToken / cmp.Or(r.latency.roles[RolePrefill].mean.Value, perToken))
	} else {
		relative = r.latency.observeAnswer(target.role, request.Class, event.Elapsed)
	}
	if target.health.observeLatency(relative) {
		r.recordFailure(target, failureAlpha, EjectedAsSlow)
	}
}

// recordFailure records a failure of an endpoint, unless the ejection limit is reached and the failure is not
// certain. It logs an ejection.
func (r *Router) recordFailure(target *endpoint, weight float64, reason EjectionReason) {
	if weight < certainAlpha && r.endpoints.ejectionLimitReached(target) {
		return
	}
	if target.health.recordFailure(weight, r.now) {
		r.emit(Log{Kind: EndpointEjected, Endpoint: target.ID, Reason: reason})
	}
}

// checkProgress ejects an endpoint that is unresponsive, and cancels the attempts that may be made elsewhere.
func (r *Router) checkProgress(target *endpoint) {
	r.cancelOvertaken(target)
	if !r.unresponsive(target) || r.endpoints.ejectionLimitReached(target) {
		return
	}
	target.health.lastProgress = r.now
	r.recordFailure(target, unresponsiveAlpha, EjectedAsUnresponsive)
	for _, request := range target.load.attempts {
		r.cancelAttempt(request, target)
	}
}

// unresponsive reports whether an attempt at an endpoint has made no progress for longer than its role needs
// for all that we sent there. Every attempt counts: the client of the first may wait longer than the others.
func (r *Router) unresponsive(target *endpoint) bool {
	tokens := Tokens(0)
	for _, request := range target.load.attempts {
		if !request.hasFirstToken {
			tokens += request.latest.tokensToPrefill + overheadTokens
		}
	}
	usual := r.latency.expectedTime(target.role, tokens, unresponsiveFactor)
	for _, request := range target.load.attempts {
		sinceProgress := r.now.Sub(max(target.health.lastProgress, request.latest.sentAt))
		if request.awaitsFirstToken() && sinceProgress >= max(request.progressTimeout(), usual) {
			return true
		}
	}
	return false
}

// cancelOvertaken cancels attempts that were lost with their connection while their endpoint lives.
func (r *Router) cancelOvertaken(target *endpoint) {
	for _, request := range target.load.attempts {
		tokens := request.latest.tokensToPrefill + overheadTokens
		usual := r.latency.expectedTime(target.role, tokens, unresponsiveFactor)
		waited := r.now.Sub(request.latest.sentAt) >= max(request.progressTimeout()/overtakenDivisor, usual)
		if request.awaitsFirstToken() && request.latest.overtakenBy >= overtakenLimit && waited {
			r.cancelAttempt(request, target)
		}
	}
}

// cancelAttempt cancels the attempt of a request at an endpoint, if the request may have another.
func (r *Router) cancelAttempt(request *request, target *endpoint) {
	cancellable := r.settings.Caller.CanCancel && request.awaitsFirstToken() && !request.latest.cancelRequested
	harmless := target.role == RolePrefill || request.class.Idempotency == Idempotent
	if cancellable && harmless && request.attempts < request.maxAttempts {
		request.latest.cancelRequested = true
		r.emit(CancelAttempt{ID: request.ID, Attempt: AttemptNumber(request.attempts - 1)})
	}
}

// sendHealthCheck checks the endpoint whose latest check is the oldest. Checks are no more frequent than
// requests: among many routers, one check of each endpoint a second would be a load of its own.
func (r *Router) sendHealthCheck() {
	if !r.settings.Caller.CanHealthCheck || r.healthCheckBudget < 1 {
		return
	}
	next := r.endpoints.nextToCheck()
	if next == nil || r.now.Sub(next.health.checkedAt) < healthCheckInterval {
		return
	}
	r.healthCheckBudget = 0
	next.health.checkInFlight = true
	next.health.checkedAt = r.now
	r.emit(HealthCheck{Endpoint: next.ID})
}

// handleHealthCheck processes the result of a health check. Some sites have no other source of load reports.
func (r *Router) handleHealthCheck(event HealthCheckResult) {
	target := r.endpoints.byID[event.Endpoint]
	if target == nil {
		return
	}
	target.health.checkInFlight = false
	r.capacity.recordReport(target, event.Report, r.now)
	if event.Result == TimedOut || event.Result == ConnectFailed || event.Result == Reset {
		r.recordFailure(target, certainAlpha, EjectedForHealthCheck)
	}
}
