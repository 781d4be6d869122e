// Package outcome names how a request ended, or a part of one that is a request of its own to the decision
// module. The packages scatter, batching and coalesce decide by it what the ends of several requests mean for
// each other.
package outcome

//go:generate go tool stringer -linecomment -type=Outcome -output=enum_string.go

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	// Served is the outcome of a request whose answer was complete and passed the checks.
	Served Outcome = iota // served
	// Rejected is the outcome of a request that the router rejected, for overload or because it would have missed
	// its deadline. No attempt has had an effect, so that a retry is harmless.
	Rejected // rejected
	// Failed is the outcome of a request that an engine may have executed.
	Failed // failed
	// InvalidRequest is the outcome of a request that an engine answered as invalid.
	InvalidRequest // invalid request
)
