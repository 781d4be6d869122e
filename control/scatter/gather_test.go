package scatter

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"martenlock/control"
	"martenlock/control/outcome"
	_ "martenlock/internal/proptest"
)

// gatherModel completes the shards of a Gather with random outcomes and checks each decision.
type gatherModel struct {
	t       *rapid.T
	gather  *Gather
	request Request
	shards  int
	started map[int]bool
	served  map[int]bool
	decided bool
}

func newGatherModel(t *rapid.T) *gatherModel {
	shards := rapid.IntRange(1, 6).Draw(t, "shards")
	idempotency := control.Idempotency(rapid.IntRange(0, 2).Draw(t, "idempotency"))
	scope := control.DedupScope(rapid.IntRange(0, 2).Draw(t, "scope"))
	request := Request{
		Shards:    shards,
		Class:     control.Class{Idempotency: idempotency, DedupScope: scope, DedupWindow: drawSeconds(t, "dedup window")},
		ArrivedAt: 1,
		Deadline:  control.Time(1).Add(2 * time.Second),
	}
	return &gatherModel{
		t:       t,
		gather:  NewGather(request),
		request: request,
		shards:  shards,
		started: map[int]bool{},
		served:  map[int]bool{},
	}
}

// drawSeconds draws a time of up to 8 s.
func drawSeconds(t *rapid.T, name string) time.Duration {
	return time.Duration(rapid.IntRange(0, 8000).Draw(t, name)) * time.Millisecond
}

// start starts a random shard.
func (m *gatherModel) start() {
	shard := rapid.IntRange(0, m.shards-1).Draw(m.t, "shard")
	m.gather.Start(shard)
	m.started[shard] = true
}

// mayReject reports whether a repeat of the whole request is harmless after a shard was rejected.
func (m *gatherModel) mayReject(rejected int, end ShardEnd) bool {
	othersStarted := len(m.started)
	if m.started[rejected] {
		othersStarted--
	}
	class := m.request.Class
	switch {
	case othersStarted == 0 || class.Idempotency == control.Idempotent:
		return true
	case class.Idempotency == control.NotIdempotent || class.DedupScope != control.DedupScopeAll:
		return false
	}
	repeatDeadline := end.At.Add(end.RetryAfter).Add(m.request.Deadline.Sub(m.request.ArrivedAt))
	return repeatDeadline < m.request.ArrivedAt.Add(class.DedupWindow)
}

// complete ends a random shard, which may be unknown or have ended before, with a random outcome.
func (m *gatherModel) complete() {
	shard := rapid.IntRange(-1, m.shards).Draw(m.t, "shard")
	result := outcome.Outcome(rapid.IntRange(0, 3).Draw(m.t, "outcome"))
	end := ShardEnd{
		Outcome:    result,
		At:         m.request.ArrivedAt.Add(drawSeconds(m.t, "elapsed")),
		RetryAfter: drawSeconds(m.t, "retry after"),
	}
	outstanding := len(m.gather.Outstanding())
	decision := m.gather.Complete(shard, end)
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
	m.checkDecision(decision, shard, end)
}

// checkDecision checks a decision other than Wait against the end of the shard that caused it.
func (m *gatherModel) checkDecision(decision Decision, shard int, end ShardEnd) {
	result := end.Outcome
	switch decision {
	case Merge:
		if len(m.served) != m.shards || result != outcome.Served {
			m.t.Fatalf("decided to merge with %d of %d shards served", len(m.served), m.shards)
		}
	case Reject:
		if result != outcome.Rejected || !m.mayReject(shard, end) {
			m.t.Fatalf("decided to reject for outcome %v of shard %d, %d of %d shards started",
				result, shard, len(m.started), m.shards)
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
			if rapid.Bool().Draw(t, "start") {
				m.start()
			} else {
				m.complete()
			}
		}

		m.gather.Cancel()

		if m.gather.Complete(0, ShardEnd{Outcome: outcome.Served}) != Wait {
			t.Fatal("the request was decided after its cancellation")
		}
	})
}

// TestShardsWithKeyAreNotRejectedOnceTheirKeysMayBeForgotten guards against a rejection of a whole request whose other
// shards may have been executed, although engines no longer drop their repeats when the client sends it again.
func TestShardsWithKeyAreNotRejectedOnceTheirKeysMayBeForgotten(t *testing.T) {
	for _, c := range []struct {
		window time.Duration
		others bool // another shard was started
		want   Decision
	}{
		{time.Second, true, Fail},
		{3 * time.Second, true, Fail}, // over before the deadline of the repeat
		{8 * time.Second, true, Reject},
		{time.Second, false, Reject},
	} {
		gather := NewGather(Request{
			Shards:    2,
			Class:     control.Class{Idempotency: control.IdempotentWithKey, DedupScope: control.DedupScopeAll, DedupWindow: c.window},
			ArrivedAt: 1,
			Deadline:  control.Time(1).Add(4 * time.Second),
		})
		gather.Start(0)
		if c.others {
			gather.Start(1)
			gather.Complete(1, ShardEnd{Outcome: outcome.Served})
		}
		rejected := ShardEnd{Outcome: outcome.Rejected, At: control.Time(1).Add(2 * time.Second), RetryAfter: time.Second}
		if got := gather.Complete(0, rejected); got != c.want {
			t.Errorf("window %v, others started %v: %v, want %v", c.window, c.others, got, c.want)
		}
	}
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
