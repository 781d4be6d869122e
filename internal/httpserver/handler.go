package httpserver

import "martenlock/internal/http1"

//go:generate go tool stringer -linecomment -type=State,Framing,AbortReason,CloseReason -output=enum_string.go

// Handler processes the requests of one connection. To make a response the last one of the
// connection, it calls Conn.CloseAfterResponse before it writes the response.
type Handler interface {
	// HeadReceived is called with the head of a request, which is valid only during the call. The
	// handler may reject the request at once. Its response must be the last one.
	HeadReceived(head *http1.Head)
	// RequestReceived is called when a request is complete. The handler answers it at once, or
	// calls Conn.StartServing and answers later.
	RequestReceived()
	// RequestMalformed is called when the client's bytes are not a valid request. The handler must
	// respond, and this response must be the last one.
	RequestMalformed(err *http1.Error)
	// RequestAborted is called when the rest of an incomplete request will not be received. The
	// handler must respond, and this response must be the last one.
	RequestAborted(reason AbortReason)
	// Writable is called while serving, when a handler that paused after Conn.WriteBody can
	// continue because the client has read enough of the response.
	Writable()
	// ClientGone is called while serving, when the client has closed the connection or does not
	// read the response. The connection is closed after the call.
	ClientGone()
	// Closing is called before this package closes the connection for one of the CloseReasons.
	Closing(reason CloseReason)
}

// AbortReason is why the rest of a request is not received.
type AbortReason uint8

const (
	// RequestTimedOut means that the request did not arrive within its time-out.
	RequestTimedOut AbortReason = iota // request timed out
	// OutOfMemory means that the body does not fit into Memory.
	OutOfMemory // out of memory
	// UploadEvicted means that the request had the largest incomplete body when another one needed memory.
	UploadEvicted // upload evicted
)

// CloseReason is why this package closes a connection.
type CloseReason uint8

// The texts of the reasons are used in the log.
const (
	// IdleTimeout means that no request began within Options.IdleTimeout or Options.FirstRequestTimeout.
	IdleTimeout CloseReason = iota // idle_timeout
	// WriteStalled means that the client did not read its response within Options.WriteStallTimeout.
	WriteStalled // write_stalled
	// Evicted means that the connection was idle for longest when Conns.EvictIdle was called.
	Evicted // evicted
	// Shutdown means that the connection was idle when Conns.CloseIdle was called.
	Shutdown // shutdown
)
