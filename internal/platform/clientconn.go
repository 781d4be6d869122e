package platform

import (
	"bytes"
	"fmt"
	"time"

	"martenlock/control/connlimit"
	"martenlock/internal/eventloop"
	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
)

// clientState is what a client's connection is doing.
type clientState uint8

// The states of a client's connection.
const (
	clientIdle      clientState = iota // waits for the first byte of a request
	clientReceiving                    // a request is arriving
	clientServing                      // a request was handed to an exchange; later ones wait unread
	clientClosed                       // nothing is read or written any more
)

// String names the state for tests and logs.
func (s clientState) String() string {
	switch s {
	case clientIdle:
		return "idle"
	case clientReceiving:
		return "receiving"
	case clientServing:
		return "serving"
	case clientClosed:
		return "closed"
	}
	return fmt.Sprintf("clientState(%d)", uint8(s))
}

// isReading tells whether bytes from the client are parsed.
func (s clientState) isReading() bool { return s == clientIdle || s == clientReceiving }

// clientConn is a client's connection. It serves one request at a time; pipelined ones wait
// unread. Its methods run on the loop; Opened, Data, EOF, Closed and Writable are eventloop.Handler's.
type clientConn struct {
	server *Server
	conn   *eventloop.Conn
	parser *http1.Parser

	state      clientState
	stateTimer timerwheel.Timer // bounds the time in the state; while serving, without progress of the client
	request    incomingRequest  // being received
	exchange   *exchange        // at work on the client's request; nil where there is none
	keepAlive  bool             // the connection stays open after the answer at hand

	acceptedAt   time.Duration
	hasAnswered  bool          // a request was answered on this connection
	lastAnswerAt time.Duration // the end of the latest answer
}

// incomingRequest is a request as far as it was received. Its fields outlive the request until
// the next head, except meta and body.
type incomingRequest struct {
	meta   *requestMeta // nil where the request is not for an engine
	path   string
	isGet  bool // GET or HEAD
	isHead bool // the answer has no body
	body   []byte
}

// Bounds of what is parsed. Heads in use are well below 1 KiB; a client or an engine that sends
// more than these holds memory in vain.
const (
	maxLineBytes        = 8 << 10
	maxHeadBytes        = 16 << 10
	maxHeaderFields     = 64
	maxRequestBodyBytes = 256 << 10 // prompts are counted in tokens, some 4 bytes each
)

// requestLimits bound a client's request.
var requestLimits = http1.Limits{Line: maxLineBytes, Headers: maxHeadBytes, Fields: maxHeaderFields, Body: maxRequestBodyBytes}

func newClientConn(s *Server, conn *eventloop.Conn) *clientConn {
	c := &clientConn{server: s, conn: conn, parser: http1.NewRequests(&requestLimits), acceptedAt: s.loop.Now()}
	c.stateTimer.Fire = c.handleTimeout
	return c
}

// Opened does nothing: an accepted connection stands already.
func (c *clientConn) Opened(*eventloop.Conn) {}

// Data parses what the client sends, up to the end of one request, and returns how many bytes
// were consumed.
func (c *clientConn) Data(_ *eventloop.Conn, data []byte) int {
	consumed := 0
	for c.state.isReading() {
		if c.state == clientIdle && consumed < len(data) {
			c.startReceiving()
		}
		used, kind, body, err := c.parser.Next(data[consumed:])
		consumed += used
		if err != nil {
			c.respondMalformed(err.Status, err.Reason)
			return len(data)
		}
		switch kind {
		case http1.NeedMore:
			return consumed
		case http1.HeadDone:
			c.receiveHead(&c.parser.Head)
		case http1.Data:
			c.receiveBody(body)
		case http1.End:
			c.server.loop.StopTimer(&c.stateTimer)
			c.dispatch()
		}
	}
	if c.state == clientClosed {
		return len(data)
	}
	c.conn.Pause()
	return consumed
}

// EOF ends the connection: a client that ends its side has left.
func (c *clientConn) EOF(*eventloop.Conn) {
	c.abandonExchange()
	c.closeGracefully()
}

// Closed takes in that the connection has ended.
func (c *clientConn) Closed(*eventloop.Conn, error) {
	c.abandonExchange()
	c.markClosed()
}

// Writable resumes the stream after the client has taken what was written.
func (c *clientConn) Writable(*eventloop.Conn) {
	if c.exchange == nil {
		return
	}
	c.server.loop.StopTimer(&c.stateTimer)
	c.exchange.clientWritable()
}

// startReceiving takes in the first byte of a request.
func (c *clientConn) startReceiving() {
	c.state = clientReceiving
	c.server.clients.idle.MarkBusy(c)
	if c.hasAnswered { // the first request's time runs since the connection was accepted
		c.server.loop.StartTimer(&c.stateTimer, connlimit.RequestTimeout)
	}
}

// receiveHead keeps what is needed of a request's head, whose bytes are gone when the body
// comes.
func (c *clientConn) receiveHead(head *http1.Head) {
	path, _, _ := bytes.Cut(head.Target, []byte{'?'})
	c.keepAlive = head.KeepAlive && !c.server.shutdown.inProgress()
	c.request.meta = nil
	c.request.path = string(path)
	c.request.isHead = string(head.Method) == "HEAD"
	c.request.isGet = c.request.isHead || string(head.Method) == "GET"
	if c.request.path != chatPath || string(head.Method) != "POST" {
		return
	}
	if head.MinorVersion == 0 { // a client of HTTP/1.0 can't tell a whole stream from a truncated one
		c.respondMalformed(505, "a stream needs HTTP/1.1")
		return
	}
	meta, err := parseRequestMeta(head, &c.server.config.Settings)
	if err != nil {
		c.respondMalformed(400, err.Error())
		return
	}
	c.request.meta = meta
	if head.ExpectContinue && (head.ContentLength > 0 || head.Chunked) {
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// receiveBody adds to the request's body, or ends the connection where there is no memory for
// it.
func (c *clientConn) receiveBody(data []byte) {
	if !c.server.reserveBytes(c, len(data)) {
		c.respondOutOfMemory()
		return
	}
	c.server.bufferedBytes += len(data)
	c.request.body = append(c.request.body, data...)
}

// discardBody frees the request's body.
func (c *clientConn) discardBody() {
	c.server.bufferedBytes -= len(c.request.body)
	c.request.body = nil
}

// healthPath is where the platform asks how the server is.
const healthPath = "/healthz"

// dispatch starts the exchange of a request that is whole, or answers it here.
func (c *clientConn) dispatch() {
	switch {
	case c.request.meta != nil:
		c.dispatchChat()
	case c.request.isGet && c.request.path == healthPath:
		c.respondHealth()
	case c.request.path == chatPath || c.request.path == healthPath:
		c.respond(405, "", "method not allowed\n")
	default:
		c.respond(404, "", "not found\n")
	}
}

// dispatchChat starts the exchange of a request for an engine, where the server takes it.
func (c *clientConn) dispatchChat() {
	s := c.server
	maxRequests := s.config.Settings.MaxRequests
	switch {
	case s.exchanges.byClientID[c.request.meta.callID] != nil:
		c.respondMalformed(400, "X-Call-Id: a request of this id is open")
	case !s.shutdown.acceptsRequests():
		c.respondAndClose(503, retryAfterField(connlimit.RetryAfterShutdown), "the router stops")
	case maxRequests > 0 && len(s.exchanges.byID) >= maxRequests:
		c.respondAndClose(503, retryAfterField(connlimit.RetryAfterFull), "the router holds as many requests as it may")
	default:
		s.startExchange(c)
	}
}

// handleTimeout ends a connection that was in its state for too long.
func (c *clientConn) handleTimeout() {
	switch {
	case c.exchange != nil: // the client takes nothing of its answer
		c.logClose("write_stalled")
		c.abandonExchange()
		c.conn.Abort()
		c.markClosed()
	case c.state == clientReceiving:
		c.respondMalformed(408, "the request did not come whole in time")
	default:
		c.logClose("idle_timeout")
		c.closeGracefully()
	}
}

// startWriteStallTimeout bounds the time in which the client takes nothing of its answer.
func (c *clientConn) startWriteStallTimeout() {
	if !c.stateTimer.Running() {
		c.server.loop.StartTimer(&c.stateTimer, connlimit.WriteStallTimeout)
	}
}

// abandonExchange tells the exchange at work that its client has gone. The connection must be
// closed next.
func (c *clientConn) abandonExchange() {
	x := c.exchange
	if x == nil {
		return
	}
	c.exchange = nil
	x.clientGone()
}

// closeGracefully closes a connection that has no exchange. Where an answer may still be on its
// way, what comes meanwhile is read and discarded: closing over unread bytes causes a reset,
// which would destroy the answer.
func (c *clientConn) closeGracefully() {
	if c.hasAnswered && (c.server.loop.Now()-c.lastAnswerAt < connlimit.ResponseDeliveryTime || c.conn.UnsentBytes() > 0) {
		c.conn.CloseLingering()
	} else {
		c.conn.Close()
	}
	c.markClosed()
}

// markClosed forgets a connection that was closed.
func (c *clientConn) markClosed() {
	c.state = clientClosed
	c.server.loop.StopTimer(&c.stateTimer)
	c.discardBody()
	c.server.clients.remove(c)
}
