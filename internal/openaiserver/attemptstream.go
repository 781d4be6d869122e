package openaiserver

import (
	"martenlock/control"
	"martenlock/internal/decisionloop"
)

// This file streams an engine's answer to the client.

// startStream starts streaming the answer to the client: first the buffered part, then data. After that the request
// can't be retried.
func (a *attempt) startStream(data []byte) {
	exchange := a.exchange
	loop := exchange.pool.server.loop
	a.state = decisionloop.AttemptStreaming
	exchange.answerStarted = true
	exchange.kvHolders = nil
	loop.StopTimer(&a.answerTimer)
	exchange.pool.push(control.AnswerStarted{
		ID:       exchange.id,
		Endpoint: a.endpointID,
		Attempt:  a.number,
		Elapsed:  loop.Now() - a.startedAt,
	})
	if exchange.client != nil {
		exchange.client.begin(answerHead{
			status:      a.status,
			contentType: string(a.contentType),
			requestID:   exchange.requestID,
			length:      a.contentLength,
		})
		a.streamIdleTimer.Fire = func() { a.finish(control.TimedOut, true) }
	}
	buffered := a.buffered
	a.discardBuffered()
	a.forwardData(buffered)
	a.forwardData(data)
}

// discardBuffered discards the buffered part of the response and releases its memory budget.
func (a *attempt) discardBuffered() {
	a.exchange.pool.server.bufferedBytes -= int64(len(a.buffered))
	a.buffered = nil
}

// forwardData writes a part of the answer to the client. If the client reads too slowly, reading from the engine is
// paused. The idle time-out is stopped during the pause because the engine is not at fault.
func (a *attempt) forwardData(data []byte) {
	exchange := a.exchange
	if exchange.client == nil || len(data) == 0 {
		return
	}
	mustPause := exchange.client.write(data)
	if mustPause {
		a.conn.Pause()
		exchange.pool.server.loop.StopTimer(&a.streamIdleTimer)
		return
	}
	a.restartStreamIdleTimer()
}

// resume continues reading from the engine after forwardData has paused it.
func (a *attempt) resume() {
	a.conn.Resume()
	a.restartStreamIdleTimer()
}

// restartStreamIdleTimer bounds the time until the engine sends the next part of the answer.
func (a *attempt) restartStreamIdleTimer() {
	server := a.exchange.pool.server
	server.loop.StartTimer(&a.streamIdleTimer, server.config.Limits.StreamIdleTimeout)
}
