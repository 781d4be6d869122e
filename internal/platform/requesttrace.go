package platform

import (
	"fmt"

	"martenlock/control"
)

// attemptsWithoutRetry is the maximum number of attempts without a retry: a prefill and a decode.
const attemptsWithoutRetry = 2

// traceRequest does nothing unless requests are traced. It logs a request that had more than
// attemptsWithoutRetry attempts, was not served, or missed its objective for the time to the first token.
func (e *exchange) traceRequest(outcome requestOutcome) {
	if !e.server.traceRequests {
		return
	}
	request := &e.meta.request
	class := &e.server.config.Settings.Control.Classes[request.Class]
	isInTime := e.timeToFirstEvent <= class.FirstTokenObjective(request.PromptTokens)
	if outcome == outcomeServed && e.attemptCount <= attemptsWithoutRetry && isInTime {
		return
	}
	e.server.log.Info().
		Str("call_id", e.meta.callID).
		Int("class", request.Class).
		Stringer("outcome", outcome).
		Int("attempts", e.attemptCount).
		Float64("prompt_tokens", float64(request.PromptTokens)).
		Dur("ttft_ms", e.timeToFirstEvent).
		Dur("duration_ms", e.server.loop.Now()-e.startedAt).
		Str("attempt_history", e.attemptHistory).
		Msg("request trace")
}

// traceResponse does nothing unless requests are traced. It logs the connection on which the response to
// the attempt has begun, so that a response can be matched with what the engine has sent on it.
func (a *attempt) traceResponse() {
	s := a.exchange.server
	if !s.traceRequests || a.conn == nil {
		return
	}
	use := a.conn.Use()
	s.log.Info().
		Str("call_id", a.exchange.meta.callID).
		Int("attempt", int(a.number)).
		Str("endpoint_name", s.endpointName(a.endpointID)).
		Int("status", a.status).
		Int("connection", use.Number).
		Int("requests", use.Requests).
		Dur("idle_ms", use.IdleFor).
		Dur("elapsed_ms", s.loop.Now()-a.startedAt).
		Msg("response trace")
}

// endpointIDShift shortens an endpoint's id in the request trace to its upper 16 bits.
const endpointIDShift = 48

// recordHistory adds the attempt to the trace of its request: its start and end in milliseconds since the
// request's start, the engine, and the result.
func (a *attempt) recordHistory(result control.Result) {
	e := a.exchange
	if !e.server.traceRequests {
		return
	}
	start := float64((a.startedAt - e.startedAt).Milliseconds())
	end := float64((e.server.loop.Now() - e.startedAt).Milliseconds())
	e.attemptHistory += fmt.Sprintf(" %.0f-%.0f:%x:%s", start, end, uint64(a.endpointID)>>endpointIDShift, result)
}
