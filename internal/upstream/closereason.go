package upstream

//go:generate go tool stringer -linecomment -type=CloseReason -output=enum_string.go

// CloseReason is why a connection to an engine was closed. String returns its name in logs.
type CloseReason uint8

const (
	// CloseAborted means that Conn.Abort was called, for example because the request was cancelled.
	CloseAborted CloseReason = iota // aborted
	// CloseNotReusable means that the connection cannot be kept after a complete response.
	CloseNotReusable // not_reusable
	// CloseIdleTimeout means that the connection was idle for Options.IdleTimeout.
	CloseIdleTimeout // idle_timeout
	// CloseEvicted means that the Budget closed an idle connection to make room for a new one.
	CloseEvicted // evicted
	// CloseDelisted means that the connection was idle when its engine left the endpoint list, restarted or
	// changed its address.
	CloseDelisted // delisted
	// CloseNotTrusted means that an idle connection was not used for the next request, because bytes or
	// an end of stream had arrived on it, or because Options.ReusePolicy rejected it.
	CloseNotTrusted // not_trusted
	// CloseConnectTimeout means that the connection was not established within Options.ConnectTimeout.
	CloseConnectTimeout // connect_timeout
	// CloseConnectFailed means that the connection was refused or failed in another way before it was
	// established.
	CloseConnectFailed // connect_failed
	// CloseSendTimeout means that the request was not sent within the time set by Conn.SendWithin.
	CloseSendTimeout // send_timeout
	// CloseMalformedResponse means that the parser rejected the response.
	CloseMalformedResponse // malformed_response
	// CloseStrayBytes means that the engine sent bytes while no request was in progress.
	CloseStrayBytes // stray_bytes
	// ClosedByEngine means that the engine closed the connection without a reset.
	ClosedByEngine // closed_by_engine
	// CloseReset means a reset or another network error on an established connection.
	CloseReset // reset
)

// IsRoutine reports whether a close for this reason is part of normal operation.
func (r CloseReason) IsRoutine() bool {
	switch r {
	case CloseAborted, CloseNotReusable, CloseIdleTimeout, CloseDelisted:
		return true
	default:
		return false
	}
}
