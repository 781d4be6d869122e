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
	// unresponsiveAlpha is the weight of unresponsiveness in the failure rate. A single occurrence ejects the
	// endpoint.
	unresponsiveAlpha = 0.5
	// immediateAlpha is the weight of a failure that ejects an endpoint regardless of the ejection limit, such
	// as a refused connection.
	immediateAlpha = 1.0
	// ejectionThreshold is the failure rate above which an endpoint is ejected. One failure with weight
	// failureAlpha does not reach it, two in a row do.
	ejectionThreshold = 0.35
	// maxEjectedShare is the ejection limit: the fraction of a role's ready endpoints that may be ejected by
	// failures with a weight below immediateAlpha.
	maxEjectedShare = 0.5
	// slowLatency is the relative latency above which an endpoint is slow, which counts as a failure.
	slowLatency = 3.0
	// relativeLatencyCap is the upper bound of an observed relative latency, as a multiple of slowLatency.
	// Because of it, an endpoint does not count as slow after a single prefill that waited behind prefills of
	// other routers.
	relativeLatencyCap = 1.5
	// probationInterval is how long an ejected endpoint gets no attempt after its latest failure, or after
	// the start of its latest attempt on probation.
	probationInterval = 2 * time.Second
	// rejectionPause is how long an endpoint that rejected an attempt gets no further attempt.
	rejectionPause = 200 * time.Millisecond
)

// Progress and health checks.
const (
	// unresponsiveFactor is how long an endpoint may take to make progress, as a multiple of the time
	// expected for its role.
	unresponsiveFactor = 4.0
	// overtakenLimit is how many later attempts at the same endpoint have to make progress before an attempt
	// counts as lost.
	overtakenLimit = 2
	// overtakenDivisor divides the progress time-out of an attempt that counts as lost.
	overtakenDivisor = 3
	// healthCheckInterval is the least time between health checks of one endpoint.
	healthCheckInterval = time.Second
	// healthChecksPerRequest is added to Router.healthCheckBudget for each new request.
	healthChecksPerRequest = 1.0
)

// endpointHealth is the health of an endpoint as observed by outcomes, progress and health checks.
type endpointHealth struct {
	failureRate     float64               // share of recent attempts that failed, from 0 to 1
	relativeLatency ewma.Average[float64] // ratio of its times to its peers' mean; follows the lower ratios
	lastProgress    Time                  // latest outcome, start of an answer or failure for unresponsiveness
	nextProbation   Time                  // earliest next attempt while ejected
	rejectingUntil  Time                  // earliest next attempt after a rejection
	checkedAt       Time                  // latest health check
	checkInFlight   bool
}

// ejected reports whether an endpoint gets no attempts except on probation.
func (h *endpointHealth) ejected() bool { return h.failureRate > ejectionThreshold }

// restart resets the observations after a restart of the engine.
func (h *endpointHealth) restart() {
	h.failureRate = 0
	h.relativeLatency = ewma.Average[float64]{}
}

// recordSuccess records a successful attempt. If the endpoint is still ejected, it may get its next attempt
// on probation at once.
func (h *endpointHealth) recordSuccess(now Time) {
	h.failureRate *= 1 - failureAlpha
	h.nextProbation = now
}

// recordFailure adds a failure with a weight from 0 to 1 to the failure rate. It reports whether this ejected
// the endpoint.
func (h *endpointHealth) recordFailure(weight float64, now Time) (ejectedNow bool) {
	wasEjected := h.ejected()
	h.failureRate += weight * (1 - h.failureRate)
	h.nextProbation = now.Add(probationInterval)
	return !wasEjected && h.ejected()
}

// recordRejection starts the pause after a rejected attempt.
func (h *endpointHealth) recordRejection(now Time) { h.rejectingUntil = now.Add(rejectionPause) }

// observeLatency records the ratio of an attempt's time to the mean of the endpoint's peers. It reports
// whether the endpoint is slow. A comparison with the endpoint's own past would miss an endpoint that slows
// down gradually.
func (h *endpointHealth) observeLatency(ratio float64) (slow bool) {
	h.relativeLatency.ObserveLow(min(ratio, relativeLatencyCap*slowLatency), bestAlpha, latencyAlpha)
	return min(ratio, h.relativeLatency.Value) > slowLatency
}

// onProbation reports whether an ejected endpoint may get a request as its attempt on probation.
func (e *endpoint) onProbation(request *request, now Time) bool {
	return now >= e.health.nextProbation && len(e.load.attempts) == 0 && request.class.Idempotency == Idempotent
}

// recordProgress records that an endpoint made progress on a request, and that this request has overtaken all
// earlier ones in flight there. An overtaken request may have been lost with its connection although the
// endpoint is alive.
func (e *endpoint) recordProgress(progressed *request, now Time) {
	e.health.lastProgress = now
	for _, request := range e.load.attempts {
		if request.latest.sentAt < progressed.latest.sentAt {
			request.latest.overtakenBy++
		}
	}
}

// recordOutcome updates the endpoint's health and the rejection rate of its role after the end of an attempt.
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
		weight := immediateAlpha
		if event.ReusedConnection { // the engine may only have closed an idle connection
			weight = failureAlpha
		}
		r.recordFailure(target, weight, EjectedAsUnreachable)
	case Rejected:
		if !event.KVMissing {
			target.health.recordRejection(r.now)
			rejected = 1
		}
	case Cancelled, NotSent, ResponseDropped: // caused by the router or its caller
	}
	r.rejectionRates[target.role].Approach(rejected, latencyAlpha)
	target.health.lastProgress = r.now
	if event.Result == PrefillDone {
		target.recordProgress(request, r.now)
	}
}

// recordSuccess records the time of a prefill or of a whole answer, and whether it was slow.
func (r *Router) recordSuccess(request *request, target *endpoint, event Outcome) {
	target.health.recordSuccess(r.now)
	var ratio float64
	if event.Result == PrefillDone {
		computedTokens := max(request.PromptTokens-Tokens(event.CachedTokens), 0)
		perToken := r.latency.observe(target.role, event.Elapsed, computedTokens, r.now)
		ratio = float64(perToken / cmp.Or(r.latency.roles[RolePrefill].mean.Value, perToken))
	} else {
		ratio = r.latency.observeAnswer(target.role, request.Class, event.Elapsed)
	}
	if target.health.observeLatency(ratio) {
		r.recordFailure(target, failureAlpha, EjectedAsSlow)
	}
}

// recordFailure records a failure of an endpoint and logs an ejection. While the ejection limit is reached,
// it ignores failures with a weight below immediateAlpha.
func (r *Router) recordFailure(target *endpoint, weight float64, reason EjectionReason) {
	if weight < immediateAlpha && r.endpoints.ejectionLimitReached(target) {
		return
	}
	if target.health.recordFailure(weight, r.now) {
		r.emit(Log{Kind: EndpointEjected, Endpoint: target.ID, Reason: reason})
	}
}

// checkProgress cancels overtaken attempts at an endpoint. If the endpoint is unresponsive and the ejection
// limit is not reached, it records a failure and cancels all attempts that may be retried elsewhere.
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

// unresponsive reports whether an endpoint has made no progress for longer than both the progress time-out of
// one of its attempts and the time expected for all prompts in flight there. It checks every attempt, not
// only the oldest, because progress time-outs differ by request.
func (r *Router) unresponsive(target *endpoint) bool {
	tokens := Tokens(0)
	for _, request := range target.load.attempts {
		if !request.hasFirstToken {
			tokens += request.latest.tokensToProcess + overheadTokens
		}
	}
	expected := r.latency.expectedTime(target.role, tokens, unresponsiveFactor)
	for _, request := range target.load.attempts {
		sinceProgress := r.now.Sub(max(target.health.lastProgress, request.latest.sentAt))
		if request.awaitsFirstToken() && sinceProgress >= max(request.progressTimeout(), expected) {
			return true
		}
	}
	return false
}

// cancelOvertaken cancels attempts that were probably lost with their connection although the endpoint is
// alive.
func (r *Router) cancelOvertaken(target *endpoint) {
	for _, request := range target.load.attempts {
		tokens := request.latest.tokensToProcess + overheadTokens
		expected := r.latency.expectedTime(target.role, tokens, unresponsiveFactor)
		waited := r.now.Sub(request.latest.sentAt) >= max(request.progressTimeout()/overtakenDivisor, expected)
		if request.awaitsFirstToken() && request.latest.overtakenBy >= overtakenLimit && waited {
			r.cancelAttempt(request, target)
		}
	}
}

// cancelAttempt cancels a request's attempt at an endpoint, if the request may have another attempt.
func (r *Router) cancelAttempt(request *request, target *endpoint) {
	cancellable := r.settings.Caller.CanCancel && request.awaitsFirstToken() && !request.latest.cancelRequested
	repeatable := target.role == RolePrefill || request.class.Idempotency == Idempotent
	if cancellable && repeatable && request.attempts < request.maxAttempts {
		request.latest.cancelRequested = true
		r.emit(CancelAttempt{ID: request.ID, Attempt: AttemptNumber(request.attempts - 1)})
	}
}

// sendHealthCheck checks the endpoint whose latest health check is the oldest. Health checks are limited to
// the rate of requests. Otherwise the health checks of many routers would themselves be a significant load.
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

// handleHealthCheck processes the result of a health check, including its load report.
func (r *Router) handleHealthCheck(event HealthCheckResult) {
	target := r.endpoints.byID[event.Endpoint]
	if target == nil {
		return
	}
	target.health.checkInFlight = false
	r.capacity.recordReport(target, event.Report, r.now)
	if event.Result == TimedOut || event.Result == ConnectFailed || event.Result == Reset {
		r.recordFailure(target, immediateAlpha, EjectedForHealthCheck)
	}
}
