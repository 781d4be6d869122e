package control

import (
	"cmp"
	"time"
)

// Which endpoints are ejected, and when they are tried again.
const (
	failureAlpha       = 0.3  // weight of one outcome in an endpoint's failure rate
	unresponsiveAlpha  = 0.5  // weight of long silence: ejected until two attempts go well
	certainAlpha       = 1.0  // weight of what ejects at once
	ejectionThreshold  = 0.35 // failure rate above which an endpoint is ejected: two of the last four
	maxEjectedShare    = 0.5  // share of a role that may be ejected for errors, slowness or silence
	slowLatency        = 3.0  // times the mean; a relative latency above it counts as a failure
	relativeLatencyCap = 1.5  // times slowLatency; no sample of a relative latency counts as more

	probationInterval   = 2 * time.Second        // before an ejected endpoint gets an attempt, and between these
	rejectionPause      = 200 * time.Millisecond // an endpoint that rejected us gets nothing for so long
	healthCheckInterval = time.Second            // between health checks of one endpoint

	healthChecksPerRequest = 1.0 // checks that may be sent for each request that comes

	silenceObjective  = 1.5 // times a request's objective for the first token; a shorter silence means nothing
	silenceMultiple   = 4.0 // times the usual time of its role; a shorter silence of an endpoint means nothing
	overtakenLimit    = 2   // so many later requests answered first: an attempt is lost with its connection
	overtakenPatience = 3   // such an attempt waits for one part in so many of the time of silence
)

// ejected tells that an endpoint gets no attempts but those of its probation.
func (e *endpoint) ejected() bool { return e.failureRate > ejectionThreshold }

// onProbation tells whether an ejected endpoint may be tried with a request.
func (r *Router) onProbation(e *endpoint, request *request) bool {
	return r.now >= e.nextProbation && len(e.attempts) == 0 && request.class.Idempotency == Idempotent
}

// recordOutcome takes an outcome into the health of its endpoint.
func (r *Router) recordOutcome(request *request, target *endpoint, event Outcome) {
	rejected := 0.0
	switch event.Result {
	case OK, PrefillDone:
		r.recordSuccess(request, target, event)
	case Failed:
		r.recordFailure(target, failureAlpha, EjectedForErrors)
	case TimedOut:
		if target.lastProgress < request.latest.sentAt {
			r.recordFailure(target, failureAlpha, EjectedForTimeouts)
		}
	case ConnectFailed, Reset:
		weight := certainAlpha
		if event.ReusedConnection { // else engines that close idle connections all look dead
			weight = failureAlpha
		}
		r.recordFailure(target, weight, EjectedAsUnreachable)
	case Rejected:
		if !event.KVMissing {
			target.rejectingUntil = r.now.Add(rejectionPause)
			rejected = 1
		}
	}
	r.latency.roles[target.role].rejectionRate.approach(rejected, latencyAlpha)
	target.lastProgress = r.now
	if event.Result == PrefillDone {
		target.recordProgress(request, r.now)
	}
}

// recordSuccess takes in the time of a prefill or of an answer.
func (r *Router) recordSuccess(request *request, target *endpoint, event Outcome) {
	target.failureRate *= 1 - failureAlpha
	target.nextProbation = r.now
	if event.Result == PrefillDone {
		computed := max(request.PromptTokens-Tokens(event.CachedTokens), 0)
		perToken := r.latency.observe(target.role, event.Elapsed, computed, r.now)
		mean := cmp.Or(r.latency.roles[RolePrefill].secondsPerToken.value, perToken)
		r.checkLatency(target, float64(perToken/mean))
		return
	}
	seconds := event.Elapsed.Seconds()
	mean := &r.latency.answerSeconds[request.Class]
	relative := seconds / cmp.Or(mean.value, seconds)
	r.checkLatency(target, relative)
	r.latency.roles[target.role].relativeLatency.observe(relative, latencyAlpha)
	mean.observe(seconds, meanAlpha)
}

// checkLatency ejects an endpoint whose better times are slow against its role's mean: peers, not its own
// past, so that one that slows ever more shows too.
func (r *Router) checkLatency(target *endpoint, relative float64) {
	capped := min(relative, relativeLatencyCap*slowLatency) // one wait behind others' prefills is not slowness
	target.relativeLatency.observeLow(capped, bestAlpha, latencyAlpha)
	if min(relative, target.relativeLatency.value) > slowLatency {
		r.recordFailure(target, failureAlpha, EjectedAsSlow)
	}
}

// recordFailure notes a failure. Weight 1 ejects the endpoint at once.
func (r *Router) recordFailure(target *endpoint, weight float64, reason EjectionReason) {
	if weight < certainAlpha && r.ejectionLimitReached(target) {
		return
	}
	wasEjected := target.ejected()
	target.failureRate += weight * (1 - target.failureRate)
	if !wasEjected && target.ejected() {
		r.do(Log{Kind: EndpointEjected, Endpoint: target.ID, Reason: reason})
	}
	target.nextProbation = r.now.Add(probationInterval)
}

// ejectionLimitReached tells that so much of a role is ejected that no more may follow for errors, slowness
// or silence: a fault that most share is not the endpoints'.
func (r *Router) ejectionLimitReached(target *endpoint) bool {
	all, healthy := 0.0, 0.0
	for _, e := range r.endpoints.ready {
		if e.role == target.role {
			all++
			if e != target && !e.ejected() {
				healthy++
			}
		}
	}
	return healthy < all*(1-maxEjectedShare)
}

// checkProgress ejects an endpoint that is unresponsive, and cancels what may be sent elsewhere.
func (r *Router) checkProgress(target *endpoint) {
	r.cancelOvertaken(target)
	if !r.unresponsive(target) || r.ejectionLimitReached(target) {
		return
	}
	target.lastProgress = r.now
	r.recordFailure(target, unresponsiveAlpha, EjectedAsUnresponsive)
	for _, request := range target.attempts {
		r.cancelAttempt(request, target)
	}
}

// unresponsive tells that an endpoint has had an attempt without any progress for longer than its role needs
// for all that we sent there. Any attempt will do: the first may be one whose client waits for longer.
func (r *Router) unresponsive(target *endpoint) bool {
	tokens := Tokens(0)
	for _, request := range target.attempts {
		if !request.hasFirstToken {
			tokens += request.latest.tokensToPrefill + overheadTokens
		}
	}
	usual := r.latency.expectedTime(target.role, tokens, silenceMultiple)
	for _, request := range target.attempts {
		silence := r.now.Sub(max(target.lastProgress, request.latest.sentAt))
		if request.awaitsFirstToken() && silence >= max(request.patience(), usual) {
			return true
		}
	}
	return false
}

// cancelOvertaken cancels attempts that were lost with their connection while their endpoint lives.
func (r *Router) cancelOvertaken(target *endpoint) {
	for _, request := range target.attempts {
		usual := r.latency.expectedTime(target.role, request.latest.tokensToPrefill+overheadTokens, silenceMultiple)
		waited := r.now.Sub(request.latest.sentAt) >= max(request.patience()/overtakenPatience, usual)
		if request.awaitsFirstToken() && request.latest.overtakenBy >= overtakenLimit && waited {
			r.cancelAttempt(request, target)
		}
	}
}

// patience is how long an attempt of a request may show nothing.
func (q *request) patience() time.Duration {
	return time.Duration(silenceObjective * float64(q.firstTokenDue.Sub(q.arrivedAt)))
}

// cancelAttempt cancels an attempt that may be made again.
func (r *Router) cancelAttempt(request *request, target *endpoint) {
	cancellable := r.settings.Caller.CanCancel && request.awaitsFirstToken() && !request.latest.cancelRequested
	harmless := target.role == RolePrefill || request.class.Idempotency == Idempotent
	if cancellable && harmless && request.attempts < request.maxAttempts {
		request.latest.cancelRequested = true
		r.do(CancelAttempt{ID: request.ID, Attempt: AttemptNumber(request.attempts - 1)})
	}
}

// sendHealthCheck checks the endpoint not checked for longest, no more often than requests come: among many
// routers one check a second of each endpoint would be a load of its own.
func (r *Router) sendHealthCheck() {
	var next *endpoint
	for _, e := range r.endpoints.all {
		if e.State != Gone && !e.healthCheckInFlight && (next == nil || e.healthCheckedAt < next.healthCheckedAt) {
			next = e
		}
	}
	if !r.settings.Caller.CanHealthCheck || r.healthCheckBudget < 1 || next == nil ||
		r.now.Sub(next.healthCheckedAt) < healthCheckInterval {
		return
	}
	r.healthCheckBudget = 0
	next.healthCheckInFlight = true
	next.healthCheckedAt = r.now
	r.do(HealthCheck{Endpoint: next.ID})
}

// handleHealthCheck takes in a health check: at some sites the only source of load reports.
func (r *Router) handleHealthCheck(event HealthCheckResult) {
	target := r.endpoints.byID[event.Endpoint]
	if target == nil {
		return
	}
	target.healthCheckInFlight = false
	r.recordReport(target, event.Report)
	if event.Result == TimedOut || event.Result == ConnectFailed || event.Result == Reset {
		r.recordFailure(target, certainAlpha, EjectedForHealthCheck)
	}
}
