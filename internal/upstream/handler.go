package upstream

import "martenlock/internal/http1"

// ResponseHandler receives the response to one request. Its last call is either Complete or Failed,
// unless Conn.Abort ends the calls before. Until then the Conn belongs to the caller of Pool.Start.
type ResponseHandler interface {
	// Connected is called when the connection starts to send the request. The engine may execute it
	// from now on.
	Connected()
	// Head receives the head of the response. It is valid during the call only.
	Head(head *http1.Head)
	// Data receives a piece of the content. The slice is valid during the call only.
	Data(b []byte)
	// Complete is called after the last byte of the response. The Conn must not be used any more.
	Complete()
	// Failed is called if the connection could not be established, or closed before the response was
	// complete. The Conn must not be used any more, except for RequestWritten.
	Failed(err ConnError)
}

// HeadBuilder is implemented by a ResponseHandler whose request head depends on when it is sent, such
// as one that states the time left. RequestHead is called once, when the connection is
// established, and replaces the head given to Pool.Start.
type HeadBuilder interface{ RequestHead() []byte }
