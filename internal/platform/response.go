package platform

import (
	"strconv"
	"time"

	"martenlock/control/connlimit"
	"martenlock/internal/http1"
)

// This file writes a client's responses.

var (
	closeField = []byte("Connection: close\r\n")
	crlf       = []byte("\r\n")
)

// Sizes that fit nearly every head, so that building one allocates once.
const (
	responseHeadBytes = 256
	streamHeadBytes   = 160
	chunkSizeBytes    = 20 // hexadecimal digits of any int, and more
)

// respondMalformed answers a request that can't be used, and reads nothing that follows.
func (c *clientConn) respondMalformed(status int, reason string) {
	c.respondAndClose(status, "", reason)
}

// respondOutOfMemory answers a request whose body finds no room.
func (c *clientConn) respondOutOfMemory() {
	c.respondAndClose(503, retryAfterField(connlimit.RetryAfterFull), "too many bytes of requests at once")
}

// respondAndClose gives the last answer of a connection.
func (c *clientConn) respondAndClose(status int, fields, reason string) {
	c.logClose(reason)
	c.keepAlive = false
	c.respond(status, fields, reason+"\n")
}

// respondHealth answers the platform's health check.
func (c *clientConn) respondHealth() {
	if c.server.shutdown.inProgress() || c.server.membership.Len() == 0 {
		c.respond(503, "", "not ready\n")
		return
	}
	c.respond(200, "", "ok\n")
}

// respond answers with a whole response. fields are header fields, each with its line end.
func (c *clientConn) respond(status int, fields, body string) {
	c.exchange = nil
	c.writeResponse(status, fields, body)
	c.finishRequest()
}

// writeResponse writes a whole response.
func (c *clientConn) writeResponse(status int, fields, body string) {
	c.keepAlive = c.keepAlive && !c.server.shutdown.inProgress()
	out := http1.AppendStatus(make([]byte, 0, responseHeadBytes), status)
	out = http1.AppendField(out, "Content-Type", "text/plain")
	out = append(out, fields...)
	if !c.keepAlive {
		out = append(out, closeField...)
	}
	out = http1.AppendContentLength(out, len(body))
	if !c.request.isHead {
		out = append(out, body...)
	}
	c.conn.Write(out)
}

// startStream begins a streamed response.
func (c *clientConn) startStream() {
	c.keepAlive = c.keepAlive && !c.server.shutdown.inProgress()
	out := http1.AppendStatus(make([]byte, 0, streamHeadBytes), 200)
	out = append(out, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"...)
	if !c.keepAlive {
		out = append(out, closeField...)
	}
	c.conn.Write(append(out, crlf...))
}

// writeChunk writes a piece of the stream; true where the client is slow to take it, and the
// stream is to pause until exchange.clientWritable is called.
func (c *clientConn) writeChunk(data []byte) (isFull bool) {
	var size [chunkSizeBytes]byte
	c.conn.Write(append(strconv.AppendInt(size[:0], int64(len(data)), 16), crlf...))
	c.conn.Write(data)
	c.conn.Write(crlf)
	isFull = c.conn.AboveHighWaterMark()
	if isFull {
		c.startWriteStallTimeout()
	}
	return isFull
}

// endStream ends a stream that is whole.
func (c *clientConn) endStream() {
	c.exchange = nil
	c.server.loop.StopTimer(&c.stateTimer)
	c.conn.Write([]byte(http1.LastChunk))
	c.finishRequest()
}

// abortStream ends a stream that is not whole: the connection ends without the last chunk. It
// lingers, since a reset would destroy the events that are on their way.
func (c *clientConn) abortStream() {
	c.exchange = nil
	c.logClose("stream_truncated")
	c.conn.CloseLingering()
	c.markClosed()
}

// finishRequest makes the connection ready for another request, or closes it.
func (c *clientConn) finishRequest() {
	c.discardBody()
	c.request.meta = nil
	c.hasAnswered = true
	c.lastAnswerAt = c.server.loop.Now()
	if c.state == clientClosed {
		return
	}
	if !c.keepAlive {
		c.conn.CloseLingering()
		c.markClosed()
		return
	}
	c.state = clientIdle
	c.server.clients.idle.MarkIdle(c)
	c.server.loop.StartTimer(&c.stateTimer, connlimit.IdleTimeout)
	c.conn.Resume()
}

// retryAfterField returns the header field in decimal seconds; "" where no time is given.
func retryAfterField(after time.Duration) string {
	if after <= 0 {
		return ""
	}
	return "Retry-After: " + strconv.FormatFloat(after.Seconds(), 'f', 3, 64) + "\r\n"
}
