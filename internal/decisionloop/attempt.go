package decisionloop

//go:generate go tool stringer -linecomment -type=AttemptState -output=enum_string.go

// AttemptState is the state of an attempt of an exchange.
type AttemptState uint8

// The states of an attempt, in order.
const (
	// AttemptWaiting attempts have not passed any part of the engine's response to the client. They
	// can be cancelled.
	AttemptWaiting AttemptState = iota // waiting
	// AttemptStreaming attempts are passing the response to the client as it arrives. The exchange has
	// no later attempt.
	AttemptStreaming // streaming
	// AttemptEnded attempts have reported their outcome.
	AttemptEnded // ended
)
