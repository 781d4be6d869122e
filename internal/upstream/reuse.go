package upstream

import "time"

// ReusePolicy decides whether an idle connection may carry a request, and observes the outcomes.
type ReusePolicy interface {
	// MayReuse reports whether a connection that was idle for idleFor may carry a request.
	// notIdempotent is set if the request must not be retried once it may have been executed.
	MayReuse(idleFor time.Duration, notIdempotent bool) bool
	// Observe is called once for each request on a connection that was idle for idleFor, unless the
	// request is aborted before the first byte of its response. lost is set if the connection closed
	// before that byte. elapsed is the time from sending the request to the byte or to the close.
	Observe(idleFor, elapsed time.Duration, lost bool)
}

// RestPolicy decides how long the connections to one engine must be idle before they carry another
// request.
type RestPolicy interface {
	// MinIdleTime returns how long a connection must have been idle. atLimit is set if all connections
	// that the engine may have are open, and none of them has been idle for MinIdleTime(false). The one
	// that has been idle for longest is then closed for a new one if it may not be reused either.
	MinIdleTime(atLimit bool) time.Duration
	// RecordStrayBytes is called when a connection is closed because of bytes that belong to no request.
	// delay is the time since the end of the response before them, 0 if they were read together.
	RecordStrayBytes(delay time.Duration)
}

// reuse holds what Options.ReusePolicy is told about a request on a reused connection. Times are on
// the loop's clock.
type reuse struct {
	isIdle    bool // a response has ended and no other request has started
	idleSince time.Duration
	idleFor   time.Duration // before the current request
	sentAt    time.Duration
	pending   bool // the outcome has not been observed yet; false on a new connection
}

// observeReuse passes the outcome of a reuse to the policy. Only the first call for a request has an
// effect.
func (c *Conn) observeReuse(lost bool) {
	if !c.reuse.pending {
		return
	}
	c.reuse.pending = false
	if policy := c.pool.Options.ReusePolicy; policy != nil {
		policy.Observe(c.reuse.idleFor, c.pool.Loop.Now()-c.reuse.sentAt, lost)
	}
}
