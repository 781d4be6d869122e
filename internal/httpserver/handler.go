package httpserver

import "martenlock/internal/http1"

//go:generate go tool stringer -linecomment -type=State,Framing,AbortReason,CloseReason -output=enum_string.go

// Handler processes the requests of one connection. To give a last response, it calls
// Conn.CloseAfterResponse before the response.
type Handler interface {
	// HeadReceived is called with the head of a request, which is valid during the call. The
	// handler may reject the request at once, with a last response.
	HeadReceived(head *http1.Head)
	// RequestReceived is called when a request is complete. The handler answers it, or calls
	// Conn.StartServing and answers later.
	RequestReceived()
	// RequestMalformed is called when the client's bytes are not a request. The handler must give
	// a last response.
	RequestMalformed(err *http1.Error)
	// RequestAborted is called when a request that is arriving is cut off. The handler must give a
	// last response.
	RequestAborted(reason AbortReason)
	// Writable is called while serving. The client has taken enough of the response, so that a
	// handler that paused after Conn.WriteBody can continue.
	Writable()
	// ClientGone is called while serving. The client has left or takes nothing of its response.
	// The connection closes after the call.
	ClientGone()
	// Closing is called before this package closes the connection for one of its own reasons.
	Closing(reason CloseReason)
}

// AbortReason is why the rest of a request is not received.
type AbortReason uint8

// The reasons.
const (
	// RequestTimedOut requests did not arrive in time.
	RequestTimedOut AbortReason = iota // request timed out
	// OutOfMemory requests have a body for which Memory has no space.
	OutOfMemory // out of memory
	// UploadEvicted requests had the largest incomplete body when another one needed memory.
	UploadEvicted // upload evicted
)

// CloseReason is why this package closes a connection.
type CloseReason uint8

// The reasons, in the words of the log.
const (
	// IdleTimeout connections waited too long for a request.
	IdleTimeout CloseReason = iota // idle_timeout
	// WriteStalled connections have a client that takes nothing of its response.
	WriteStalled // write_stalled
	// Evicted connections were idle for longest when Conns.EvictIdle was called.
	Evicted // evicted
	// Shutdown connections were idle when Conns.CloseIdle was called.
	Shutdown // shutdown
)
