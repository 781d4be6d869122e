package platform

import (
	"fmt"
	"time"

	"martenlock/control"
	"martenlock/control/connlimit"
	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
	"martenlock/internal/upstream"
)

// attemptState is how far an attempt has come.
type attemptState uint8

// The states of an attempt.
const (
	attemptWaiting   attemptState = iota // for the answer's first event
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
// response and builds its head: the connection calls RequestHead, Connected, Head, Data, Complete and Failed.
type attempt struct {
	exchange   *exchange
	number     control.AttemptNumber // among the exchange's attempts, from 0
	endpoint   *endpoint             // nil where it is not listed
	endpointID control.EndpointID
	role       control.Role
	conn       *upstream.Conn // nil before it is had, and after the response
	startedAt  time.Duration
	deadline   time.Duration    // for the first event
	deferred   *control.Forward // it waits for a KV release; nil where it does not

	state             attemptState
	firstEventTimeout timerwheel.Timer
	streamIdleTimeout timerwheel.Timer // between two pieces of the stream

	status         int
	rejected       bool   // the response says that nothing was executed
	buffered       []byte // of the answer, before its first event is whole
	lostReusedConn bool   // its connection had been idle before, and ended without any response
	cachedTokens   uint32 // of the prompt, that a prefill engine found in its KV cache
	kvMissing      bool   // the engine had no KV state of this request
	malformed      bool   // its connection was closed here, since the response can't be parsed
	brokenWritten  bool   // its connection ended after the request's last byte had left this process
}

// maxBufferedAnswerBytes bounds what is kept of an answer before its first event, and of one
// that has none.
const maxBufferedAnswerBytes = 32 << 10

// requestHeadBytes fits nearly every request's head, so that building one allocates once.
const requestHeadBytes = 320

// start sends the request.
func (a *attempt) start(action control.Forward) {
	x := a.exchange
	s := x.server
	a.firstEventTimeout.Fire = a.handleFirstEventTimeout
	idempotency := s.config.Settings.Control.Classes[x.meta.request.Class].Idempotency
	mustNotRepeat := a.role != control.RolePrefill && idempotency != control.Idempotent
	conn, err := a.endpoint.Start(a, nil, x.body, mustNotRepeat)
	if err != nil {
		s.log.Warn().Err(err).Str("endpoint", a.endpoint.address).Msg("attempt not sent")
		a.finish(control.NotSent, false)
		return
	}
	a.conn = conn
	a.endpoint.attemptStarted(a)
	s.loop.StartTimer(&a.firstEventTimeout, action.Timeout)
	conn.SendWithin(action.SendWithin)
}

// deferUntilReleased has the attempt wait until the request's KV release is confirmed. Where that takes all of
// its time, it ends as not sent.
func (a *attempt) deferUntilReleased(action control.Forward) {
	a.deferred = &action
	a.firstEventTimeout.Fire = a.handleReleaseTimeout
	a.exchange.server.loop.StartTimer(&a.firstEventTimeout, action.Timeout)
}

func (a *attempt) handleReleaseTimeout() { a.finish(control.NotSent, false) }

// startDeferred starts an attempt that was held, unless its engine has left the list or drains by
// now.
func (a *attempt) startDeferred() {
	if a.deferred == nil || a.state == attemptEnded {
		return
	}
	s := a.exchange.server
	action := *a.deferred
	a.deferred = nil
	s.loop.StopTimer(&a.firstEventTimeout)
	member, isListed := s.membership.Get(a.endpointID)
	action.Timeout = a.deadline - s.loop.Now()
	if !isListed || member.State != control.Ready || action.Timeout <= 0 {
		a.finish(control.NotSent, false)
		return
	}
	a.start(action)
}

// RequestHead builds the request's head when the connection is established: it tells the time
// that is left then.
func (a *attempt) RequestHead() []byte {
	x := a.exchange
	head := http1.AppendRequest(make([]byte, 0, requestHeadBytes), "POST", x.meta.target)
	head = http1.AppendField(head, "Host", engineHost)
	head = http1.AppendField(head, "X-Call-Id", x.meta.callID)
	if x.meta.contentType != "" {
		head = http1.AppendField(head, "Content-Type", x.meta.contentType)
	}
	head = appendTimeBudget(head, a.deadline-x.server.loop.Now())
	return http1.AppendContentLength(head, len(x.body))
}

// handleFirstEventTimeout gives up an attempt whose answer has not begun. A request that has not
// left this process can't have been executed.
func (a *attempt) handleFirstEventTimeout() {
	if a.conn != nil && !a.conn.RequestWritten() {
		a.finish(control.ConnectFailed, false)
		return
	}
	a.finish(control.TimedOut, false)
}

// Connected does nothing: what counts is whether the request was written whole.
func (a *attempt) Connected() {}

// Head takes the response's head. Only a stream, and not from a prefill engine, may answer 200.
func (a *attempt) Head(head *http1.Head) {
	a.status = head.Status
	a.rejected = string(head.Get("x-rejected")) == "1"
	if a.status == 200 && (!head.Chunked || a.role == control.RolePrefill) {
		a.finish(control.Failed, false)
	}
}

// Data takes a piece of the response's body.
func (a *attempt) Data(data []byte) {
	s := a.exchange.server
	switch {
	case a.state == attemptEnded:
	case a.state == attemptStreaming:
		a.forwardEvents(data)
	case a.status != 200: // what matters of such a body is short
		fits := min(len(data), maxBufferedAnswerBytes-len(a.buffered))
		a.buffered = append(a.buffered, data[:fits]...)
	case len(a.buffered)+len(data) > maxBufferedAnswerBytes || s.bufferedBytes+len(data) > s.limits.maxBufferedBytes:
		a.finish(control.Failed, false)
	default:
		a.buffered = append(a.buffered, data...)
		s.bufferedBytes += len(data)
		a.checkFirstEvent()
	}
}

// checkFirstEvent starts the stream once the first event is whole and valid.
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

// startStream gives the answer to the client, for good: no other attempt will follow.
func (a *attempt) startStream() {
	x := a.exchange
	s := x.server
	a.state = attemptStreaming
	s.loop.StopTimer(&a.firstEventTimeout)
	elapsed := s.loop.Now() - a.startedAt
	x.timeToFirstEvent = s.loop.Now() - x.startedAt
	a.endpoint.recordFirstEvent(elapsed)
	s.push(control.AnswerStarted{ID: x.id, Endpoint: a.endpointID, Attempt: a.number, Elapsed: elapsed})
	x.discardBody()
	a.streamIdleTimeout.Fire = a.handleStreamIdleTimeout
	x.client.startStream()
	events := a.buffered
	a.discardBuffered()
	a.forwardEvents(events)
}

// handleStreamIdleTimeout gives up a stream in which the engine has fallen silent.
func (a *attempt) handleStreamIdleTimeout() {
	a.exchange.server.counters.stalled++
	a.finish(control.Reset, true)
}

// discardBuffered frees what is kept of the answer.
func (a *attempt) discardBuffered() {
	if a.status == 200 { // only these bytes are counted
		a.exchange.server.bufferedBytes -= len(a.buffered)
	}
	a.buffered = nil
}

// forwardEvents hands a piece of the stream to the client. While the client is slow to take it,
// the engine's connection is not read, and the engine may be silent.
func (a *attempt) forwardEvents(data []byte) {
	client := a.exchange.client
	if client == nil || len(data) == 0 {
		return
	}
	loop := a.exchange.server.loop
	isFull := client.writeChunk(data)
	if isFull {
		a.conn.Pause()
		loop.StopTimer(&a.streamIdleTimeout)
		return
	}
	loop.StartTimer(&a.streamIdleTimeout, connlimit.StreamIdleTimeout)
}

// resume reads the stream again, after forwardEvents has paused it.
func (a *attempt) resume() {
	a.conn.Resume()
	a.exchange.server.loop.StartTimer(&a.streamIdleTimeout, connlimit.StreamIdleTimeout)
}

// Complete takes in that the response is whole.
func (a *attempt) Complete() {
	s := a.exchange.server
	a.conn = nil
	s.kvReleases.scheduler.RecordResponse(s.now(), a.endpointID)
	switch {
	case a.state == attemptEnded:
	case a.state == attemptStreaming:
		a.finish(control.OK, true)
	case a.status == 200: // a stream without events
		a.finish(control.Failed, false)
	default:
		a.finishByStatus()
	}
}

// finishByStatus ends an attempt whose whole response is not a stream.
func (a *attempt) finishByStatus() {
	outcome := classifyResponse(a.role, a.status, a.rejected)
	if outcome.result == control.PrefillDone {
		a.exchange.kv.mayRetain = true
		a.cachedTokens = parseCachedTokens(a.buffered)
	}
	a.kvMissing = outcome.kvMissing
	a.finish(outcome.result, outcome.final)
}

// Failed takes in that the connection ended before the response was whole.
func (a *attempt) Failed(how upstream.ConnError) {
	a.conn = nil
	a.lostReusedConn = how.ReusedConnection
	a.brokenWritten = how.RequestWritten
	a.malformed = how.Malformed != ""
	if a.malformed {
		a.exchange.server.counters.malformed++
	}
	if a.state == attemptStreaming {
		a.finish(control.Reset, true)
		return
	}
	a.finish(classifyConnError(how), false)
}

// finish ends the attempt, once, and tells the module. isFinal tells that the request has ended
// with it: then the client gets what it has yet to hear.
func (a *attempt) finish(result control.Result, isFinal bool) {
	if a.state == attemptEnded {
		return
	}
	hadStarted := a.state == attemptStreaming
	a.logEnd(result, a.written())
	a.state = attemptEnded
	x := a.exchange
	s := x.server
	s.loop.StopTimer(&a.firstEventTimeout)
	s.loop.StopTimer(&a.streamIdleTimeout)
	gaveUp := a.closeConn()
	a.discardBuffered()
	if !hadStarted && isUnresponsive(result) && !a.lostReusedConn { // an idle connection's end says nothing of the engine
		a.recordUnresponsive()
	}
	x.attemptEnded(a, result, hadStarted)
	if a.endpoint != nil {
		a.endpoint.attemptEnded(a, result)
	}
	if s.traceRequests {
		x.attemptHistory += a.traceEntry(result)
	}
	outcome := control.Outcome{
		ID:               x.id,
		Attempt:          a.number,
		Endpoint:         a.endpointID,
		Result:           result,
		Elapsed:          s.loop.Now() - a.startedAt,
		Final:            isFinal,
		CachedTokens:     a.cachedTokens,
		KVMissing:        a.kvMissing,
		ReusedConnection: a.lostReusedConn,
	}
	if gaveUp && !isFinal {
		x.deferOutcome(outcome)
		return
	}
	s.push(outcome)
	if isFinal {
		x.complete(result, hadStarted)
	}
}

// isUnresponsive tells whether an attempt that ended so had no sign of its engine.
func isUnresponsive(result control.Result) bool {
	return result == control.TimedOut || result == control.ConnectFailed || result == control.Reset
}

// written tells whether the request's last byte has left this process.
func (a *attempt) written() bool {
	return a.brokenWritten || a.conn != nil && a.conn.RequestWritten()
}

// closeConn closes the attempt's connection where it is still in use. It tells whether the
// engine may be executing a request that was given up here.
func (a *attempt) closeConn() (gaveUp bool) {
	gaveUp = a.malformed || a.conn != nil && a.conn.RequestWritten()
	if a.conn != nil {
		a.conn.Abort()
		a.conn = nil
	}
	return gaveUp
}

// recordUnresponsive takes note that the engine has shown no sign of the attempt, for the choice of
// engines that are called to release KV state.
func (a *attempt) recordUnresponsive() {
	s := a.exchange.server
	sentAt := clockStart.Add(a.startedAt)
	s.kvReleases.scheduler.RecordUnresponsive(s.now(), sentAt, a.endpointID)
}

// traceEntry is the attempt in the trace of its request: the milliseconds from the request's
// start to the attempt's start and end, the engine, and the result.
func (a *attempt) traceEntry(result control.Result) string {
	x := a.exchange
	const engineDigits = 48 // bits of the endpoint's id that are left out: the rest tells engines apart
	start := float64((a.startedAt - x.startedAt).Milliseconds())
	end := float64((x.server.loop.Now() - x.startedAt).Milliseconds())
	return fmt.Sprintf(" %.0f-%.0f:%x:%s", start, end, uint64(a.endpointID)>>engineDigits, result)
}
