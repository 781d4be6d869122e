package httpserver

import (
	"iter"
	"maps"

	"martenlock/control/connlimit"
	"martenlock/internal/eventloop"
	"martenlock/internal/http1"
)

// Conns holds a server's listener and the open connections that it accepted. Create it with
// NewConns.
type Conns struct {
	// Listener is set by the server before it adds connections.
	Listener *eventloop.Listener
	// Options may be replaced at any time. Running timers are not changed.
	Options Options

	loop           *eventloop.Loop
	memory         Memory
	open           map[*Conn]struct{}
	idle           connlimit.IdleList[*Conn]
	stopsKeepAlive bool // each response closes its connection
}

// NewConns returns a Conns without listener, options and connections.
func NewConns(loop *eventloop.Loop, memory Memory) *Conns {
	return &Conns{loop: loop, memory: memory, open: map[*Conn]struct{}{}}
}

// Add initializes c for an accepted connection and the handler of its requests. The caller must
// make c the eventloop.Handler of the accepted connection.
func (cs *Conns) Add(c *Conn, accepted *eventloop.Conn, handler Handler) {
	*c = Conn{
		conns:      cs,
		handler:    handler,
		conn:       accepted,
		parser:     http1.NewRequestParser(cs.Options.Parsing),
		acceptedAt: cs.loop.Now(),
	}
	c.stateTimer.Fire = c.handleTimeout
	cs.open[c] = struct{}{}
	cs.idle.MarkIdle(c)
	timeout := cs.Options.FirstRequestTimeout
	if timeout == 0 {
		timeout = cs.Options.IdleTimeout
	}
	cs.loop.StartTimer(&c.stateTimer, timeout)
}

func (cs *Conns) remove(c *Conn) {
	delete(cs.open, c)
	cs.idle.Remove(c)
}

// Len returns the number of open connections. Connections that linger after a close don't count.
func (cs *Conns) Len() int { return len(cs.open) }

// All returns the open connections in no particular order. The caller may close them while it
// iterates.
func (cs *Conns) All() iter.Seq[*Conn] { return maps.Keys(cs.open) }

// EvictIdle closes the connection that has been idle for longest. It reports whether there was an
// idle connection.
func (cs *Conns) EvictIdle() bool {
	c, found := cs.idle.LongestIdle()
	if !found {
		return false
	}
	c.handler.Closing(Evicted)
	c.Close()
	return true
}

// StopKeepAlive makes connections close after their responses. It does not affect a response whose head
// is already written.
func (cs *Conns) StopKeepAlive() { cs.stopsKeepAlive = true }

// CloseAfterResponses makes the current response of each connection its last one, even if its head
// was written without "Connection: close".
func (cs *Conns) CloseAfterResponses() {
	for c := range cs.open {
		c.keepAlive = false
	}
}

// CloseIdle closes the idle connections when the server shuts down.
func (cs *Conns) CloseIdle() {
	for c := range cs.open {
		if c.state == Idle {
			c.handler.Closing(Shutdown)
			c.Close()
		}
	}
}

// reserveBody reserves memory for more bytes of a connection's body, and reports whether they fit.
// With Options.EvictsUploads, it evicts larger incomplete bodies of other connections to make them
// fit.
func (cs *Conns) reserveBody(c *Conn, bytes int) bool {
	for !cs.memory.Reserve(bytes) {
		if !cs.Options.EvictsUploads {
			return false
		}
		largest := cs.largestUpload()
		if largest == nil || largest == c {
			return false
		}
		largest.handler.RequestAborted(UploadEvicted)
	}
	return true
}

// largestUpload returns the connection whose incomplete body must be evicted first, or nil if there
// is none.
func (cs *Conns) largestUpload() *Conn {
	var largest *Conn
	for c := range cs.open {
		if c.state != Receiving || len(c.body) == 0 {
			continue
		}
		if largest == nil || c.partialRequest().EvictedBefore(largest.partialRequest()) {
			largest = c
		}
	}
	return largest
}

// partialRequest returns the properties of an incomplete request by which evictions are ordered.
func (c *Conn) partialRequest() connlimit.PartialRequest {
	return connlimit.PartialRequest{BufferedBytes: len(c.body), AcceptedAt: c.acceptedAt}
}
