package upstream

// ConnError describes a connection that failed before its response was complete.
type ConnError struct {
	// Established is set if the connection was established.
	Established bool
	// RequestWritten is set if the last byte of the request had left this process. In that case the
	// engine may have received the whole request.
	RequestWritten bool
	// ReusedConnection is set if the connection was idle before this request and no byte of the
	// response has arrived. The engine may have closed it before the request arrived.
	ReusedConnection bool
	// Malformed is why the parser rejected the response. It is empty if the connection failed for
	// another reason.
	Malformed string
}

// Error implements error.
func (e ConnError) Error() string {
	switch {
	case e.Malformed != "":
		return "upstream: malformed response: " + e.Malformed
	case !e.Established:
		return "upstream: connection not established"
	case !e.RequestWritten:
		return "upstream: connection closed before the request was written"
	case e.ReusedConnection:
		return "upstream: reused connection closed before the response"
	default:
		return "upstream: connection closed before the response was complete"
	}
}
