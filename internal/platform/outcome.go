package platform

import (
	"net/http"

	"martenlock/control"
	"martenlock/internal/upstream"
)

// responseOutcome is what an engine's whole response, where it is not a stream, means for the
// attempt that it ends.
type responseOutcome struct {
	result    control.Result
	kvMissing bool // the engine has no KV state of this request
	final     bool // the request itself is at fault: its client is told, no other engine is asked
}

// classifyResponse applies the table of outcomes to a response that is not a stream; rejected
// tells that the engine marked it as not executed. docs/platform.md shows the table, TestOutcomes
// holds it.
func classifyResponse(role control.Role, status int, rejected bool) responseOutcome {
	switch {
	case status == http.StatusAccepted && role != control.RoleDecode:
		return responseOutcome{result: control.PrefillDone}
	case status == http.StatusGone && rejected:
		return responseOutcome{result: control.Rejected, kvMissing: true}
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && rejected:
		return responseOutcome{result: control.Rejected}
	case isRequestAtFault(status):
		return responseOutcome{result: control.NotSent, final: true}
	}
	return responseOutcome{result: control.Failed}
}

// isRequestAtFault tells whether every engine would answer with this status.
func isRequestAtFault(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusGone, http.StatusTooManyRequests:
		return false
	}
	return status >= 400 && status < 500
}

// classifyConnError returns what the end of a connection before the first event means.
func classifyConnError(how upstream.ConnError) control.Result {
	switch {
	case how.Malformed != "":
		return control.Failed
	case !how.Established || !how.RequestWritten:
		return control.ConnectFailed
	}
	return control.Reset
}
