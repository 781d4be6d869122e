package control

import (
	"math/rand/v2"
	"time"

	"martenlock/control/internal/ewma"
)

const (
	// tickInterval is the period of the router's own timer.
	tickInterval = 50 * time.Millisecond
	// finishReserve is the time before a deadline in which a request is finished without service. A request
	// that passes one tick just outside it is finished at the next, still a tick before its deadline.
	finishReserve = 2 * tickInterval
)

// Router makes the decisions of one router. It is not safe for concurrent use.
type Router struct {
	settings     Settings
	rng          *rand.Rand
	now          Time     // of the events being handled
	actions      []Action // of this instant, in order
	timerStarted bool

	endpoints endpointTable
	sessions  sessionTable
	requests  map[RequestID]*request // without a final answer, or with an attempt in flight
	queue     requestQueue           // not yet released
	arrivals  []*request             // of this instant
	parked    []*request             // prefilled, while no decode engine can take them

	releases releaseCounter
	latency  latencyEstimator
	capacity capacityView
	topology topology
	prefixes prefixPopularity

	rejectionRates [roleCount]ewma.Average[float64] // share of recent attempts that were rejected, by role

	lastSequence      uint64  // of the latest request
	healthCheckBudget float64 // health checks that may be sent
	expiredAt         Time    // latest expiry and decay
}

// New returns a router that knows no endpoint yet.
func New(settings Settings, now Time) *Router {
	settings.Identity.Routers = max(settings.Identity.Routers, 1)
	settings.Limits.MaxAttempts = max(settings.Limits.MaxAttempts, 1)
	return &Router{
		settings:  settings,
		rng:       rand.New(rand.NewPCG(settings.Identity.Seed, settings.Identity.Seed>>32)),
		now:       now,
		expiredAt: now,
		endpoints: endpointTable{byID: map[EndpointID]*endpoint{}},
		sessions:  sessionTable{},
		requests:  map[RequestID]*request{},
		prefixes:  prefixPopularity{requests: map[uint64]float64{}},
		latency:   latencyEstimator{answerSeconds: make([]ewma.Average[float64], len(settings.Classes))},
		capacity:  capacityView{routers: settings.Identity.Routers, reportFields: settings.Engines.ReportFields},
	}
}

// Handle processes the events of one instant and returns the actions to carry out, in order. The caller
// owns the returned slice.
func (r *Router) Handle(now Time, events []Event) []Action {
	r.now = max(now, r.now)
	r.actions = nil
	if !r.timerStarted {
		r.timerStarted = true
		r.emit(SetTimer{After: tickInterval})
		if r.settings.Caller.MustSubscribe {
			r.emit(SubscribeEndpoints{})
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
		r.emit(SubscribeEndpoints{})
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

// emit adds an action to those of this instant.
func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// tick does the periodic work.
func (r *Router) tick() {
	r.emit(SetTimer{After: tickInterval})
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
