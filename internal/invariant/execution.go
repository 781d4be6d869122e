package invariant

import "time"

// executionRule checks three things. No two attempts of a request are in flight at once. A request that is not idempotent
// is executed once at most. A request that was executed is not answered as if it had not been. Each shard of a request is
// checked alone.
type executionRule struct {
	verdict *Verdict
	skew    time.Duration
}

// attemptBegan checks an attempt before it is added to the request's history.
func (r *executionRule) attemptBegan(request *requestHistory, event Event) {
	r.verdict.Checked++
	index := request.inFlightAt(event.Engine)
	if index >= 0 {
		began := request.inFlight[index].beganAt
		r.verdict.addViolation(event.At, "%s: a second attempt at %s while one from %.3fs is in flight", request.id, event.Engine, began.Seconds())
	}
}

// executed checks an execution before it is added to the request's history.
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

// attemptEnded checks that an attempt did not overlap with the next one.
func (r *executionRule) attemptEnded(request *requestHistory, ended attempt, at time.Duration) {
	if ended.nextBegan > 0 && at-ended.nextBegan > r.skew {
		r.verdict.addViolation(at, "%s: in flight at %s from %.3fs, another attempt began at %.3fs",
			request.id, ended.engine, ended.beganAt.Seconds(), ended.nextBegan.Seconds())
	}
}

// finish checks a request at the end of the recording.
func (r *executionRule) finish(request *requestHistory, end time.Duration) {
	for _, pending := range request.inFlight {
		r.attemptEnded(request, pending, end)
	}
	if request.parent != nil {
		for _, answer := range request.parent.answers {
			r.checkAnswer(request, answer, "a shard was executed")
		}
	}
	if !request.wasSent() {
		r.checkUnsent(request)
		return
	}
	if request.parent == nil && len(request.answers) > 0 {
		r.checkAnswer(request, request.answers[0], "was executed")
	}
}

// checkUnsent checks a request that no client sent. No engine may have observed it.
func (r *executionRule) checkUnsent(request *requestHistory) {
	if len(request.executions) > 0 || len(request.inFlight) > 0 {
		r.verdict.addViolation(request.lastEndedAt, "%s: engines saw a request that no client sent", request.id)
	}
}

// checkAnswer checks that a rejected request was not executed. description names the execution in the violation's text.
func (r *executionRule) checkAnswer(request *requestHistory, answer Event, description string) {
	if answer.Result == Rejected && request.effect == NotIdempotent && len(request.executions) > 0 {
		r.verdict.addViolation(answer.At, "%s: rejected as if a retry were harmless, but %s at %s", request.id, description, request.executions[0].Engine)
	}
}
