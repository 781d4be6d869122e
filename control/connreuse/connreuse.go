// Package connreuse decides whether a request may be sent on an idle connection. Like package control,
// it does no I/O, reads no clock and starts no goroutine.
//
// Servers and middleboxes close idle connections on their own. A request written to a connection that
// is already closed is lost, and the client cannot know whether it was executed. If the request must not
// be executed twice, it cannot be retried. A new connection costs a handshake, but if connecting fails,
// the request has not been executed.
//
// A Policy counts requests and losses by the idle time of the connection, with exponential decay. It
// allows reuse while the loss rate at similar idle times is low. For requests that may be retried, the
// maximum rate is higher, and reuse is allowed until losses are observed. For other requests it is
// lower, and recent successes must be observed first.
//
// A RestPolicy guards against the opposite fault: an engine that sends more than it was asked for. It makes a
// connection rest before it is reused.
package connreuse

import (
	"math"
	"time"

	"martenlock/control"
)

const (
	// bucketCount is the number of buckets of idle time. The usual idle time-outs are in different buckets;
	// the last one begins at 82 s.
	bucketCount = 8
	// bucketGrowth is the ratio between the upper bounds of successive buckets. The last bucket has no
	// upper bound.
	bucketGrowth = 4
	// firstBucketBound is the upper bound of the first bucket.
	firstBucketBound = 20 * time.Millisecond

	// decayTime is the time constant of the exponential decay of the counts. Losses are forgotten, and
	// successes must be renewed.
	decayTime = 10 * time.Second

	// priorSuccesses are added to the counted requests, so that a single early loss does not stop reuse.
	priorSuccesses = 8.0
	// maxLossRate is the maximum loss rate for requests that may be retried.
	maxLossRate = 0.15

	// maxLossRateNotIdempotent is the maximum loss rate for requests that must not be retried.
	maxLossRateNotIdempotent = 0.02
	// priorLosses are added to the counted losses for requests that must not be retried. Because of them,
	// reuse requires recent successes: 17, given priorSuccesses and maxLossRateNotIdempotent.
	priorLosses = 0.5

	// staleCloseWindow is the time after sending a request within which the connection must end for the
	// loss to be counted. If it ends later, it was not stale when the request was sent.
	staleCloseWindow = 250 * time.Millisecond
)

// Policy decides on the reuse of connections by the outcomes of earlier requests. The zero Policy has no
// observations and is ready for use. It is not safe for concurrent use.
type Policy struct {
	buckets   [bucketCount]decayedCounts
	decayedAt control.Time
}

// decayedCounts counts the requests sent on reused connections, with exponential decay.
type decayedCounts struct {
	requests float64
	losses   float64
}

// Outcome is how a request on a reused connection ended.
type Outcome struct {
	Idle    time.Duration // how long the connection had been idle when the request was sent
	Elapsed time.Duration // until the first byte of the response, or until the connection ended without one
	Lost    bool          // the connection ended without a response
}

// MayReuse reports whether a request may be sent on a connection that has been idle for the given time.
// notIdempotent means that the request must not be retried if it may have been executed.
func (p *Policy) MayReuse(now control.Time, idle time.Duration, notIdempotent bool) bool {
	p.decay(now)
	observed := p.buckets[bucketIndex(idle)]
	requests := observed.requests + priorSuccesses
	if notIdempotent {
		return observed.losses+priorLosses <= maxLossRateNotIdempotent*requests
	}
	return observed.losses <= maxLossRate*requests
}

// RecordOutcome counts a request that was sent on a reused connection.
func (p *Policy) RecordOutcome(now control.Time, outcome Outcome) {
	p.decay(now)
	observed := &p.buckets[bucketIndex(outcome.Idle)]
	observed.requests++
	if outcome.Lost && outcome.Elapsed < staleCloseWindow {
		observed.losses++
	}
}

// decay reduces all counts by the decay since the last call.
func (p *Policy) decay(now control.Time) {
	factor := math.Exp(-now.Sub(p.decayedAt).Seconds() / decayTime.Seconds())
	p.decayedAt = now
	for i := range p.buckets {
		p.buckets[i].requests *= factor
		p.buckets[i].losses *= factor
	}
}

func bucketIndex(idle time.Duration) int {
	index := 0
	for bound := firstBucketBound; idle > bound && index < bucketCount-1; bound *= bucketGrowth {
		index++
	}
	return index
}
