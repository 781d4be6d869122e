package openaiserver

import (
	"fmt"
	"net/http"
	"time"

	"martenlock/control"
	"martenlock/control/batching"
	"martenlock/control/outcome"
	"martenlock/internal/http1"
	"martenlock/internal/openai"
	"martenlock/internal/timerwheel"
	"martenlock/internal/upstream"
)

// attemptState is how far an attempt has come.
type attemptState uint8

// The states of an attempt.
const (
	attemptWaiting   attemptState = iota // for the answer, or a part of it that is too long to buffer
	attemptStreaming                     // the answer goes to the client, for good
	attemptEnded                         // the exchange has heard of its end
)

// String names the state for tests and logs.
func (s attemptState) String() string {
	switch s {
	case attemptWaiting:
		return "waiting"
	case attemptStreaming:
		return "streaming"
	case attemptEnded:
		return "ended"
	}
	return fmt.Sprintf("attemptState(%d)", uint8(s))
}

// attempt is one sending of a request to one engine. It is the upstream.ResponseHandler of the engine's
// response: the connection calls Connected, Head, Data, Complete and Failed.
type attempt struct {
	exchange   *exchange
	number     control.AttemptNumber // among the exchange's attempts, from 0
	engine     *engine               // nil where it is not listed
	endpointID control.EndpointID
	role       control.Role
	conn       *upstream.Conn // nil before it is had, and after the response
	startedAt  time.Duration

	state             attemptState
	answerTimeout     timerwheel.Timer // until the answer begins
	streamIdleTimeout timerwheel.Timer // between two pieces of the answer

	isConnected   bool // the connection stood: the engine may execute the request
	status        int
	contentLength int64 // below 0 where it is not known
	contentType   []byte
	buffered      []byte // of the answer
	loadReport    []float64
	cachedTokens  uint32 // of the prompt, that a prefill engine found in its KV cache
	kvMissing     bool   // the engine could not fetch the KV state
}

// Bounds of what is buffered of a response.
const (
	maxPrefillResponseBytes = 4 << 20  // it names blocks of the KV state, and no text
	maxErrorResponseBytes   = 64 << 10 // the rest of an error's text is cut
	bodyOverheadBytes       = 512      // beside the call: what a role's form of the body adds
)

// statusKVMissing is the status of an engine that can't fetch the KV state it was told of.
const statusKVMissing = http.StatusFailedDependency

// start sends the request.
func (a *attempt) start(action control.Forward) {
	x := a.exchange
	s := x.pool.server
	a.role = a.engine.node.Role
	body := x.appendBody(make([]byte, 0, x.call.BodySize()+bodyOverheadBytes), a.role)
	head := x.appendHead(a.engine.newRequestHead(http.MethodPost, x.path))
	a.answerTimeout.Fire = func() { a.finish(control.TimedOut, false) }
	conn, err := a.engine.Start(a, http1.AppendContentLength(head, len(body)), body, false)
	if err != nil {
		a.finish(control.NotSent, false)
		return
	}
	a.conn = conn
	s.loop.StartTimer(&a.answerTimeout, action.Timeout)
	conn.SendWithin(action.SendWithin)
}

// Connected takes in that the engine may execute the request.
func (a *attempt) Connected() { a.isConnected = true }

// Head takes the response's head.
func (a *attempt) Head(head *http1.Head) {
	a.status = head.Status
	a.contentLength = head.ContentLength
	if head.Chunked {
		a.contentLength = -1
	}
	a.contentType = append([]byte(nil), head.Get("content-type")...)
	a.loadReport = openai.ParseLoadReport(head.Get("endpoint-load-metrics"), a.exchange.pool.settings.ReportMetrics)
}

// Data takes a piece of the response's body.
func (a *attempt) Data(data []byte) {
	s := a.exchange.pool.server
	isPrefill := a.role == control.RolePrefill
	switch {
	case a.state == attemptEnded:
	case a.state == attemptStreaming:
		a.forwardData(data)
	case len(a.buffered)+len(data) <= a.maxBufferedBytes():
		if s.bufferedBytes+int64(len(data)) > maxBufferedBytes {
			a.finish(control.NotSent, false)
			return
		}
		a.buffered = append(a.buffered, data...)
		s.bufferedBytes += int64(len(data))
	case a.status != http.StatusOK: // an error's text is cut
	case isPrefill || a.exchange.call.HasCheckedResponse(): // the limit may have been lowered since the connection was made
		a.finish(control.Failed, false)
	default:
		a.startStream(data)
	}
}

// maxBufferedBytes returns how much of the response is buffered.
func (a *attempt) maxBufferedBytes() int {
	limits := &a.exchange.pool.server.config.Limits
	call := a.exchange.call
	switch {
	case a.status != http.StatusOK:
		return maxErrorResponseBytes
	case a.role == control.RolePrefill:
		return maxPrefillResponseBytes
	case call.Stream:
		return 0
	case call.HasCheckedResponse(): // looked at before anyone gets it
		return int(limits.MaxResponseBytes)
	}
	return limits.MaxBufferedBytes
}

// startStream gives the answer to the client, for good: nothing can be retried from here on. data
// is the piece that comes after what is buffered.
func (a *attempt) startStream(data []byte) {
	x := a.exchange
	s := x.pool.server
	a.state = attemptStreaming
	x.hasStarted = true
	x.kvHolders = nil
	s.loop.StopTimer(&a.answerTimeout)
	x.pool.push(control.AnswerStarted{ID: x.id, Endpoint: a.endpointID, Attempt: a.number, Elapsed: s.loop.Now() - a.startedAt})
	if x.client != nil {
		x.client.begin(answerHead{
			status:      a.status,
			contentType: string(a.contentType),
			requestID:   x.requestID,
			length:      a.contentLength,
		})
		a.streamIdleTimeout.Fire = func() { a.finish(control.TimedOut, true) }
	}
	buffered := a.buffered
	a.discardBuffered()
	a.forwardData(buffered)
	a.forwardData(data)
}

// discardBuffered frees what is kept of the answer.
func (a *attempt) discardBuffered() {
	a.exchange.pool.server.bufferedBytes -= int64(len(a.buffered))
	a.buffered = nil
}

// forwardData hands a piece of the answer to the client. While the client is slow to take it, the
// engine's connection is not read, and the engine may be silent.
func (a *attempt) forwardData(data []byte) {
	x := a.exchange
	if x.client == nil || len(data) == 0 {
		return
	}
	s := x.pool.server
	isFull := x.client.write(data)
	if isFull {
		a.conn.Pause()
		s.loop.StopTimer(&a.streamIdleTimeout)
		return
	}
	s.loop.StartTimer(&a.streamIdleTimeout, s.config.Limits.StreamIdleTimeout)
}

// resume reads the answer again, after forwardData has paused it.
func (a *attempt) resume() {
	s := a.exchange.pool.server
	a.conn.Resume()
	s.loop.StartTimer(&a.streamIdleTimeout, s.config.Limits.StreamIdleTimeout)
}

// Complete takes in that the response is whole.
func (a *attempt) Complete() {
	a.conn = nil
	switch {
	case a.status != http.StatusOK:
		a.finishByStatus()
	case a.role == control.RolePrefill:
		a.finishPrefill()
	case a.state == attemptStreaming:
		a.finish(control.OK, true)
	case a.exchange.call.Stream: // a stream of nothing
		a.finish(control.Failed, false)
	default:
		a.finishWholeAnswer()
	}
}

// finishPrefill ends an attempt at a prefill engine, which tells where the KV state is.
func (a *attempt) finishPrefill() {
	x := a.exchange
	response, hasKVTransfer := openai.ParsePrefillResponse(a.buffered)
	if !hasKVTransfer {
		x.pool.server.log.Warn().Str("endpoint", a.engine.node.Name).Msg("prefill response without kv_transfer_params")
		a.finish(control.Failed, false)
		return
	}
	x.pool.tokenEstimator.Observe(x.call.PromptTokens, openai.ParsePromptTokens(a.buffered))
	x.kvTransfer = response.KVTransfer
	x.kvHolders = append(x.kvHolders, a.engine)
	a.cachedTokens = uint32(response.CachedTokens)
	a.finish(control.PrefillDone, false)
}

// finishWholeAnswer ends an attempt whose answer was buffered to its end.
func (a *attempt) finishWholeAnswer() {
	x := a.exchange
	err := x.call.CheckResponse(a.buffered)
	if err != nil {
		x.pool.server.log.Warn().Str("endpoint", a.engine.node.Name).Err(err).Msg("invalid answer")
		a.finish(control.Failed, false)
		return
	}
	x.kvHolders = nil
	if !x.call.HasCheckedResponse() { // those are long, and their usage comes last
		x.pool.tokenEstimator.Observe(x.call.PromptTokens, openai.ParsePromptTokens(a.buffered))
	}
	x.setAnswer(a, outcome.Served)
	a.finish(control.OK, true)
}

// finishByStatus ends an attempt whose response is not an answer.
func (a *attempt) finishByStatus() {
	switch {
	case a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable:
		a.finish(control.Rejected, false)
	case a.status == statusKVMissing:
		a.kvMissing = true
		a.finish(control.Rejected, false)
	case a.status >= 500 || a.status == http.StatusRequestTimeout || a.status < 400:
		a.finish(control.Failed, false)
	default: // the engine finds fault with the request: another one would too
		a.exchange.setAnswer(a, outcome.InvalidRequest)
		a.finish(control.OK, true)
	}
}

// Failed takes in that the connection ended before the response was whole.
func (a *attempt) Failed(how upstream.ConnError) {
	a.conn = nil
	if how.Malformed != "" {
		a.exchange.pool.server.log.Warn().Str("endpoint", a.engine.node.Name).Str("reason", how.Malformed).Msg("malformed response")
	}
	if !how.Established {
		a.finish(control.ConnectFailed, false)
		return
	}
	a.finish(control.Reset, a.state == attemptStreaming)
}

// finish ends the attempt, once, and tells the module. isFinal tells that the request has ended
// with it: then the client gets what it has yet to hear.
func (a *attempt) finish(result control.Result, isFinal bool) {
	if a.state == attemptEnded {
		return
	}
	a.state = attemptEnded
	x := a.exchange
	s := x.pool.server
	s.loop.StopTimer(&a.answerTimeout)
	s.loop.StopTimer(&a.streamIdleTimeout)
	if a.conn != nil {
		a.conn.Abort()
		a.conn = nil
	}
	a.discardBuffered()
	x.attempt = nil
	x.lastAttemptTimedOut = result == control.TimedOut
	if a.mayRetainKV(result) {
		a.engine.releaseKV(x.requestID)
	}
	if result == control.Reset {
		x.lostConnections++
	}
	if x.client == nil || x.client.isBatch() && batching.MayBeRequestFault(result) {
		isFinal = true
	}
	// The module hears first: what the client does next comes after it.
	x.pool.push(control.Outcome{
		ID:           x.id,
		Attempt:      a.number,
		Endpoint:     a.endpointID,
		Result:       result,
		Elapsed:      s.loop.Now() - a.startedAt,
		Final:        isFinal,
		CachedTokens: a.cachedTokens,
		KVMissing:    a.kvMissing,
		Report:       a.loadReport,
	})
	if isFinal {
		x.complete(result)
	}
}

// mayRetainKV tells whether a prefill engine may retain KV state, now or later, of an attempt that
// ended without its answer.
func (a *attempt) mayRetainKV(result control.Result) bool {
	if a.role != control.RolePrefill || !a.isConnected {
		return false
	}
	return result == control.TimedOut || result == control.Reset || result == control.Cancelled
}
