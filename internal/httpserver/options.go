package httpserver

import (
	"time"

	"martenlock/internal/http1"
)

// Options are the bounds of a server's connections, and the choices in which servers differ.
type Options struct {
	// Parsing bounds what is parsed of a request. A connection keeps the value that it began with.
	Parsing *http1.Limits

	// FirstRequestTimeout bounds a connection's whole first request, from the accept. At 0 that
	// request is bounded like later ones: IdleTimeout until its first byte, then RequestTimeout.
	FirstRequestTimeout time.Duration
	// RequestTimeout bounds a whole request, from its first byte.
	RequestTimeout time.Duration
	// IdleTimeout bounds the time between two requests.
	IdleTimeout time.Duration
	// WriteStallTimeout bounds the time in which a client takes nothing of its response.
	WriteStallTimeout time.Duration
	// ResponseDeliveryTime is how long a response may be on its way to the client. Until then
	// Conn.Close lingers; at 0 it never does.
	ResponseDeliveryTime time.Duration

	// EvictsUploads makes a body for which Memory has no space evict the largest incomplete one.
	// Without it, the request whose body arrives is aborted.
	EvictsUploads bool
	// AnnouncesKeepAlive adds "Connection: keep-alive" to responses to HTTP/1.0 clients whose
	// connection stays open.
	AnnouncesKeepAlive bool
}

// Memory accounts for the bytes of all request bodies, and of whatever else shares its bound.
type Memory interface {
	// Reserve counts more bytes and reports whether they fit. Bytes that don't fit aren't counted.
	Reserve(bytes int) bool
	// Release returns reserved bytes.
	Release(bytes int)
}
