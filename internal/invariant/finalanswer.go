package invariant

import "time"

// finalAnswerRule checks that each request gets exactly one final answer, which is not Malformed and whose first token meets
// the deadline. It also counts requests by the Result of their first answer. It ignores shards, which have no answers of
// their own.
type finalAnswerRule struct {
	verdict *Verdict
	report  *Report
	skew    time.Duration
}

// requestSent checks that the request id is unique, which the other rules rely on.
func (r *finalAnswerRule) requestSent(request *requestHistory, event Event) {
	if request.isSent {
		r.verdict.addViolation(event.At, "request %s was sent twice", event.Request)
	}
}

// finish checks that a request was answered. The answer may be missing if the client disconnected or if the recording ended
// before the deadline and the first token.
func (r *finalAnswerRule) finish(request *requestHistory, end time.Duration) {
	if request.parent != nil || !request.isSent {
		return
	}
	r.verdict.Checked++
	if request.clientLeft {
		r.report.ClientsLeft++
	}
	if len(request.answers) > 0 {
		r.checkAnswers(request)
		return
	}
	isDue := end > request.deadline+r.skew || request.firstTokenAt > 0
	if isDue && !request.clientLeft {
		r.verdict.addViolation(end, "%s: sent at %.3fs, no final answer", request.id, request.sentAt.Seconds())
	}
}

// checkAnswers checks a request that got at least one final answer.
func (r *finalAnswerRule) checkAnswers(request *requestHistory) {
	if len(request.answers) > 1 {
		r.verdict.addViolation(request.answers[1].At, "%s: %d final answers", request.id, len(request.answers))
	}
	answer := request.answers[0]
	r.report.Results[answer.Result]++
	answeredAt := answer.At
	if request.firstTokenAt > 0 {
		answeredAt = request.firstTokenAt
	}
	if answeredAt > request.deadline+r.skew {
		lateness := (answeredAt - request.deadline).Round(time.Millisecond)
		r.verdict.addViolation(answeredAt, "%s: answered (%v) %v after its deadline", request.id, answer.Result, lateness)
	}
	if answer.Result == Malformed {
		r.verdict.addViolation(answer.At, "%s: malformed answer", request.id)
	}
}
