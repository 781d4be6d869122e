// Package batching groups small embeddings requests that arrive close together into batches, each of which is
// one call to an engine (dynamic batching).
//
// Batcher decides which requests share a call, when the call is made, and what its end means for each of them.
// SequentialRetry orders the retries after a call that lost its engine.
//
// Like control, the package does no I/O, reads no clock and starts no goroutine.
package batching

import (
	"time"

	"martenlock/control"
	"martenlock/control/outcome"
)

//go:generate go tool stringer -linecomment -type=FailureHandling -output=enum_string.go

// ExpiredRetryAfter is the Retry-After of a request that expired while it waited to share a call or a
// computation with others.
const ExpiredRetryAfter = time.Second

// Settings bound a batch.
type Settings struct {
	BatchTokens float64       // tokens of all requests of a batch
	BatchItems  int           // items of all requests of a batch
	MaxWait     time.Duration // longest time that a request waits for others; 0 disables batching
	Routers     int           // routers that share the endpoints; less than 1 counts as 1
}

// Key identifies requests that may share a batch: same model, form, class and tenant.
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
	Objective control.Time // the end of its latency objective
	Deadline  control.Time // it must end by then
}

// Batch is the requests that go to an engine in one call, in the order of their items in it.
type Batch struct {
	ID       BatchID
	Requests []RequestID
	Deadline control.Time // the latest of the requests' deadlines
}

// PollResult is what Batcher.Poll decides.
type PollResult struct {
	Batches []Batch // to be sent now
	// Expired are requests whose deadlines have come before their batches ended, the earliest first. Each is to
	// be rejected; the batcher has forgotten it.
	Expired []RequestID
}

// BatchResult is how a batch ended.
type BatchResult struct {
	Outcome         outcome.Outcome
	Attempts        int
	LostConnections int // attempts that ended with a reset connection
	MaxAttempts     int // of the requests' class
}

// Completion is what the end of a batch means for its requests.
type Completion struct {
	Requests []RequestID // those not cancelled or expired before, in the order of the batch
	Handling FailureHandling
}

// FailureHandling is how the requests of a batch are handled after its end.
type FailureHandling uint8

// The ways to handle them.
const (
	// ShareResult gives each request the batch's result, or its part of it.
	ShareResult FailureHandling = iota // share result
	// RetrySeparately retries each request by itself, all at once.
	RetrySeparately // retry separately
	// RetrySequentially retries each request by itself, in the order of a SequentialRetry.
	RetrySequentially // retry sequentially
)

// Cancellation is what the cancellation of a request means for its batch.
type Cancellation struct {
	Batch BatchID // 0 if the request was in none
	// BatchCancelled reports that the request was the last one of its batch. The batch's call is to be cancelled;
	// the batcher has forgotten it.
	BatchCancelled bool
}

// MayBatch reports whether requests of a class with a number of attempts may share a batch. Each must be able
// to be executed again, alone.
func MayBatch(class control.Class, attempts int) bool {
	return class.Idempotency == control.Idempotent && attempts > 1
}

// MayBeRequestFault reports whether one request of the batch may have caused an attempt to end with a result.
func MayBeRequestFault(result control.Result) bool {
	return result == control.Reset || result == control.Failed
}
