package httpserver

import (
	"time"

	"martenlock/internal/http1"
)

// Options are the bounds of a server's connections, and the choices in which servers differ.
type Options struct {
	// Parsing bounds the size of requests. A connection keeps the value of its accept.
	Parsing *http1.Limits

	// FirstRequestTimeout bounds the time from the accept to the end of the first request. At 0
	// that request is bounded like later ones: by IdleTimeout until its first byte, then by
	// RequestTimeout.
	FirstRequestTimeout time.Duration
	// RequestTimeout bounds the time from the first byte of a request to its end.
	RequestTimeout time.Duration
	// IdleTimeout bounds the time between two requests.
	IdleTimeout time.Duration
	// WriteStallTimeout bounds the time in which a client takes nothing of a response that is
	// paused for it.
	WriteStallTimeout time.Duration
	// ResponseDeliveryTime is how long a finished response may be on its way to the client.
	// Conn.Close lingers during this time. At 0 it never does.
	ResponseDeliveryTime time.Duration

	// EvictsUploads makes a body for which Memory has no space evict the largest incomplete one.
	// Without it, the request whose body arrives is aborted.
	EvictsUploads bool
	// AnnouncesKeepAlive adds "Connection: keep-alive" to responses to HTTP/1.0 clients whose
	// connection stays open.
	AnnouncesKeepAlive bool
}

// Memory accounts for the bytes of all request bodies and of what else shares their bound.
type Memory interface {
	// Reserve counts more bytes and reports whether they fit. Bytes that don't fit aren't counted.
	Reserve(bytes int) bool
	// Release returns reserved bytes.
	Release(bytes int)
}
