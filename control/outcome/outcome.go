// Package outcome defines how a request ended. The request may also be a part of a larger one, if package
// control handles the part as a request of its own. Packages scatter, batching and coalesce use the outcome
// of a request to decide about the requests that depend on it.
package outcome

//go:generate go tool stringer -linecomment -type=Outcome -output=enum_string.go

// Outcome is how a request ended.
type Outcome uint8

const (
	// Served is the outcome of a request whose answer was complete and passed the checks.
	Served Outcome = iota // served
	// Rejected is the outcome of a request that the router rejected, for example because of overload or because
	// it would have missed its deadline. A retry is safe: the request was not executed, or its class permits a
	// repeat.
	Rejected // rejected
	// Failed is the outcome of a request that failed and that an engine may have executed.
	Failed // failed
	// InvalidRequest is the outcome of a request that an engine rejected as invalid.
	InvalidRequest // invalid request
)
