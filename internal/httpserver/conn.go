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

const (
	// Idle connections wait for the first byte of a request.
	Idle State = iota // idle
	// Receiving connections have a request that is arriving.
	Receiving // receiving
	// Serving connections have a request that the handler answers later. Further requests are not read.
	Serving // serving
	// Closed connections are neither read nor written.
	Closed // closed
)

// isReading reports whether bytes from the client are parsed.
func (s State) isReading() bool { return s == Idle || s == Receiving }

// Conn is the connection of a client. It implements eventloop.Handler. It is initialized by
// Conns.Add.
type Conn struct {
	conns   *Conns
	handler Handler
	conn    *eventloop.Conn
	parser  *http1.Parser

	state      State
	stateTimer timerwheel.Timer // bounds the time in the state; while serving, the time for which a response is paused

	// The current request and its response. All except body keep their values until the head of the
	// next request.
	body         []byte // its size is reserved in Conns.memory
	minorVersion int    // of HTTP/1
	isHead       bool   // the request's method is HEAD, so the response has no body
	keepAlive    bool   // the connection stays open after the response
	framing      Framing

	acceptedAt     time.Duration
	hasAnswered    bool          // at least one response was finished
	lastResponseAt time.Duration // when the latest response was finished
}

// Handler returns the connection's handler.
func (c *Conn) Handler() Handler { return c.handler }

// State returns what the connection is doing.
func (c *Conn) State() State { return c.state }

// AcceptedAt returns when the connection was accepted, on the loop's clock.
func (c *Conn) AcceptedAt() time.Duration { return c.acceptedAt }

// HasAnswered reports whether a response was finished on this connection.
func (c *Conn) HasAnswered() bool { return c.hasAnswered }

// IsBetweenRequests reports whether the connection is between two requests. It also returns true while
// the first line of a request is incomplete.
func (c *Conn) IsBetweenRequests() bool { return c.parser.Idle() }

// Body returns the body of the current request as far as it has arrived. It is valid until the
// request's response is finished.
func (c *Conn) Body() []byte { return c.body }

// TakeBody returns the body and passes its ownership to the caller, which must release its bytes
// with Memory.Release.
func (c *Conn) TakeBody() []byte {
	body := c.body
	c.body = nil
	return body
}

// StartServing makes the connection wait until the handler has answered the current request.
func (c *Conn) StartServing() { c.state = Serving }

// SendContinue sends 100 Continue if the client waits for it before it sends the body.
func (c *Conn) SendContinue(head *http1.Head) {
	if head.ExpectContinue && (head.ContentLength > 0 || head.Chunked) {
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// Opened implements eventloop.Handler. Accepted connections are already established.
func (c *Conn) Opened(*eventloop.Conn) {}

// Data implements eventloop.Handler. It stops parsing at the end of a request that the handler does
// not answer at once, and leaves the rest unread.
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

// EOF implements eventloop.Handler. A client that closes its sending half counts as gone.
func (c *Conn) EOF(*eventloop.Conn) {
	c.abandonRequest()
	c.Close()
}

// Closed implements eventloop.Handler. It notifies the handler if a request is being served.
func (c *Conn) Closed(*eventloop.Conn, error) {
	c.abandonRequest()
	c.markClosed()
}

// Writable implements eventloop.Handler. It lets the handler continue the response.
func (c *Conn) Writable(*eventloop.Conn) {
	if c.state != Serving {
		return
	}
	c.conns.loop.StopTimer(&c.stateTimer)
	c.handler.Writable()
}

// startReceiving is called at the first byte of a request. If this is the first request and
// FirstRequestTimeout is set, the timer that Conns.Add started keeps running.
func (c *Conn) startReceiving() {
	c.state = Receiving
	c.conns.idle.MarkBusy(c)
	options := &c.conns.Options
	if c.hasAnswered || options.FirstRequestTimeout == 0 {
		c.conns.loop.StartTimer(&c.stateTimer, options.RequestTimeout)
	}
}

// receiveHead stores the properties of a request's head that the response depends on, and passes
// the head to the handler.
func (c *Conn) receiveHead(head *http1.Head) {
	c.keepAlive = head.KeepAlive && !c.conns.stopsKeepAlive
	c.minorVersion = head.MinorVersion
	c.isHead = string(head.Method) == http.MethodHead
	c.framing = ByLength
	c.handler.HeadReceived(head)
}

// receiveBody appends data to the request's body, or aborts the request if there is no memory for
// it.
func (c *Conn) receiveBody(data []byte) {
	if !c.conns.reserveBody(c, len(data)) {
		c.handler.RequestAborted(OutOfMemory)
		return
	}
	c.body = append(c.body, data...)
}

// discardBody releases the current request's body and its reserved memory.
func (c *Conn) discardBody() {
	c.conns.memory.Release(len(c.body))
	c.body = nil
}
