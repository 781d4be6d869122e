package demo

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	sessionCount       = 200                    // number of sessions of chat and completions requests
	maxDisconnectDelay = 400 * time.Millisecond // longest time from sending a request to disconnecting early
	minDeadlineShare   = 0.5                    // shortest deadline of a request, as a share of Load.Deadline
)

// plannedRequest is a request to send in a scenario.
type plannedRequest struct {
	sendAt          time.Duration // time since the start of the scenario
	load            *Load
	id              string
	wantsStream     bool
	promptTokens    int
	session         int
	deadline        time.Duration // time since sending
	disconnectAfter time.Duration // time since sending; 0 for never
	readsSlowly     bool
}

// plan draws all requests before the run, so that they depend only on the scenario.
func (s *Scenario) plan() []plannedRequest {
	rng := rand.New(rand.NewPCG(uint64(s.Seed), 1))
	var requests []plannedRequest
	at := time.Duration(0)
	for {
		gap := rng.ExpFloat64() / s.rateAt(at) * float64(time.Second)
		at += time.Duration(gap)
		if at >= s.Duration {
			return requests
		}
		load := s.drawLoad(rng)
		id := fmt.Sprintf("%s-%d", load.Name, len(requests))
		requests = append(requests, drawRequest(rng, at, load, id))
	}
}

// rateAt returns the request rate at a time since the start of the scenario, including bursts.
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

// drawLoad draws a load with a probability proportional to its share.
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

// drawRequest draws a request of a load. Changing the order of the random draws changes the requests of every seed.
func drawRequest(rng *rand.Rand, at time.Duration, load *Load, id string) plannedRequest {
	request := plannedRequest{sendAt: at, load: load, id: id}
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
