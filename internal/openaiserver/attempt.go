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

// attempt is a request forwarded once, to one engine. It implements upstream.ResponseHandler for the engine's response.
type attempt struct {
	exchange   *exchange
	number     control.AttemptNumber // among the exchange's attempts, from 0
	engine     *engine               // nil if it is not listed
	endpointID control.EndpointID
	role       control.Role
	conn       *upstream.Conn // nil until assigned and after the response has ended
	startedAt  time.Duration

	state           decisionloop.AttemptState
	answerTimeout   timerwheel.Timer // bounds the time until the answer starts
	streamIdleTimer timerwheel.Timer // bounds the time between two pieces of a streamed answer

	isConnected   bool // the connection was established: the engine may execute the request
	status        int
	contentLength int64 // negative if it is not known
	contentType   []byte
	buffered      []byte // start of the response's body; counted in Server.bufferedBytes
	loadReport    []float64
	cachedTokens  uint32 // prompt tokens that a prefill engine found in its KV cache
	kvMissing     bool   // the engine could not fetch the KV state
}

// bodyOverheadBytes is added to the size of a call to estimate that of an engine's body. It covers what the
// forms for prefill and decode engines add.
const bodyOverheadBytes = 512

// start sends the request.
func (a *attempt) start(action control.Forward) {
	exchange := a.exchange
	a.role = a.engine.endpoint.Role
	body := exchange.appendBody(make([]byte, 0, exchange.call.BodySize()+bodyOverheadBytes), a.role)
	head := exchange.appendHead(a.engine.newRequestHead(http.MethodPost, exchange.path))
	a.answerTimeout.Fire = func() { a.finish(control.TimedOut, false) }
	conn, err := a.engine.Start(a, http1.AppendContentLength(head, len(body)), body, false)
	if err != nil {
		a.finish(control.NotSent, false)
		return
	}
	a.conn = conn
	exchange.pool.server.loop.StartTimer(&a.answerTimeout, action.Timeout)
	conn.SendWithin(action.SendWithin)
}

// finish ends the attempt and reports its outcome to the decision module. Later calls have no effect. If isFinal
// is set the request ends too and the client receives the rest of its answer.
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
	// The outcome is pushed before the client's answer: the client's next request must follow it.
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

// stop ends the attempt's timers and buffer, and resets a connection whose response is not complete.
func (a *attempt) stop() {
	a.state = decisionloop.AttemptEnded
	loop := a.exchange.pool.server.loop
	loop.StopTimer(&a.answerTimeout)
	loop.StopTimer(&a.streamIdleTimer)
	if a.conn != nil {
		a.conn.Abort()
		a.conn = nil
	}
	a.discardBuffered()
}

// mayRetainKV reports whether the engine may retain KV state, now or later, of an attempt that ended with result.
// Only a prefill that was sent and not answered leaves KV state whose whereabouts are unknown.
func (a *attempt) mayRetainKV(result control.Result) bool {
	if a.role != control.RolePrefill || !a.isConnected {
		return false
	}
	return result == control.TimedOut || result == control.Reset || result == control.Cancelled
}
