package control_test

import (
	"math/rand/v2"
	"time"

	"martenlock/control"
)

// script is a scenario of the golden test.
type script struct {
	name              string
	seed              uint64
	length            time.Duration
	instances         int                     // simulated routers, 0 for 1; RouterIdentity.Routers may be higher
	configure         func(*control.Settings) // changes the settings; nil for no change
	endpoints         []control.Endpoint
	faults            []fault
	changes           []change
	rate              float64       // arrivals per second
	burst             int           // requests that arrive at once in a burst
	burstChance       float64       // probability that an arrival is a burst
	pauseEvery        time.Duration // period with arrivals only in its first fifth; 0 for arrivals at all times
	promptMean        float64       // tokens
	answerMean        float64       // tokens
	sessions          uint64        // number of sessions; 0 for requests without a session
	prefixes          uint64        // number of prefixes; 0 for requests without a prefix
	largePrompts      float64       // fraction of prompts that are 1,000 times as long
	earlyLeaves       float64       // fraction of clients that leave early
	reports           float64       // fraction of responses with a load report
	backgroundMemory  float64       // fraction of KV memory that requests of other routers occupy
	subscriptionFails float64       // fraction of subscriptions that fail
	quantum           time.Duration // events are delivered at multiples of it; 0 for any time
	promptCancels     bool          // every cancellation arrives in time
}

// change modifies the service once the given time has passed since the start of the simulation.
type change struct {
	at    time.Duration
	apply func(*simulation)
}

// readyEndpoint returns the entry of a ready engine. Its kind is the number of its role.
func readyEndpoint(id control.EndpointID, role control.Role, cell, zone uint16, weight float64) control.Endpoint {
	return control.Endpoint{ID: id, State: control.Ready, Kind: int(role), Cell: cell, Zone: zone, Weight: weight}
}

// pool returns entries for engines of the three roles, with unequal weights, in five cells and two zones.
func pool(prefill, decode, colocated int) (list []control.Endpoint) {
	weights := []float64{1, 1, 1.7, 0.6}
	for role, count := range []int{prefill, decode, colocated} {
		for i := range count {
			id := control.EndpointID(len(list) + 1)
			cell := uint16((i*3 + role) % 5)
			list = append(list, readyEndpoint(id, control.Role(role), cell, cell%2, weights[i%len(weights)]))
		}
	}
	return list
}

// withLightWeights sets the weights of a pool to values near the router's lower bound.
func withLightWeights(list []control.Endpoint) []control.Endpoint {
	for i := range list {
		list[i].Weight = []float64{0, 0.0102, 0.012, 0.0098, 0.02}[i%5]
	}
	return list
}

// randomFaults draws a number of faults of all kinds at engines 1 to count.
func randomFaults(seed uint64, number, count int, length time.Duration) (list []fault) {
	rng := rand.New(rand.NewPCG(seed, 99))
	for range number {
		from := time.Duration(rng.Float64() * float64(length))
		list = append(list, fault{
			engine: control.EndpointID(1 + rng.IntN(count)), kind: faultKind(rng.IntN(faultCount)),
			from: from, to: from + time.Second + time.Duration(rng.Float64()*float64(6*time.Second)),
			chance: 0.25 + 0.75*rng.Float64(), factor: 2 + 5*rng.Float64(),
		})
	}
	return list
}

// alternateFaults returns a fault of one kind for every second engine of a range.
func alternateFaults(first, last control.EndpointID, kind faultKind, from, to time.Duration, chance float64) (list []fault) {
	for id := first; id <= last; id += 2 {
		list = append(list, fault{engine: id, kind: kind, from: from, to: to, chance: chance, factor: 4})
	}
	return list
}

// changeEndpoint drains, restarts, removes, reweights or adds an engine. The number selects which, and
// whether the change is announced by an update or by a full list.
func changeEndpoint(s *simulation, rng *rand.Rand, number int) {
	e := s.engines[rng.IntN(len(s.engines))]
	switch number % 5 {
	case 0:
		e.entry.State = control.Draining
	case 1:
		e.entry.State, e.entry.StartedAt = control.Ready, s.now
	case 2:
		e.entry.State = control.Gone
	case 3:
		e.entry.Weight = 0.5 + rng.Float64()
	case 4:
		added := readyEndpoint(control.EndpointID(500+number), e.role(), e.entry.Cell, e.entry.Zone, 1)
		added.StartedAt = s.now
		e = s.addEngine(added)
	}
	if number%3 == 0 {
		s.announceMost(rng)
		return
	}
	s.announce(false, e.entry)
}

// announceMost announces a full list from which one engine may be missing.
func (s *simulation) announceMost(rng *rand.Rand) {
	list := s.list()
	if missing := rng.IntN(2 * len(list)); missing < len(list) {
		list = append(list[:missing], list[missing+1:]...)
	}
	s.announce(true, list...)
}

// endpointChanges returns changes of the endpoint list at a fixed interval.
func endpointChanges(seed uint64, every, length time.Duration) (list []change) {
	rng := rand.New(rand.NewPCG(seed, 55))
	for i := 0; time.Duration(i)*every < length; i++ {
		apply := func(s *simulation) { changeEndpoint(s, rng, i) }
		list = append(list, change{at: time.Duration(i+1) * every, apply: apply})
	}
	return list
}

func goldenScripts() []*script {
	const second = time.Second
	return []*script{
		{
			name: "short", seed: 1, length: 4 * second, endpoints: pool(2, 3, 1), rate: 25, promptMean: 800, answerMean: 60,
			sessions: 10, prefixes: 3, reports: 0.5, faults: randomFaults(1, 8, 6, 4*second), earlyLeaves: 0.1,
		},
		{
			name: "steady", seed: 2, length: 30 * second, endpoints: pool(6, 8, 0), rate: 60, promptMean: 700, answerMean: 120,
			sessions: 60, prefixes: 6, reports: 0.7, earlyLeaves: 0.02,
		},
		{
			name: "overload", seed: 3, length: 30 * second, endpoints: pool(5, 3, 0), rate: 50, promptMean: 1200,
			answerMean: 500, sessions: 40, prefixes: 5, reports: 0.5, earlyLeaves: 0.05, burst: 12, burstChance: 0.05,
		},
		{
			name: "overload-unreported", seed: 4, length: 30 * second, endpoints: pool(8, 3, 1), rate: 50, promptMean: 900,
			answerMean: 500, sessions: 40, prefixes: 5, burst: 10, burstChance: 0.1, quantum: 10 * time.Millisecond,
		},
		{
			name: "slow-prefill", seed: 5, length: 30 * second, endpoints: pool(3, 6, 0), rate: 45, promptMean: 1500,
			answerMean: 80, sessions: 50, prefixes: 12, reports: 1,
		},
		{
			name: "five-routers", seed: 6, length: 25 * second, instances: 5, configure: withRouters(5), endpoints: pool(6, 5, 2),
			rate: 70, promptMean: 1200, answerMean: 400, sessions: 60, prefixes: 8, reports: 0.6,
			faults: randomFaults(6, 15, 13, 25*second),
		},
		{
			name: "hundred-routers", seed: 7, length: 25 * second, instances: 8, configure: withRouters(100),
			endpoints: pool(10, 10, 3), rate: 60, promptMean: 1000, answerMean: 200, sessions: 60, prefixes: 8, reports: 0.3,
			burst: 6, burstChance: 0.1, faults: randomFaults(7, 20, 23, 25*second),
		},
		{
			name: "mixed-pool", seed: 8, length: 30 * second, endpoints: pool(4, 4, 5), rate: 60, promptMean: 1000,
			answerMean: 250, sessions: 50, prefixes: 8, reports: 0.5, faults: alternateFaults(9, 13, faultSlow, 0, 30*second, 0.5),
		},
		{
			name: "mixed-alone", seed: 9, length: 30 * second, endpoints: pool(0, 0, 6), rate: 35, promptMean: 800,
			answerMean: 150, sessions: 50, prefixes: 4, reports: 0.5, faults: randomFaults(9, 12, 6, 30*second),
		},
		{
			name: "chaos", seed: 10, length: 40 * second, endpoints: pool(8, 8, 2), rate: 60, promptMean: 800, answerMean: 150,
			sessions: 80, prefixes: 6, reports: 0.5, faults: randomFaults(10, 70, 18, 40*second), earlyLeaves: 0.1, subscriptionFails: 0.5,
		},
		{
			name: "chaos-batched", seed: 11, length: 40 * second, endpoints: pool(5, 9, 1), rate: 70, promptMean: 700,
			answerMean: 120, prefixes: 4, reports: 0.2, faults: randomFaults(11, 70, 15, 40*second),
			quantum: 25 * time.Millisecond, burst: 8, burstChance: 0.05,
		},
		{
			name: "widespread-faults", seed: 12, length: 30 * second, endpoints: pool(21, 21, 0), rate: 90, promptMean: 700,
			answerMean: 100, sessions: 90, prefixes: 30, reports: 0.5, faults: widespreadFaults(),
		},
		{
			name: "silence", seed: 13, length: 40 * second, endpoints: pool(6, 6, 0), rate: 40, promptMean: 800, answerMean: 100,
			sessions: 40, prefixes: 5, reports: 0.5, faults: unresponsiveEngines(),
		},
		{
			name: "silence-on-sockets", seed: 13, length: 40 * second, endpoints: pool(6, 6, 0), rate: 40, promptMean: 800, answerMean: 100,
			sessions: 40, prefixes: 5, reports: 0.5, faults: unresponsiveEngines(), configure: releaseUnderAttempts,
		},
		{
			name: "churn", seed: 14, length: 60 * second, endpoints: pool(8, 8, 3), rate: 50, promptMean: 800, answerMean: 150,
			sessions: 60, prefixes: 6, reports: 0.5, changes: endpointChanges(14, 700*time.Millisecond, 60*second),
			faults: []fault{{kind: faultUnresponsive, from: 8 * second, to: 55 * second, chance: 0.4}},
		},
		{
			name: "light-weights", seed: 15, length: 30 * second, endpoints: withLightWeights(pool(7, 9, 2)), rate: 40, promptMean: 800,
			answerMean: 150, sessions: 40, prefixes: 8, reports: 0.5,
		},
		{
			name: "giant-prompts", seed: 16, length: 30 * second, endpoints: pool(4, 5, 0), rate: 30, promptMean: 800,
			answerMean: 100, largePrompts: 0.05, reports: 0.5,
			configure: func(settings *control.Settings) { settings.Limits.MaxRetryAfter = 500 * second },
		},
		{
			name: "idle-sessions", seed: 17, length: 200 * second, endpoints: pool(8, 8, 0), rate: 4, promptMean: 800,
			answerMean: 100, sessions: 220, prefixes: 2, reports: 0.5,
		},
		{
			name: "rare-prefixes", seed: 24, length: 240 * second, endpoints: pool(4, 4, 0), rate: 3, promptMean: 800,
			answerMean: 100, prefixes: 2000, reports: 0.5,
		},
		{
			name: "unknown-memory", seed: 25, length: 30 * second, endpoints: pool(4, 4, 2), rate: 60, promptMean: 1000,
			answerMean: 400, sessions: 40, prefixes: 4, reports: 0.2, burst: 8, burstChance: 0.05,
			configure: withoutMemory,
		},
		{
			name: "pauses", seed: 18, length: 80 * second, endpoints: pool(6, 3, 0), rate: 60, promptMean: 900, answerMean: 350,
			sessions: 40, prefixes: 4, reports: 0.5, pauseEvery: 4200 * time.Millisecond,
			configure: withoutHealthChecks,
		},
		{
			name: "no-state", seed: 19, length: 30 * second, endpoints: pool(6, 5, 1), rate: 60, promptMean: 700,
			answerMean: 200, sessions: 40, prefixes: 4, reports: 0.5, faults: rejectionFaults(), configure: minimalSettings,
		},
		{
			name: "relapses", seed: 20, length: 120 * second, endpoints: pool(4, 4, 0), rate: 25, promptMean: 500,
			answerMean: 60, reports: 0.3, faults: recurringFaults(120 * second), configure: shortDeadlines,
		},
		{
			name: "first-silences", seed: 23, length: 60 * second, endpoints: pool(6, 6, 0), rate: 40, promptMean: 500,
			answerMean: 60, reports: 0.3, faults: singleOutages(12), configure: shortDeadlines,
			promptCancels: true,
		},
		{
			name: "stale-reports", seed: 21, length: 60 * second, configure: longDeadlines, endpoints: pool(8, 8, 0), rate: 12,
			promptMean: 700, answerMean: 100, sessions: 30, prefixes: 4, reports: 0.03, backgroundMemory: 0.92,
		},
		{
			name: "lost-connections", seed: 22, length: 30 * second, endpoints: pool(6, 6, 2), rate: 40, promptMean: 700,
			answerMean: 100, sessions: 30, prefixes: 4, reports: 0.3, subscriptionFails: 0.8, earlyLeaves: 0.1,
			configure: func(settings *control.Settings) { settings.Limits.MaxAttempts = 2 },
			faults:    []fault{{kind: faultReset, to: 20 * second, chance: 0.5}},
		},
	}
}

// widespreadFaults returns faults that affect half of the engines, with one kind of fault after another.
func widespreadFaults() (list []fault) {
	kinds := []faultKind{faultError, faultSlow, faultReset, faultUnreachable, faultUnresponsive}
	for i, kind := range kinds {
		from := time.Duration(i) * 6 * time.Second
		list = append(list, alternateFaults(1, 42, kind, from, from+4*time.Second, 0.7)...)
	}
	return list
}

// unresponsiveEngines returns faults by which one engine after another becomes unresponsive, for all or some
// of its attempts.
func unresponsiveEngines() (list []fault) {
	for i := range 12 {
		from := time.Duration(i) * 3 * time.Second
		list = append(list, fault{
			engine: control.EndpointID(1 + i*5%12), kind: faultUnresponsive, from: from,
			to: from + 4*time.Second, chance: []float64{1, 0.3}[i%2],
		})
	}
	return list
}

// recurringFaults returns faults by which one engine of each role is unresponsive repeatedly, with some
// errors in between.
func recurringFaults(length time.Duration) (list []fault) {
	const cycle, unresponsive = 8 * time.Second, 2500 * time.Millisecond
	for _, id := range []control.EndpointID{1, 5} {
		for from := time.Duration(id) * time.Second; from < length; from += cycle {
			list = append(list,
				fault{engine: id, kind: faultUnresponsive, from: from, to: from + unresponsive, chance: 1},
				fault{engine: id, kind: faultError, from: from + unresponsive, to: from + cycle, chance: 0.15})
		}
	}
	return list
}

// singleOutages returns faults by which each engine is unresponsive once, one engine at a time.
func singleOutages(engines int) (list []fault) {
	for i := range engines {
		from := time.Duration(2+4*i) * time.Second
		list = append(list, fault{
			engine: control.EndpointID(1 + i), kind: faultUnresponsive, from: from,
			to: from + 3*time.Second, chance: 1,
		})
	}
	return list
}

// rejectionFaults returns faults by which engines reject attempts, can't fetch KV states or get attempts that
// are not sent.
func rejectionFaults() []fault {
	const second = time.Second
	list := alternateFaults(1, 6, faultRejecting, 3*second, 12*second, 0.8)
	list = append(list, alternateFaults(7, 12, faultKVMissing, 8*second, 16*second, 0.4)...)
	list = append(list, fault{kind: faultRejecting, from: 18 * second, to: 22 * second, chance: 0.5})
	return append(list, alternateFaults(7, 12, faultNotSent, 23*second, 27*second, 0.5)...)
}
