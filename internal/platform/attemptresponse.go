package platform

import (
	"net/http"

	"martenlock/control"
	"martenlock/internal/decisionloop"
	"martenlock/internal/http1"
	"martenlock/internal/upstream"
)

// maxBufferedResponseBytes bounds attempt.buffered.
const maxBufferedResponseBytes = 32 << 10

// Connected implements upstream.ResponseHandler. It does nothing: a request counts as possibly
// executed only once it is written completely.
func (a *attempt) Connected() {}

// Head implements upstream.ResponseHandler. It ends the attempt if a response with status 200 is not
// chunked or is from a prefill engine.
func (a *attempt) Head(head *http1.Head) {
	a.status = head.Status
	a.rejected = string(head.Get("x-rejected")) == "1"
	a.traceResponse()
	if a.status == http.StatusOK && (!head.Chunked || a.role == control.RolePrefill) {
		a.finish(control.Failed, false)
	}
}

// Data implements upstream.ResponseHandler. It buffers a stream until its first event is complete
// and forwards it from then on.
func (a *attempt) Data(data []byte) {
	s := a.exchange.server
	switch {
	case a.state == decisionloop.AttemptEnded:
	case a.state == decisionloop.AttemptStreaming:
		a.forwardEvents(data)
	case a.status != http.StatusOK: // only the beginning of such a body is used
		fits := min(len(data), maxBufferedResponseBytes-len(a.buffered))
		a.buffered = append(a.buffered, data[:fits]...)
	case len(a.buffered)+len(data) > maxBufferedResponseBytes:
		a.finish(control.Failed, false)
	case s.bufferedBytes+len(data) > s.limits.maxBufferedBytes: // the engine executes the request and is not at fault
		a.finish(control.ResponseDropped, false)
	default:
		a.buffered = append(a.buffered, data...)
		s.bufferedBytes += len(data)
		a.checkFirstEvent()
	}
}

// checkFirstEvent starts the client's stream if the first event is complete and valid, and ends the
// attempt if it is invalid.
func (a *attempt) checkFirstEvent() {
	switch scanFirstEvent(a.buffered) {
	case firstEventInvalid:
		a.exchange.server.counters.malformed++
		a.finish(control.Failed, false)
	case firstEventComplete:
		a.startStream()
	case firstEventIncomplete:
	}
}

// startStream starts the client's answer with the events received so far. The request is not
// retried after that.
func (a *attempt) startStream() {
	e := a.exchange
	s := e.server
	a.state = decisionloop.AttemptStreaming
	s.loop.StopTimer(&a.firstEventTimer)
	elapsed := s.loop.Now() - a.startedAt
	e.timeToFirstEvent = s.loop.Now() - e.startedAt
	a.endpoint.recordFirstEvent(elapsed)
	s.push(control.AnswerStarted{ID: e.id, Endpoint: a.endpointID, Attempt: a.number, Elapsed: elapsed})
	e.discardBody()
	e.client.startStream()
	events := a.buffered
	a.discardBuffered()
	a.forwardEvents(events)
}

// forwardEvents writes a piece of the stream to the client. If the client reads too slowly, it pauses
// the engine's connection and stops the idle timer until resume is called.
func (a *attempt) forwardEvents(data []byte) {
	client := a.exchange.client
	if client == nil || len(data) == 0 {
		return
	}
	mustPause := client.writeChunk(data)
	if mustPause {
		a.conn.Pause()
		a.exchange.server.loop.StopTimer(&a.streamIdleTimer)
		return
	}
	a.restartStreamIdleTimer()
}

// resume continues a stream that forwardEvents has paused.
func (a *attempt) resume() {
	a.conn.Resume()
	a.restartStreamIdleTimer()
}

// discardBuffered frees the buffered part of the response.
func (a *attempt) discardBuffered() {
	if a.status == http.StatusOK { // other bodies are not part of bufferedBytes
		a.exchange.server.bufferedBytes -= len(a.buffered)
	}
	a.buffered = nil
}

// Complete implements upstream.ResponseHandler. It ends the attempt with the result of the complete
// response.
func (a *attempt) Complete() {
	s := a.exchange.server
	a.conn = nil
	s.kvReleases.scheduler.RecordResponse(s.now(), a.endpointID)
	switch {
	case a.state == decisionloop.AttemptEnded:
	case a.state == decisionloop.AttemptStreaming:
		a.finish(control.OK, true)
	case a.status == http.StatusOK: // a stream without events
		a.finish(control.Failed, false)
	default:
		a.finishByStatus()
	}
}

// finishByStatus ends an attempt with a complete response that is not a stream.
func (a *attempt) finishByStatus() {
	outcome := classifyResponse(a.role, a.status, a.rejected)
	if outcome.result == control.PrefillDone {
		a.exchange.kv.mayRetain = true
		a.cachedTokens = parseCachedTokens(a.buffered)
	}
	a.kvMissing = outcome.kvMissing
	a.finish(outcome.result, outcome.final)
}

// Failed implements upstream.ResponseHandler. It ends the attempt, and the request too if its
// stream has started.
func (a *attempt) Failed(err upstream.ConnError) {
	a.conn = nil
	a.connError = err
	if err.Malformed != "" {
		a.exchange.server.counters.malformed++
	}
	if a.state == decisionloop.AttemptStreaming {
		a.finish(control.Reset, true)
		return
	}
	a.finish(classifyConnError(err), false)
}
