package upstream

import (
	"fmt"
	"net/netip"
	"slices"

	"martenlock/internal/eventloop"
	"martenlock/internal/http1"
)

// Pool is the connections to one engine. Its owner sets the exported fields before the first
// call of Start, and may change the address and whether the engine is listed later.
type Pool struct {
	Loop    *eventloop.Loop
	Options *Options
	Budget  *Budget
	Addr    netip.AddrPort // connections to an earlier address are not kept
	// Removed tells that the engine is not listed any more: connections that become idle are closed.
	Removed bool
	// OnConnEnded is called when a connection has ended, if it is set, with the reason.
	OnConnEnded func(reason CloseReason)

	idle  []*Conn // the latest used last
	conns map[*Conn]struct{}
	made  int
}

// Open returns the number of connections, idle ones included.
func (p *Pool) Open() int { return len(p.conns) }

// Idle returns the number of connections that wait for a request.
func (p *Pool) Idle() int { return len(p.idle) }

// ConnsMade returns the number of connections begun so far.
func (p *Pool) ConnsMade() int { return p.made }

// Start sends a request over an idle or a new connection. head may be reused when Start or, on a
// new connection, Sink.Connected has returned; body belongs to the connection and must not change.
// once says that the request must not be repeated if it may have been executed. The error wraps
// ErrNoConn; the sink is told nothing then.
func (p *Pool) Start(s ResponseHandler, head, body []byte, once bool) (*Conn, error) {
	k := p.takeIdle(once)
	if k == nil {
		var err error
		k, err = p.dial()
		if err != nil {
			return nil, err
		}
	}
	k.sink = s
	k.addr = p.Addr
	k.request = request{head: head, body: body}
	if k.established {
		k.send()
	}
	return k, nil
}

// takeIdle returns the idle connection used last, if there is one on which nothing has come
// since: an end, or more than belonged to the last response.
func (p *Pool) takeIdle(once bool) *Conn {
	trust := p.Options.ReusePolicy
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		k := p.idle[last]
		k.reuse.idleFor = p.Loop.Now() - k.reuse.idleSince
		quiet := k.conn.NoInputPending()
		trusted := trust == nil || trust.MayReuse(k.reuse.idleFor, once)
		if quiet && !trusted && once {
			return nil // it may do for another request
		}
		p.idle = p.idle[:last]
		p.Loop.StopTimer(&k.timer)
		if quiet && trusted {
			k.reuse.pending = true
			k.reuse.sentAt = p.Loop.Now()
			return k
		}
		k.abort(CloseNotTrusted)
	}
	return nil
}

// dial begins a new connection within the limits.
func (p *Pool) dial() (*Conn, error) {
	if len(p.conns) >= p.Options.MaxPerEngine || !p.Budget.makeRoom(p.Options.MaxTotal) {
		return nil, ErrNoConn
	}
	k := &Conn{pool: p, parser: http1.NewResponses(&p.Options.Limits)}
	k.timer.Fire = k.expire
	conn, err := p.Loop.Dial(p.Addr, k)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoConn, err)
	}
	k.conn = conn
	conn.DeliverBeforeReset() // a complete response is passed on though its client is slow
	if p.conns == nil {
		p.conns = map[*Conn]struct{}{}
	}
	p.conns[k] = struct{}{}
	p.made++
	p.Budget.open++
	p.Loop.StartTimer(&k.timer, p.Options.ConnectTimeout)
	return k, nil
}

// addIdle keeps a connection for the next request.
func (p *Pool) addIdle(k *Conn) {
	p.idle = append(p.idle, k)
	p.Loop.StartTimer(&k.timer, p.Options.IdleTimeout)
	p.Budget.addIdle(k)
}

// removeIdle takes a connection from the idle ones, if it is one of them.
func (p *Pool) removeIdle(k *Conn) {
	p.idle = slices.DeleteFunc(p.idle, func(other *Conn) bool { return other == k })
}

// connEnded is called once for each connection that has ended.
func (p *Pool) connEnded(k *Conn, reason CloseReason) {
	delete(p.conns, k)
	p.Budget.open--
	if p.OnConnEnded != nil {
		p.OnConnEnded(reason)
	}
}

// CloseIdle closes the idle connections, since their engine is not listed any more or has started anew.
func (p *Pool) CloseIdle() {
	idle := p.idle
	p.idle = nil
	for _, k := range idle {
		k.abort(CloseDelisted)
	}
}
