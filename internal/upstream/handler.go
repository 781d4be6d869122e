package upstream

import "martenlock/internal/http1"

// ResponseHandler receives the response to one request. The last method called is Complete or Failed.
// After Conn.Abort no method is called. Until then the Conn belongs to the caller of ConnPool.Start.
type ResponseHandler interface {
	// Connected is called when the connection starts to send the request. From then on the engine may
	// execute the request.
	Connected()
	// Head receives the head of the response, which is valid only during the call.
	Head(head *http1.Head)
	// Data receives a piece of the content. The slice is valid only during the call.
	Data(b []byte)
	// Complete is called after the last byte of the response. The Conn must not be used any more.
	Complete()
	// Failed is called if the connection could not be established or failed before the response was
	// complete. The Conn must not be used any more, except for RequestWritten.
	Failed(err ConnError)
}

// HeadBuilder is implemented by a ResponseHandler whose request head depends on when it is sent, such
// as a head with the remaining time. RequestHead is called once, before Connected: within ConnPool.Start on
// an idle connection, or when a new connection is established. The result replaces the head given to
// ConnPool.Start.
type HeadBuilder interface{ RequestHead() []byte }
