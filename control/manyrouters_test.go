package control

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// scheduledStep is a function to run at a time of the virtual clock.
type scheduledStep struct {
	at       Time
	sequence int // order among steps at the same time
	run      func()
}

// stepHeap is a heap ordered by time, then by sequence. It implements heap.Interface.
type stepHeap []scheduledStep

func (h stepHeap) Len() int { return len(h) }
func (h stepHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}
func (h stepHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *stepHeap) Push(x any) {
	*h = append(*h, x.(scheduledStep)) //nolint:forcetypeassert // only simulatedService.schedule pushes
}

func (h *stepHeap) Pop() any {
	last := len(*h) - 1
	first := (*h)[last]
	*h = (*h)[:last]
	return first
}

// simulatedEngine serves requests one after another. It is slower in slow start, and rejects requests while
// its backlog is above maxBacklog.
type simulatedEngine struct {
	Endpoint
	serviceTime time.Duration // of a request of the usual size, when warmed up
	idleAt      Time
	arrivals    []Time // of all attempts, including rejected ones
}

// maxBacklog is the longest backlog of an engine, as a multiple of the service time of the new request.
const maxBacklog = 40

// simulatedService simulates the routers and engines of one service on a virtual clock.
type simulatedService struct {
	settings     Settings
	rng          *rand.Rand
	startedAt    Time
	now          Time
	queue        stepHeap
	lastSequence int
	routers      []*Router
	starts       []int // number of starts of each router
	engines      map[EndpointID]*simulatedEngine
	endpoints    []Endpoint
	lastID       RequestID
	served       int
	relativeSize map[RequestID]float64 // service time relative to the usual one; a missing entry counts as 1
	answered     map[RequestID]bool    // requests that were answered in time
}

// startService starts a service. serviceTime is the service time of the engines of each role, in seconds.
func startService(settings Settings, rng *rand.Rand, endpoints []Endpoint, serviceTime perRole) *simulatedService {
	s := &simulatedService{
		settings:     settings,
		rng:          rng,
		startedAt:    Time(time.Hour.Microseconds()),
		now:          Time(time.Hour.Microseconds()),
		routers:      make([]*Router, settings.Identity.Routers),
		starts:       make([]int, settings.Identity.Routers),
		engines:      map[EndpointID]*simulatedEngine{},
		endpoints:    endpoints,
		relativeSize: map[RequestID]float64{},
		answered:     map[RequestID]bool{},
	}
	for _, e := range endpoints {
		role := settings.Engines.Kinds[e.Kind].Role
		s.engines[e.ID] = &simulatedEngine{Endpoint: e, serviceTime: secondsOf(serviceTime[role])}
	}
	for i := range s.routers {
		s.restart(i)
	}
	return s
}

func secondsOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// schedule runs a step after a delay.
func (s *simulatedService) schedule(delay time.Duration, step func()) {
	s.lastSequence++
	heap.Push(&s.queue, scheduledStep{s.now.Add(delay), s.lastSequence, step})
}

// run runs the scheduled steps up to a time after the start.
func (s *simulatedService) run(duration time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at < s.startedAt.Add(duration) {
		next := heap.Pop(&s.queue).(scheduledStep) //nolint:forcetypeassert // Pop returns nothing else
		s.now = next.at
		next.run()
	}
}

// restart replaces router i with a new one that knows only the endpoint list.
func (s *simulatedService) restart(i int) {
	s.starts[i]++
	settings := s.settings
	settings.Identity.Rank, settings.Identity.Seed = i, uint64(1000*s.starts[i]+i+1)
	s.routers[i] = New(settings, s.now)
	s.handle(i, EndpointUpdate{Endpoints: slices.Clone(s.endpoints), Full: true})
}

// restartMost restarts 70 % of the routers.
func (s *simulatedService) restartMost() {
	for i := range s.routers {
		if i%10 < 7 {
			s.restart(i)
		}
	}
}

// restartEngines restarts the last count engines of each role and updates all routers. Each role has
// enginesPerRole engines.
func (s *simulatedService) restartEngines(count, enginesPerRole int) {
	var changes []Endpoint
	for i := range s.endpoints {
		if e := &s.endpoints[i]; i%enginesPerRole >= enginesPerRole-count {
			e.StartedAt = s.now
			s.engines[e.ID].Endpoint, s.engines[e.ID].idleAt = *e, s.now
			changes = append(changes, *e)
		}
	}
	for i := range s.routers {
		s.handle(i, EndpointUpdate{Endpoints: changes})
	}
}

// startClients sends requests to router i at random intervals. rate returns the mean number per second, which
// may change with the time since the start.
func (s *simulatedService) startClients(i int, rate func(since time.Duration) float64, next func(id RequestID) Request) {
	var arrive func()
	arrive = func() {
		perSecond := rate(s.now.Sub(s.startedAt))
		s.lastID++
		s.handle(i, next(s.lastID))
		s.schedule(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	s.schedule(time.Duration(s.rng.Float64()*float64(time.Second)), arrive)
}

// handle passes events to router i and carries out its actions.
func (s *simulatedService) handle(i int, events ...Event) {
	start := s.starts[i]
	later := func(delay time.Duration, event Event) {
		s.schedule(delay, func() {
			if s.starts[i] == start {
				s.handle(i, event)
			}
		})
	}
	for _, action := range s.routers[i].Handle(s.now, events) {
		switch action := action.(type) {
		case SetTimer:
			later(action.After, Timer{Token: action.Token})
		case HealthCheck:
			later(ms, HealthCheckResult{Endpoint: action.Endpoint})
		case Forward:
			outcome := s.serve(action)
			later(outcome.Elapsed, outcome)
		}
	}
}

// serve adds an attempt to the backlog of its engine and returns the outcome.
func (s *simulatedService) serve(action Forward) Outcome {
	e := s.engines[action.Endpoint]
	e.arrivals = append(e.arrivals, s.now)
	service := time.Duration(float64(e.serviceTime) * cmp.Or(s.relativeSize[action.ID], 1))
	if s.now.Sub(e.StartedAt) < s.settings.SlowStart.Duration && e.StartedAt != 0 {
		service = time.Duration(float64(service) / s.settings.SlowStart.InitialShare)
	}
	outcome := Outcome{ID: action.ID, Endpoint: action.Endpoint}
	if e.idleAt.Sub(s.now) > maxBacklog*service {
		outcome.Result, outcome.Elapsed = Rejected, ms
		return outcome
	}
	e.idleAt = max(e.idleAt, s.now).Add(service)
	outcome.Elapsed = e.idleAt.Sub(s.now)
	switch {
	case outcome.Elapsed > action.Timeout:
		outcome.Result, outcome.Elapsed = TimedOut, action.Timeout
	case s.settings.Engines.Kinds[e.Kind].Role == RolePrefill:
		outcome.Result = PrefillDone
	default:
		outcome.Final = true
		s.served++
		s.answered[action.ID] = true
	}
	return outcome
}

// maxArrivalsWithin returns the greatest number of arrivals in an interval of the given duration. It
// considers the intervals that begin at or after since.
func (e *simulatedEngine) maxArrivalsWithin(duration time.Duration, since Time) (arrivals int) {
	from := 0
	for to := range e.arrivals {
		for e.arrivals[to].Sub(e.arrivals[from]) > duration {
			from++
		}
		if e.arrivals[from] >= since {
			arrivals = max(arrivals, to-from+1)
		}
	}
	return arrivals
}

// TestRoutersTogetherDoNotOverloadEndpointsInSlowStart: within SlowStart.OverloadDuration, all routers
// together send an engine in slow start at most N + 2*sqrt(N) + 2 requests, where N is the number that the
// settings allow. This holds for many routers with unequal traffic, during a burst, with most engines of a
// role in slow start, and after restarts of routers.
func TestRoutersTogetherDoNotOverloadEndpointsInSlowStart(t *testing.T) {
	for _, c := range []struct {
		routers, engines, restarted int     // engines and restarted are per role
		load                        float64 // request rate as a fraction of the engines' capacity
		burst                       float64 // factor on the rate during the burst
		routersRestart              bool
		skew                        float64 // request rate of every tenth router, relative to the others
	}{
		{25, 12, 3, 0.6, 1.5, false, 6},
		{25, 12, 9, 0.6, 1.5, false, 6},
		{25, 12, 3, 0.6, 1.5, true, 6},
		{25, 8, 2, 0.8, 2, false, 6},
		{25, 12, 11, 0.6, 1.5, true, 6},
		{20, 6, 6, 0.5, 1.5, true, 1},
		{300, 40, 10, 0.6, 1.5, true, 6},
		{300, 40, 30, 0.6, 1.5, true, 6},
		{5, 10, 4, 0.7, 1.5, true, 3},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%+v/%d", c, seed), func(t *testing.T) {
				t.Parallel()
				// Given a service whose engines have fixed rates, in requests per second.
				settings := testSettings()
				settings.Identity.Routers, settings.Caller.CanHealthCheck = c.routers, true
				settings.SlowStart.InitialShare, settings.SlowStart.Duration = 0.35, 10*time.Second
				settings.SlowStart.OverloadDuration = 3 * time.Second
				rates := perRole{RolePrefill: 25, RoleDecode: 20}
				s := startService(settings, rand.New(rand.NewPCG(seed, 7)), testEndpoints(c.engines, c.engines),
					perRole{RolePrefill: 1 / rates[RolePrefill], RoleDecode: 1 / rates[RoleDecode]})
				total := c.load * min(rates[RolePrefill], rates[RoleDecode]) * float64(c.engines)
				s.startSkewedClients(total, c.skew, c.burst)

				// When engines restart, and in some cases most routers soon after.
				s.schedule(4*time.Second, func() { s.restartEngines(c.restarted, c.engines) })
				if c.routersRestart {
					s.schedule(5500*ms, s.restartMost)
				}
				s.run(14 * time.Second)

				// Then no engine in slow start gets more than its bound.
				worst := s.worstOverload(rates)
				t.Logf("an engine in slow start got at most %.2f of its bound; %d of %d requests served", worst, s.served, s.lastID)
				if worst > 1 || s.served == 0 {
					t.Errorf("an engine in slow start got %.2f of its bound, want at most 1; %d requests served", worst, s.served)
				}
			})
		}
	}
}

// startSkewedClients starts clients with a total rate, in requests per second. Every tenth router gets skew
// times the requests of the others. From 5 s to 9 s after the start, the rate is multiplied by burst.
func (s *simulatedService) startSkewedClients(total, skew, burst float64) {
	weights, sum := make([]float64, len(s.routers)), 0.0
	for i := range weights {
		if weights[i] = 1; i%10 == 0 {
			weights[i] = skew
		}
		sum += weights[i]
	}
	for i := range s.routers {
		rate := func(since time.Duration) float64 {
			perSecond := total * weights[i] / sum
			if since > 5*time.Second && since < 9*time.Second {
				perSecond *= burst
			}
			return perSecond
		}
		s.startClients(i, rate, func(id RequestID) Request {
			return Request{
				ID: id, SessionID: s.rng.Uint64N(500) + 1, PrefixHash: s.rng.Uint64N(20) + 1,
				PromptTokens: 1000, PrefixTokens: 300, MaxTokens: 100, Deadline: s.now.Add(4 * time.Second),
			}
		})
	}
}

// worstOverload returns the greatest number of requests that an engine in slow start got, relative to its
// bound. rates are the requests per second of an engine of each role.
func (s *simulatedService) worstOverload(rates perRole) (worst float64) {
	slowStart := s.settings.SlowStart
	for _, e := range s.endpoints {
		if e.StartedAt == 0 {
			continue
		}
		rate := rates[s.settings.Engines.Kinds[e.Kind].Role]
		n := rate * slowStart.InitialShare * slowStart.OverloadMultiple * slowStart.OverloadDuration.Seconds()
		bound := n + 2*math.Sqrt(n) + 2
		most := s.engines[e.ID].maxArrivalsWithin(slowStart.OverloadDuration, e.StartedAt)
		worst = max(worst, float64(most)/bound)
	}
	return worst
}

// TestLargePromptsAndSessionsAreServedFairly: under light load, with 5 to 300 routers, at least 90 % of the
// requests are answered. The answered share of the requests with large prompts is at least two thirds of that
// of all requests. Every session with at least four requests gets an answer.
func TestLargePromptsAndSessionsAreServedFairly(t *testing.T) {
	for _, c := range []struct{ routers, engines int }{{5, 6}, {25, 12}, {300, 40}} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%+v/%d", c, seed), func(t *testing.T) {
				t.Parallel()
				// Given a service under light load.
				settings := testSettings()
				settings.Identity.Routers, settings.Caller.CanHealthCheck = c.routers, true
				settings.Engines.Kinds[1].MemoryTokens = 60000
				s := startService(settings, rand.New(rand.NewPCG(seed, 9)), testEndpoints(c.engines, c.engines),
					perRole{RolePrefill: 0.04, RoleDecode: 0.04})
				mix := &requestMix{service: s, large: map[RequestID]bool{}, sessions: map[uint64][]RequestID{}}
				for i := range s.routers {
					rate := func(time.Duration) float64 { return 0.45 * 25 * float64(c.engines) / float64(c.routers) }
					s.startClients(i, rate, func(id RequestID) Request { return mix.next(i, id) })
				}

				// When it has run for 20 s.
				s.run(20 * time.Second)

				// Then large requests get their share of answers, and every session with four requests gets some.
				share, ofLarge, unanswered := mix.shares()
				t.Logf("answered: %.3f overall, %.3f of large requests; no answer for %d of %d sessions", share, ofLarge, unanswered, len(mix.sessions))
				if share < 0.9 || ofLarge < share*2/3 || unanswered > 0 {
					t.Errorf("answered: %.3f overall, %.3f of large requests; no answer for %d of %d sessions", share, ofLarge, unanswered, len(mix.sessions))
				}
			})
		}
	}
}

// requestMix draws requests, a tenth of them with a large prompt, and records them.
type requestMix struct {
	service  *simulatedService
	large    map[RequestID]bool
	sessions map[uint64][]RequestID // requests by session
}

// next draws a request for router i, of one of its 20 sessions.
func (m *requestMix) next(i int, id RequestID) Request {
	rng, prompt := m.service.rng, Tokens(1000)
	if rng.IntN(10) == 0 {
		prompt, m.large[id] = 6000, true
		m.service.relativeSize[id] = 3
	}
	session := uint64(i*20+rng.IntN(20)) + 1
	m.sessions[session] = append(m.sessions[session], id)
	return Request{
		ID: id, SessionID: session, PrefixHash: rng.Uint64N(20) + 1,
		PromptTokens: prompt, PrefixTokens: 300, MaxTokens: 100, Deadline: m.service.now.Add(4 * time.Second),
	}
}

// shares returns the answered share of all requests, the answered share of the large requests, and the number
// of sessions with at least four requests and no answer.
func (m *requestMix) shares() (answered, ofLarge float64, sessionsWithoutAnswer int) {
	for id := RequestID(1); id <= m.service.lastID; id++ {
		if m.service.answered[id] {
			answered++
			if m.large[id] {
				ofLarge++
			}
		}
	}
	isAnswered := func(id RequestID) bool { return m.service.answered[id] }
	for _, ids := range m.sessions {
		if len(ids) >= 4 && !slices.ContainsFunc(ids, isAnswered) {
			sessionsWithoutAnswer++
		}
	}
	return answered / float64(m.service.lastID), ofLarge / float64(len(m.large)), sessionsWithoutAnswer
}
