package decisionloop

//go:generate go tool stringer -linecomment -type=AttemptState -output=enum_string.go

// AttemptState is how far an attempt of an exchange has come.
type AttemptState uint8

// The states of an attempt, in order.
const (
	// AttemptWaiting attempts have handed nothing of the engine's response to the client. They can
	// be cancelled.
	AttemptWaiting AttemptState = iota // waiting
	// AttemptStreaming attempts hand the response to the client piece by piece. No other attempt
	// of the exchange follows.
	AttemptStreaming // streaming
	// AttemptEnded attempts have reported their outcome.
	AttemptEnded // ended
)
