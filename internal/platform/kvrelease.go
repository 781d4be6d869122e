package platform

import (
	"martenlock/control"
	"martenlock/control/kvrelease"
	"martenlock/internal/timerwheel"
)

// kvReleases are the calls that have engines release retained KV state.
type kvReleases struct {
	scheduler *kvrelease.Scheduler
	pollTimer timerwheel.Timer // until the scheduler has something to do
}

func newKVReleases(s *Server) kvReleases {
	return kvReleases{
		scheduler: kvrelease.NewScheduler(s.config.Settings.Control.Limits.KVRetentionLimit),
		pollTimer: timerwheel.Timer{Fire: s.schedulePoll},
	}
}

// enqueueKVRelease has the KV state of a client's request released.
func (s *Server) enqueueKVRelease(clientID string, reason control.ReleaseReason) {
	s.kvReleases.scheduler.Enqueue(s.now(), clientID)
	s.events.request().Str("request_id", clientID).Stringer("reason", reason).Msg("KV release enqueued")
}

// pollKVReleases makes the calls that are due, and sets the timer for the next ones.
func (s *Server) pollKVReleases() {
	scheduler := s.kvReleases.scheduler
	for _, call := range scheduler.Poll(s.now()) {
		s.startKVRelease(call)
	}
	s.loop.StopTimer(&s.kvReleases.pollTimer)
	deadline, isSet := scheduler.NextDeadline()
	if isSet {
		s.loop.StartTimer(&s.kvReleases.pollTimer, deadline.Sub(s.now()))
	}
}

// kvReleasePath is where an engine releases KV state; the client's id of the request follows.
const kvReleasePath = "/bootstrap/rooms/"

// startKVRelease makes one call, at whichever engine the scheduler chose: each releases what any
// of them retains.
func (s *Server) startKVRelease(call kvrelease.Call) {
	e := s.endpoints.byID[call.Endpoint]
	if e == nil {
		s.completeKVRelease(call, false)
		return
	}
	e.startCall("DELETE", kvReleasePath+call.Key, call.Timeout, func(result control.Result, status int) {
		s.completeKVRelease(call, result == control.OK && status < 300)
	})
}

// completeKVRelease tells the scheduler how a call ended.
func (s *Server) completeKVRelease(call kvrelease.Call, isReleased bool) {
	completion := s.kvReleases.scheduler.Complete(s.now(), call, isReleased)
	s.logKVRelease(call, completion)
	if x := s.exchanges.byClientID[call.Key]; completion.Released && x != nil && x.attempt != nil {
		x.attempt.startDeferred()
	}
	s.schedulePoll()
}

// logKVRelease logs the end of a release, and a call that did not bring it about.
func (s *Server) logKVRelease(call kvrelease.Call, completion kvrelease.Completion) {
	message := "KV release call failed"
	if completion.Released {
		message = "KV released"
	} else if !completion.WasPending {
		return // another call has released it, or it was withdrawn
	}
	s.events.request().
		Str("request_id", call.Key).
		Str("endpoint_name", s.endpointName(call.Endpoint)).
		Dur("pending_ms", completion.Age).
		Msg(message)
}
