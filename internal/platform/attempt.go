package platform

import (
	"net/http"
	"time"

	"martenlock/control"
	"martenlock/internal/decisionloop"
	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
	"martenlock/internal/upstream"
)

// attempt is one forwarding of a request to one engine. It implements upstream.ResponseHandler
// and upstream.HeadBuilder for its connection. Its methods run on the loop.
//
// This file starts and ends attempts, attemptresponse.go handles the engine's response, and
// attempttimers.go holds the timers.
type attempt struct {
	exchange   *exchange
	number     control.AttemptNumber // among the exchange's attempts, from 0
	endpoint   *endpoint             // nil if the endpoint is not known
	endpointID control.EndpointID
	role       control.Role
	conn       *upstream.Conn   // nil until the attempt starts and after the response has ended
	startedAt  time.Duration    // on the loop's clock
	deadline   time.Duration    // of the first event, on the loop's clock
	sendBefore time.Duration    // time by which the request must be sent in full, on the loop's clock
	deferred   *control.Forward // the action that waits for a KV release to be confirmed; nil if not deferred

	state           decisionloop.AttemptState
	firstEventTimer timerwheel.Timer // runs until the first event, also while the attempt is deferred
	streamIdleTimer timerwheel.Timer // runs until the next piece of the stream

	status       int    // of the response; 0 before its head
	rejected     bool   // the engine marked the request as not executed
	buffered     []byte // the body up to the first event of a stream, or the beginning of any other body
	cachedTokens uint32 // tokens of the prompt that a prefill found in the engine's KV cache
	kvMissing    bool   // the engine has no KV state of this request

	connError upstream.ConnError // zero unless the connection failed
}

// requestHeadBytes is the initial capacity for a request's head. Nearly every head fits.
const requestHeadBytes = 320

// start forwards the request to the engine. The attempt ends as NotSent if no connection can be
// opened.
func (a *attempt) start(action control.Forward) {
	e := a.exchange
	s := e.server
	idempotency := s.config.Settings.Control.Classes[e.meta.request.Class].Idempotency
	notIdempotent := a.role != control.RolePrefill && idempotency != control.Idempotent
	conn, err := a.endpoint.Start(a, nil, e.body, notIdempotent)
	if err != nil {
		s.log.Warn().Err(err).Str("endpoint", a.endpoint.address).Msg("attempt not sent")
		a.finish(control.NotSent, false)
		return
	}
	a.conn = conn
	a.endpoint.attemptStarted(a)
	a.startFirstEventTimer(action.Timeout)
	conn.SendWithin(action.SendWithin)
}

// deferUntilReleased makes the attempt wait until the pending KV release of its request is
// confirmed. The attempt ends as NotSent if it can no longer be sent in time.
func (a *attempt) deferUntilReleased(action control.Forward) {
	a.deferred = &action
	a.startReleaseTimer(a.sendBefore - a.exchange.server.loop.Now())
}

// startDeferred starts the attempt if it is deferred. The attempt ends as NotSent if its engine is no
// longer listed as ready, or if it can no longer be sent in time.
func (a *attempt) startDeferred() {
	if a.deferred == nil || a.state == decisionloop.AttemptEnded {
		return
	}
	s := a.exchange.server
	action := *a.deferred
	a.deferred = nil
	s.loop.StopTimer(&a.firstEventTimer)
	member, isListed := s.membership.Get(a.endpointID)
	now := s.loop.Now()
	if !isListed || member.State != control.Ready || now >= a.sendBefore {
		a.finish(control.NotSent, false)
		return
	}
	action.Timeout = a.deadline - now
	if action.SendWithin > 0 {
		action.SendWithin = a.sendBefore - now
	}
	a.start(action)
}

// RequestHead implements upstream.HeadBuilder. It is called once the connection is established, and
// the time budget in the head is the time left at that moment.
func (a *attempt) RequestHead() []byte {
	e := a.exchange
	head := http1.AppendRequest(make([]byte, 0, requestHeadBytes), http.MethodPost, e.meta.target)
	head = http1.AppendField(head, "Host", engineHost)
	head = http1.AppendField(head, headerCallID, e.meta.callID)
	if e.meta.contentType != "" {
		head = http1.AppendField(head, "Content-Type", e.meta.contentType)
	}
	head = appendTimeBudget(head, a.deadline-e.server.loop.Now())
	return http1.AppendContentLength(head, len(e.body))
}

// finish ends the attempt and reports its outcome to the decision module; later calls have no
// effect. If isFinal is set, the request ends too, with the result of this attempt.
func (a *attempt) finish(result control.Result, isFinal bool) {
	if a.state == decisionloop.AttemptEnded {
		return
	}
	streamStarted := a.state == decisionloop.AttemptStreaming
	a.logEnd(result)
	a.state = decisionloop.AttemptEnded
	a.stopTimers()
	mayStillExecute := a.closeConn()
	a.discardBuffered()
	// An engine may close a connection that is idle, so the loss of a reused one does not show that
	// the engine is unresponsive.
	if !streamStarted && isUnresponsive(result) && !a.connError.ReusedConnection {
		a.recordUnresponsive()
	}
	e := a.exchange
	e.attemptEnded(a, result, streamStarted)
	if a.endpoint != nil {
		a.endpoint.attemptEnded(a, result)
	}
	a.recordHistory(result)
	outcome := a.outcome(result, isFinal)
	if mayStillExecute && !isFinal {
		e.deferOutcome(outcome)
		return
	}
	e.server.push(outcome)
	if isFinal {
		e.complete(result, streamStarted)
	}
}

// outcome returns the event that tells the decision module of the attempt's end.
func (a *attempt) outcome(result control.Result, isFinal bool) control.Outcome {
	return control.Outcome{
		ID:               a.exchange.id,
		Attempt:          a.number,
		Endpoint:         a.endpointID,
		Result:           result,
		Elapsed:          a.exchange.server.loop.Now() - a.startedAt,
		Final:            isFinal,
		CachedTokens:     a.cachedTokens,
		KVMissing:        a.kvMissing,
		ReusedConnection: a.connError.ReusedConnection,
	}
}

// requestWritten reports whether the last byte of the request has left this process. It returns false
// after a complete response.
func (a *attempt) requestWritten() bool {
	return a.connError.RequestWritten || a.conn != nil && a.conn.RequestWritten()
}

// closeConn aborts the connection if it is still in use. It reports whether this router ended the
// connection and the engine may still be executing the request.
func (a *attempt) closeConn() (mayStillExecute bool) {
	if a.conn == nil {
		return a.connError.Malformed != ""
	}
	mayStillExecute = a.conn.RequestWritten()
	a.conn.Abort()
	a.conn = nil
	return mayStillExecute
}

// isUnresponsive reports whether a result means that the engine did not respond in time or that its
// connection failed.
func isUnresponsive(result control.Result) bool {
	return result == control.TimedOut || result == control.ConnectFailed || result == control.Reset
}

// recordUnresponsive records that the engine did not respond to this attempt. The scheduler of KV
// releases then calls other engines first, unless the engine has responded to another request since
// the attempt started.
func (a *attempt) recordUnresponsive() {
	s := a.exchange.server
	sentAt := clockStart.Add(a.startedAt)
	s.kvReleases.scheduler.RecordUnresponsive(s.now(), sentAt, a.endpointID)
}
