package platform

import (
	"net/http"
	"strconv"
	"time"

	"martenlock/control/connlimit"
	"martenlock/internal/http1"
)

// This file writes the answers to clients.

var crlf = []byte("\r\n")

// Initial capacities for heads. Nearly every head fits.
const (
	responseHeadBytes = 256
	streamHeadBytes   = 160
)

// respondOutOfMemory rejects a request whose body does not fit into the server's buffer memory.
func (c *clientConn) respondOutOfMemory() {
	c.respondAndClose(http.StatusServiceUnavailable, retryAfterField(connlimit.RetryAfterFull), "too many bytes of requests at once")
}

// respondAndClose logs the reason, answers with it and closes the connection after the answer.
func (c *clientConn) respondAndClose(status int, fields, reason string) {
	c.logClose(reason)
	c.conn.CloseAfterResponse()
	c.respond(status, fields, reason+"\n")
}

// respondHealth answers the platform's health check. The server is unhealthy without engines and
// once a shutdown has begun.
func (c *clientConn) respondHealth() {
	if c.server.shutdown.inProgress() || c.server.membership.Len() == 0 {
		c.respond(http.StatusServiceUnavailable, "", "not ready\n")
		return
	}
	c.respond(http.StatusOK, "", "ok\n")
}

// respond answers with a complete response. fields holds additional header fields, each ending in
// CRLF.
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
	c.conn.SelectFraming(false) // chunked; requests of HTTP/1.0 were rejected before
	head := http1.AppendStatus(make([]byte, 0, streamHeadBytes), http.StatusOK)
	head = append(head, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"...)
	head = c.conn.AppendConnectionField(head)
	c.conn.WriteHead(append(head, crlf...))
}

// writeChunk writes a piece of the stream. mustPause reports that the client reads too slowly: the
// caller then pauses the stream until exchange.clientWritable is called.
func (c *clientConn) writeChunk(data []byte) (mustPause bool) { return c.conn.WriteBody(data) }

// endStream ends a complete stream.
func (c *clientConn) endStream() {
	c.detachExchange()
	c.conn.EndBody()
}

// abortStream closes the connection without the last chunk, because the stream is incomplete. The
// close lingers: a reset could discard events that the client has not received yet.
func (c *clientConn) abortStream() {
	c.detachExchange()
	c.logClose("stream_truncated")
	c.conn.CloseLingering()
}

// detachExchange separates the connection from its current request.
func (c *clientConn) detachExchange() {
	c.exchange = nil
	c.request.meta = nil
}

// retryAfterField returns the Retry-After field with decimal seconds, or "" if after is not positive.
func retryAfterField(after time.Duration) string {
	if after <= 0 {
		return ""
	}
	return "Retry-After: " + strconv.FormatFloat(after.Seconds(), 'f', 3, 64) + "\r\n"
}
