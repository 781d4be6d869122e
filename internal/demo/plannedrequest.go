package demo

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	sessionCount       = 200                    // sessions of chat and completions
	maxDisconnectDelay = 400 * time.Millisecond // longest wait of a client that disconnects early
	minDeadlineShare   = 0.5                    // least deadline of a client, as a share of its load's
)

// plannedRequest is a request of a scenario.
type plannedRequest struct {
	at              time.Duration // since the start of the scenario
	load            *Load
	id              string
	wantsStream     bool
	promptTokens    int
	session         int
	deadline        time.Duration // since it was sent
	disconnectAfter time.Duration // 0 for never
	readsSlowly     bool
}

// plan draws all requests in advance, so that nothing in the run can change them.
func (s *Scenario) plan() []plannedRequest {
	rng := rand.New(rand.NewPCG(uint64(s.Seed), 1))
	var requests []plannedRequest
	at := time.Duration(0)
	for {
		gap := rng.ExpFloat64() / s.rateAt(at) * float64(time.Second)
		at += time.Duration(gap)
		if at >= s.Length {
			return requests
		}
		load := s.drawLoad(rng)
		id := fmt.Sprintf("%s-%d", load.Name, len(requests))
		requests = append(requests, drawRequest(rng, at, load, id))
	}
}

// rateAt returns the request rate at a time of the scenario, including bursts.
func (s *Scenario) rateAt(at time.Duration) float64 {
	rate := s.RequestRate
	for i := range s.Faults {
		fault := &s.Faults[i]
		if fault.Kind == FaultBurst && fault.activeAt(at) {
			rate *= fault.Value
		}
	}
	return rate
}

// drawLoad draws a load by the loads' shares.
func (s *Scenario) drawLoad(rng *rand.Rand) *Load {
	total := 0.0
	for i := range s.Loads {
		total += s.Loads[i].Share
	}
	rest := rng.Float64() * total
	for i := range s.Loads {
		rest -= s.Loads[i].Share
		if rest < 0 {
			return &s.Loads[i]
		}
	}
	return &s.Loads[len(s.Loads)-1]
}

// drawRequest draws a request of a load. A seed gives the same requests only if the order of the draws stays.
func drawRequest(rng *rand.Rand, at time.Duration, load *Load, id string) plannedRequest {
	request := plannedRequest{at: at, load: load, id: id}
	request.wantsStream = rng.Float64() < load.StreamShare
	request.promptTokens = load.MinPromptTokens + rng.IntN(load.MaxPromptTokens-load.MinPromptTokens+1)
	request.session = rng.IntN(sessionCount)
	deadlineShare := minDeadlineShare + rng.Float64()*(1-minDeadlineShare)
	request.deadline = time.Duration(deadlineShare * float64(load.Deadline))
	request.readsSlowly = rng.Float64() < load.SlowReaderShare
	if rng.Float64() < load.DisconnectShare {
		request.disconnectAfter = time.Duration(rng.Float64() * float64(maxDisconnectDelay))
	}
	return request
}
