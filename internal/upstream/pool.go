package upstream

import (
	"fmt"
	"net/netip"
	"slices"
	"sort"
	"time"

	"martenlock/internal/eventloop"
	"martenlock/internal/http1"
)

// ConnPool holds the connections to one engine. Its owner sets the exported fields before the first
// call of Start, and may change Addr and Removed later.
type ConnPool struct {
	Loop    *eventloop.Loop
	Options *Options
	Budget  *Budget
	Rest    RestPolicy // nil allows the reuse of a connection at once
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

// takeIdle returns the most recently used idle connection that may carry the request, or nil. It skips
// connections that must still rest. It closes connections on which bytes or an end of stream have
// arrived since their last response, and those that the policy does not allow even for an idempotent
// request.
func (p *ConnPool) takeIdle(notIdempotent bool) *Conn {
	policy := p.Options.ReusePolicy
	for last := p.countRested() - 1; last >= 0; last-- {
		c := p.idle[last]
		c.reuse.idleFor = c.idleFor(p.Loop.Now())
		hasNoInput := c.conn.NoInputPending()
		isAllowed := policy == nil || policy.MayReuse(c.reuse.idleFor, notIdempotent)
		if hasNoInput && !isAllowed && notIdempotent {
			return nil // an idempotent request may still use the connection
		}
		p.idle = slices.Delete(p.idle, last, last+1)
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

// countRested returns the number of connections that have been idle for long enough to carry another
// request. They are the first ones in idle.
func (p *ConnPool) countRested() int {
	if p.Rest == nil {
		return len(p.idle)
	}
	count := p.countIdleFor(p.Rest.MinIdleTime(false))
	if count > 0 || len(p.conns) < p.Options.MaxPerEngine {
		return count
	}
	return min(p.countIdleFor(p.Rest.MinIdleTime(true)), 1)
}

// countIdleFor returns the number of connections that have been idle for at least minIdleTime.
func (p *ConnPool) countIdleFor(minIdleTime time.Duration) int {
	now := p.Loop.Now()
	return sort.Search(len(p.idle), func(i int) bool { return p.idle[i].idleFor(now) < minIdleTime })
}

// dial starts a new connection if the limits of the pool and the budget allow it.
func (p *ConnPool) dial() (*Conn, error) {
	if !p.ensureCapacity() || !p.Budget.ensureCapacity(p.Options.MaxTotal) {
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

// ensureCapacity reports whether one more connection is within Options.MaxPerEngine. If necessary, it
// closes the connection that has been idle for longest.
func (p *ConnPool) ensureCapacity() bool {
	if len(p.conns) >= p.Options.MaxPerEngine && len(p.idle) > 0 {
		p.idle[0].closeIdle(CloseEvicted)
	}
	return len(p.conns) < p.Options.MaxPerEngine
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
	if reason == CloseStrayBytes {
		p.recordStrayBytes(c)
	}
	if p.OnConnClosed != nil {
		p.OnConnClosed(reason, c.Use())
	}
}

// recordStrayBytes notifies the RestPolicy of stray bytes on a connection.
func (p *ConnPool) recordStrayBytes(c *Conn) {
	if p.Rest == nil {
		return
	}
	delay := time.Duration(0)
	if c.reuse.isIdle {
		delay = c.idleFor(p.Loop.Now())
	}
	p.Rest.RecordStrayBytes(delay)
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
