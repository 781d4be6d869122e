package upstream

import "fmt"

// CloseReason says why a connection to an engine ended.
type CloseReason uint8

// The reasons of an end.
const (
	CloseAborted           CloseReason = iota // its request was given up here
	CloseNotReusable                          // its response does not allow another request
	CloseIdleTimeout                          // idle for too long
	CloseEvicted                              // idle for longest, when a new connection needed the place
	CloseDelisted                             // idle, when its engine left the list or started anew
	CloseNotTrusted                           // idle, and not fit for the next request
	CloseConnectTimeout                       // not established in time
	CloseConnectFailed                        // refused, or the network said that it can't be made
	CloseSendTimeout                          // its request did not leave in time
	CloseMalformedResponse                    // the response can't be parsed
	CloseStrayBytes                           // bytes that no request asked for
	ClosedByEngine                            // the engine ended it
	CloseReset                                // lost: a reset, or another error of the network
)

var closeReasonNames = [...]string{
	"aborted", "not_reusable", "idle_timeout", "evicted", "delisted", "not_trusted", "connect_timeout",
	"connect_failed", "send_timeout", "malformed_response", "stray_bytes", "closed_by_engine", "reset",
}

// String names a reason.
func (r CloseReason) String() string {
	if int(r) < len(closeReasonNames) {
		return closeReasonNames[r]
	}
	return fmt.Sprintf("close_reason(%d)", uint8(r))
}

// IsRoutine tells whether connections end so while nothing is wrong.
func (r CloseReason) IsRoutine() bool {
	switch r {
	case CloseAborted, CloseNotReusable, CloseIdleTimeout, CloseDelisted:
		return true
	}
	return false
}
