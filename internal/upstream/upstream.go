// Package upstream manages a router's connections to engines. Each engine has a ConnPool, which keeps
// connections for reuse. A Conn carries one request at a time and passes its response to a
// ResponseHandler. The package does not interpret requests, choose engines or retry.
//
// The package does no locking. All methods must be called on the event loop of the pool. The
// interfaces that callers implement are called on it too.
package upstream

import (
	"errors"
	"time"

	"martenlock/internal/http1"
)

// ErrNoConn is wrapped by errors of ConnPool.Start. It means that no connection could be started because
// a limit of Options is reached, or because this machine has no descriptor or port left. In the second
// case the error also wraps the system's error. Neither says anything about the engine.
var ErrNoConn = errors.New("upstream: no connection available")

// Options configure the connections of pools. Pools share the value and read it at each use. Changed
// Limits and ReusePolicy apply to existing connections at once, IdleTimeout from the next time that
// they become idle, and the other fields to new connections.
type Options struct {
	Limits         http1.Limits  // of responses
	ConnectTimeout time.Duration // from starting a connection until it is established
	IdleTimeout    time.Duration // after which idle connections are closed
	MaxPerEngine   int           // maximum number of connections of one pool; 0 allows none
	MaxTotal       int           // maximum number of connections of all pools that share the Budget; 0 for no limit
	ReusePolicy    ReusePolicy   // nil allows the reuse of every idle connection
}
