package platform

import (
	"net/http"
	"time"

	"martenlock/control"
	"martenlock/internal/enginecall"
	"martenlock/internal/http1"
)

// callDone is called once with the result of a call to an engine. status is the HTTP status of the
// response. It has a meaning only if result is control.OK.
type callDone func(result control.Result, status int)

// callHeadBytes is the initial capacity for the head of a call. Longer heads are reallocated.
const callHeadBytes = 128

// startCall sends a request without a body. Only the status of the response is used. done may be called
// before startCall returns.
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
	enginecall.Call{Head: head, Timeout: timeout, OnDone: finish}.Start(&e.ConnPool)
}

// classifyCall returns the result of a call in the decision module's terms.
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
	case call.ConnError.ReusedConnection: // a healthy engine may close an idle connection
		return control.NotSent
	}
	return classifyConnError(call.ConnError)
}

// checkHealth sends a health check to an engine and reports the result to the decision module.
func (s *Server) checkHealth(id control.EndpointID) {
	engine := s.endpoints.byID[id]
	if engine == nil {
		s.push(control.HealthCheckResult{Endpoint: id, Result: control.NotSent})
		return
	}
	startedAt := s.loop.Now()
	engine.startCall(http.MethodGet, healthPath, s.config.Settings.Control.Limits.ConnectTimeout, func(result control.Result, status int) {
		if result == control.OK && status != http.StatusOK {
			result = control.Failed
		}
		s.push(control.HealthCheckResult{Endpoint: id, Result: result, Elapsed: s.loop.Now() - startedAt})
	})
}
