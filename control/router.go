package control

import (
	"cmp"
	"container/heap"
	"time"
)

// tickInterval is the period of the router's own timer.
const tickInterval = 50 * time.Millisecond

// Handle takes the events of one instant and returns what is to be done, in order.
func (r *Router) Handle(now Time, events []Event) []Action {
	r.now = max(now, r.now)
	r.actions = nil
	if !r.timerStarted {
		r.timerStarted = true
		r.do(SetTimer{After: tickInterval})
		if r.settings.Caller.MustSubscribe {
			r.do(SubscribeEndpoints{})
		}
	}
	for _, event := range events {
		r.handleEvent(event)
	}
	r.release()
	r.rejectLateArrivals()
	return r.actions
}

// handleEvent passes an event to its handler.
func (r *Router) handleEvent(event Event) {
	switch event := event.(type) {
	case EndpointUpdate:
		r.updateEndpoints(event)
	case SubscriptionFailed:
		r.do(SubscribeEndpoints{})
	case Request:
		r.enqueue(event)
	case AnswerStarted:
		r.handleFirstToken(event)
	case Outcome:
		r.handleOutcome(event)
	case ClientGone:
		if request := r.requests[event.ID]; request != nil && !request.finished {
			r.finish(request)
		}
	case HealthCheckResult:
		r.handleHealthCheck(event)
	case Timer:
		r.tick()
	}
}

// enqueue takes in a new request.
func (r *Router) enqueue(event Request) {
	class := &r.settings.Classes[event.Class]
	maxAttempts := min(r.settings.Limits.MaxAttempts, cmp.Or(class.MaxAttempts, r.settings.Limits.MaxAttempts))
	r.lastSequence++
	request := &request{
		Request: event, class: class, session: r.openSession(event.SessionID),
		arrivedAt: r.now, firstTokenDue: r.now.Add(class.FirstTokenObjective(event.PromptTokens)), sequence: r.lastSequence,
		demand:      event.PromptTokens + outputShare*event.MaxTokens,
		maxAttempts: maxAttempts - event.PriorAttempts, connectionsLost: event.PriorResets,
	}
	r.requests[event.ID] = request
	r.prefixes.observe(event.PrefixHash)
	r.healthCheckBudget += healthChecksPerRequest
	r.traffic.meanDemand.observe(request.demand, meanAlpha)
	heap.Push(&r.queue, request)
	r.arrivals = append(r.arrivals, request)
}

// rejectLateArrivals gives up the arrivals of this instant that miss their objective. It comes after the
// release: many that arrive at once and all find capacity are no queue.
func (r *Router) rejectLateArrivals() {
	for _, request := range r.arrivals {
		if !request.finished && request.heapIndex >= 0 && r.missesObjective(request) {
			r.finishWithoutService(request, FinishedMissingObjective)
		}
	}
	r.arrivals = nil
}

// tick does what time alone brings about.
func (r *Router) tick() {
	r.do(SetTimer{After: tickInterval})
	r.promote()
	r.retryParked()
	r.releaseUnproven()
	for _, e := range r.endpoints.all {
		r.checkProgress(e)
	}
	r.sendHealthCheck()
	if r.now.Sub(r.expiredAt) >= expiryInterval {
		r.expireAndDecay()
	}
}
