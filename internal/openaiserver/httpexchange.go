package openaiserver

import (
	"martenlock/control"
	"martenlock/control/admission"
	"martenlock/control/outcome"
	"martenlock/internal/http1"
	"martenlock/internal/httpserver"
	"martenlock/internal/openai"
)

// httpExchange is a request in progress on a client's HTTP/1.1 connection. It is the responder of the operation that
// computes the request's answer.
type httpExchange struct {
	client          *clientConn
	request         *inferenceRequest
	operation       operation
	startedAt       control.Time
	latencyObserved bool // observeLatency was called
}

// respond implements responder. It writes a complete answer.
func (e *httpExchange) respond(a answer) {
	e.complete(a.outcome)
	e.client.writeResponse(a.status, a.contentType, a.requestID, a.fields, a.body)
}

// begin implements responder. It writes the head of a streamed answer.
func (e *httpExchange) begin(head answerHead) {
	e.observeLatency(outcome.Served)
	conn := &e.client.conn
	framing := conn.SelectFraming(head.length >= 0)
	out := e.client.newResponseHead(head.status, head.contentType, head.requestID)
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

// end implements responder. It completes a streamed answer.
func (e *httpExchange) end() {
	e.complete(outcome.Served)
	e.client.conn.EndBody()
}

// abort implements responder. It ends the connection so that the client can tell that the answer is incomplete. If the
// body is chunked, a client that asked for server-sent events gets an error event, and the connection is closed without
// the last chunk. Otherwise the connection is reset.
func (e *httpExchange) abort(reason string) {
	conn := &e.client.conn
	e.complete(outcome.Failed)
	if conn.Framing() != httpserver.Chunked { // a normal close would complete an answer without Content-Length
		conn.Reset()
		return
	}
	if e.request.apiRequest.Stream {
		err := openai.Error{Message: reason, Type: errorTypeServer, Code: "engine_failed"}
		conn.WriteBody(openai.AppendEvent(nil, err.AppendJSON(nil)))
	}
	conn.Close() // the missing last chunk shows that the answer is incomplete
}

// isBatch implements responder. The answer is for one client only.
func (e *httpExchange) isBatch() bool { return false }

// complete counts the answer by its outcome and detaches the request from its connection and its pool. A request that an
// engine rejected as invalid counts as served.
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

// observeLatency reports the request's latency to the admission queue, unless the request is a large one. The latency
// of a rejected request counts as at least its objective. Only the first call has an effect.
func (e *httpExchange) observeLatency(result outcome.Outcome) {
	request := e.request
	queue := request.pool.admissionQueue.queue
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
