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

// timedAction is something on the virtual clock of a service.
type timedAction struct {
	at  Time
	seq int
	do  func()
}

// timedActions is a heap by time.
type timedActions []timedAction

func (h timedActions) Len() int { return len(h) }
func (h timedActions) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timedActions) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timedActions) Push(x any)   { *h = append(*h, x.(timedAction)) }
func (h *timedActions) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// simulatedEngine answers requests one after another, each in the time that it takes; it is slower
// in slow start, and rejects what would wait behind too many.
type simulatedEngine struct {
	Endpoint
	serviceTime time.Duration
	idleAt      Time
	arrivals    []Time // all that reached it, work that it rejected included
}

// simulatedService is many routers beside engines on a virtual clock.
type simulatedService struct {
	settings     Settings
	rng          *rand.Rand
	now          Time
	queue        timedActions
	lastSequence int
	routers      []*Router
	starts       []int // starts of each
	engines      map[EndpointID]*simulatedEngine
	endpoints    []Endpoint
	lastID       RequestID
	served       int
	relativeSize map[RequestID]float64 // work of a request, over the usual; 1 where it is not in here
	answered     map[RequestID]bool    // those answered in time
}

// after does something after a delay.
func (f *simulatedService) after(d time.Duration, do func()) {
	f.lastSequence++
	heap.Push(&f.queue, timedAction{f.now.Add(d), f.lastSequence, do})
}

// restart starts router i anew: it forgets all but the list.
func (f *simulatedService) restart(i int) {
	f.starts[i]++
	settings := f.settings
	settings.Identity.Rank, settings.Identity.Seed = i, uint64(1000*f.starts[i]+i+1)
	f.routers[i] = New(settings, f.now)
	f.handle(i, EndpointUpdate{Endpoints: slices.Clone(f.endpoints), Full: true})
}

// handle gives events to router i and carries out its actions.
func (f *simulatedService) handle(i int, events ...Event) {
	born := f.starts[i]
	later := func(d time.Duration, ev Event) {
		f.after(d, func() {
			if f.starts[i] == born {
				f.handle(i, ev)
			}
		})
	}
	for _, a := range f.routers[i].Handle(f.now, events) {
		switch a := a.(type) {
		case SetTimer:
			later(a.After, Timer{Token: a.Token})
		case HealthCheck:
			later(ms, HealthCheckResult{Endpoint: a.Endpoint})
		case Forward:
			e := f.engines[a.Endpoint]
			e.arrivals = append(e.arrivals, f.now)
			service := time.Duration(float64(e.serviceTime) * cmp.Or(f.relativeSize[a.ID], 1))
			if f.now.Sub(e.StartedAt) < f.settings.SlowStart.Duration && e.StartedAt != 0 {
				service = time.Duration(float64(service) / f.settings.SlowStart.InitialShare)
			}
			out := Outcome{ID: a.ID, Endpoint: a.Endpoint}
			if e.idleAt.Sub(f.now) > 40*service {
				out.Result, out.Elapsed = Rejected, ms
				later(ms, out)
				continue
			}
			e.idleAt = max(e.idleAt, f.now).Add(service)
			out.Elapsed = e.idleAt.Sub(f.now)
			if out.Elapsed > a.Timeout {
				out.Result, out.Elapsed = TimedOut, a.Timeout
			} else if f.settings.Engines.Kinds[e.Kind].Role == RolePrefill {
				out.Result = PrefillDone
			} else {
				out.Final = true
				f.served++
				if f.answered != nil {
					f.answered[a.ID] = true
				}
			}
			later(out.Elapsed, out)
		}
	}
}

// TestRoutersTogetherDoNotOverloadEndpointsInSlowStart: what all routers together send an engine that has just
// started stays within N + 2 root N + 2 requests in the time in which it would be overloaded, N being
// what the settings allow it. Also with many routers, of which some see several times the mean,
// under a burst, with most engines of a role in slow start, and with routers that start again and forget.
func TestRoutersTogetherDoNotOverloadEndpointsInSlowStart(t *testing.T) {
	for _, c := range []struct {
		routers, each, cold int
		load, burst         float64
		restart             bool
		skew                float64 // what every tenth router sees, over the mean of the others
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
				settings := testSettings(RolePrefill, RoleDecode)
				settings.Identity.Routers, settings.Caller.CanHealthCheck, settings.SlowStart.InitialShare, settings.SlowStart.OverloadDuration, settings.SlowStart.Duration = c.routers, true, 0.35, 3*time.Second, 10*time.Second
				const prefillRate, decodeRate = 25.0, 20.0 // that one engine does in a second
				f := &simulatedService{
					settings: settings, rng: rand.New(rand.NewPCG(seed, 7)), now: Time(time.Hour.Microseconds()), engines: map[EndpointID]*simulatedEngine{},
					routers: make([]*Router, c.routers), starts: make([]int, c.routers),
				}
				for _, s := range testEndpoints(c.each, c.each) {
					service := time.Duration(float64(time.Second) / []float64{prefillRate, decodeRate}[s.Kind])
					f.engines[s.ID] = &simulatedEngine{Endpoint: s, serviceTime: service}
					f.endpoints = append(f.endpoints, s)
				}
				for i := range f.routers {
					f.restart(i)
				}
				start := f.now
				weights, all := make([]float64, c.routers), 0.0
				for i := range weights {
					if weights[i] = 1; i%10 == 0 {
						weights[i] = c.skew
					}
					all += weights[i]
				}
				for i := range f.routers {
					var arrive func()
					arrive = func() {
						rate := c.load * min(prefillRate, decodeRate) * float64(c.each) * weights[i] / all
						since := f.now.Sub(start).Seconds()
						if since > 5 && since < 9 {
							rate *= c.burst
						}
						f.lastID++
						id := f.lastID
						f.handle(i, Request{ID: id, SessionID: f.rng.Uint64N(500) + 1, PrefixHash: f.rng.Uint64N(20) + 1, PromptTokens: 1000, PrefixTokens: 300, MaxTokens: 100, Deadline: f.now.Add(4 * time.Second)})
						f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
					}
					f.after(time.Duration(f.rng.Float64()*float64(time.Second)), arrive)
				}
				f.after(4*time.Second, func() { // the last ones of each role start anew, and all are told
					var changes []Endpoint
					for i := range f.endpoints {
						if s := &f.endpoints[i]; i%c.each >= c.each-c.cold {
							s.StartedAt = f.now
							f.engines[s.ID].Endpoint, f.engines[s.ID].idleAt = *s, f.now
							changes = append(changes, *s)
						}
					}
					for i := range f.routers {
						f.handle(i, EndpointUpdate{Endpoints: changes})
					}
				})
				if c.restart {
					f.after(5500*ms, func() {
						for i := range f.routers {
							if i%10 < 7 {
								f.restart(i)
							}
						}
					})
				}
				for len(f.queue) > 0 && f.queue[0].at < start.Add(14*time.Second) {
					h := heap.Pop(&f.queue).(timedAction)
					f.now = h.at
					h.do()
				}
				worst := 0.0
				for _, s := range f.endpoints {
					if s.StartedAt == 0 {
						continue
					}
					n := []float64{prefillRate, decodeRate}[s.Kind] * settings.SlowStart.InitialShare * settings.SlowStart.OverloadMultiple * settings.SlowStart.OverloadDuration.Seconds()
					bound := n + 2*math.Sqrt(n) + 2
					arrivals := f.engines[s.ID].arrivals
					for from, to := 0, 0; to < len(arrivals); to++ {
						for arrivals[to].Sub(arrivals[from]) > settings.SlowStart.OverloadDuration {
							from++
						}
						if arrivals[from] >= s.StartedAt {
							worst = max(worst, float64(to-from+1)/bound)
						}
					}
				}
				t.Logf("most: %.2f of the bound; %d served of %d", worst, f.served, f.lastID)
				if worst > 1 || f.served == 0 {
					t.Errorf("an engine in slow start got %.2f of what overloads it; %d served", worst, f.served)
				}
			})
		}
	}
}

// TestLargePromptsAndSessionsAreServedFairly: under light load the tenth of the requests with the longest
// prompts gets two thirds of its class's share of answers at least, and no session is rejected throughout, by 5
// to 300 routers.
func TestLargePromptsAndSessionsAreServedFairly(t *testing.T) {
	for _, c := range []struct{ routers, each int }{{5, 6}, {25, 12}, {300, 40}} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%+v/%d", c, seed), func(t *testing.T) {
				t.Parallel()
				settings := testSettings(RolePrefill, RoleDecode)
				settings.Identity.Routers, settings.Caller.CanHealthCheck = c.routers, true
				settings.Engines.Kinds[1].MemoryTokens = 60000
				f := &simulatedService{
					settings: settings, rng: rand.New(rand.NewPCG(seed, 9)), now: Time(time.Hour.Microseconds()), engines: map[EndpointID]*simulatedEngine{},
					routers: make([]*Router, c.routers), starts: make([]int, c.routers), relativeSize: map[RequestID]float64{}, answered: map[RequestID]bool{},
				}
				for _, s := range testEndpoints(c.each, c.each) {
					f.engines[s.ID] = &simulatedEngine{Endpoint: s, serviceTime: 40 * ms}
					f.endpoints = append(f.endpoints, s)
				}
				for i := range f.routers {
					f.restart(i)
				}
				start := f.now
				sessions, large := map[uint64][]RequestID{}, map[RequestID]bool{}
				for i := range f.routers {
					var arrive func()
					arrive = func() {
						f.lastID++
						id, prompt := f.lastID, Tokens(1000)
						if f.rng.IntN(10) == 0 {
							prompt, large[id] = 6000, true
							f.relativeSize[id] = 3
						}
						session := uint64(i*20+f.rng.IntN(20)) + 1
						sessions[session] = append(sessions[session], id)
						f.handle(i, Request{ID: id, SessionID: session, PrefixHash: f.rng.Uint64N(20) + 1, PromptTokens: prompt, PrefixTokens: 300, MaxTokens: 100, Deadline: f.now.Add(4 * time.Second)})
						rate := 0.45 * 25 * float64(c.each) / float64(c.routers)
						f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
					}
					f.after(time.Duration(f.rng.Float64()*float64(time.Second)), arrive)
				}
				for len(f.queue) > 0 && f.queue[0].at < start.Add(20*time.Second) {
					h := heap.Pop(&f.queue).(timedAction)
					f.now = h.at
					h.do()
				}
				all, largest, answered, shut := 0.0, 0.0, 0.0, 0
				for id := RequestID(1); id <= f.lastID; id++ {
					if f.answered[id] {
						answered++
					}
					if large[id] {
						if all++; f.answered[id] {
							largest++
						}
					}
				}
				for _, ids := range sessions {
					if len(ids) >= 4 && !slices.ContainsFunc(ids, func(id RequestID) bool { return f.answered[id] }) {
						shut++
					}
				}
				share, ofLarge := answered/float64(f.lastID), largest/all
				t.Logf("answered %.3f, of the largest %.3f, %d of %d sessions not at all", share, ofLarge, shut, len(sessions))
				if share < 0.9 || ofLarge < share*2/3 || shut > 0 {
					t.Errorf("answered %.3f, of the largest %.3f, %d of %d sessions not at all", share, ofLarge, shut, len(sessions))
				}
			})
		}
	}
}
