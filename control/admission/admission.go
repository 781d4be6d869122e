// Package admission delays large requests so that small ones meet their latency objectives, and rejects
// requests that cannot be served.
//
// Queue is a fair queue of the large requests of one pool. It decides when each unit of a large request
// (one shard of it, or the whole) is handed to the decision module, package control, which alone
// chooses the endpoint. Small requests never pass through the queue. It only observes their latency.
//
// The rules of the queue:
//
//   - The work that large requests have outstanding is bounded by what the pool does in
//     Settings.OutstandingWork, and by four times that while no small request arrives. The bound is never
//     less than one unit for each endpoint. Small requests that are late lower the share of this bound that
//     is used. Small requests in time and the passing of time raise it again.
//   - Waiting tenants are served by start-time fair queueing, weighted by tokens. Of one tenant the request
//     that has begun comes first, then the smallest.
//   - A request that cannot end before its deadline at the observed throughput is rejected when it
//     arrives, or as soon as this shows.
//
// TokenEstimator and TokenLimits decide whether a request fits any endpoint at all.
//
// Like control, the package does no I/O, reads no clock and starts no goroutine.
package admission

import (
	"time"

	"martenlock/control"
)

//go:generate go tool stringer -linecomment -type=UnitOutcome -output=enum_string.go

// Settings are the settings of one queue.
type Settings struct {
	LargeTokens     float64       // a request of more tokens is large; 0: no request is
	OutstandingWork time.Duration // large requests have at most what the pool serves in this time outstanding
	Routers         int           // routers that share the endpoints; less than 1 counts as 1
}

// RequestID identifies a large request in one queue. Ids are never reused.
type RequestID uint64

// Unit is the part of a large request that is admitted at once.
type Unit struct {
	Request RequestID
	Index   int // in Request.UnitTokens
}

// Request is a large request.
type Request struct {
	ID         RequestID
	Tenant     uint64
	UnitTokens []float64 // tokens of each unit, admitted in this order; owned by the queue after Enqueue
	Deadline   control.Time
}

// UnitOutcome is how an admitted unit ended.
type UnitOutcome uint8

// The outcomes of a unit.
const (
	UnitServed UnitOutcome = iota // served
	// UnitNotServed is the outcome of a unit that was rejected or failed.
	UnitNotServed // not served
	// UnitCancelled is the outcome of a unit that the client or the router cancelled. It is no sample of the
	// throughput.
	UnitCancelled // cancelled
)

// Rejection is the rejection of a request that cannot end before its deadline.
type Rejection struct {
	Request    RequestID
	RetryAfter time.Duration // the least time after which a retry may succeed
}

// PollResult is what Queue.Poll decides.
type PollResult struct {
	Admitted []Unit      // to be handed to the decision module now, in this order
	Rejected []Rejection // already cancelled in the queue; each needs its answer
}
