package control

import "time"

// retryAfterUnit is the unit to which the Retry-After of HTTP is rounded up.
const retryAfterUnit = time.Second

// Repeat describes a client's repeat of a rejected request that may have been executed.
type Repeat struct {
	ExecutedAt Time          // start of the earliest attempt that may have executed the request
	RejectedAt Time          // when the client is told to repeat the request
	RetryAfter time.Duration // how long the client waits first
	TimeBudget time.Duration // from the arrival of the request to its deadline, and the same for its repeat
}

// latestExecution returns the latest time at which a router sends the repeat to an engine, if the client
// repeats the request when RetryAfter is over.
func (r Repeat) latestExecution() Time {
	wait := (r.RetryAfter + retryAfterUnit - 1).Truncate(retryAfterUnit)
	return r.RejectedAt.Add(wait).Add(r.TimeBudget)
}

// IsRepeatHarmless reports whether a client can safely repeat a request of the class, although the request
// may have been executed. With an idempotency key it can do so only if all endpoints share the keys, since
// the repeat may reach any of them, and if they still remember the key at the repeat's latest execution.
func (c *Class) IsRepeatHarmless(repeat Repeat) bool {
	switch c.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return c.DedupScope == DedupScopeAll && repeat.latestExecution() < repeat.ExecutedAt.Add(c.DedupWindow)
	case NotIdempotent:
	}
	return false
}
