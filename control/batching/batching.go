// Package batching groups small embeddings requests that arrive close together into batches, each of which is
// one call to an engine (dynamic batching).
//
// Batcher decides which requests share a call, when the call is made, and how its result applies to each of
// them. SequentialRetry orders the retries after a call whose connection to the engine was lost.
//
// Like control, the package does no I/O, reads no clock and starts no goroutine.
package batching

import (
	"time"

	"martenlock/control"
	"martenlock/control/outcome"
)

//go:generate go tool stringer -linecomment -type=Handling -output=enum_string.go

// ExpiredRetryAfter is the Retry-After of a request that expired while it shared a call or a computation with
// others.
const ExpiredRetryAfter = time.Second

// Settings configure a Batcher. The zero value disables batching.
type Settings struct {
	BatchTokens float64       // maximum tokens of a batch
	BatchItems  int           // maximum items of a batch
	MaxWait     time.Duration // longest time that a request waits for others; 0 disables batching
	Routers     int           // routers that share the endpoints; less than 1 counts as 1
}

// Key identifies requests that may share a batch: same model, parameters, class and tenant.
type Key [16]byte

// RequestID identifies a request in one batcher. Ids are never reused.
type RequestID uint64

// BatchID identifies a batch in one batcher. No batch has 0.
type BatchID uint64

// Request is a small request that may share a batch with others.
type Request struct {
	ID        RequestID
	Items     int
	Tokens    float64
	Objective control.Time // when its latency objective ends
	Deadline  control.Time // when it must have ended
}

// Batch is a set of requests that are sent to an engine in one call.
type Batch struct {
	ID       BatchID
	Requests []RequestID  // in the order of their items in the call
	Deadline control.Time // the latest of the requests' deadlines
}

// PollResult is the result of Batcher.Poll.
type PollResult struct {
	Batches []Batch // to be sent now
	// Expired are requests whose deadlines have passed before their batches were sent or ended, earliest
	// deadline first. The batcher has removed them, and the caller must reject them. None of them is in
	// Batches. Requests in a batch of one do not expire.
	Expired []RequestID
}

// BatchResult is how a batch ended.
type BatchResult struct {
	Outcome         outcome.Outcome
	Attempts        int
	LostConnections int // attempts that ended with a reset connection
	MaxAttempts     int // of the requests' class
}

// Completion tells how to handle the requests of a batch that has ended.
type Completion struct {
	Requests []RequestID // those that were not cancelled or expired, in the order of the batch
	Handling Handling
}

// Handling is how the requests of a batch are handled after its end.
type Handling uint8

const (
	// ShareResult gives each request the result of the batch, or its part of the result.
	ShareResult Handling = iota // share result
	// RetrySeparately retries each request by itself, all at once.
	RetrySeparately // retry separately
	// RetrySequentially retries each request by itself, in the order of a SequentialRetry.
	RetrySequentially // retry sequentially
)

// Cancellation is the effect of a request's cancellation on its batch.
type Cancellation struct {
	Batch BatchID // 0 if the request was not in a batch
	// BatchCancelled is true if the request was the last one of its batch. The batcher has removed the batch,
	// and the caller must cancel its call.
	BatchCancelled bool
}

// MayBatch reports whether requests of a class may share a batch. This requires that each request can be
// retried by itself after the batch has failed.
func MayBatch(class control.Class, maxAttempts int) bool {
	return class.Idempotency == control.Idempotent && maxAttempts > 1
}

// MayBeRequestFault reports whether a request of the batch may be the cause of an attempt's result.
func MayBeRequestFault(result control.Result) bool {
	return result == control.Reset || result == control.Failed
}
