package invariant

import "testing"

func TestDrainingEngineGetsNoAttemptsAfterItsGracePeriod(t *testing.T) {
	checkRule(t, drainIndex, []testCase{
		{"drains for longer than the grace period", concat(served("q", Idempotent), list(at(-300, DrainAnnounced, "", "prefill"))), "after its drain"},
		{"drains for less", concat(served("q", Idempotent), list(at(-200, DrainAnnounced, "", "prefill"))), ""},
		{"is ready again", concat(served("q", Idempotent), list(at(-900, DrainAnnounced, "", "prefill"), at(-10, ReadyAnnounced, "", "prefill"))), ""},
		{"drain announced again", concat(served("q", Idempotent), list(at(-300, DrainAnnounced, "", "prefill"), at(-10, DrainAnnounced, "", "prefill"))), "after its drain"},
	})
}
