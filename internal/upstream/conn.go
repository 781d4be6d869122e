package upstream

import (
	"net/netip"
	"time"

	"martenlock/internal/eventloop"
	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
)

// maxCopiedBody is the largest size in bytes of a body that is copied behind its head, so that both
// are sent from one buffer with one system call. Larger bodies are sent without a copy.
const maxCopiedBody = 16 << 10

// Conn is a connection to an engine. It carries one request at a time. The caller of ConnPool.Start may
// use it until Complete or Failed is called on the ResponseHandler, or until the caller calls Abort.
type Conn struct {
	pool        *ConnPool
	conn        *eventloop.Conn
	parser      *http1.Parser
	addr        netip.AddrPort // the engine's address when the current request was started
	number      int            // among the connections of the pool, from 1
	requests    int            // started on the connection so far
	established bool
	closed      bool
	timer       timerwheel.Timer // ConnectTimeout until established, IdleTimeout while idle

	handler      ResponseHandler // of the current request; nil while idle
	request      request
	sendDeadline sendDeadline
	keepAlive    bool // the current response allows another request on the connection
	reuse        reuse
}

// request is a request that is sent once the connection is established.
type request struct{ head, body []byte }

// sendDeadline is the time by which the request's last byte must have left this process.
type sendDeadline struct {
	timer timerwheel.Timer
	at    time.Duration // on the loop's clock; valid while the timer runs
}

// ConnUse describes how a connection has been used, for log lines.
type ConnUse struct {
	Number   int // of the connection among those made to its engine, from 1
	Requests int // started on the connection, the current one included
	// IdleFor is how long the connection was idle before the current request or, if it is idle, how long
	// it has been idle. It is 0 before the end of the first response.
	IdleFor time.Duration
}

// Use returns how the connection has been used. It may be called after the connection has closed.
func (c *Conn) Use() ConnUse {
	use := ConnUse{Number: c.number, Requests: c.requests, IdleFor: c.reuse.idleFor}
	if c.reuse.isIdle {
		use.IdleFor = c.idleFor(c.pool.Loop.Now())
	}
	return use
}

// idleFor returns how long an idle connection has been idle at a time on the loop's clock.
func (c *Conn) idleFor(now time.Duration) time.Duration { return max(now-c.reuse.idleSince, 0) }

// isIdle reports whether the connection waits for a request.
func (c *Conn) isIdle() bool { return c.reuse.isIdle && !c.closed }

// send sends the request over an established connection.
func (c *Conn) send() {
	if builder, ok := c.handler.(HeadBuilder); ok {
		c.request.head = builder.RequestHead()
	}
	c.conn.Write(c.request.head)
	if len(c.request.body) > maxCopiedBody {
		c.conn.WriteRef(c.request.body)
	} else {
		c.conn.Write(c.request.body)
	}
	c.request = request{}
	c.handler.Connected()
}

// Pause stops reading the response, for back pressure.
func (c *Conn) Pause() { c.conn.Pause() }

// Resume continues reading after Pause.
func (c *Conn) Resume() { c.conn.Resume() }

// RequestWritten reports whether the request's last byte has left this process. It may be called
// after the connection has closed.
func (c *Conn) RequestWritten() bool {
	return c.established && c.conn.UnsentBytes() == 0 && c.conn.UnsentAtClose() == 0
}

// SendWithin closes the connection if the request's last byte has not left this process within d.
// Failed is then called on its handler. A d of 0 or less sets no limit. If a limit is set already, the
// earlier of the two applies.
func (c *Conn) SendWithin(d time.Duration) {
	if d <= 0 {
		return
	}
	at := c.pool.Loop.Now() + d
	if c.sendDeadline.timer.Running() && c.sendDeadline.at <= at {
		return
	}
	c.sendDeadline.at = at
	c.sendDeadline.timer.Fire = c.handleSendTimeout
	c.pool.Loop.StartTimer(&c.sendDeadline.timer, d)
}

func (c *Conn) handleSendTimeout() {
	if c.handler != nil && !c.RequestWritten() {
		c.fail(CloseSendTimeout, "")
	}
}

// Abort closes the connection at once. No further method is called on its handler. On a closed
// connection it does nothing.
func (c *Conn) Abort() { c.close(CloseAborted) }

// close closes the connection without calling its handler. Later calls have no effect.
func (c *Conn) close(reason CloseReason) {
	c.handler = nil
	if c.closed {
		return
	}
	c.closed = true
	c.pool.Loop.StopTimer(&c.timer)
	c.pool.Loop.StopTimer(&c.sendDeadline.timer)
	c.conn.ShutdownAndAbort()
	c.pool.connClosed(c, reason)
}

// handleTimeout closes the connection after ConnectTimeout or IdleTimeout.
func (c *Conn) handleTimeout() {
	if !c.established {
		c.fail(CloseConnectTimeout, "")
		return
	}
	c.closeIdle(CloseIdleTimeout)
}

// closeIdle closes an idle connection.
func (c *Conn) closeIdle(reason CloseReason) {
	c.pool.removeIdle(c)
	c.close(reason)
}

// fail closes the connection and calls Failed on its handler, if there is one. malformed is the value
// of ConnError.Malformed.
func (c *Conn) fail(reason CloseReason, malformed string) {
	err := ConnError{
		Established:      c.established,
		RequestWritten:   c.RequestWritten(),
		ReusedConnection: c.reuse.pending,
		Malformed:        malformed,
	}
	c.observeReuse(true)
	handler := c.handler
	if handler == nil {
		c.closeIdle(reason)
		return
	}
	c.close(reason)
	handler.Failed(err)
}

// Opened implements eventloop.Handler. It sends the request for which the connection was made.
func (c *Conn) Opened(*eventloop.Conn) {
	c.established = true
	c.pool.Loop.StopTimer(&c.timer)
	if c.handler != nil {
		c.send()
	}
}

// Data implements eventloop.Handler. It parses the response and passes it to the handler. If bytes
// arrive while no request is in progress, it closes the connection.
func (c *Conn) Data(conn *eventloop.Conn, b []byte) int {
	c.observeReuse(false)
	consumed := 0
	for {
		if c.handler == nil || conn.IsClosed() {
			if consumed < len(b) {
				c.fail(CloseStrayBytes, "")
			}
			return len(b)
		}
		n, kind, data, err := c.parser.Next(b[consumed:])
		consumed += n
		if err != nil {
			c.fail(CloseMalformedResponse, err.Reason)
			return len(b)
		}
		switch kind {
		case http1.NeedMore:
			return consumed
		case http1.HeadDone:
			c.keepAlive = c.parser.Head.KeepAlive
			c.handler.Head(&c.parser.Head)
		case http1.Data:
			c.handler.Data(data)
		case http1.End:
			c.endResponse(consumed < len(b))
		}
	}
}

// endResponse handles the end of a response. It keeps the connection as idle or closes it. hasStrayBytes is
// set if more bytes were read with the response. The connection is then closed before Complete is called,
// because Complete may start a request, which would get them as its response.
func (c *Conn) endResponse(hasStrayBytes bool) {
	handler := c.handler
	c.handler = nil
	c.pool.Loop.StopTimer(&c.sendDeadline.timer)
	switch {
	case !c.isReusable():
		c.close(CloseNotReusable)
	case hasStrayBytes:
		c.close(CloseStrayBytes)
	default:
		c.becomeIdle()
	}
	handler.Complete()
}

// becomeIdle keeps the connection for another request.
func (c *Conn) becomeIdle() {
	c.conn.Resume()
	c.reuse.isIdle = true
	c.reuse.idleSince = c.pool.Loop.ReadClock() // Now may be earlier than the response
	c.pool.addIdle(c)
}

// isReusable reports whether the connection may be kept after a complete response. It returns false if
// the response forbids it, if the request has not been sent completely, or if the engine has a new
// address or has left the endpoint list.
func (c *Conn) isReusable() bool {
	sameEngine := !c.pool.Removed && c.addr == c.pool.Addr
	return c.keepAlive && sameEngine && c.conn.UnsentBytes() == 0
}

// EOF implements eventloop.Handler. It completes a response whose end is marked by the engine's close,
// and fails any other current request.
func (c *Conn) EOF(conn *eventloop.Conn) {
	if conn.Paused() { // EOF is called again after Resume, once the unread bytes have been delivered
		return
	}
	if c.handler != nil && c.parser.EndOfInput() {
		handler := c.handler
		c.close(ClosedByEngine)
		handler.Complete()
		return
	}
	c.fail(ClosedByEngine, "")
}

// Writable implements eventloop.Handler. It does nothing, because the whole request is buffered at once.
func (c *Conn) Writable(*eventloop.Conn) {}

// Closed implements eventloop.Handler. It fails the current request, if any.
func (c *Conn) Closed(*eventloop.Conn, error) {
	if c.established {
		c.fail(CloseReset, "")
	} else {
		c.fail(CloseConnectFailed, "")
	}
}
