package invariant

import "testing"

func TestUnneededKVStateIsReleasedWithinItsLimit(t *testing.T) {
	rejected := concat(prefilled("q"), list(answer(60, "q", Rejected)))
	checkRule(t, kvRetentionIndex, []testCase{
		{"never released", rejected, "retained for"},
		{"released late", concat(rejected, list(at(1200, KVReleased, "q", "prefill"))), "retained for 1.149s"},
		{"released in time", concat(rejected, list(at(1000, KVReleased, "q", "prefill"))), ""},
		{"lost with its engine", concat(rejected, list(at(100, EngineDied, "", "prefill"))), ""},
	})
}

func TestKVStateIsNotRetainedTooLongBetweenDecodeAttempts(t *testing.T) {
	decoding := served("q", Idempotent)[:5]
	secondAttempt := list(at(1800, AttemptBegan, "q", "v"), at(1810, KVReleased, "q", "prefill"), at(1900, AttemptEnded, "q", "v"), answer(1901, "q", Served))
	checkRule(t, kvRetentionIndex, []testCase{
		{"within the limit", concat(decoding, list(at(900, AttemptEnded, "q", "decode")), secondAttempt), ""},
		{"beyond the limit", concat(decoding, list(at(600, AttemptEnded, "q", "decode")), secondAttempt), "retained for 1.2s"},
	})
}

func TestTimeOfHungEngineDoesNotCountAsRetention(t *testing.T) {
	rejected := concat(prefilled("q"), list(answer(60, "q", Rejected), at(100, EngineHung, "", "prefill")))
	checkRule(t, kvRetentionIndex, []testCase{
		{"released soon after the engine resumed", concat(rejected, list(at(2900, EngineResumed, "", "prefill"), at(2950, KVReleased, "q", "prefill"))), ""},
		{"released late after the engine resumed", concat(rejected, list(at(1500, EngineResumed, "", "prefill"), at(2950, KVReleased, "q", "prefill"))), "retained for"},
	})
}
