// Package upstream is a router's connections to engines: a Pool for each engine, whose
// connections are kept for reuse, carry one request at a time, and hand its response to a Sink.
// It knows neither what requests mean nor which engine should get them, and it sends nothing a
// second time.
//
// Everything here belongs to one event loop: all calls are made on it, and all calls of the
// interfaces that a caller implements come on it.
package upstream

import (
	"errors"
	"time"

	"martenlock/internal/http1"
)

// ErrNoConn is in the error of Pool.Start where this machine, not the engine, could not make a
// connection: a limit is reached, or the system has no descriptor or port left. A system error is
// wrapped beside it.
var ErrNoConn = errors.New("upstream: no connection available")

// Options bound the connections of pools. Pools share the value and read it when it is needed: a
// change holds for connections made, and for the idle ones from their next rest on.
type Options struct {
	Limits         http1.Limits  // of responses
	ConnectTimeout time.Duration // until a connection must be established
	IdleTimeout    time.Duration // a connection is closed that was not used for so long
	MaxPerEngine   int           // connections of one pool at most
	MaxTotal       int           // connections of all pools that share the Budget; 0 for no bound
	ReusePolicy    ReusePolicy   // nil trusts every idle connection
}

// ReusePolicy decides whether an idle connection may carry a request, and observes how that went.
type ReusePolicy interface {
	// MayReuse decides on a connection that was idle for rested. once says that the request must
	// not be repeated if it may have been executed.
	MayReuse(rested time.Duration, once bool) bool
	// Observe is told once of each request on a connection that was idle for rested: whether the
	// connection ended before any byte of the response (lost), and how long after the request.
	Observe(rested, after time.Duration, lost bool)
}

// ResponseHandler takes one response. The last call is either End or Broken, unless Conn.Abort ends the
// response before. The connection is the sink's until then.
type ResponseHandler interface {
	// Connected tells that the request has begun to be sent, so it may be executed.
	Connected()
	// Head brings the head of the response. It is valid during the call.
	Head(h *http1.Head)
	// Data brings a piece of the content. The slice is valid during the call.
	Data(b []byte)
	// Complete tells that the response is complete; the connection is no longer the sink's.
	Complete()
	// Failed tells that the connection ended before that, or was never made.
	Failed(how ConnError)
}

// HeadBuilder is a Sink whose request gets its head only when the connection is established, as the
// head tells how much time is left. The head given to Start is not sent then.
type HeadBuilder interface{ RequestHead() []byte }

// ConnError is how a connection ended that had a response to bring.
type ConnError struct {
	Established      bool   // it was established
	Written          bool   // the request's last byte had left this process: the peer may have it
	ReusedConnection bool   // the connection had been idle before, and brought nothing of the response
	Reason           string // what was wrong with the response; "" where the connection just ended
}
