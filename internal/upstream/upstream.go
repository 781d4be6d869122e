// Package upstream holds a router's connections to engines. Each engine has a Pool, which keeps
// connections for reuse. A Conn carries one request at a time and passes its response to a
// ResponseHandler. The package knows neither what requests mean nor which engine should get them,
// and it never sends a request twice.
//
// Nothing here locks. All methods must be called on the event loop of the pool, and the interfaces
// that callers implement are called on it.
package upstream

import (
	"errors"
	"time"

	"martenlock/internal/http1"
)

// ErrNoConn is wrapped by the error of Pool.Start if this machine, not the engine, could not make a
// connection: a limit is reached, or the system has no descriptor or port left. A system error is
// wrapped beside it.
var ErrNoConn = errors.New("upstream: no connection available")

// Options bound the connections of pools. Pools share the value and read it at each use. A change
// applies to connections made later, and to existing ones from the next time that they become idle.
type Options struct {
	Limits         http1.Limits  // of responses
	ConnectTimeout time.Duration // from Pool.Start until the connection is established
	IdleTimeout    time.Duration // idle connections are closed after it
	MaxPerEngine   int           // connections of one pool
	MaxTotal       int           // connections of all pools that share the Budget; 0 sets no bound
	ReusePolicy    ReusePolicy   // nil allows every idle connection
}
