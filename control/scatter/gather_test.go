package scatter

import (
	"testing"

	"pgregory.net/rapid"

	"martenlock/control"
	"martenlock/control/outcome"
	_ "martenlock/internal/proptest"
)

// gatherModel completes the shards of a Gather with random outcomes and checks each decision.
type gatherModel struct {
	t             *rapid.T
	gather        *Gather
	shards        int
	notRepeatable bool // no shard may be executed again
	served        map[int]bool
	decided       bool
}

func newGatherModel(t *rapid.T) *gatherModel {
	shards := rapid.IntRange(1, 6).Draw(t, "shards")
	idempotency := control.Idempotency(rapid.IntRange(0, 2).Draw(t, "idempotency"))
	scope := control.DedupScope(rapid.IntRange(0, 2).Draw(t, "scope"))
	return &gatherModel{
		t:      t,
		gather: NewGather(shards, control.Class{Idempotency: idempotency, DedupScope: scope}),
		shards: shards,
		notRepeatable: idempotency == control.NotIdempotent ||
			idempotency == control.IdempotentWithKey && scope != control.DedupScopeAll,
		served: map[int]bool{},
	}
}

// complete ends a random shard, which may be unknown or have ended before, with a random outcome.
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
		m.t.Fatal("the request was decided twice")
	}
	m.decided = true
	if len(m.gather.Outstanding()) != outstanding-1 {
		m.t.Fatalf("%d shards are outstanding after the end of one of %d",
			len(m.gather.Outstanding()), outstanding)
	}
	m.checkDecision(decision, result)
}

// checkDecision checks a decision other than Wait against the result that caused it.
func (m *gatherModel) checkDecision(decision Decision, result outcome.Outcome) {
	switch decision {
	case Merge:
		if len(m.served) != m.shards || result != outcome.Served {
			m.t.Fatalf("decided to merge with %d of %d shards served", len(m.served), m.shards)
		}
	case Reject:
		if result != outcome.Rejected || m.shards > 1 && m.notRepeatable {
			m.t.Fatalf("decided to reject for outcome %v, not repeatable %v, %d shards",
				result, m.notRepeatable, m.shards)
		}
	case RelayError:
		if result != outcome.InvalidRequest {
			m.t.Fatalf("decided to relay an error for outcome %v", result)
		}
	case Wait, Fail: // to fail is always safe
	}
}

// TestGatherDecidesOnce: for any order of outcomes, including late and repeated ones, there is at most one
// decision. Shards are merged only if all were served. A request is rejected only if a retry of the whole
// request is safe.
func TestGatherDecidesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGatherModel(t)
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			m.complete()
		}

		m.gather.Cancel()

		if m.gather.Complete(0, outcome.Served) != Wait {
			t.Fatal("the request was decided after its cancellation")
		}
	})
}

// TestStringNamesEachDecision: each decision, even an unknown one, has a distinct name.
func TestStringNamesEachDecision(t *testing.T) {
	seen := map[string]bool{}
	for value := Decision(0); value <= RelayError+1; value++ {
		name := value.String()
		if name == "" || seen[name] {
			t.Errorf("decision %d has the name %q, want a unique one", uint8(value), name)
		}
		seen[name] = true
	}
	if got, want := (RelayError + 1).String(), "Decision(5)"; got != want {
		t.Errorf("an unknown decision has the name %q, want %q", got, want)
	}
}
