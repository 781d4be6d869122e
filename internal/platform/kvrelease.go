package platform

import (
	"net/http"

	"martenlock/control"
	"martenlock/control/kvrelease"
	"martenlock/internal/timerwheel"
)

// kvReleases schedules the calls to engines that release retained KV state.
type kvReleases struct {
	scheduler *kvrelease.Scheduler
	pollTimer timerwheel.Timer // runs until scheduler.NextPoll
}

func newKVReleases(s *Server) kvReleases {
	return kvReleases{
		scheduler: kvrelease.NewScheduler(s.config.Settings.Control.Limits.KVRetentionLimit),
		pollTimer: timerwheel.Timer{Fire: s.schedulePoll},
	}
}

// enqueueKVRelease schedules the release of the KV state of a client's request.
func (s *Server) enqueueKVRelease(callID string, reason control.ReleaseReason) {
	s.kvReleases.scheduler.Enqueue(s.now(), callID)
	s.events.requestLine().Str("request_id", callID).Stringer("reason", reason).Msg("KV release enqueued")
}

// pollKVReleases starts the calls that are due and sets the timer for the next ones.
func (s *Server) pollKVReleases() {
	scheduler := s.kvReleases.scheduler
	for _, call := range scheduler.Poll(s.now()) {
		s.startKVRelease(call)
	}
	s.loop.StopTimer(&s.kvReleases.pollTimer)
	next, isSet := scheduler.NextPoll()
	if isSet {
		s.loop.StartTimer(&s.kvReleases.pollTimer, next.Sub(s.now()))
	}
}

// kvReleasePath, followed by a request's X-Call-Id, is the path of its KV state at an engine.
const kvReleasePath = "/bootstrap/rooms/"

// startKVRelease calls the engine that the scheduler chose. Every engine can release state that
// another engine retains.
func (s *Server) startKVRelease(call kvrelease.Call) {
	engine := s.endpoints.byID[call.Endpoint]
	if engine == nil {
		s.completeKVRelease(call, false)
		return
	}
	engine.startCall(http.MethodDelete, kvReleasePath+call.Key, call.Timeout, func(result control.Result, status int) {
		s.completeKVRelease(call, result == control.OK && status < http.StatusMultipleChoices)
	})
}

// completeKVRelease reports the end of a call to the scheduler. If the release is confirmed now, the
// attempt that was deferred for it is started.
func (s *Server) completeKVRelease(call kvrelease.Call, isReleased bool) {
	completion := s.kvReleases.scheduler.Complete(s.now(), call, isReleased)
	s.logKVRelease(call, completion)
	if e := s.exchanges.byCallID[call.Key]; completion.Released && e != nil && e.attempt != nil {
		e.attempt.startDeferred()
	}
	s.schedulePoll()
}

// logKVRelease logs a confirmed release or a failed call. It logs nothing if another call has
// already released the state, or if the release was withdrawn or dropped.
func (s *Server) logKVRelease(call kvrelease.Call, completion kvrelease.Completion) {
	message := "KV release call failed"
	if completion.Released {
		message = "KV released"
	} else if !completion.WasPending {
		return
	}
	s.events.requestLine().
		Str("request_id", call.Key).
		Str("endpoint_name", s.endpointName(call.Endpoint)).
		Dur("pending_ms", completion.Age).
		Msg(message)
}
