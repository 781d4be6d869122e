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

// Request is a request that was split into shards.
type Request struct {
	Class     control.Class
	Shards    int
	ArrivedAt control.Time
	Deadline  control.Time
}

// ShardEnd is how a shard ended.
type ShardEnd struct {
	Outcome    outcome.Outcome
	At         control.Time
	RetryAfter time.Duration // for a rejected shard: the Retry-After of the whole request
}

// Gather collects the outcomes of the shards of one request. It makes at most one decision other than Wait.
type Gather struct {
	request     Request
	started     []bool // by index of the shard
	completed   []bool // by index of the shard
	outstanding int
	decided     bool
}

// NewGather returns a Gather for a request.
func NewGather(request Request) *Gather {
	return &Gather{
		request:     request,
		started:     make([]bool, request.Shards),
		completed:   make([]bool, request.Shards),
		outstanding: request.Shards,
	}
}

// Start records that a shard may be executed from now on.
func (g *Gather) Start(shard int) { g.started[shard] = true }

// mayReject reports whether a client may repeat the whole request after the rejection of a shard. Other shards
// that were started may have been executed.
func (g *Gather) mayReject(rejected int, end ShardEnd) bool {
	for shard, started := range g.started {
		if started && shard != rejected {
			return g.request.Class.IsRepeatHarmless(control.Repeat{
				ExecutedAt: g.request.ArrivedAt,
				RejectedAt: end.At,
				RetryAfter: end.RetryAfter,
				TimeBudget: g.request.Deadline.Sub(g.request.ArrivedAt),
			})
		}
	}
	return true
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
// was rejected, the whole request is rejected only if no other shard was started, or if a repeat of all shards
// is harmless. Otherwise it fails: other shards may have been executed, and a retry of the whole request would
// execute them again.
func (g *Gather) Complete(shard int, end ShardEnd) Decision {
	if g.decided || shard < 0 || shard >= len(g.completed) || g.completed[shard] {
		return Wait
	}
	g.completed[shard] = true
	g.outstanding--
	if end.Outcome == outcome.Served && g.outstanding > 0 {
		return Wait
	}
	g.decided = true
	switch {
	case end.Outcome == outcome.Served:
		return Merge
	case end.Outcome == outcome.InvalidRequest:
		return RelayError
	case end.Outcome == outcome.Rejected && g.mayReject(shard, end):
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
