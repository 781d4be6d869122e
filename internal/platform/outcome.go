package platform

import (
	"net/http"

	"martenlock/control"
	"martenlock/internal/upstream"
)

// responseOutcome is the outcome of an attempt with a complete response that is not a stream.
type responseOutcome struct {
	result    control.Result
	kvMissing bool // the engine has no KV state of this request
	final     bool // the request itself is invalid: the client gets an error and no other engine is tried
}

// classifyResponse returns the outcome of a response that is not a stream. rejected reports whether
// the engine marked the request as not executed. docs/platform-design.md has the table of outcomes.
func classifyResponse(role control.Role, status int, rejected bool) responseOutcome {
	switch {
	case status == http.StatusAccepted && role != control.RoleDecode:
		return responseOutcome{result: control.PrefillDone}
	case status == http.StatusGone && rejected:
		return responseOutcome{result: control.Rejected, kvMissing: true}
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && rejected:
		return responseOutcome{result: control.Rejected}
	case isRequestInvalid(status):
		return responseOutcome{result: control.NotSent, final: true}
	}
	return responseOutcome{result: control.Failed}
}

// isRequestInvalid reports whether the status means that the request itself is invalid, and every
// other engine would answer the same.
func isRequestInvalid(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusGone, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// classifyConnError returns the result of an attempt or call whose connection failed before the first
// event.
func classifyConnError(err upstream.ConnError) control.Result {
	switch {
	case err.Malformed != "":
		return control.Failed
	case !err.Established || !err.RequestWritten:
		return control.ConnectFailed
	}
	return control.Reset
}
