package openaiserver

import (
	"net/http"
	"time"

	"martenlock/control"
	"martenlock/control/batching"
	"martenlock/internal/decisionloop"
	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
	"martenlock/internal/upstream"
)

// attempt is one attempt to execute a request on an engine. It implements upstream.ResponseHandler for the engine's
// response.
type attempt struct {
	exchange   *exchange
	number     control.AttemptNumber // within the exchange, from 0
	engine     *engine               // nil if it was removed from the engineTable
	endpointID control.EndpointID
	role       control.Role
	conn       *upstream.Conn // nil before start and after the response has ended
	startedAt  time.Duration  // time on the event loop's clock

	state           decisionloop.AttemptState
	answerTimer     timerwheel.Timer // bounds the time until the answer to the client starts or the prefill is done
	streamIdleTimer timerwheel.Timer // bounds the pauses in a streamed answer

	isConnected   bool // the connection was established, so the engine may execute the request
	status        int
	contentLength int64 // in bytes; negative if unknown
	contentType   []byte
	buffered      []byte // the response body as far as it is buffered; counted in Server.bufferedBytes
	isTruncated   bool   // the rest of an error response is discarded
	loadReport    []float64
	cachedTokens  uint32 // prompt tokens that a prefill engine found in its KV cache
	kvMissing     bool   // a decode engine could not fetch the KV state
}

// bodyOverheadBytes is the allowance for the members that the body for a prefill or decode engine has in addition to
// the client's body. The initial capacity of the engine's body includes it.
const bodyOverheadBytes = 512

// start sends the request to the engine. If no connection is available, the attempt ends with control.NotSent.
func (a *attempt) start(action control.Forward) {
	exchange := a.exchange
	a.role = a.engine.endpoint.Role
	body := exchange.appendBody(make([]byte, 0, exchange.apiRequest.BodySize()+bodyOverheadBytes), a.role)
	head := exchange.appendHead(a.engine.newRequestHead(http.MethodPost, exchange.path))
	a.answerTimer.Fire = func() { a.finish(control.TimedOut, false) }
	conn, err := a.engine.Start(a, http1.AppendContentLength(head, len(body)), body, false)
	if err != nil {
		a.finish(control.NotSent, false)
		return
	}
	a.conn = conn
	exchange.pool.server.loop.StartTimer(&a.answerTimer, action.Timeout)
	conn.SendWithin(action.SendWithin)
}

// finish ends the attempt and reports its outcome to the decision module. Only the first call has an effect. The request
// ends too if isFinal is set, the client has disconnected, or one request of a batch may have caused the failure.
func (a *attempt) finish(result control.Result, isFinal bool) {
	if a.state == decisionloop.AttemptEnded {
		return
	}
	exchange := a.exchange
	a.stop()
	exchange.attempt = nil
	exchange.lastAttemptTimedOut = result == control.TimedOut
	if a.mayRetainKV(result) {
		a.engine.releaseKV(exchange.requestID)
	}
	if result == control.Reset {
		exchange.lostConnections++
	}
	if exchange.client == nil || exchange.client.isBatch() && batching.MayBeRequestFault(result) {
		isFinal = true
	}
	// The outcome is pushed before the client is answered: once answered, the client may send its next request, which the
	// module must not get before this outcome.
	exchange.pool.push(control.Outcome{
		ID:           exchange.id,
		Attempt:      a.number,
		Endpoint:     a.endpointID,
		Result:       result,
		Elapsed:      exchange.pool.server.loop.Now() - a.startedAt,
		Final:        isFinal,
		CachedTokens: a.cachedTokens,
		KVMissing:    a.kvMissing,
		Report:       a.loadReport,
	})
	if isFinal {
		exchange.complete(result)
	}
}

// stop stops the attempt's timers, discards its buffer and aborts its connection if the response is incomplete.
func (a *attempt) stop() {
	a.state = decisionloop.AttemptEnded
	loop := a.exchange.pool.server.loop
	loop.StopTimer(&a.answerTimer)
	loop.StopTimer(&a.streamIdleTimer)
	if a.conn != nil {
		a.conn.Abort()
		a.conn = nil
	}
	a.discardBuffered()
}

// mayRetainKV reports whether the engine may retain KV state, now or later, that no decode engine can use. This is possible
// if a prefill may have reached the engine and then timed out, lost its connection or was cancelled, or if its response was
// a success and could not be used or kept.
func (a *attempt) mayRetainKV(result control.Result) bool {
	if a.role != control.RolePrefill || !a.isConnected {
		return false
	}
	switch result {
	case control.TimedOut, control.Reset, control.Cancelled, control.ResponseDropped:
		return true
	case control.Failed:
		return a.status == http.StatusOK
	case control.OK, control.PrefillDone, control.Rejected, control.ConnectFailed, control.NotSent:
	}
	return false
}
