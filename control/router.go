package control

import (
	"math/rand/v2"
	"time"

	"martenlock/control/internal/ewma"
)

const (
	// tickInterval is the period of the router's timer.
	tickInterval = 50 * time.Millisecond
	// finishReserve is how long before its deadline a queued or parked request is finished without service,
	// and how long before its retention limit a KV state is released. Both are checked once per tick, so at
	// least one tick remains for the answer or the release.
	finishReserve = 2 * tickInterval
)

// Router is the decision logic of one router process. It is not safe for concurrent use.
type Router struct {
	settings     Settings
	rng          *rand.Rand
	now          Time     // time of the current Handle call
	actions      []Action // emitted by the current Handle call, in order
	timerStarted bool

	endpoints endpointTable
	sessions  sessionTable
	requests  map[RequestID]*request // requests without a final answer or with an attempt in flight
	queue     requestQueue           // requests that wait for their first attempt
	arrivals  []*request             // requests that arrived in the current Handle call
	parked    []*request             // prefilled requests that wait for a decode engine

	dispatches dispatchCounter
	latency    latencyEstimator
	capacity   capacityView
	topology   topology
	prefixes   prefixPopularity

	rejectionRates [roleCount]ewma.Average[float64] // share of recent attempts that were rejected, by role

	lastSequence      uint64  // sequence number of the latest request
	healthCheckBudget float64 // grows with each request; a health check needs 1 and resets it to 0
	expiredAt         Time    // time of the latest expireAndDecay
}

// New returns a router without endpoints. Endpoints arrive in EndpointUpdate events.
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

// Handle processes events that occurred at the same time and returns the actions to carry out, in order. The
// caller owns the returned slice. If now is earlier than in a previous call, the previous time is used.
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
	r.dispatch()
	r.rejectLateArrivals()
	return r.actions
}

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

func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// tick runs the periodic work on each Timer event.
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
