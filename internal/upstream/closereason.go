package upstream

//go:generate go tool stringer -linecomment -type=CloseReason -output=enum_string.go

// CloseReason is why a connection to an engine was closed. Its String is the word in logs.
type CloseReason uint8

// The reasons of a close.
const (
	// CloseAborted is a close by Conn.Abort: this side cancelled the request.
	CloseAborted CloseReason = iota // aborted
	// CloseNotReusable follows a response that allows no further request.
	CloseNotReusable // not_reusable
	// CloseIdleTimeout is the end of Options.IdleTimeout.
	CloseIdleTimeout // idle_timeout
	// CloseEvicted closes the longest idle connection when a new one needs its place.
	CloseEvicted // evicted
	// CloseDelisted closes an idle connection whose engine left the endpoint list or restarted.
	CloseDelisted // delisted
	// CloseNotTrusted closes an idle connection that must not carry the next request: it was not quiet,
	// or Options.ReusePolicy decided so.
	CloseNotTrusted // not_trusted
	// CloseConnectTimeout is the end of Options.ConnectTimeout.
	CloseConnectTimeout // connect_timeout
	// CloseConnectFailed is a connection that was refused or failed otherwise before it was established.
	CloseConnectFailed // connect_failed
	// CloseSendTimeout is the end of the bound set by Conn.SendWithin.
	CloseSendTimeout // send_timeout
	// CloseMalformedResponse follows a response that the parser rejects.
	CloseMalformedResponse // malformed_response
	// CloseStrayBytes follows bytes that belong to no request.
	CloseStrayBytes // stray_bytes
	// ClosedByEngine is an orderly close by the engine.
	ClosedByEngine // closed_by_engine
	// CloseReset is a reset or another network error on an established connection.
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
