package platform

import (
	"fmt"

	"martenlock/control"
)

// smoothAttempts is the number of attempts of a request without a fault: a prefill and a decode.
const smoothAttempts = 2

// traceRequest logs a request that had a retry, was not served or missed its objective.
func (e *exchange) traceRequest(outcome requestOutcome) {
	if !e.server.traceRequests {
		return
	}
	request := &e.meta.request
	class := &e.server.config.Settings.Control.Classes[request.Class]
	isInTime := e.timeToFirstEvent <= class.FirstTokenObjective(request.PromptTokens)
	if outcome == outcomeServed && e.attemptCount <= smoothAttempts && isInTime {
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

// endpointBitsDropped is the number of low bits of an endpoint's id that the request trace leaves
// out. The other 16 bits tell engines apart.
const endpointBitsDropped = 48

// recordHistory adds the attempt to the trace of its request: the milliseconds from the request's start
// to the attempt's start and to its end, the engine, and the result.
func (a *attempt) recordHistory(result control.Result) {
	e := a.exchange
	if !e.server.traceRequests {
		return
	}
	start := float64((a.startedAt - e.startedAt).Milliseconds())
	end := float64((e.server.loop.Now() - e.startedAt).Milliseconds())
	e.attemptHistory += fmt.Sprintf(" %.0f-%.0f:%x:%s", start, end, uint64(a.endpointID)>>endpointBitsDropped, result)
}
