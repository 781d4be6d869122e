package http1

import "net/http"

// Bounds of status codes (RFC 9110, section 15).
const (
	minStatusCode    = 100
	firstFinalStatus = 200 // lower codes are those of interim responses
)

// StatusText returns the reason phrase in IANA's registry for the status codes that this program sends,
// and "Status" for others. Some phrases of net/http are those of older RFCs.
func StatusText(status int) string {
	switch status {
	case http.StatusContinue:
		return "Continue"
	case http.StatusOK:
		return "OK"
	case http.StatusBadRequest:
		return "Bad Request"
	case http.StatusNotFound:
		return "Not Found"
	case http.StatusMethodNotAllowed:
		return "Method Not Allowed"
	case http.StatusRequestTimeout:
		return "Request Timeout"
	case http.StatusRequestEntityTooLarge:
		return "Content Too Large"
	case http.StatusRequestURITooLong:
		return "URI Too Long"
	case http.StatusExpectationFailed:
		return "Expectation Failed"
	case http.StatusFailedDependency:
		return "Failed Dependency"
	case http.StatusTooManyRequests:
		return "Too Many Requests"
	case http.StatusRequestHeaderFieldsTooLarge:
		return "Request Header Fields Too Large"
	case http.StatusInternalServerError:
		return "Internal Server Error"
	case http.StatusNotImplemented:
		return "Not Implemented"
	case http.StatusBadGateway:
		return "Bad Gateway"
	case http.StatusServiceUnavailable:
		return "Service Unavailable"
	case http.StatusGatewayTimeout:
		return "Gateway Timeout"
	case http.StatusHTTPVersionNotSupported:
		return "HTTP Version Not Supported"
	default:
		return "Status"
	}
}
