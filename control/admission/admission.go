// Package admission delays large requests so that small ones meet their latency objectives, and rejects
// requests that cannot be served.
//
// Queue is a fair queue of the large requests of one pool. It decides when each unit of a large request
// (one shard, or the whole request) is handed to package control, which chooses the endpoint. Small requests
// bypass the queue, which only observes their latency.
//
// The rules of the queue:
//
//   - The outstanding work of large requests is limited to the amount that the pool serves in
//     Settings.OutstandingWork, or to four times that amount while no small requests arrive. The limit is at
//     least one mean unit for each endpoint in this router's share. Late small requests reduce the share of
//     the limit that large requests may use. The share rises again with time and with each small request that
//     is on time. One outstanding unit is always allowed.
//   - Tenants are served by start-time fair queueing, and the cost of a unit is its tokens. Within a
//     tenant, a request that has started goes first, then the one with the fewest waiting tokens.
//   - A request that cannot end before its deadline at the observed throughput is rejected, on arrival or
//     later while it waits.
//
// TokenLimits and TokenEstimator decide whether a request fits any endpoint at all.
//
// Like control, the package does no I/O, reads no clock and starts no goroutine.
package admission

import (
	"time"

	"martenlock/control"
)

//go:generate go tool stringer -linecomment -type=UnitOutcome -output=enum_string.go

// Settings configure a Queue. With the zero value, no request is large.
type Settings struct {
	LargeTokens     float64       // a request with more tokens is large; 0 means that no request is
	OutstandingWork time.Duration // limits outstanding large requests to what the pool serves in this time
	Routers         int           // routers that share the endpoints; less than 1 counts as 1
}

// RequestID identifies a large request in one queue. Ids are never reused.
type RequestID uint64

// Unit is one part of a large request. The queue admits a request unit by unit.
type Unit struct {
	Request RequestID
	Index   int // in Request.UnitTokens
}

// Request is a large request of one or more units.
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
	// UnitCancelled is the outcome of a unit that the client or the router cancelled. It does not count in
	// the measured throughput.
	UnitCancelled // cancelled
)

// Rejection is the rejection of a request that cannot end before its deadline.
type Rejection struct {
	Request    RequestID
	RetryAfter time.Duration // the minimum time before a retry may succeed
}

// PollResult is the result of Queue.Poll.
type PollResult struct {
	Admitted []Unit      // to be handed to package control now, in this order
	Rejected []Rejection // already cancelled in the queue; the caller must answer each request
}
