package httpserver

import (
	"strconv"

	"martenlock/internal/http1"
)

var crlf = []byte("\r\n")

const (
	// maxChunkSizeLine is the maximum size in bytes of the line that begins a chunk: the hexadecimal
	// digits of an int64 and CRLF.
	maxChunkSizeLine = 16 + 2
	// maxCopiedBody is the size in bytes up to which a body is copied into the output buffer of the
	// head, so that one system call sends both. Larger bodies are sent without a copy.
	maxCopiedBody = 16 << 10
)

// Framing is how the end of a response's body is marked.
type Framing uint8

const (
	// ByLength means that the head has a Content-Length field.
	ByLength Framing = iota // by length
	// Chunked means that the body ends with the last chunk.
	Chunked // chunked
	// UntilClose means that the body ends when the connection is closed.
	UntilClose // until close
)

// CloseAfterResponse makes the current response the last one of the connection. If it is called before
// AppendConnectionField, the response announces the close.
func (c *Conn) CloseAfterResponse() { c.keepAlive = false }

// AppendConnectionField appends the Connection field to the response's head, if it needs one.
func (c *Conn) AppendConnectionField(head []byte) []byte {
	c.keepAlive = c.keepAlive && !c.conns.stopsKeepAlive
	switch {
	case !c.keepAlive:
		return append(head, "Connection: close\r\n"...)
	case c.minorVersion == 0 && c.conns.Options.AnnouncesKeepAlive:
		return append(head, "Connection: keep-alive\r\n"...)
	}
	return head
}

// WriteResponse writes a complete response and finishes it. head is the response's head without
// Content-Length and the empty line. The caller must not change body after the call. In response to
// HEAD only the head is sent.
func (c *Conn) WriteResponse(head, body []byte) {
	c.conn.Write(http1.AppendContentLength(head, len(body)))
	switch {
	case c.isHead:
	case len(body) > maxCopiedBody:
		c.conn.WriteRef(body)
	default:
		c.conn.Write(body)
	}
	c.FinishResponse()
}

// WriteTextResponse is WriteResponse for a short text.
func (c *Conn) WriteTextResponse(head []byte, text string) {
	head = http1.AppendContentLength(head, len(text))
	if !c.isHead {
		head = append(head, text...)
	}
	c.conn.Write(head)
	c.FinishResponse()
}

// SelectFraming selects and returns the framing of a response that is written in parts. A body
// without a length is chunked for clients of HTTP/1.1, and ends with the connection for clients of
// HTTP/1.0. It must be called before AppendConnectionField.
func (c *Conn) SelectFraming(hasLength bool) Framing {
	switch {
	case hasLength:
		c.framing = ByLength
	case c.minorVersion == 1:
		c.framing = Chunked
	default:
		c.framing = UntilClose
		c.keepAlive = false
	}
	return c.framing
}

// Framing returns the framing that was selected for the response.
func (c *Conn) Framing() Framing { return c.framing }

// WriteHead writes the head of a response whose body is written in parts.
func (c *Conn) WriteHead(head []byte) { c.conn.Write(head) }

// WriteBody writes a part of the body. data must not be empty, as an empty chunk would end the body.
// It reports whether the handler must pause because the client reads too slowly. Handler.Writable is
// called when the handler can continue. If it has not been called within Options.WriteStallTimeout,
// the connection is aborted.
func (c *Conn) WriteBody(data []byte) (mustPause bool) {
	if c.framing == Chunked {
		var size [maxChunkSizeLine]byte
		c.conn.Write(append(strconv.AppendInt(size[:0], int64(len(data)), 16), crlf...))
		c.conn.Write(data)
		c.conn.Write(crlf)
	} else {
		c.conn.Write(data)
	}
	mustPause = c.conn.AboveHighWaterMark()
	if mustPause && !c.stateTimer.Running() {
		c.conns.loop.StartTimer(&c.stateTimer, c.conns.Options.WriteStallTimeout)
	}
	return mustPause
}

// EndBody ends the body of a complete response and finishes it.
func (c *Conn) EndBody() {
	if c.framing == Chunked {
		c.conn.Write([]byte(http1.LastChunk))
	}
	c.FinishResponse()
}

// FinishResponse ends the current response. It makes the connection ready for the next request, or
// closes it if this response was the last one.
func (c *Conn) FinishResponse() {
	c.discardBody()
	c.hasAnswered = true
	c.lastResponseAt = c.conns.loop.Now()
	if c.state == Closed {
		return
	}
	if !c.keepAlive {
		c.CloseLingering()
		return
	}
	c.state = Idle
	c.conns.idle.MarkIdle(c)
	c.conns.loop.StartTimer(&c.stateTimer, c.conns.Options.IdleTimeout)
	c.conn.Resume()
}

// UnsentBytes returns the number of bytes of output that the kernel has not accepted.
func (c *Conn) UnsentBytes() int { return c.conn.UnsentBytes() }
