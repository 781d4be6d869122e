package control_test

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"time"

	"martenlock/control"
)

// The engine model's parameters.
const (
	engineMemory   = 40000.0                 // tokens of state at a decode engine
	engineStreams  = 24.0                    // concurrent streams at its usual speed
	prefillToken   = 80 * time.Microsecond   // time of a prompt token
	prefillFixed   = 500.0                   // fixed cost of a prefill, in tokens
	fetchToken     = 10 * time.Microsecond   // time to fetch a token's state
	decodeToken    = 6 * time.Millisecond    // time of an answer's token
	prefillBacklog = 1500 * time.Millisecond // a longer backlog turns requests away
	networkDelay   = 2 * time.Millisecond
)

// faultKind is what goes wrong at an engine.
type faultKind int

const (
	faultUnreachable faultKind = iota // connections fail
	faultSilent                       // accepts and never answers
	faultError                        // answers with an error
	faultReset                        // drops connections
	faultRefusing                     // turns requests away
	faultForgetful                    // has no state to hand over, or can't fetch it
	faultUnsent                       // attempts end before they are sent
	faultSlow                         // takes several times as long
	faultBroken                       // breaks streams that have begun
	faultKinds
)

// fault holds at an engine for a while and meets a share of its attempts.
type fault struct {
	engine   endpointID // 0 for all
	kind     faultKind
	from, to time.Duration
	chance   float64
	factor   float64 // of faultSlow
}

// engine is one simulated model server.
type engine struct {
	entry       endpoint
	busyUntil   instant // end of the prefills accepted so far
	streams     int
	memory      control.Tokens
	prefixCache map[uint64]control.Tokens // looked up by key only
}

// attempt is one send of a request to an engine.
type attempt struct {
	call    *clientCall
	number  control.AttemptNumber
	engine  *engine
	sentAt  instant
	timeout time.Duration
	started bool
	over    bool
	memory  control.Tokens // that it holds at the engine
}

// clientCall is a request as its client sees it.
type clientCall struct {
	call
	router   int
	tokens   control.Tokens // length of its answer
	attempts []*attempt
	prefill  bool // its state is ready
	over     bool
	lost     int
}

// delivery is an event on its way to a router, or a step of the service itself.
type delivery struct {
	at     instant
	router int
	number int
	event  control.Event
	step   func() control.Event // made at delivery; nil where event is set; may return nil
}

// agenda is a heap of deliveries by time, router and number.
type agenda []*delivery

func (h agenda) Len() int { return len(h) }
func (h agenda) Less(i, j int) bool {
	a, b := h[i], h[j]
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.router, b.router), cmp.Compare(a.number, b.number)) < 0
}
func (h agenda) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *agenda) Push(x any)   { *h = append(*h, x.(*delivery)) }
func (h *agenda) Pop() any {
	last := len(*h) - 1
	d := (*h)[last]
	*h = (*h)[:last]
	return d
}

// service plays a script: clients and engines around some routers, on a virtual clock.
type service struct {
	script     *script
	set        control.Settings
	rng        *rand.Rand
	now, began instant
	agenda     agenda
	deliveries int
	routers    []*control.Router
	engines    []*engine
	byID       map[endpointID]*engine
	calls      map[callID]*clientCall
	lastID     callID
	observe    func(now instant, router int, actions []control.Action)
}

func newService(sc *script, observe func(instant, int, []control.Action)) *service {
	s := &service{
		script: sc, set: goldenSettings(sc.seed), rng: rand.New(rand.NewPCG(sc.seed, 77)), observe: observe,
		byID: map[endpointID]*engine{}, calls: map[callID]*clientCall{}, now: 5_000_000, began: 5_000_000,
	}
	if sc.configure != nil {
		sc.configure(&s.set)
	}
	for _, entry := range sc.fleet {
		s.addEngine(entry)
	}
	for i := range max(sc.instances, 1) {
		set := s.set
		set.Identity.Seed, set.Identity.Rank = sc.seed*1000+uint64(i)<<33+uint64(i), i
		s.routers = append(s.routers, control.New(set, s.now))
		s.send(i, 0, control.EndpointUpdate{Endpoints: s.list(), Full: true})
	}
	return s
}

func (s *service) addEngine(entry endpoint) *engine {
	e := &engine{entry: entry, prefixCache: map[uint64]control.Tokens{}}
	s.engines = append(s.engines, e)
	s.byID[entry.ID] = e
	return e
}

func (s *service) list() (list []endpoint) {
	for _, e := range s.engines {
		list = append(list, e.entry)
	}
	return list
}

func (s *service) elapsed() time.Duration { return s.now.Sub(s.began) }
func (s *service) chance(p float64) bool  { return s.rng.Float64() < p }

// schedule puts a delivery on the agenda; a script's quantum makes many fall on one instant.
func (s *service) schedule(d *delivery, after time.Duration) {
	d.at = s.now.Add(after)
	if q := instant(s.script.quantum.Microseconds()); q > 0 {
		d.at = (d.at + q - 1) / q * q
	}
	s.deliveries++
	d.number = s.deliveries
	heap.Push(&s.agenda, d)
}

func (s *service) send(router int, after time.Duration, event control.Event) {
	s.schedule(&delivery{router: router, event: event}, after)
}

func (s *service) plan(router int, after time.Duration, step func() control.Event) {
	s.schedule(&delivery{router: router, step: step}, after)
}

// run plays the script to its end.
func (s *service) run() {
	for _, change := range s.script.changes {
		s.plan(0, change.at, func() control.Event { change.apply(s); return nil })
	}
	s.plan(0, s.interval(), s.arrivals)
	for s.elapsed() < s.script.length && len(s.agenda) > 0 {
		s.step()
	}
}

// step hands one router all that reaches it in one instant.
func (s *service) step() {
	at, router := s.agenda[0].at, s.agenda[0].router
	s.now = at
	var events []control.Event
	for len(s.agenda) > 0 && s.agenda[0].at == at && s.agenda[0].router == router {
		d := heap.Pop(&s.agenda).(*delivery)
		if d.step != nil {
			d.event = d.step()
		}
		if d.event != nil {
			events = append(events, d.event)
		}
	}
	if len(events) == 0 {
		return
	}
	actions := s.routers[router].Handle(s.now, events)
	s.observe(s.now, router, actions)
	for _, a := range actions {
		s.perform(router, a)
	}
}

// perform carries out an action of a router.
func (s *service) perform(router int, a control.Action) {
	switch a := a.(type) {
	case control.Forward:
		s.start(s.calls[a.ID], s.byID[a.Endpoint], a.Timeout)
	case control.Reject:
		s.refused(s.calls[a.ID], a.RetryAfter)
	case control.Fail:
		s.calls[a.ID].over = true
	case control.CancelAttempt:
		s.cancel(s.calls[a.ID], a.Attempt)
	case control.SetTimer:
		s.send(router, a.After, control.Timer{Token: a.Token})
	case control.HealthCheck:
		s.probe(router, s.byID[a.Endpoint])
	case control.SubscribeEndpoints:
		s.watch(router)
	}
}

// watch answers a subscription with the whole list, or breaks it.
func (s *service) watch(router int) {
	s.plan(router, 50*time.Millisecond, func() control.Event {
		if s.chance(s.script.watchFails) {
			return control.SubscriptionFailed{}
		}
		return control.EndpointUpdate{Endpoints: s.list(), Full: true}
	})
}

// announce tells all routers of some entries, each a little later than the one before.
func (s *service) announce(full bool, list ...endpoint) {
	for i := range s.routers {
		s.send(i, time.Duration(i)*time.Millisecond, control.EndpointUpdate{Endpoints: list, Full: full})
	}
}

// interval is the time to the next arrival.
func (s *service) interval() time.Duration {
	return time.Duration(s.rng.ExpFloat64() / s.script.rate * float64(time.Second))
}

// arrivals brings a client, or a burst of clients, and plans the next.
func (s *service) arrivals() control.Event {
	count := 1
	if s.chance(s.script.burstChance) {
		count = s.script.burst
	}
	for range count {
		s.arrive(s.newCall())
	}
	pause := s.interval()
	if every := s.script.pauseEvery; every > 0 && s.elapsed()%every > every/5 {
		pause = every - s.elapsed()%every + time.Duration(s.rng.Float64()*float64(every/10))
	}
	s.plan(0, pause, s.arrivals)
	return nil
}

// newCall draws a request.
func (s *service) newCall() *clientCall {
	sc := s.script
	c := &clientCall{router: s.rng.IntN(len(s.routers))}
	c.Class, c.Tenant = s.rng.IntN(len(s.set.Classes)), s.rng.IntN(len(s.set.Tenants))
	if sc.sessions > 0 && s.chance(0.8) {
		c.SessionID = 1 + s.rng.Uint64N(sc.sessions)
		c.router = int(c.SessionID) % len(s.routers)
	}
	c.PromptTokens = control.Tokens(50 + s.rng.ExpFloat64()*sc.promptMean)
	if s.chance(sc.giants) {
		c.PromptTokens *= 1000
	}
	if sc.prefixes > 0 && s.chance(0.7) {
		c.PrefixHash = 1 + min(s.rng.Uint64N(sc.prefixes), s.rng.Uint64N(sc.prefixes))
		c.PrefixTokens = c.PromptTokens * 0.6
	}
	c.MaxTokens = control.Tokens(20 + s.rng.ExpFloat64()*sc.answerMean)
	c.tokens = 1 + c.MaxTokens*control.Tokens(s.rng.Float64())
	c.Resumed = s.chance(0.03)
	return c
}

// arrive hands a request to its router and plans the client's leaving.
func (s *service) arrive(c *clientCall) {
	s.lastID++
	c.ID = s.lastID
	patience := s.set.Classes[c.Class].Deadline
	c.Deadline = s.now.Add(patience)
	s.calls[c.ID] = c
	s.send(c.router, 0, c.call)
	if s.chance(s.script.earlyLeave) {
		patience = time.Duration(s.rng.Float64() * float64(patience) / 2)
	}
	s.plan(c.router, patience, func() control.Event { return s.leave(c) })
}

func (s *service) leave(c *clientCall) control.Event {
	if c.over {
		return nil
	}
	c.over = true
	return control.ClientGone{ID: c.ID}
}

// refused lets some clients come again after the wait they were told.
func (s *service) refused(c *clientCall, wait time.Duration) {
	c.over = true
	if !s.chance(0.3) || wait > 10*time.Second {
		return
	}
	again := &clientCall{call: c.call, router: c.router, tokens: c.tokens}
	if s.chance(0.2) { // joined to the earlier call
		again.PriorAttempts, again.PriorResets = min(len(c.attempts), 2), min(c.lost, len(c.attempts), 2)
	}
	s.plan(c.router, wait, func() control.Event { s.arrive(again); return nil })
}
