package platform

import (
	"net/http"
	"strconv"
	"time"

	"martenlock/control/connlimit"
	"martenlock/internal/http1"
)

// This file writes a client's responses.

var crlf = []byte("\r\n")

// Sizes that fit nearly every head, so that building one allocates once.
const (
	responseHeadBytes = 256
	streamHeadBytes   = 160
)

// respondOutOfMemory rejects a request for whose body there is no memory.
func (c *clientConn) respondOutOfMemory() {
	c.respondAndClose(http.StatusServiceUnavailable, retryAfterField(connlimit.RetryAfterFull), "too many bytes of requests at once")
}

// respondAndClose logs the reason and gives it as the connection's last answer.
func (c *clientConn) respondAndClose(status int, fields, reason string) {
	c.logClose(reason)
	c.conn.CloseAfterResponse()
	c.respond(status, fields, reason+"\n")
}

// respondHealth answers the platform's health check. The server is unhealthy without engines and
// from the begin of a shutdown.
func (c *clientConn) respondHealth() {
	if c.server.shutdown.inProgress() || c.server.membership.Len() == 0 {
		c.respond(http.StatusServiceUnavailable, "", "not ready\n")
		return
	}
	c.respond(http.StatusOK, "", "ok\n")
}

// respond answers with a complete response. fields are further header fields, each with its line
// end.
func (c *clientConn) respond(status int, fields, body string) {
	c.detachExchange()
	head := http1.AppendStatus(make([]byte, 0, responseHeadBytes), status)
	head = http1.AppendField(head, "Content-Type", "text/plain")
	head = append(head, fields...)
	head = c.conn.AppendConnectionField(head)
	c.conn.WriteTextResponse(head, body)
}

// startStream begins a streamed response.
func (c *clientConn) startStream() {
	c.conn.SelectFraming(false) // chunked: only clients of HTTP/1.1 get streams
	head := http1.AppendStatus(make([]byte, 0, streamHeadBytes), http.StatusOK)
	head = append(head, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"...)
	head = c.conn.AppendConnectionField(head)
	c.conn.WriteHead(append(head, crlf...))
}

// writeChunk writes a piece of the stream, and reports whether the client is slow to take it. If
// so, the stream pauses until exchange.clientWritable is called.
func (c *clientConn) writeChunk(data []byte) (isFull bool) { return c.conn.WriteBody(data) }

// endStream ends a complete stream.
func (c *clientConn) endStream() {
	c.detachExchange()
	c.conn.EndBody()
}

// abortStream ends an incomplete stream. The connection ends without the last chunk. It lingers,
// since a reset would destroy the events that are on their way.
func (c *clientConn) abortStream() {
	c.detachExchange()
	c.logClose("stream_truncated")
	c.conn.CloseLingering()
}

// detachExchange ends the connection's part in the current request.
func (c *clientConn) detachExchange() {
	c.exchange = nil
	c.request.meta = nil
}

// retryAfterField returns the Retry-After field in decimal seconds, or "" if after is not positive.
func retryAfterField(after time.Duration) string {
	if after <= 0 {
		return ""
	}
	return "Retry-After: " + strconv.FormatFloat(after.Seconds(), 'f', 3, 64) + "\r\n"
}
