package scatter

import (
	"testing"

	"pgregory.net/rapid"

	"martenlock/control"
	"martenlock/control/outcome"
	_ "martenlock/internal/proptest"
)

// gatherModel feeds random outcomes to a gather and checks each decision.
type gatherModel struct {
	t               *rapid.T
	gather          *Gather
	shards          int
	mustNotRunTwice bool // a shard that may have been executed must not be executed again
	served          map[int]bool
	decided         bool
}

func newGatherModel(t *rapid.T) *gatherModel {
	shards := rapid.IntRange(1, 6).Draw(t, "shards")
	idempotency := control.Idempotency(rapid.IntRange(0, 2).Draw(t, "idempotency"))
	scope := control.DedupScope(rapid.IntRange(0, 2).Draw(t, "scope"))
	return &gatherModel{
		t:      t,
		gather: NewGather(shards, control.Class{Idempotency: idempotency, DedupScope: scope}),
		shards: shards,
		mustNotRunTwice: idempotency == control.NotIdempotent ||
			idempotency == control.IdempotentWithKey && scope != control.DedupScopeAll,
		served: map[int]bool{},
	}
}

// complete reports a random end of a shard, which may be unknown or have ended before.
func (m *gatherModel) complete() {
	shard := rapid.IntRange(-1, m.shards).Draw(m.t, "shard")
	result := outcome.Outcome(rapid.IntRange(0, 3).Draw(m.t, "outcome"))
	outstanding := len(m.gather.Outstanding())
	decision := m.gather.Complete(shard, result)
	if result == outcome.Served && !m.decided && shard >= 0 && shard < m.shards {
		m.served[shard] = true
	}
	if decision == Wait {
		return
	}
	if m.decided {
		m.t.Fatal("a second decision")
	}
	m.decided = true
	if len(m.gather.Outstanding()) != outstanding-1 {
		m.t.Fatalf("%d shards to cancel of %d outstanding", len(m.gather.Outstanding()), outstanding)
	}
	m.checkDecision(decision, result)
}

// checkDecision checks a decision other than Wait against the result that caused it.
func (m *gatherModel) checkDecision(decision Decision, result outcome.Outcome) {
	switch decision {
	case Merge:
		if len(m.served) != m.shards || result != outcome.Served {
			m.t.Fatalf("a merge with %d of %d shards", len(m.served), m.shards)
		}
	case Reject:
		if result != outcome.Rejected || m.shards > 1 && m.mustNotRunTwice {
			m.t.Fatalf("rejected for %v, must not run twice %v, %d shards", result, m.mustNotRunTwice, m.shards)
		}
	case RelayError:
		if result != outcome.InvalidRequest {
			m.t.Fatalf("an engine's error relayed for %v", result)
		}
	case Wait, Fail: // a failure is always safe
	}
}

// TestGatherDecidesOnce: for any order of outcomes, late and repeated ones included, there is at most one
// decision. Shards are merged only if all were served. A request is rejected only if nothing that must not run
// twice may have run.
func TestGatherDecidesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGatherModel(t)
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			m.complete()
		}

		m.gather.Cancel()

		if m.gather.Complete(0, outcome.Served) != Wait {
			t.Fatal("a decision after the cancellation")
		}
	})
}

// TestStringNamesEachDecision: logs and test failures distinguish the decisions, including an unknown one.
func TestStringNamesEachDecision(t *testing.T) {
	seen := map[string]bool{}
	for value := Decision(0); value <= RelayError+1; value++ {
		name := value.String()
		if name == "" || seen[name] {
			t.Errorf("decision %d is called %q", uint8(value), name)
		}
		seen[name] = true
	}
	if got, want := (RelayError + 1).String(), "Decision(5)"; got != want {
		t.Errorf("an unknown value is called %q, want %q", got, want)
	}
}
