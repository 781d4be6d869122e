package upstream

import (
	"fmt"
	"net/netip"
	"slices"

	"martenlock/internal/eventloop"
	"martenlock/internal/http1"
)

// ConnPool holds the connections to one engine. Its owner sets the exported fields before the first
// call of Start, and may change Addr and Removed later.
type ConnPool struct {
	Loop    *eventloop.Loop
	Options *Options
	Budget  *Budget
	// Addr is the engine's address. A connection to an earlier address is closed instead of becoming
	// idle. Connections that are already idle must be closed with CloseIdle when Addr changes.
	Addr netip.AddrPort
	// Removed is set once the engine has left the endpoint list. Connections are then closed instead
	// of becoming idle.
	Removed bool
	// OnConnClosed, if set, is called when a connection has closed.
	OnConnClosed func(reason CloseReason, use ConnUse)

	idle      []*Conn // in the order of last use, most recent last
	conns     map[*Conn]struct{}
	connsMade int
}

// Open returns the number of connections, idle ones included.
func (p *ConnPool) Open() int { return len(p.conns) }

// Idle returns the number of connections that wait for a request.
func (p *ConnPool) Idle() int { return len(p.idle) }

// ConnsMade returns the number of connections started so far, failed ones included.
func (p *ConnPool) ConnsMade() int { return p.connsMade }

// Start sends a request over an idle or a new connection. head must not change until
// ResponseHandler.Connected has returned or the request has ended. body belongs to the connection and
// must not change. notIdempotent is set if the request must not be retried once it may have been
// executed. If Start returns an error, it wraps ErrNoConn, and no method of handler is called.
func (p *ConnPool) Start(handler ResponseHandler, head, body []byte, notIdempotent bool) (*Conn, error) {
	c := p.takeIdle(notIdempotent)
	if c == nil {
		var err error
		c, err = p.dial()
		if err != nil {
			return nil, err
		}
	}
	c.handler = handler
	c.addr = p.Addr
	c.request = request{head: head, body: body}
	c.requests++
	if c.established {
		c.send()
	}
	return c, nil
}

// takeIdle returns the most recently used idle connection that may carry the request, or nil. It
// closes connections on which bytes or an end of stream have arrived since their last response, and
// those that the policy does not allow even for an idempotent request.
func (p *ConnPool) takeIdle(notIdempotent bool) *Conn {
	policy := p.Options.ReusePolicy
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		c.reuse.idleFor = p.Loop.Now() - c.reuse.idleSince
		hasNoInput := c.conn.NoInputPending()
		isAllowed := policy == nil || policy.MayReuse(c.reuse.idleFor, notIdempotent)
		if hasNoInput && !isAllowed && notIdempotent {
			return nil // an idempotent request may still use the connection
		}
		p.idle = p.idle[:last]
		p.Loop.StopTimer(&c.timer)
		if hasNoInput && isAllowed {
			c.reuse.isIdle = false
			c.reuse.pending = true
			c.reuse.sentAt = p.Loop.Now()
			return c
		}
		c.close(CloseNotTrusted)
	}
	return nil
}

// dial starts a new connection if the limits of the pool and the budget allow it.
func (p *ConnPool) dial() (*Conn, error) {
	if len(p.conns) >= p.Options.MaxPerEngine || !p.Budget.ensureCapacity(p.Options.MaxTotal) {
		return nil, ErrNoConn
	}
	c := &Conn{pool: p, parser: http1.NewResponseParser(&p.Options.Limits)}
	c.timer.Fire = c.handleTimeout
	conn, err := p.Loop.Dial(p.Addr, c)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoConn, err)
	}
	c.conn = conn
	conn.DeliverBeforeReset() // a complete response reaches a slow client even if the engine resets after it
	if p.conns == nil {
		p.conns = map[*Conn]struct{}{}
	}
	p.conns[c] = struct{}{}
	p.connsMade++
	c.number = p.connsMade
	p.Budget.open++
	p.Loop.StartTimer(&c.timer, p.Options.ConnectTimeout)
	return c, nil
}

// addIdle keeps a connection for the next request.
func (p *ConnPool) addIdle(c *Conn) {
	p.idle = append(p.idle, c)
	p.Loop.StartTimer(&c.timer, p.Options.IdleTimeout)
	p.Budget.addIdle(c)
}

// removeIdle removes a connection from the idle connections. If it is not idle, removeIdle does nothing.
func (p *ConnPool) removeIdle(c *Conn) {
	p.idle = slices.DeleteFunc(p.idle, func(other *Conn) bool { return other == c })
}

// connClosed is called once for each connection, after it was closed.
func (p *ConnPool) connClosed(c *Conn, reason CloseReason) {
	delete(p.conns, c)
	p.Budget.open--
	if p.OnConnClosed != nil {
		p.OnConnClosed(reason, c.Use())
	}
}

// CloseIdle closes the idle connections. It must be called when the engine has left the endpoint list,
// restarted or changed its address.
func (p *ConnPool) CloseIdle() {
	idle := p.idle
	p.idle = nil
	for _, c := range idle {
		c.close(CloseDelisted)
	}
}
