package invariant

import "testing"

func TestSecondExecutionIsAllowedOnlyIfIdempotentOrKeyed(t *testing.T) {
	checkRule(t, executionIndex, []testCase{
		{"not idempotent, twice", concat(served("q", NotIdempotent), executed(400, "q", "v")), "executed at v"},
		{"idempotent, twice", concat(served("q", Idempotent), executed(400, "q", "v")), ""},
		{"with a key, twice within its window", concat(served("q", IdempotentWithKey), executed(1040, "q", "v")), ""},
		{"with a key, again after its window", concat(served("q", IdempotentWithKey), executed(1240, "q", "v")), "executed at v"},
	})
}

func TestRejectionAfterExecutionIsAViolation(t *testing.T) {
	attempted := func(effect Effect) []Event {
		return list(sent(0, "q", effect), at(5, AttemptBegan, "q", "w"), at(6, Executed, "q", "w"), at(7, AttemptEnded, "q", "w"))
	}
	checkRule(t, executionIndex, []testCase{
		{"rejected after execution", concat(attempted(NotIdempotent), list(answer(9, "q", Rejected))), "harmless"},
		{"failed after execution", concat(attempted(NotIdempotent), list(answer(9, "q", Failed))), ""},
		{"with a key, rejected within its window", concat(attempted(IdempotentWithKey), list(answer(9, "q", Rejected))), ""},
		{"with a key, rejected after its window", concat(attempted(IdempotentWithKey), list(answer(1010, "q", Rejected))), "harmless"},
		{"with a key, failed after its window", concat(attempted(IdempotentWithKey), list(answer(1010, "q", Failed))), ""},
		{"idempotent, rejected after execution", concat(attempted(Idempotent), list(answer(1010, "q", Rejected))), ""},
	})
}

func TestAttemptsOfRequestDoNotOverlap(t *testing.T) {
	first := list(sent(0, "q", Idempotent), at(5, AttemptBegan, "q", "v"))
	checkRule(t, executionIndex, []testCase{
		{"at two engines", concat(first, list(at(50, AttemptBegan, "q", "w"), at(100, AttemptEnded, "q", "v"), at(110, AttemptEnded, "q", "w"), answer(111, "q", Served))), "another attempt began"},
		{"at one engine", concat(first, list(at(6, AttemptBegan, "q", "v"), at(7, AttemptEnded, "q", "v"), answer(111, "q", Served))), "second attempt"},
		{"the first never ends", concat(first, list(at(50, AttemptBegan, "q", "w"), at(60, AttemptEnded, "q", "w"), answer(111, "q", Served))), "another attempt began"},
		{"the end is seen late by less than the skew", concat(first, list(at(50, AttemptBegan, "q", "w"), at(60, AttemptEnded, "q", "v"), at(110, AttemptEnded, "q", "w"), answer(111, "q", Served))), ""},
		{"the first ended with its engine's process", concat(first, list(at(10, EngineDied, "", "v"), at(50, AttemptBegan, "q", "w"), at(110, AttemptEnded, "q", "w"), answer(111, "q", Served))), ""},
	})
}

func TestEnginesSeeOnlyRequestsThatClientsSent(t *testing.T) {
	checkRule(t, executionIndex, []testCase{
		{"an attempt of an unknown request", concat(served("q", Idempotent), list(at(5, AttemptBegan, "x", "w"))), "no client sent"},
	})
}
