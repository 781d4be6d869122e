package invariant

import (
	"testing"
	"time"
)

func TestRequestInTwoStagesKeepsAllRules(t *testing.T) {
	checkRule(t, finalAnswerIndex, []testCase{{name: "not idempotent", events: served("q", NotIdempotent)}})
}

func TestEmptyRecordingProvesNothing(t *testing.T) {
	report := Check(record(nil), testLimits, 9*time.Second)
	if report.Kept() {
		t.Error("Kept() is true for an empty recording")
	}
	for _, verdict := range report.Verdicts {
		if verdict.Violations > 0 {
			t.Errorf("empty recording: rule %q has violations", verdict.Rule)
		}
	}
}

func TestRecordingThatLostEventsProvesNothing(t *testing.T) {
	recording := NewRecording(2)
	for _, event := range served("q", Idempotent) {
		recording.Add(event)
	}
	if Check(recording, testLimits, time.Second).Kept() {
		t.Error("Kept() is true for a recording that lost events")
	}
}

// Shards of one request may run concurrently, but each obeys the request's declared effect.
func TestShardIsCheckedByEffectOfItsRequest(t *testing.T) {
	twoShards := concat(
		list(sent(0, "q", NotIdempotent)),
		executed(5, "q"+ShardSeparator+"1", "v"),
		executed(6, "q"+ShardSeparator+"2", "w"),
	)
	checkRule(t, executionIndex, []testCase{
		{"each shard executed once", concat(twoShards, list(answer(40, "q", Served))), ""},
		{"a shard executed twice", concat(twoShards, executed(100, "q"+ShardSeparator+"1", "w"), list(answer(140, "q", Served))), "executed at w"},
		{"rejected after a shard was executed", concat(twoShards, list(answer(40, "q", Rejected))), "a shard was executed at v"},
	})
}

func TestEnumsHaveNames(t *testing.T) {
	for name, got := range map[string]string{
		"engine resumed": EngineResumed.String(),
		"not idempotent": NotIdempotent.String(),
		"malformed":      Malformed.String(),
		"Kind(15)":       (EngineResumed + 1).String(),
		"Effect(3)":      (NotIdempotent + 1).String(),
		"Result(4)":      (Malformed + 1).String(),
	} {
		if got != name {
			t.Errorf("String() is %q, want %q", got, name)
		}
	}
}
