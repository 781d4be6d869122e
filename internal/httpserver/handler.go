package httpserver

import "martenlock/internal/http1"

//go:generate go tool stringer -linecomment -type=State,Framing,AbortReason,CloseReason -output=enum_string.go

// Handler processes the requests of one connection.
type Handler interface {
	// HeadReceived is called with the head of a request, which is valid during the call. The
	// handler may answer at once with a last response (Conn.CloseAfterResponse).
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
	// Writable is called while serving, when the client has taken enough of a response whose
	// WriteBody reported that it must pause.
	Writable()
	// ClientGone is called while serving, when the client has left or takes nothing of its
	// response. The connection is closed after the call.
	ClientGone()
	// Closing is called before the connection is closed for one of the reasons of this package.
	Closing(reason CloseReason)
}

// AbortReason is why a request is not received to its end.
type AbortReason uint8

// The reasons.
const (
	RequestTimedOut AbortReason = iota // request timed out
	OutOfMemory                        // out of memory
	UploadEvicted                      // upload evicted
)

// CloseReason is why the server closes a connection that has no response to end.
type CloseReason uint8

// The reasons, in the words of the log.
const (
	IdleTimeout  CloseReason = iota // idle_timeout
	WriteStalled                    // write_stalled
	Evicted                         // evicted
	Shutdown                        // shutdown
)
