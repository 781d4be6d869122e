package scatter

import (
	"time"

	"martenlock/control"
	"martenlock/control/outcome"
)

//go:generate go tool stringer -linecomment -type=Decision -output=enum_string.go

// Decision is what to do with the whole request after the end of a shard.
type Decision uint8

const (
	// Wait means that nothing is decided until further shards end.
	Wait Decision = iota // wait
	// Merge means to answer with the merged answers of all shards.
	Merge // merge
	// Reject means to reject the request. A retry of the whole request is safe.
	Reject // reject
	// Fail means to fail the request. It may have been executed in part.
	Fail // fail
	// RelayError means to answer with the engine's error for the shard that ended last.
	RelayError // relay error
)

// Gather collects the outcomes of the shards of one request. It makes at most one decision other than Wait.
type Gather struct {
	repeatable  bool   // all shards may be executed again
	completed   []bool // by index of the shard
	outstanding int
	decided     bool
}

// NewGather returns a Gather for a request of the given class that was split into the given number of shards.
func NewGather(shards int, class control.Class) *Gather {
	return &Gather{
		repeatable:  isRepeatable(class),
		completed:   make([]bool, shards),
		outstanding: shards,
	}
}

// isRepeatable reports whether a client may repeat a request after some of its shards were executed. With
// an idempotency key it may do so only if all endpoints share the keys, since the repeated request may
// reach other endpoints.
func isRepeatable(class control.Class) bool {
	switch class.Idempotency {
	case control.Idempotent:
		return true
	case control.IdempotentWithKey:
		return class.DedupScope == control.DedupScopeAll
	case control.NotIdempotent:
	}
	return false
}

// Outstanding returns the shards that have not ended, in ascending order. The caller must cancel them after a
// decision other than Wait.
func (g *Gather) Outstanding() []int {
	var shards []int
	for shard, completed := range g.completed {
		if !completed {
			shards = append(shards, shard)
		}
	}
	return shards
}

// Complete records the end of a shard and decides about the whole request. It returns Wait if the shard is
// unknown or has already ended, and for all shards after the decision.
//
// The first shard that is not served decides the request, because an answer needs all shards. If the shard
// was rejected, the whole request is rejected only if it is repeatable or has no other shards. Otherwise it
// fails: other shards may have been executed, and a retry of the whole request would execute them again.
func (g *Gather) Complete(shard int, result outcome.Outcome) Decision {
	if g.decided || shard < 0 || shard >= len(g.completed) || g.completed[shard] {
		return Wait
	}
	g.completed[shard] = true
	g.outstanding--
	if result == outcome.Served && g.outstanding > 0 {
		return Wait
	}
	g.decided = true
	switch {
	case result == outcome.Served:
		return Merge
	case result == outcome.InvalidRequest:
		return RelayError
	case result == outcome.Rejected && (g.repeatable || len(g.completed) == 1):
		return Reject
	}
	return Fail
}

// Cancel ends the request without a decision, because its client has left or the router shuts down.
func (g *Gather) Cancel() { g.decided = true }

// RetryAfter returns the Retry-After of a whole request, given that of one shard. The whole request needs
// capacity for all shards, so the result is shardRetryAfter times their number. It is at most limit, but
// never less than shardRetryAfter.
func RetryAfter(shardRetryAfter time.Duration, shards int, limit time.Duration) time.Duration {
	return min(shardRetryAfter*time.Duration(max(shards, 1)), max(limit, shardRetryAfter))
}
