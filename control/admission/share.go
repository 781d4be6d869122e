package admission

import (
	"time"

	"martenlock/control"
)

const (
	// lateFraction is the fraction of its latency objective after which a small request counts as late.
	// It is less than 1 so that the share falls before objectives are missed.
	lateFraction = 0.5
	// shareDecrease is the factor by which late small requests lower the share.
	shareDecrease = 0.7
	// minShare is the least share. With most settings it leaves one unit outstanding at a time.
	minShare = 0.05
	// shareIncreasePerRequest is added to the share by each small request in time.
	shareIncreasePerRequest = 0.02
	// shareIncreasePerSecond is added to the share by the passing of time.
	shareIncreasePerSecond = 0.25
	// aloneFactor multiplies Settings.OutstandingWork while no small request has arrived for aloneAfter.
	aloneFactor = 4.0
	// aloneAfter is the time without small requests after which aloneFactor applies.
	aloneAfter = time.Second
)

// SmallRequest is the latency of a small request of the pool.
type SmallRequest struct {
	Elapsed       time.Duration // to its first token or complete answer; at least Objective if it was rejected
	Objective     time.Duration // the latency objective for Elapsed
	ClientTimeout time.Duration // how long its client waits
}

// share is the fraction of their bound that large requests may use, from minShare to 1. It follows additive
// increase and multiplicative decrease, as TCP congestion control does (Chiu and Jain 1989). Small requests
// in time and the passing of time raise it, late small requests lower it.
type share struct {
	value       float64
	decreasedAt control.Time
	updatedAt   control.Time // value includes the increase by time up to here
	lastSmallAt control.Time // when a small request was last observed; 0 if none was
}

func newShare() share { return share{value: 1} }

// observe records a small request. A late one lowers the share only while large requests are outstanding, and
// at most once in an interval, so that large requests admitted before can end. Requests whose clients wait for
// less than the objective are ignored: with them one client could delay all large requests.
func (s *share) observe(now control.Time, request SmallRequest, hasOutstanding bool, interval time.Duration) {
	s.lastSmallAt = now
	if request.ClientTimeout < request.Objective {
		return
	}
	inTime := float64(request.Elapsed) <= lateFraction*float64(request.Objective)
	switch {
	case inTime:
		s.value = min(s.value+shareIncreasePerRequest, 1)
	case hasOutstanding && now.Sub(s.decreasedAt) >= interval:
		s.value = max(s.value*shareDecrease, minShare)
		s.decreasedAt = now
		s.updatedAt = now
	}
}

// update adds the increase since the last update and returns the share.
func (s *share) update(now control.Time) float64 {
	elapsed := max(now.Sub(s.updatedAt), 0)
	s.value = min(s.value+shareIncreasePerSecond*elapsed.Seconds(), 1)
	s.updatedAt = now
	return s.value
}

// hasRecentSmallRequest reports whether a small request was observed within aloneAfter.
func (s *share) hasRecentSmallRequest(now control.Time) bool {
	return s.lastSmallAt != 0 && now.Sub(s.lastSmallAt) <= aloneAfter
}
