package openaiserver

import (
	"strconv"

	"martenlock/control"
	"martenlock/control/admission"
	"martenlock/control/outcome"
	"martenlock/internal/http1"
	"martenlock/internal/openai"
)

// httpExchange is a client's request at work and its answer on an HTTP/1.1 connection: the
// responder of its operation.
type httpExchange struct {
	client          *clientConn
	request         *inferenceRequest
	operation       operation
	startedAt       control.Time
	latencyObserved bool // the admission queue knows how the request fared
	isChunked       bool // the answer
}

// chunkSizeBytes fits the hexadecimal digits of any length.
const chunkSizeBytes = 20

// respond writes a whole answer.
func (x *httpExchange) respond(a answer) {
	x.complete(a.outcome)
	x.client.writeResponse(a.status, a.contentType, a.requestID, a.fields, a.body)
	x.client.finishRequest()
}

// begin writes the head of an answer that comes in pieces.
func (x *httpExchange) begin(head answerHead) {
	x.observeLatency(outcome.Served)
	hasLength := head.length >= 0
	x.isChunked = !hasLength && x.client.request.minorVersion == 1
	out := x.client.appendResponseHead(head.status, head.contentType, head.requestID, !hasLength && !x.isChunked)
	switch {
	case x.isChunked:
		out = append(out, "Transfer-Encoding: chunked\r\n\r\n"...)
	case hasLength:
		out = http1.AppendContentLength(out, int(head.length))
	default:
		out = append(out, crlf...)
	}
	x.client.conn.Write(out)
}

// write writes a piece of the answer.
func (x *httpExchange) write(data []byte) (isFull bool) {
	conn := x.client.conn
	if x.isChunked {
		var size [chunkSizeBytes]byte
		conn.Write(strconv.AppendInt(size[:0], int64(len(data)), 16))
		conn.Write(crlf)
		conn.Write(data)
		conn.Write(crlf)
	} else {
		conn.Write(data)
	}
	isFull = conn.AboveHighWaterMark()
	if isFull {
		x.client.startWriteStallTimeout()
	}
	return isFull
}

// end ends an answer that is whole.
func (x *httpExchange) end() {
	if x.isChunked {
		x.client.conn.Write([]byte(http1.LastChunk))
	}
	x.complete(outcome.Served)
	x.client.finishRequest()
}

// abort ends an answer that is not: by an error event in a stream, and in any case in a way that
// no client takes for the end of a whole one.
func (x *httpExchange) abort(reason string) {
	conn := x.client.conn
	if x.isChunked && x.request.call.Stream {
		err := openai.Error{Message: reason, Type: errorTypeServer, Code: "engine_failed"}
		conn.Write(http1.AppendChunk(nil, openai.AppendEvent(nil, err.AppendJSON(nil))))
	}
	if x.isChunked { // the last chunk is missing
		conn.Close()
	} else { // a length that is not reached, or a close that would be taken for the end
		conn.Reset()
	}
	x.complete(outcome.Failed)
	x.client.markClosed()
}

// isBatch tells that one client waits.
func (x *httpExchange) isBatch() bool { return false }

// complete counts the answer, and detaches the request from its connection.
func (x *httpExchange) complete(result outcome.Outcome) {
	counters := &x.client.server.counters
	switch result {
	case outcome.Rejected:
		counters.rejected++
	case outcome.Failed:
		counters.failed++
	default:
		counters.served++
	}
	x.observeLatency(result)
	x.detach()
}

// detach ends the connection's part in the request.
func (x *httpExchange) detach() {
	s := x.client.server
	x.client.exchange = nil
	s.openRequests--
	s.bufferedBytes -= x.request.overheadBytes()
	p := x.request.pool
	p.openRequests--
	p.removeIfDrained()
}

// observeLatency tells the admission queue, once, how a request fared that is not large.
func (x *httpExchange) observeLatency(result outcome.Outcome) {
	request := x.request
	queue := request.pool.admission.queue
	if x.latencyObserved || queue.IsLarge(request.prompt) {
		return
	}
	x.latencyObserved = true
	now := request.pool.server.now()
	class := request.class()
	objective := class.FirstTokenObjective(request.moduleRequest.PromptTokens)
	elapsed := now.Sub(x.startedAt)
	if result == outcome.Rejected {
		elapsed = max(elapsed, objective)
	}
	queue.ObserveSmall(now, admission.SmallRequest{Elapsed: elapsed, Objective: objective, Patience: request.timeBudget})
}
