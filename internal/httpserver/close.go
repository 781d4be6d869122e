package httpserver

// handleTimeout is called when stateTimer fires. It closes the connection. If a request is
// incomplete, the handler responds to it first.
func (c *Conn) handleTimeout() {
	switch c.state {
	case Serving:
		c.handler.Closing(WriteStalled)
		c.abandonRequest()
		c.Abort()
	case Receiving:
		c.handler.RequestAborted(RequestTimedOut)
	default:
		c.handler.Closing(IdleTimeout)
		c.Close()
	}
}

// abandonRequest notifies the handler if a request is being served. The caller must close the
// connection next.
func (c *Conn) abandonRequest() {
	if c.state == Serving {
		c.handler.ClientGone()
	}
}

// Close closes the connection once the output is sent. If a response may not have reached the
// client yet, the close lingers: closing a socket with unread input sends a reset, which can
// destroy the response.
func (c *Conn) Close() {
	if c.isDeliveringResponse() {
		c.conn.CloseLingering()
	} else {
		c.conn.Close()
	}
	c.markClosed()
}

// isDeliveringResponse reports whether a finished response may not have reached the client yet.
func (c *Conn) isDeliveringResponse() bool {
	deliveryTime := c.conns.Options.ResponseDeliveryTime
	if deliveryTime == 0 || !c.hasAnswered {
		return false
	}
	return c.conns.loop.Now()-c.lastResponseAt < deliveryTime || c.conn.UnsentBytes() > 0
}

// CloseLingering closes the connection once the output is sent, for a client that may still be
// sending. Its input is discarded.
func (c *Conn) CloseLingering() {
	c.conn.CloseLingering()
	c.markClosed()
}

// Abort closes the connection at once and discards unsent output.
func (c *Conn) Abort() {
	c.conn.Abort()
	c.markClosed()
}

// Reset closes the connection at once with a TCP reset, so that the client does not take the close
// for the end of a response.
func (c *Conn) Reset() {
	c.conn.Reset()
	c.markClosed()
}

// markClosed releases the timer and the body of a closed connection and removes it from its Conns.
func (c *Conn) markClosed() {
	c.state = Closed
	c.conns.loop.StopTimer(&c.stateTimer)
	c.discardBody()
	c.conns.remove(c)
}
