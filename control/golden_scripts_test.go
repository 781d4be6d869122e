package control_test

import (
	"math/rand/v2"
	"time"

	"martenlock/control"
)

// script is one play of the golden test.
type script struct {
	name          string
	seed          uint64
	length        time.Duration
	instances     int // routers that are played; Settings.Routers may be more
	configure     func(*control.Settings)
	fleet         []endpoint
	faults        []fault
	changes       []change
	rate          float64       // arrivals a second
	burst         int           // requests that come at once,
	burstChance   float64       // with this chance
	pauseEvery    time.Duration // arrivals fill the first fifth of each such period; 0 for all the time
	promptMean    float64
	answerMean    float64
	sessions      uint64
	prefixes      uint64
	giants        float64 // share of prompts a thousand times as long
	earlyLeave    float64 // share of clients that leave early
	reports       float64 // share of answers with a load report
	background    float64 // share of engine memory that other routers' answers hold
	watchFails    float64 // share of subscriptions that break
	quantum       time.Duration
	promptCancels bool // every cancellation comes in time
}

// change alters the service at a time.
type change struct {
	at    time.Duration
	apply func(*service)
}

// pool lists engines: prefill, decode and mixed ones, over some cells and two zones, of unequal weights.
func pool(prefill, decode, mixed int) (list []endpoint) {
	weights := []float64{1, 1, 1.7, 0.6}
	for r, count := range []int{prefill, decode, mixed} {
		for i := range count {
			id := endpointID(len(list) + 1)
			cell := uint16((i*3 + r) % 5)
			list = append(list, newEndpoint(id, role(r), cell, cell%2, weights[i%len(weights)]))
		}
	}
	return list
}

// light gives a pool weights about the least that counts.
func light(list []endpoint) []endpoint {
	for i := range list {
		list[i].Weight = []float64{0, 0.0102, 0.012, 0.0098, 0.02}[i%5]
	}
	return list
}

// chaos draws faults of all kinds at engines 1 to count.
func chaos(seed uint64, number, count int, length time.Duration) (list []fault) {
	rng := rand.New(rand.NewPCG(seed, 99))
	for range number {
		from := time.Duration(rng.Float64() * float64(length))
		list = append(list, fault{
			engine: endpointID(1 + rng.IntN(count)), kind: faultKind(rng.IntN(int(faultKinds))),
			from: from, to: from + time.Second + time.Duration(rng.Float64()*float64(6*time.Second)),
			chance: 0.25 + 0.75*rng.Float64(), factor: 2 + 5*rng.Float64(),
		})
	}
	return list
}

// half makes every other engine of a range sick in one way.
func half(first, last endpointID, kind faultKind, from, to time.Duration, chance float64) (list []fault) {
	for id := first; id <= last; id += 2 {
		list = append(list, fault{engine: id, kind: kind, from: from, to: to, chance: chance, factor: 4})
	}
	return list
}

// churn drains, removes, restarts and adds engines by delta and by full lists.
func churn(s *service, rng *rand.Rand, serial int) {
	e := s.engines[rng.IntN(len(s.engines))]
	switch serial % 5 {
	case 0:
		e.entry.State = control.Draining
	case 1:
		e.entry.State, e.entry.StartedAt = control.Ready, s.now
	case 2:
		e.entry.State = control.Gone
	case 3:
		e.entry.Weight = 0.5 + rng.Float64()
	case 4:
		fresh := newEndpoint(endpointID(500+serial), e.role(), e.entry.Cell, e.entry.Zone, 1)
		fresh.StartedAt = s.now
		e = s.addEngine(fresh)
	}
	if serial%3 == 0 {
		s.announceMost(rng)
		return
	}
	s.announce(false, e.entry)
}

// announceMost sends a full list from which an engine may be missing.
func (s *service) announceMost(rng *rand.Rand) {
	list := s.list()
	if missing := rng.IntN(2 * len(list)); missing < len(list) {
		list = append(list[:missing], list[missing+1:]...)
	}
	s.announce(true, list...)
}

// churns plans one change of the fleet after another.
func churns(seed uint64, every, length time.Duration) (list []change) {
	rng := rand.New(rand.NewPCG(seed, 55))
	for i := 0; time.Duration(i)*every < length; i++ {
		list = append(list, change{at: time.Duration(i+1) * every, apply: func(s *service) { churn(s, rng, i) }})
	}
	return list
}

// routers sets how many routers the service has.
func routers(n int) func(*control.Settings) {
	return func(set *control.Settings) { set.Identity.Routers = n }
}

// goldenScripts lists every play; the first is also written in full.
func goldenScripts() []*script {
	const second = time.Second
	return []*script{
		{
			name: "short", seed: 1, length: 4 * second, fleet: pool(2, 3, 1), rate: 25, promptMean: 800, answerMean: 60,
			sessions: 10, prefixes: 3, reports: 0.5, faults: chaos(1, 8, 6, 4*second), earlyLeave: 0.1,
		},
		{
			name: "steady", seed: 2, length: 30 * second, fleet: pool(6, 8, 0), rate: 60, promptMean: 700, answerMean: 120,
			sessions: 60, prefixes: 6, reports: 0.7, earlyLeave: 0.02,
		},
		{
			name: "overload", seed: 3, length: 30 * second, fleet: pool(5, 3, 0), rate: 50, promptMean: 1200,
			answerMean: 500, sessions: 40, prefixes: 5, reports: 0.5, earlyLeave: 0.05, burst: 12, burstChance: 0.05,
		},
		{
			name: "overload-unreported", seed: 4, length: 30 * second, fleet: pool(8, 3, 1), rate: 50, promptMean: 900,
			answerMean: 500, sessions: 40, prefixes: 5, burst: 10, burstChance: 0.1, quantum: 10 * time.Millisecond,
		},
		{
			name: "slow-prefill", seed: 5, length: 30 * second, fleet: pool(3, 6, 0), rate: 45, promptMean: 1500,
			answerMean: 80, sessions: 50, prefixes: 12, reports: 1,
		},
		{
			name: "five-routers", seed: 6, length: 25 * second, instances: 5, configure: routers(5), fleet: pool(6, 5, 2),
			rate: 70, promptMean: 1200, answerMean: 400, sessions: 60, prefixes: 8, reports: 0.6,
			faults: chaos(6, 15, 13, 25*second),
		},
		{
			name: "hundred-routers", seed: 7, length: 25 * second, instances: 8, configure: routers(100),
			fleet: pool(10, 10, 3), rate: 60, promptMean: 1000, answerMean: 200, sessions: 60, prefixes: 8, reports: 0.3,
			burst: 6, burstChance: 0.1, faults: chaos(7, 20, 23, 25*second),
		},
		{
			name: "mixed-pool", seed: 8, length: 30 * second, fleet: pool(4, 4, 5), rate: 60, promptMean: 1000,
			answerMean: 250, sessions: 50, prefixes: 8, reports: 0.5, faults: half(9, 13, faultSlow, 0, 30*second, 0.5),
		},
		{
			name: "mixed-alone", seed: 9, length: 30 * second, fleet: pool(0, 0, 6), rate: 35, promptMean: 800,
			answerMean: 150, sessions: 50, prefixes: 4, reports: 0.5, faults: chaos(9, 12, 6, 30*second),
		},
		{
			name: "chaos", seed: 10, length: 40 * second, fleet: pool(8, 8, 2), rate: 60, promptMean: 800, answerMean: 150,
			sessions: 80, prefixes: 6, reports: 0.5, faults: chaos(10, 70, 18, 40*second), earlyLeave: 0.1, watchFails: 0.5,
		},
		{
			name: "chaos-batched", seed: 11, length: 40 * second, fleet: pool(5, 9, 1), rate: 70, promptMean: 700,
			answerMean: 120, prefixes: 4, reports: 0.2, faults: chaos(11, 70, 15, 40*second),
			quantum: 25 * time.Millisecond, burst: 8, burstChance: 0.05,
		},
		{
			name: "widespread-faults", seed: 12, length: 30 * second, fleet: pool(21, 21, 0), rate: 90, promptMean: 700,
			answerMean: 100, sessions: 90, prefixes: 30, reports: 0.5, faults: widespreadFaults(),
		},
		{
			name: "silence", seed: 13, length: 40 * second, fleet: pool(6, 6, 0), rate: 40, promptMean: 800, answerMean: 100,
			sessions: 40, prefixes: 5, reports: 0.5, faults: silences(),
		},
		{
			name: "silence-on-sockets", seed: 13, length: 40 * second, fleet: pool(6, 6, 0), rate: 40, promptMean: 800, answerMean: 100,
			sessions: 40, prefixes: 5, reports: 0.5, faults: silences(), configure: releaseUnderAttempts,
		},
		{
			name: "churn", seed: 14, length: 60 * second, fleet: pool(8, 8, 3), rate: 50, promptMean: 800, answerMean: 150,
			sessions: 60, prefixes: 6, reports: 0.5, changes: churns(14, 700*time.Millisecond, 60*second),
			faults: []fault{{kind: faultSilent, from: 8 * second, to: 55 * second, chance: 0.4}},
		},
		{
			name: "light-weights", seed: 15, length: 30 * second, fleet: light(pool(7, 9, 2)), rate: 40, promptMean: 800,
			answerMean: 150, sessions: 40, prefixes: 8, reports: 0.5,
		},
		{
			name: "giant-prompts", seed: 16, length: 30 * second, fleet: pool(4, 5, 0), rate: 30, promptMean: 800,
			answerMean: 100, giants: 0.05, reports: 0.5,
			configure: func(set *control.Settings) { set.Limits.MaxRetryAfter = 500 * second },
		},
		{
			name: "idle-sessions", seed: 17, length: 200 * second, fleet: pool(8, 8, 0), rate: 4, promptMean: 800,
			answerMean: 100, sessions: 220, prefixes: 2, reports: 0.5,
		},
		{
			name: "rare-prefixes", seed: 24, length: 240 * second, fleet: pool(4, 4, 0), rate: 3, promptMean: 800,
			answerMean: 100, prefixes: 2000, reports: 0.5,
		},
		{
			name: "unknown-memory", seed: 25, length: 30 * second, fleet: pool(4, 4, 2), rate: 60, promptMean: 1000,
			answerMean: 400, sessions: 40, prefixes: 4, reports: 0.2, burst: 8, burstChance: 0.05,
			configure: func(set *control.Settings) {
				for i := range set.Engines.Kinds {
					set.Engines.Kinds[i].MemoryTokens = 0
				}
			},
		},
		{
			name: "pauses", seed: 18, length: 80 * second, fleet: pool(6, 3, 0), rate: 60, promptMean: 900, answerMean: 350,
			sessions: 40, prefixes: 4, reports: 0.5, pauseEvery: 4200 * time.Millisecond,
			configure: withoutProbes,
		},
		{
			name: "no-state", seed: 19, length: 30 * second, fleet: pool(6, 5, 1), rate: 60, promptMean: 700,
			answerMean: 200, sessions: 40, prefixes: 4, reports: 0.5, faults: turningAway(), configure: bareSettings,
		},
		{
			name: "relapses", seed: 20, length: 120 * second, fleet: pool(4, 4, 0), rate: 25, promptMean: 500,
			answerMean: 60, reports: 0.3, faults: relapses(120 * second), configure: hastyClasses,
		},
		{
			name: "first-silences", seed: 23, length: 60 * second, fleet: pool(6, 6, 0), rate: 40, promptMean: 500,
			answerMean: 60, reports: 0.3, faults: firstSilences(12), configure: hastyClasses,
			promptCancels: true,
		},
		{
			name: "stale-reports", seed: 21, length: 60 * second, configure: patientClasses, fleet: pool(8, 8, 0), rate: 12,
			promptMean: 700, answerMean: 100, sessions: 30, prefixes: 4, reports: 0.03, background: 0.92,
		},
		{
			name: "lost-connections", seed: 22, length: 30 * second, fleet: pool(6, 6, 2), rate: 40, promptMean: 700,
			answerMean: 100, sessions: 30, prefixes: 4, reports: 0.3, watchFails: 0.8, earlyLeave: 0.1,
			configure: func(set *control.Settings) { set.Limits.MaxAttempts = 2 },
			faults:    []fault{{kind: faultReset, to: 20 * second, chance: 0.5}},
		},
	}
}

// widespreadFaults makes about half of the engines sick, in one way after another.
func widespreadFaults() (list []fault) {
	kinds := []faultKind{faultError, faultSlow, faultReset, faultUnreachable, faultSilent}
	for i, kind := range kinds {
		from := time.Duration(i) * 6 * time.Second
		list = append(list, half(1, 42, kind, from, from+4*time.Second, 0.7)...)
	}
	return list
}

// silences makes single engines and links go silent, for all attempts or a part of them.
func silences() (list []fault) {
	for i := range 12 {
		from := time.Duration(i) * 3 * time.Second
		list = append(list, fault{
			engine: endpointID(1 + i*5%12), kind: faultSilent, from: from,
			to: from + 4*time.Second, chance: []float64{1, 0.3}[i%2],
		})
	}
	return list
}

// relapses makes an engine of each role silent again and again, with errors in between.
func relapses(length time.Duration) (list []fault) {
	const cycle, silent = 8 * time.Second, 2500 * time.Millisecond
	for _, id := range []endpointID{1, 5} {
		for from := time.Duration(id) * time.Second; from < length; from += cycle {
			list = append(list, fault{engine: id, kind: faultSilent, from: from, to: from + silent, chance: 1},
				fault{engine: id, kind: faultError, from: from + silent, to: from + cycle, chance: 0.15})
		}
	}
	return list
}

// firstSilences makes one engine after another silent once, with no other fault before or after.
func firstSilences(engines int) (list []fault) {
	for i := range engines {
		from := time.Duration(2+4*i) * time.Second
		list = append(list, fault{
			engine: endpointID(1 + i), kind: faultSilent, from: from,
			to: from + 3*time.Second, chance: 1,
		})
	}
	return list
}

// hastyClasses makes all requests safe to repeat and short of time, and leaves signs of life to them alone.
func hastyClasses(set *control.Settings) {
	set.Caller.CanHealthCheck = false
	for i := range set.Classes {
		set.Classes[i].Idempotency, set.Classes[i].TTFTObjective, set.Classes[i].Deadline = control.Idempotent, time.Second, 4*time.Second
	}
}

// patientClasses lets requests wait for longer than a load report is believed.
func patientClasses(set *control.Settings) {
	set.Identity.Routers, set.Caller.CanHealthCheck = 2, false
	for i := range set.Classes {
		set.Classes[i].TTFTObjective, set.Classes[i].Deadline = 15*time.Second, 25*time.Second
	}
}

// turningAway makes engines turn requests away or lack their state.
func turningAway() []fault {
	const second = time.Second
	list := half(1, 6, faultRefusing, 3*second, 12*second, 0.8)
	list = append(list, half(7, 12, faultForgetful, 8*second, 16*second, 0.4)...)
	list = append(list, fault{kind: faultRefusing, from: 18 * second, to: 22 * second, chance: 0.5})
	return append(list, half(7, 12, faultUnsent, 23*second, 27*second, 0.5)...)
}

// releaseUnderAttempts lets releases be asked for while attempts are in flight.
func releaseUnderAttempts(set *control.Settings) { set.Caller.ReleaseSparesAttempts = true }

// withoutProbes leaves signs of life to requests alone.
func withoutProbes(set *control.Settings) { set.Caller.CanHealthCheck = false }

// bareSettings leaves out what a site may leave out.
func bareSettings(set *control.Settings) {
	set.Caller.CanCancel, set.Caller.MustSubscribe, set.Limits.MaxAttempts = false, false, 6
	set.Engines.ReportFields = []control.ReportField{control.ReportQueued, control.ReportMemory}
	set.Limits.KVRetentionLimit = time.Second
}
