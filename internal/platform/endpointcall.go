package platform

import (
	"time"

	"martenlock/control"
	"martenlock/internal/enginecall"
	"martenlock/internal/http1"
)

// callDone takes the result of a call without a body to an engine, of whose response only the
// status matters; once. status means something where result is control.OK.
type callDone func(result control.Result, status int)

// callHeadBytes fits nearly every call, so that building one allocates once.
const callHeadBytes = 128

// startCall makes a call. done may be called before startCall returns.
func (e *endpoint) startCall(method, path string, timeout time.Duration, done callDone) {
	head := http1.AppendRequest(make([]byte, 0, callHeadBytes), method, path)
	head = http1.AppendField(head, "Host", engineHost)
	head = append(head, crlf...)
	startedAt := e.server.now()
	finish := func(call enginecall.Result) {
		result := classifyCall(call)
		scheduler := e.server.kvReleases.scheduler
		if result == control.OK {
			scheduler.RecordResponse(e.server.now(), e.id)
		} else if isUnresponsive(result) {
			scheduler.RecordUnresponsive(e.server.now(), startedAt, e.id)
		}
		done(result, call.Status)
	}
	enginecall.Call{Head: head, Timeout: timeout, OnDone: finish}.Start(&e.Pool)
}

// classifyCall returns what the end of a call means.
func classifyCall(call enginecall.Result) control.Result {
	switch {
	case call.Outcome == enginecall.Responded:
		return control.OK
	case call.Outcome == enginecall.NoConnection:
		return control.NotSent
	case call.Outcome == enginecall.TimedOut && !call.WrittenBeforeTimeout:
		return control.ConnectFailed
	case call.Outcome == enginecall.TimedOut:
		return control.TimedOut
	case call.ConnError.ReusedConnection: // an idle connection's end says nothing of the engine
		return control.NotSent
	}
	return classifyConnError(call.ConnError)
}

// checkHealth asks an engine how it is, and tells the module.
func (s *Server) checkHealth(id control.EndpointID) {
	e := s.endpoints.byID[id]
	if e == nil {
		s.push(control.HealthCheckResult{Endpoint: id, Result: control.NotSent})
		return
	}
	startedAt := s.loop.Now()
	e.startCall("GET", healthPath, s.config.Settings.Control.Limits.ConnectTimeout, func(result control.Result, status int) {
		if result == control.OK && status != 200 {
			result = control.Failed
		}
		s.push(control.HealthCheckResult{Endpoint: id, Result: result, Elapsed: s.loop.Now() - startedAt})
	})
}
