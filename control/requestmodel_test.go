package control_test

import (
	"time"

	"pgregory.net/rapid"

	"martenlock/control"
)

// modelRequest is the expected state of a request, from the view of its client and of the engines.
type modelRequest struct {
	control.Request
	class     *control.Class
	arrivedAt control.Time

	answered        bool
	clientGone      bool
	hasFirstToken   bool
	attemptInFlight bool
	attempts        int
	endpoint        control.EndpointID // of the latest attempt
	sentAt          control.Time       // of the latest attempt
	executedAt      control.Time       // start of the first attempt that may have executed it; 0 for none
	executedOn      control.Endpoint   // endpoint of that attempt
	retained        bool               // an engine may retain KV state, as far as the caller knows

	arrived        bool         // the attempt in flight has reached its engine, which the router can't observe
	unusedSince    control.Time // when the KV state that an engine retains became unused; 0 for none
	releaseAskedAt control.Time // time of the ReleaseKV for that state; 0 for none
}

func (r *modelRequest) latestAttempt() control.AttemptNumber {
	return control.AttemptNumber(r.attempts - 1)
}

// retainKV records that an engine retains KV state that is unused from now on.
func (r *modelRequest) retainKV(now control.Time) {
	r.unusedSince = now
	r.releaseAskedAt = 0
}

// hasUnusedKV reports whether an engine may retain KV state although no attempt that needs it has arrived.
func (r *modelRequest) hasUnusedKV() bool {
	return r.unusedSince != 0 && (!r.attemptInFlight || !r.arrived)
}

// needsNoAttempt reports whether the client got the answer or its first token, or has left.
func (r *modelRequest) needsNoAttempt() bool {
	return r.answered || r.clientGone || r.hasFirstToken
}

// mayBeRejected reports whether the client can safely repeat the request through any router, after a rejection at this
// time: the repeat may reach an engine as late as its own deadline.
func (r *modelRequest) mayBeRejected(rejection control.Reject, now control.Time) bool {
	switch {
	case r.executedAt == 0 || r.class.Idempotency == control.Idempotent:
		return true
	case r.class.Idempotency == control.IdempotentWithKey:
		repeatDeadline := now.Add(rejection.RetryAfter).Add(r.Deadline.Sub(r.arrivedAt))
		return r.class.DedupScope == control.DedupScopeAll && repeatDeadline < r.executedAt.Add(r.class.DedupWindow)
	}
	return false
}

// mayRepeatAt reports whether the request may safely be executed at an endpoint now.
func (r *modelRequest) mayRepeatAt(target control.Endpoint, now control.Time) bool {
	switch {
	case r.executedAt == 0 || r.class.Idempotency == control.Idempotent:
		return true
	case r.class.Idempotency == control.IdempotentWithKey:
		return r.isDedupedAt(target) && now.Sub(r.executedAt) < r.class.DedupWindow
	}
	return false
}

// isDedupedAt reports whether an endpoint is in the deduplication scope of the first execution.
func (r *modelRequest) isDedupedAt(target control.Endpoint) bool {
	switch r.class.DedupScope {
	case control.DedupScopeAll:
		return true
	case control.DedupScopeZone:
		return target.Zone == r.executedOn.Zone
	case control.DedupScopeCell:
		return target.Cell == r.executedOn.Cell
	}
	return false
}

// possibleResult returns the drawn result, or another one if the attempt can't end with the drawn result.
func (r *modelRequest) possibleResult(drawn control.Result, role control.Role) control.Result {
	switch {
	case !r.arrived && drawn != control.TimedOut && drawn != control.Cancelled && drawn != control.ConnectFailed:
		return control.Reset // no engine answered
	case r.arrived && drawn == control.ConnectFailed:
		return control.Rejected
	case role == control.RolePrefill && drawn == control.OK:
		return control.PrefillDone
	case role != control.RolePrefill && drawn == control.PrefillDone:
		return control.OK
	}
	return drawn
}

// endAttempt records the end of the latest attempt, at an endpoint of a role.
func (r *modelRequest) endAttempt(result control.Result, role control.Role, target control.Endpoint, now control.Time) {
	mayHaveExecuted := result.MayHaveExecuted()
	if mayHaveExecuted && role != control.RolePrefill && r.executedAt == 0 {
		r.executedAt, r.executedOn = r.sentAt, target
	}
	r.retained = r.retained || mayHaveExecuted || result == control.PrefillDone
	r.attemptInFlight = false
	r.recordRetention(result, role, now)
	if result == control.OK || r.hasFirstToken {
		r.answered = true
	}
}

// recordRetention updates the KV state that engines retain after the end of an attempt.
func (r *modelRequest) recordRetention(result control.Result, role control.Role, now control.Time) {
	isReleased := r.releaseAskedAt != 0 && r.releaseAskedAt <= r.sentAt
	switch {
	case result == control.OK || r.hasFirstToken:
		r.unusedSince = 0
	case result == control.PrefillDone:
		r.retainKV(now)
	case r.arrived && role == control.RolePrefill && result.MayHaveExecuted():
		r.retainKV(now) // the prefill may have finished before the attempt failed
	case r.arrived && r.unusedSince != 0 && !isReleased:
		r.retainKV(now) // another attempt can use it
	}
}

// drawSettings draws settings with a class for each kind of idempotency and each deduplication scope.
func drawSettings(t *rapid.T) control.Settings {
	t.Helper()
	const ms = time.Millisecond
	settings := control.Settings{
		Identity: control.RouterIdentity{Seed: uint64(rapid.IntRange(1, 1000).Draw(t, "seed")), Routers: 1},
		Engines: control.EngineSettings{
			Kinds: []control.EngineKind{{Role: control.RolePrefill}, {Role: control.RoleDecode}, {Role: control.RoleColocated}},
		},
		SlowStart: control.SlowStart{
			InitialShare: 0.35, Duration: 3 * time.Second, OverloadMultiple: 2.5, OverloadDuration: time.Second,
		},
	}
	settings.Caller = control.Capabilities{CanCancel: true, CanHealthCheck: rapid.Bool().Draw(t, "health checks")}
	settings.Limits = control.Limits{
		MaxAttempts: rapid.IntRange(1, 6).Draw(t, "attempts"), MaxRetryAfter: time.Second, ConnectTimeout: 250 * ms, AnswerGrace: 8 * ms,
	}
	settings.Caller.ReleaseSparesAttempts = rapid.Bool().Draw(t, "release spares attempts")
	settings.Limits.KVRetentionLimit = time.Duration(rapid.SampledFrom([]int{0, 200, 500}).Draw(t, "retention limit ms")) * ms
	settings.Classes = []control.Class{
		{Idempotency: control.Idempotent},
		{Idempotency: control.NotIdempotent},
		{Idempotency: control.IdempotentWithKey, DedupScope: control.DedupScopeAll},
		{Idempotency: control.IdempotentWithKey, DedupScope: control.DedupScopeZone},
		{Idempotency: control.IdempotentWithKey, DedupScope: control.DedupScopeCell},
	}
	dedupWindow := time.Duration(rapid.SampledFrom([]int{400, 5000}).Draw(t, "dedup window ms")) * ms
	for i := range settings.Classes {
		class := &settings.Classes[i]
		class.TTFTObjective, class.Deadline = 800*ms, 2*time.Second
		class.PriorityWeight, class.DedupWindow = 1, dedupWindow
	}
	return settings
}

func drawResult(t *rapid.T) control.Result {
	t.Helper()
	return rapid.SampledFrom([]control.Result{
		control.OK, control.PrefillDone, control.Failed, control.Rejected, control.TimedOut, control.ConnectFailed, control.Reset,
		control.ResponseDropped,
	}).Draw(t, "result")
}
