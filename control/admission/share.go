package admission

import (
	"time"

	"martenlock/control"
)

const (
	// lateFraction is the fraction of the latency objective after which a small request counts as late. It
	// is less than 1, so that the share falls before objectives are missed.
	lateFraction = 0.5
	// shareDecrease is the factor by which late small requests lower the share.
	shareDecrease = 0.7
	// minShare is the lower bound of the share. One outstanding unit is allowed even if it exceeds the limit.
	minShare = 0.05
	// shareIncreasePerRequest is added to the share for each small request that is on time.
	shareIncreasePerRequest = 0.02
	// shareIncreasePerSecond is added to the share for each second that passes.
	shareIncreasePerSecond = 0.25
	// noSmallRequestsFactor multiplies Settings.OutstandingWork while no small requests arrive.
	noSmallRequestsFactor = 4.0
	// noSmallRequestsDelay is the time without small requests after which noSmallRequestsFactor applies.
	noSmallRequestsDelay = time.Second
)

// SmallRequest is a latency observation of one small request of the pool.
type SmallRequest struct {
	Elapsed       time.Duration // until the first token or the complete answer; at least Objective if rejected
	Objective     time.Duration // the latency objective for Elapsed
	ClientTimeout time.Duration // how long its client waits for an answer
}

// share is the fraction of the limit on outstanding work that large requests may use, from minShare to 1.
// It is controlled by additive increase and multiplicative decrease, like a TCP congestion window (Chiu and
// Jain 1989): it rises with time and with small requests that are on time, and falls with late ones.
type share struct {
	value       float64
	decreasedAt control.Time
	updatedAt   control.Time // value includes the time-based increase until then
	lastSmallAt control.Time // when a small request was last observed; 0 if none was
}

func newShare() share { return share{value: 1} }

// observe records a small request. A late one lowers the share only while large requests are outstanding,
// and at most once per interval, so that large requests admitted before the decrease have time to end.
// Requests with a client time-out below the objective do not change the share: otherwise one client could
// delay all large requests.
func (s *share) observe(now control.Time, request SmallRequest, hasOutstanding bool, interval time.Duration) {
	s.lastSmallAt = now
	if request.ClientTimeout < request.Objective {
		return
	}
	onTime := float64(request.Elapsed) <= lateFraction*float64(request.Objective)
	switch {
	case onTime:
		s.value = min(s.value+shareIncreasePerRequest, 1)
	case hasOutstanding && now.Sub(s.decreasedAt) >= interval:
		s.value = max(s.value*shareDecrease, minShare)
		s.decreasedAt = now
		s.updatedAt = now
	}
}

// update adds the time-based increase since the last update and returns the share.
func (s *share) update(now control.Time) float64 {
	elapsed := max(now.Sub(s.updatedAt), 0)
	s.value = min(s.value+shareIncreasePerSecond*elapsed.Seconds(), 1)
	s.updatedAt = now
	return s.value
}

// hasRecentSmallRequest reports whether a small request was observed in the last noSmallRequestsDelay.
func (s *share) hasRecentSmallRequest(now control.Time) bool {
	return s.lastSmallAt != 0 && now.Sub(s.lastSmallAt) <= noSmallRequestsDelay
}
