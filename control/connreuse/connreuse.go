// Package connreuse decides whether an idle connection may carry the next request. Like package
// control, it does no I/O, reads no clock and starts no goroutine.
//
// Servers and middleboxes close idle connections on their own. A request written to a connection that
// is already closed is lost, and it is unknown whether it was executed. A request that must not be
// executed twice cannot be retried then. A new connection costs the server a handshake, but if it
// fails nothing has been executed.
//
// A Policy counts requests and losses by the idle time of the connection, with exponential decay. It
// allows reuse while the loss rate at similar idle times is below a bound. For requests that may be
// retried the bound is high and reuse is allowed until losses are observed. For the others the bound
// is low and recent successes must be observed first.
package connreuse

import (
	"math"
	"time"

	"martenlock/control"
)

const (
	// bucketCount is the number of buckets of idle time. Each covers idle times up to bucketGrowth
	// times those of the one before, so that the usual idle time-outs are in different buckets. The
	// last one has no upper bound and begins at 82 s.
	bucketCount  = 8
	bucketGrowth = 4
	// firstBucketBound is the longest idle time of the first bucket.
	firstBucketBound = 20 * time.Millisecond

	// decayTime is the time constant of the counts: an observation of that age has the weight 1/e. So
	// losses are forgotten, and successes must be renewed.
	decayTime = 10 * time.Second

	// priorSuccesses are added to the counted requests, so that one early loss does not decide.
	priorSuccesses = 8.0
	// maxLossRate bounds the share of lost requests for requests that may be retried.
	maxLossRate = 0.15

	// maxLossRateNotIdempotent bounds the share of lost requests for requests that must not be retried.
	maxLossRateNotIdempotent = 0.02
	// priorLosses are added to the counted losses for requests that must not be retried. Together with
	// priorSuccesses and maxLossRateNotIdempotent this requires 17 successes first.
	priorLosses = 0.5

	// staleCloseWindow is how soon after a request its connection must end for the loss to count as a
	// stale connection's. A later end has other causes.
	staleCloseWindow = 250 * time.Millisecond
)

// Policy decides on reuse by the outcomes of requests on connections that were idle before. The zero
// Policy has no observations and is ready for use. It is not safe for concurrent use.
type Policy struct {
	buckets   [bucketCount]counts
	decayedAt control.Time
}

// counts are decaying counts of the requests sent on reused connections.
type counts struct {
	requests float64
	losses   float64
}

// Outcome is how a request ended on a connection that was idle before.
type Outcome struct {
	Idle    time.Duration // idle time of the connection when the request was sent
	Elapsed time.Duration // from sending to the response's first byte, or to the end without one
	Lost    bool          // the connection ended without a response
}

// MayReuse reports whether a request may be sent on a connection with an idle time. notIdempotent
// means that the request must not be retried if it may have been executed.
func (p *Policy) MayReuse(now control.Time, idle time.Duration, notIdempotent bool) bool {
	p.decay(now)
	observed := p.buckets[bucketOf(idle)]
	requests := observed.requests + priorSuccesses
	if notIdempotent {
		return observed.losses+priorLosses <= maxLossRateNotIdempotent*requests
	}
	return observed.losses <= maxLossRate*requests
}

// RecordOutcome counts a request that was sent on a connection that was idle before.
func (p *Policy) RecordOutcome(now control.Time, outcome Outcome) {
	p.decay(now)
	observed := &p.buckets[bucketOf(outcome.Idle)]
	observed.requests++
	if outcome.Lost && outcome.Elapsed < staleCloseWindow {
		observed.losses++
	}
}

// decay applies the decay since the last call to all counts.
func (p *Policy) decay(now control.Time) {
	factor := math.Exp(-now.Sub(p.decayedAt).Seconds() / decayTime.Seconds())
	p.decayedAt = now
	for i := range p.buckets {
		p.buckets[i].requests *= factor
		p.buckets[i].losses *= factor
	}
}

// bucketOf returns the index of the bucket for an idle time.
func bucketOf(idle time.Duration) int {
	bucket := 0
	for bound := firstBucketBound; idle > bound && bucket < bucketCount-1; bound *= bucketGrowth {
		bucket++
	}
	return bucket
}
