package invariant

import "testing"

func TestRequestGetsOneFinalAnswerBeforeItsDeadline(t *testing.T) {
	unanswered := served("q", Idempotent)[:9]
	checkRule(t, finalAnswerIndex, []testCase{
		{"no answer", unanswered, "no final answer"},
		{"client left", concat(unanswered, list(at(400, ClientLeft, "q", ""))), ""},
		{"two answers", concat(served("q", Idempotent), list(answer(302, "q", Rejected))), "2 final answers"},
		{"answered after the deadline", list(sent(0, "q", Idempotent), answer(2100, "q", Rejected)), "after its deadline"},
		{"answered after the deadline by less than the skew", list(sent(0, "q", Idempotent), answer(2010, "q", Rejected)), ""},
		{"stream ends after the deadline", list(sent(0, "q", Idempotent), at(1900, FirstToken, "q", ""), answer(4000, "q", Served)), ""},
		{"first token after the deadline", list(sent(0, "q", Idempotent), at(2200, FirstToken, "q", ""), answer(2300, "q", Served)), "after its deadline"},
		{"malformed answer", list(sent(0, "q", Idempotent), answer(10, "q", Malformed)), "malformed answer"},
		{"two requests of one id", concat(served("q", Idempotent), list(sent(400, "q", Idempotent))), "twice"},
	})
}
