package invariant

import "time"

// executionRule checks that a request has at most one attempt in flight and is executed only as often as its Effect allows.
// A request that is not idempotent must not be rejected after an execution, nor one with a key after its window. Each shard of a request is checked separately.
// Engines must not execute requests that no client sent.
type executionRule struct {
	verdict *Verdict
	skew    time.Duration
}

// attemptBegan checks that the request has no other attempt in flight at the same engine. The caller adds the attempt to
// the request's history afterwards.
func (r *executionRule) attemptBegan(request *requestHistory, event Event) {
	r.verdict.Checked++
	index := request.attemptIndex(event.Engine)
	if index >= 0 {
		began := request.inFlight[index].beganAt
		r.verdict.addViolation(event.At, "%s: a second attempt at %s while one from %.3fs is in flight", request.id, event.Engine, began.Seconds())
	}
}

// executed checks that the request may be executed again if it was executed before. The caller adds the execution to the
// request's history afterwards.
func (r *executionRule) executed(request *requestHistory, event Event) {
	if len(request.executions) == 0 {
		return
	}
	first := request.executions[0]
	isWindowOver := event.At-first.At > request.dedupWindow+r.skew
	if request.effect == NotIdempotent || request.effect == IdempotentWithKey && isWindowOver {
		r.verdict.addViolation(event.At, "%s: executed at %s, and at %.3fs at %s", request.id, event.Engine, first.At.Seconds(), first.Engine)
	}
}

// attemptEnded checks that an attempt overlapped the next one by no more than the skew.
func (r *executionRule) attemptEnded(request *requestHistory, ended attempt, at time.Duration) {
	if ended.nextBeganAt > 0 && at-ended.nextBeganAt > r.skew {
		r.verdict.addViolation(at, "%s: in flight at %s from %.3fs, another attempt began at %.3fs",
			request.id, ended.engine, ended.beganAt.Seconds(), ended.nextBeganAt.Seconds())
	}
}

// finish checks the pending attempts and the answer of a request at the end of the recording.
func (r *executionRule) finish(request *requestHistory, end time.Duration) {
	for _, pending := range request.inFlight {
		r.attemptEnded(request, pending, end)
	}
	if request.parent != nil {
		for _, answer := range request.parent.answers {
			r.checkAnswer(request, answer, "a shard was executed")
		}
	}
	if !request.sentByClient() {
		r.checkUnsent(request)
		return
	}
	if request.parent == nil && len(request.answers) > 0 {
		r.checkAnswer(request, request.answers[0], "was executed")
	}
}

// checkUnsent adds a violation if a request that no client sent was executed or has an attempt in flight.
func (r *executionRule) checkUnsent(request *requestHistory) {
	if len(request.executions) > 0 || len(request.inFlight) > 0 {
		r.verdict.addViolation(request.lastEndedAt, "%s: engines saw a request that no client sent", request.id)
	}
}

// checkAnswer adds a violation if a request was rejected after an execution, and engines don't drop its repeat: it is not
// idempotent, or its window is over. description is the part of the violation's text that names the execution.
func (r *executionRule) checkAnswer(request *requestHistory, answer Event, description string) {
	if answer.Result != Rejected || len(request.executions) == 0 {
		return
	}
	first := request.executions[0]
	isWindowOver := answer.At-first.At > request.dedupWindow
	if request.effect == NotIdempotent || request.effect == IdempotentWithKey && isWindowOver {
		r.verdict.addViolation(answer.At, "%s: rejected as if a retry were harmless, but %s at %s", request.id, description, first.Engine)
	}
}
