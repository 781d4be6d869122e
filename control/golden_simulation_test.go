package control_test

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"time"

	"martenlock/control"
)

// clientRequest is the simulation's state of a request.
type clientRequest struct {
	control.Request
	router    int
	tokens    control.Tokens // length of its answer
	attempts  []*attempt
	prefilled bool // its KV state is at a prefill engine
	finished  bool // the client got the final answer or left
	resets    int  // attempts whose connection was lost
}

// delivery is an event for a router, or a step of the simulation, that is scheduled at a time.
type delivery struct {
	at     control.Time
	router int
	number int // order among deliveries to a router at the same time
	event  control.Event
	step   func() control.Event // returns the event, or nil for none; nil if event is set
}

// deliveryHeap is a heap of deliveries ordered by time, router and number. It implements heap.Interface.
type deliveryHeap []*delivery

func (h deliveryHeap) Len() int { return len(h) }
func (h deliveryHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.router, b.router), cmp.Compare(a.number, b.number)) < 0
}
func (h deliveryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *deliveryHeap) Push(x any) {
	*h = append(*h, x.(*delivery)) //nolint:forcetypeassert // only simulation.schedule pushes
}

func (h *deliveryHeap) Pop() any {
	last := len(*h) - 1
	first := (*h)[last]
	*h = (*h)[:last]
	return first
}

// simulation simulates the clients, engines and routers of a script on a virtual clock.
type simulation struct {
	script     *script
	settings   control.Settings
	rng        *rand.Rand
	startedAt  control.Time
	now        control.Time
	pending    deliveryHeap
	deliveries int
	routers    []*control.Router
	engines    []*engine
	byID       map[control.EndpointID]*engine
	requests   map[control.RequestID]*clientRequest
	lastID     control.RequestID
	observe    observer
}

// observer receives the actions that a router returned at a time.
type observer func(now control.Time, router int, actions []control.Action)

// newSimulation returns a simulation whose routers know all engines of the script.
func newSimulation(played *script, observe observer) *simulation {
	s := &simulation{
		script:    played,
		settings:  goldenSettings(played.seed),
		rng:       rand.New(rand.NewPCG(played.seed, 77)),
		startedAt: 5_000_000,
		now:       5_000_000,
		byID:      map[control.EndpointID]*engine{},
		requests:  map[control.RequestID]*clientRequest{},
		observe:   observe,
	}
	if played.configure != nil {
		played.configure(&s.settings)
	}
	for _, entry := range played.endpoints {
		s.addEngine(entry)
	}
	for i := range max(played.instances, 1) {
		settings := s.settings
		settings.Identity.Seed, settings.Identity.Rank = played.seed*1000+uint64(i)<<33+uint64(i), i
		s.routers = append(s.routers, control.New(settings, s.now))
		s.send(i, 0, control.EndpointUpdate{Endpoints: s.list(), Full: true})
	}
	return s
}

// addEngine adds an engine with its entry in the endpoint list.
func (s *simulation) addEngine(entry control.Endpoint) *engine {
	e := &engine{entry: entry, prefixCache: map[uint64]control.Tokens{}}
	s.engines = append(s.engines, e)
	s.byID[entry.ID] = e
	return e
}

func (s *simulation) list() (list []control.Endpoint) {
	for _, e := range s.engines {
		list = append(list, e.entry)
	}
	return list
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(s.startedAt) }

// chance returns true with the given probability.
func (s *simulation) chance(probability float64) bool { return s.rng.Float64() < probability }

// schedule adds a delivery after a delay. Its time is rounded up to a multiple of the quantum of the script.
func (s *simulation) schedule(d *delivery, after time.Duration) {
	d.at = s.now.Add(after)
	if quantum := control.Time(s.script.quantum.Microseconds()); quantum > 0 {
		d.at = (d.at + quantum - 1) / quantum * quantum
	}
	s.deliveries++
	d.number = s.deliveries
	heap.Push(&s.pending, d)
}

// send delivers an event to a router after a delay.
func (s *simulation) send(router int, after time.Duration, event control.Event) {
	s.schedule(&delivery{router: router, event: event}, after)
}

// scheduleStep runs a step after a delay and delivers the event that it returns, if any.
func (s *simulation) scheduleStep(router int, after time.Duration, step func() control.Event) {
	s.schedule(&delivery{router: router, step: step}, after)
}

// run simulates the whole length of the script.
func (s *simulation) run() {
	for _, change := range s.script.changes {
		s.scheduleStep(0, change.at, func() control.Event { change.apply(s); return nil })
	}
	s.scheduleStep(0, s.interval(), s.arrivals)
	for s.elapsed() < s.script.length && len(s.pending) > 0 {
		s.step()
	}
}

// step passes all events for one router at the next time, and carries out the router's actions.
func (s *simulation) step() {
	at, router := s.pending[0].at, s.pending[0].router
	s.now = at
	var events []control.Event
	for len(s.pending) > 0 && s.pending[0].at == at && s.pending[0].router == router {
		next := heap.Pop(&s.pending).(*delivery) //nolint:forcetypeassert // Pop returns nothing else
		if next.step != nil {
			next.event = next.step()
		}
		if next.event != nil {
			events = append(events, next.event)
		}
	}
	if len(events) == 0 {
		return
	}
	actions := s.routers[router].Handle(s.now, events)
	s.observe(s.now, router, actions)
	for _, action := range actions {
		s.perform(router, action)
	}
}

// perform carries out an action of a router.
func (s *simulation) perform(router int, action control.Action) {
	switch action := action.(type) {
	case control.Forward:
		s.start(s.requests[action.ID], s.byID[action.Endpoint], action.Timeout)
	case control.Reject:
		s.handleRejection(s.requests[action.ID], action.RetryAfter)
	case control.Fail:
		s.requests[action.ID].finished = true
	case control.CancelAttempt:
		s.cancel(s.requests[action.ID], action.Attempt)
	case control.SetTimer:
		s.send(router, action.After, control.Timer{Token: action.Token})
	case control.HealthCheck:
		s.checkHealth(router, s.byID[action.Endpoint])
	case control.SubscribeEndpoints:
		s.subscribe(router)
	}
}

// subscribe answers a subscription with the full list or with SubscriptionFailed.
func (s *simulation) subscribe(router int) {
	s.scheduleStep(router, 50*time.Millisecond, func() control.Event {
		if s.chance(s.script.subscriptionFails) {
			return control.SubscriptionFailed{}
		}
		return control.EndpointUpdate{Endpoints: s.list(), Full: true}
	})
}

// announce sends entries of the endpoint list to all routers, one millisecond apart.
func (s *simulation) announce(full bool, list ...control.Endpoint) {
	for i := range s.routers {
		s.send(i, time.Duration(i)*time.Millisecond, control.EndpointUpdate{Endpoints: list, Full: full})
	}
}

// interval draws the time to the next arrival.
func (s *simulation) interval() time.Duration {
	return time.Duration(s.rng.ExpFloat64() / s.script.rate * float64(time.Second))
}

// arrivals passes a new request, or a burst of them, and schedules the next arrival.
func (s *simulation) arrivals() control.Event {
	count := 1
	if s.chance(s.script.burstChance) {
		count = s.script.burst
	}
	for range count {
		s.arrive(s.newRequest())
	}
	pause := s.interval()
	if every := s.script.pauseEvery; every > 0 && s.elapsed()%every > every/5 {
		pause = every - s.elapsed()%every + time.Duration(s.rng.Float64()*float64(every/10))
	}
	s.scheduleStep(0, pause, s.arrivals)
	return nil
}

func (s *simulation) newRequest() *clientRequest {
	script := s.script
	c := &clientRequest{router: s.rng.IntN(len(s.routers))}
	c.Class, c.Tenant = s.rng.IntN(len(s.settings.Classes)), s.rng.IntN(len(s.settings.Tenants))
	if script.sessions > 0 && s.chance(0.8) {
		c.SessionID = 1 + s.rng.Uint64N(script.sessions)
		c.router = int(c.SessionID) % len(s.routers)
	}
	c.PromptTokens = control.Tokens(50 + s.rng.ExpFloat64()*script.promptMean)
	if s.chance(script.largePrompts) {
		c.PromptTokens *= 1000
	}
	if script.prefixes > 0 && s.chance(0.7) {
		c.PrefixHash = 1 + min(s.rng.Uint64N(script.prefixes), s.rng.Uint64N(script.prefixes))
		c.PrefixTokens = c.PromptTokens * 0.6
	}
	c.MaxTokens = control.Tokens(20 + s.rng.ExpFloat64()*script.answerMean)
	c.tokens = 1 + c.MaxTokens*control.Tokens(s.rng.Float64())
	c.Resumed = s.chance(0.03)
	return c
}

// arrive passes a request to its router and schedules when its client leaves.
func (s *simulation) arrive(c *clientRequest) {
	s.lastID++
	c.ID = s.lastID
	timeout := s.settings.Classes[c.Class].Deadline
	c.Deadline = s.now.Add(timeout)
	s.requests[c.ID] = c
	s.send(c.router, 0, c.Request)
	if s.chance(s.script.earlyLeaves) {
		timeout = time.Duration(s.rng.Float64() * float64(timeout) / 2)
	}
	s.scheduleStep(c.router, timeout, func() control.Event { return s.leaveClient(c) })
}

// leaveClient returns ClientGone if the client still waits for the request.
func (s *simulation) leaveClient(c *clientRequest) control.Event {
	if c.finished {
		return nil
	}
	c.finished = true
	return control.ClientGone{ID: c.ID}
}

// handleRejection makes some clients repeat a rejected request after Retry-After.
func (s *simulation) handleRejection(c *clientRequest, retryAfter time.Duration) {
	c.finished = true
	if !s.chance(0.3) || retryAfter > 10*time.Second {
		return
	}
	again := &clientRequest{Request: c.Request, router: c.router, tokens: c.tokens}
	if s.chance(0.2) { // as if the earlier attempts had been part of a batch
		again.PriorAttempts, again.PriorLostConnections = min(len(c.attempts), 2), min(c.resets, len(c.attempts), 2)
	}
	s.scheduleStep(c.router, retryAfter, func() control.Event { s.arrive(again); return nil })
}
