package httpserver

import (
	"net/http"
	"time"

	"martenlock/internal/eventloop"
	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
)

// State is what a connection is doing.
type State uint8

// The states.
const (
	// Idle connections wait for the first byte of a request.
	Idle State = iota // idle
	// Receiving connections have a request that is arriving.
	Receiving // receiving
	// Serving connections have a request that the handler answers later. Further ones wait unread.
	Serving // serving
	// Closed connections are neither read nor written.
	Closed // closed
)

// isReading reports whether bytes from the client are parsed.
func (s State) isReading() bool { return s == Idle || s == Receiving }

// Conn is a client's connection. It implements eventloop.Handler. Conns.Add makes it ready for
// use.
type Conn struct {
	conns   *Conns
	handler Handler
	conn    *eventloop.Conn
	parser  *http1.Parser

	state      State
	stateTimer timerwheel.Timer // bounds the time in the state; while serving, the time without progress of the client

	// The current request, and its response. The fields outlive the request until the next head.
	body         []byte // counted by Conns.memory
	minorVersion int    // of HTTP/1
	isHead       bool   // the response has no body
	keepAlive    bool   // the connection stays open after the response
	framing      Framing

	acceptedAt   time.Duration
	hasAnswered  bool          // a response was finished
	lastAnswerAt time.Duration // the end of the latest response
}

// Handler returns the connection's handler.
func (c *Conn) Handler() Handler { return c.handler }

// State returns what the connection is doing.
func (c *Conn) State() State { return c.state }

// AcceptedAt returns when the connection was accepted, on the loop's clock.
func (c *Conn) AcceptedAt() time.Duration { return c.acceptedAt }

// HasAnswered reports whether a request was answered on this connection.
func (c *Conn) HasAnswered() bool { return c.hasAnswered }

// IsBetweenRequests reports whether the client's next byte begins a new request. Otherwise it
// continues the current one.
func (c *Conn) IsBetweenRequests() bool { return c.parser.Idle() }

// Body returns the body of the current request as far as it has arrived. It is valid until the
// request's response is finished.
func (c *Conn) Body() []byte { return c.body }

// TakeBody is Body for a caller that keeps the bytes. The caller releases them in Memory.
func (c *Conn) TakeBody() []byte {
	body := c.body
	c.body = nil
	return body
}

// StartServing makes the connection wait until the handler answers the current request.
func (c *Conn) StartServing() { c.state = Serving }

// SendContinue sends 100 Continue to a client that waits for it before it sends a body.
func (c *Conn) SendContinue(head *http1.Head) {
	if head.ExpectContinue && (head.ContentLength > 0 || head.Chunked) {
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// Opened implements eventloop.Handler. Accepted connections are already established.
func (c *Conn) Opened(*eventloop.Conn) {}

// Data implements eventloop.Handler. It parses up to the end of one request.
func (c *Conn) Data(_ *eventloop.Conn, data []byte) int {
	consumed := 0
	for c.state.isReading() {
		if c.state == Idle && consumed < len(data) {
			c.startReceiving()
		}
		used, kind, body, err := c.parser.Next(data[consumed:])
		consumed += used
		if err != nil {
			c.handler.RequestMalformed(err)
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
			c.conns.loop.StopTimer(&c.stateTimer)
			c.handler.RequestReceived()
		}
	}
	if c.state == Closed {
		return len(data)
	}
	c.conn.Pause()
	return consumed
}

// EOF implements eventloop.Handler. A client that ends its sending half counts as gone.
func (c *Conn) EOF(*eventloop.Conn) {
	c.abandonRequest()
	c.Close()
}

// Closed implements eventloop.Handler. A request that is being served loses its client.
func (c *Conn) Closed(*eventloop.Conn, error) {
	c.abandonRequest()
	c.markClosed()
}

// Writable implements eventloop.Handler. It resumes the response.
func (c *Conn) Writable(*eventloop.Conn) {
	if c.state != Serving {
		return
	}
	c.conns.loop.StopTimer(&c.stateTimer)
	c.handler.Writable()
}

// startReceiving is called at the first byte of a request. If FirstRequestTimeout bounds the first
// request, the timer that Conns.Add started goes on.
func (c *Conn) startReceiving() {
	c.state = Receiving
	c.conns.idle.MarkBusy(c)
	options := &c.conns.Options
	if c.hasAnswered || options.FirstRequestTimeout == 0 {
		c.conns.loop.StartTimer(&c.stateTimer, options.RequestTimeout)
	}
}

// receiveHead keeps what framing needs of a request's head.
func (c *Conn) receiveHead(head *http1.Head) {
	c.keepAlive = head.KeepAlive && !c.conns.stopsKeepAlive
	c.minorVersion = head.MinorVersion
	c.isHead = string(head.Method) == http.MethodHead
	c.framing = ByLength
	c.handler.HeadReceived(head)
}

// receiveBody adds to the request's body, or aborts the request if there is no memory for it.
func (c *Conn) receiveBody(data []byte) {
	if !c.conns.reserveBody(c, len(data)) {
		c.handler.RequestAborted(OutOfMemory)
		return
	}
	c.body = append(c.body, data...)
}

// discardBody releases the current request's body.
func (c *Conn) discardBody() {
	c.conns.memory.Release(len(c.body))
	c.body = nil
}
