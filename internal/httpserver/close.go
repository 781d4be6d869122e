package httpserver

// handleTimeout closes the connection after too long a time in its state. An incomplete request
// gets a response first.
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

// Close closes the connection after the output. If a response may still be on its way, what
// arrives meanwhile is read and discarded: closing over unread bytes causes a reset, which would
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
	return c.conns.loop.Now()-c.lastAnswerAt < deliveryTime || c.conn.UnsentBytes() > 0
}

// CloseLingering closes the connection after the output, for a client that may still be sending.
func (c *Conn) CloseLingering() {
	c.conn.CloseLingering()
	c.markClosed()
}

// Abort closes the connection at once and discards the output.
func (c *Conn) Abort() {
	c.conn.Abort()
	c.markClosed()
}

// Reset closes the connection at once with a TCP reset, which a client does not take for the end
// of a response.
func (c *Conn) Reset() {
	c.conn.Reset()
	c.markClosed()
}

// markClosed releases what a closed connection holds and removes it from its Conns.
func (c *Conn) markClosed() {
	c.state = Closed
	c.conns.loop.StopTimer(&c.stateTimer)
	c.discardBody()
	c.conns.remove(c)
}
