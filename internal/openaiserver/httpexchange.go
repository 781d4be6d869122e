package openaiserver

import (
	"martenlock/control"
	"martenlock/control/admission"
	"martenlock/control/outcome"
	"martenlock/internal/http1"
	"martenlock/internal/httpserver"
	"martenlock/internal/openai"
)

// httpExchange is a request in progress on a client's HTTP/1.1 connection. It is the responder of the request's
// operation.
type httpExchange struct {
	client          *clientConn
	request         *inferenceRequest
	operation       operation
	startedAt       control.Time
	latencyObserved bool // the admission queue was notified of the request's latency
}

// respond implements responder. It writes a complete answer.
func (e *httpExchange) respond(a answer) {
	e.complete(a.outcome)
	e.client.writeResponse(a.status, a.contentType, a.requestID, a.fields, a.body)
}

// begin implements responder. It writes the head of an answer that comes in pieces.
func (e *httpExchange) begin(head answerHead) {
	e.observeLatency(outcome.Served)
	conn := &e.client.conn
	framing := conn.SelectFraming(head.length >= 0)
	out := e.client.appendResponseHead(head.status, head.contentType, head.requestID)
	switch framing {
	case httpserver.Chunked:
		out = append(out, "Transfer-Encoding: chunked\r\n\r\n"...)
	case httpserver.ByLength:
		out = http1.AppendContentLength(out, int(head.length))
	case httpserver.UntilClose:
		out = append(out, crlf...)
	}
	conn.WriteHead(out)
}

// write implements responder.
func (e *httpExchange) write(data []byte) (mustPause bool) { return e.client.conn.WriteBody(data) }

// end implements responder. It completes an answer that came in pieces.
func (e *httpExchange) end() {
	e.complete(outcome.Served)
	e.client.conn.EndBody()
}

// abort implements responder. A stream gets an error event. Then the connection ends in a way that no client can
// take for the end of a complete answer.
func (e *httpExchange) abort(reason string) {
	conn := &e.client.conn
	e.complete(outcome.Failed)
	if conn.Framing() != httpserver.Chunked { // a plain close would look like the end of an answer without a length
		conn.Reset()
		return
	}
	if e.request.call.Stream {
		err := openai.Error{Message: reason, Type: errorTypeServer, Code: "engine_failed"}
		conn.WriteBody(openai.AppendEvent(nil, err.AppendJSON(nil)))
	}
	conn.Close() // the missing last chunk shows that the answer is incomplete
}

// isBatch implements responder: one client waits for the answer.
func (e *httpExchange) isBatch() bool { return false }

// complete counts the answer and detaches the request from its connection.
func (e *httpExchange) complete(result outcome.Outcome) {
	counters := &e.client.server.counters
	switch result {
	case outcome.Rejected:
		counters.rejected++
	case outcome.Failed:
		counters.failed++
	default:
		counters.served++
	}
	e.observeLatency(result)
	e.detach()
}

// detach detaches the request from its connection and its pool.
func (e *httpExchange) detach() {
	s := e.client.server
	e.client.exchange = nil
	s.openRequests--
	s.bufferedBytes -= e.request.overheadBytes()
	p := e.request.pool
	p.openRequests--
	p.removeIfDrained()
}

// observeLatency notifies the admission queue of the latency of a request that is not large. Later calls have no
// effect.
func (e *httpExchange) observeLatency(result outcome.Outcome) {
	request := e.request
	queue := request.pool.admission.queue
	if e.latencyObserved || queue.IsLarge(request.promptTokens) {
		return
	}
	e.latencyObserved = true
	now := request.pool.server.now()
	class := request.class()
	objective := class.FirstTokenObjective(request.moduleRequest.PromptTokens)
	elapsed := now.Sub(e.startedAt)
	if result == outcome.Rejected {
		elapsed = max(elapsed, objective)
	}
	queue.ObserveSmall(now, admission.SmallRequest{Elapsed: elapsed, Objective: objective, ClientTimeout: request.timeBudget})
}
