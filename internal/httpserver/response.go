package httpserver

import (
	"strconv"

	"martenlock/internal/http1"
)

var crlf = []byte("\r\n")

const (
	chunkSizeBytes   = 20       // hexadecimal digits of any int, and the line's end
	writeByReference = 16 << 10 // bytes of a body; longer ones are not copied
)

// Framing is how a client learns where the body of a response ends.
type Framing uint8

// The framings.
const (
	ByLength   Framing = iota // by length
	Chunked                   // chunked
	UntilClose                // until close
)

// CloseAfterResponse makes the current response the last one of the connection.
func (c *Conn) CloseAfterResponse() { c.keepAlive = false }

// AppendConnectionField appends the Connection field of the response's head, if it needs one.
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

// WriteResponse writes a whole response and finishes the request. head is its head without
// Content-Length and the empty line. A body by reference must not change any more.
func (c *Conn) WriteResponse(head, body []byte) {
	c.conn.Write(http1.AppendContentLength(head, len(body)))
	switch {
	case c.isHead:
	case len(body) > writeByReference:
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

// SelectFraming returns how the body of the response is framed, which comes in pieces. Without a
// length, it is chunked for clients of HTTP/1.1, and ends with the connection for older ones. It
// must be called before AppendConnectionField.
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

// WriteHead writes the head of a response whose body comes in pieces.
func (c *Conn) WriteHead(head []byte) { c.conn.Write(head) }

// WriteBody writes a piece of the body, and reports whether the handler must pause: the client
// is slow to take it. Writable is called when the response can go on.
func (c *Conn) WriteBody(data []byte) (mustPause bool) {
	if c.framing == Chunked {
		var size [chunkSizeBytes]byte
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

// EndBody ends the body of a complete response and finishes the request.
func (c *Conn) EndBody() {
	if c.framing == Chunked {
		c.conn.Write([]byte(http1.LastChunk))
	}
	c.FinishResponse()
}

// FinishResponse makes the connection ready for another request after a response, or closes it.
func (c *Conn) FinishResponse() {
	c.discardBody()
	c.hasAnswered = true
	c.lastAnswerAt = c.conns.loop.Now()
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

// UnsentBytes returns how many bytes of output the client has not taken.
func (c *Conn) UnsentBytes() int { return c.conn.UnsentBytes() }
