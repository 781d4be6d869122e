package httpserver

import (
	"time"

	"martenlock/internal/http1"
)

// Options are the limits of a server's connections and the behavior that differs between servers.
type Options struct {
	// Parsing bounds the size of requests. A connection keeps the value that was set when it was
	// accepted.
	Parsing *http1.Limits

	// FirstRequestTimeout bounds the time from the accept to the end of the first request. If it is
	// 0, the first request is bounded like later ones: by IdleTimeout until its first byte, then by
	// RequestTimeout.
	FirstRequestTimeout time.Duration
	// RequestTimeout bounds the time from the first byte of a request to its end.
	RequestTimeout time.Duration
	// IdleTimeout bounds the time between two requests.
	IdleTimeout time.Duration
	// WriteStallTimeout bounds how long a response is paused because the client does not read it.
	WriteStallTimeout time.Duration
	// ResponseDeliveryTime is how long a finished response may take to reach the client. Conn.Close
	// lingers during this time. If it is 0, Conn.Close never lingers.
	ResponseDeliveryTime time.Duration

	// EvictsUploads makes a body that does not fit into Memory evict the largest incomplete body.
	// Otherwise the request whose body does not fit is aborted.
	EvictsUploads bool
	// AnnouncesKeepAlive adds "Connection: keep-alive" to responses to HTTP/1.0 clients whose
	// connection stays open.
	AnnouncesKeepAlive bool
}

// Memory bounds the bytes of all request bodies, and of other data that shares their limit.
type Memory interface {
	// Reserve reserves bytes if they fit, and reports whether they do.
	Reserve(bytes int) bool
	// Release makes bytes available again that Reserve has reserved.
	Release(bytes int)
}
