package batching

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"martenlock/control"
	"martenlock/control/outcome"
	_ "martenlock/internal/proptest"
)

// model drives a batcher with random events and checks each decision against its own bookkeeping.
type model struct {
	t         *rapid.T
	settings  Settings
	batcher   *Batcher
	endpoints int
	now       control.Time
	lastID    RequestID
	requests  map[RequestID]*expectedRequest
	batches   map[BatchID][]RequestID // outstanding
}

// expectedRequest is what the model knows of a request.
type expectedRequest struct {
	Request
	key       Key
	arrivedAt control.Time
	batch     BatchID // 0 while it waits
	ended     bool
}

func newModel(t *rapid.T) *model {
	settings := Settings{
		BatchTokens: 100,
		BatchItems:  8,
		MaxWait:     time.Duration(rapid.IntRange(1, 30).Draw(t, "wait")) * time.Millisecond,
		Routers:     rapid.IntRange(1, 2).Draw(t, "routers"),
	}
	m := &model{
		t:         t,
		settings:  settings,
		batcher:   NewBatcher(settings),
		endpoints: rapid.IntRange(0, 3).Draw(t, "endpoints"),
		now:       control.Time(1e6),
		requests:  map[RequestID]*expectedRequest{},
		batches:   map[BatchID][]RequestID{},
	}
	m.batcher.SetReadyEndpoints(m.endpoints)
	return m
}

// advance lets a random time pass.
func (m *model) advance() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 15).Draw(m.t, "ms")) * time.Millisecond)
}

// enqueue adds a random request.
func (m *model) enqueue() {
	m.lastID++
	request := Request{
		ID:        m.lastID,
		Items:     rapid.IntRange(1, 4).Draw(m.t, "items"),
		Tokens:    rapid.Float64Range(0, 50).Draw(m.t, "tokens"),
		Objective: m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(m.t, "objective")) * time.Millisecond),
		Deadline:  m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(m.t, "deadline")) * time.Millisecond),
	}
	key := Key{byte(rapid.IntRange(0, 1).Draw(m.t, "key"))}
	m.requests[m.lastID] = &expectedRequest{Request: request, key: key, arrivedAt: m.now}
	m.batcher.Enqueue(m.now, key, request)
}

// completeSome ends random outstanding batches with random results.
func (m *model) completeSome() {
	for _, id := range slices.Sorted(maps.Keys(m.batches)) {
		if !rapid.Bool().Draw(m.t, "ends") {
			continue
		}
		result := BatchResult{
			Outcome:     outcome.Outcome(rapid.IntRange(0, 3).Draw(m.t, "outcome")),
			Attempts:    rapid.IntRange(0, 3).Draw(m.t, "attempts"),
			MaxAttempts: 3,
		}
		m.complete(id, result)
	}
}

// complete ends a batch, and checks that no request is retried if the batch's result is final.
func (m *model) complete(id BatchID, result BatchResult) {
	completion := m.batcher.Complete(m.now, id, result)
	mustShare := result.Outcome == outcome.Served || result.Attempts == 3 ||
		result.Outcome == outcome.Rejected && result.Attempts == 0
	if completion.Handling != ShareResult && mustShare {
		m.t.Fatalf("handling is %v after %+v", completion.Handling, result)
	}
	for _, request := range completion.Requests {
		m.end(request, "batch completed")
	}
	delete(m.batches, id)
}

// end records the end of a request, which must not have ended before.
func (m *model) end(id RequestID, reason string) {
	if m.requests[id].ended {
		m.t.Fatalf("request %d ended twice, the second time as %s", id, reason)
	}
	m.requests[id].ended = true
}

// cancelOne cancels a random request, which may be unknown or have ended.
func (m *model) cancelOne() {
	id := RequestID(rapid.Uint64Range(0, uint64(m.lastID)).Draw(m.t, "cancelled"))
	cancellation := m.batcher.Cancel(id)
	if request := m.requests[id]; request != nil && !request.ended {
		m.end(id, "cancelled")
		if cancellation.Batch != request.batch {
			m.t.Fatalf("Cancel returned batch %d, the request was in %d", cancellation.Batch, request.batch)
		}
	}
	if cancellation.BatchCancelled {
		delete(m.batches, cancellation.Batch)
	}
}

// poll polls the batcher and checks the batches and the expired requests. A request must not be in both.
func (m *model) poll() {
	result := m.batcher.Poll(m.now)
	for _, batch := range result.Batches {
		for _, id := range batch.Requests {
			if slices.Contains(result.Expired, id) {
				m.t.Fatalf("request %d is sent in batch %d and has expired", id, batch.ID)
			}
		}
	}
	for _, batch := range result.Batches {
		m.checkSent(batch)
		m.batches[batch.ID] = batch.Requests
	}
	for _, id := range result.Expired {
		m.end(id, "expired")
		if m.now < m.requests[id].Deadline {
			m.t.Fatalf("request %d expired before its deadline", id)
		}
	}
}

// checkSent checks that a batch is within the limits, and that its requests have one key and were in no batch
// before.
func (m *model) checkSent(batch Batch) {
	items, tokens, latestDeadline := 0, 0.0, control.Time(0)
	for _, id := range batch.Requests {
		request := m.requests[id]
		if request.batch != 0 || request.ended || request.key != m.requests[batch.Requests[0]].key {
			m.t.Fatalf("request %d is sent in batch %d: was in batch %d, ended %v, or its key differs",
				id, batch.ID, request.batch, request.ended)
		}
		request.batch = batch.ID
		items += request.Items
		tokens += request.Tokens
		latestDeadline = max(latestDeadline, request.Deadline)
	}
	exceedsLimits := items > m.settings.BatchItems || tokens > m.settings.BatchTokens
	if len(batch.Requests) > 1 && exceedsLimits || batch.Deadline != latestDeadline {
		m.t.Fatalf("batch of %d items and %v tokens, deadline %v, want %v",
			items, tokens, batch.Deadline, latestDeadline)
	}
}

// checkWaiting checks that no request waits for too long, beyond its deadline, or while an endpoint is free.
func (m *model) checkWaiting() {
	outstanding := map[Key]int{}
	for _, ids := range m.batches {
		outstanding[m.requests[ids[0]].key]++
	}
	for _, request := range m.requests {
		if request.ended || request.batch != 0 {
			continue
		}
		latest := request.arrivedAt.Add(m.settings.MaxWait)
		hasFreeEndpoint := outstanding[request.key] < max(m.endpoints/m.settings.Routers, 1)
		if m.now >= latest || m.now >= request.Objective || m.now >= request.Deadline || hasFreeEndpoint {
			m.t.Fatalf("request %d has waited since %v, objective %v, deadline %v, %d batches outstanding, now %v",
				request.ID, request.arrivedAt, request.Objective, request.Deadline, outstanding[request.key], m.now)
		}
		if next, ok := m.batcher.NextPoll(); !ok || next > min(latest, request.Deadline) {
			m.t.Fatalf("NextPoll returned %v, %v, want at most %v", next, ok, min(latest, request.Deadline))
		}
	}
}

// endAll ends all batches as served and cancels the requests that wait.
func (m *model) endAll() {
	for _, id := range slices.Sorted(maps.Keys(m.batches)) {
		m.complete(id, BatchResult{Outcome: outcome.Served, Attempts: 1, MaxAttempts: 3})
	}
	for id, request := range m.requests {
		if !request.ended {
			if cancellation := m.batcher.Cancel(id); request.batch != 0 || cancellation.BatchCancelled {
				m.t.Fatalf("request %d was sent but has not ended", id)
			}
		}
	}
	m.batcher.Poll(m.now)
}

// checkEmpty checks that the batcher has no state left.
func (m *model) checkEmpty() {
	batcher := m.batcher
	if batcher.Len() != 0 || len(batcher.queues) != 0 ||
		len(batcher.batches) != 0 || batcher.deadlines.Len() != 0 {
		m.t.Fatalf("left: %d requests, %d queues, %d batches, %d deadlines",
			batcher.Len(), len(batcher.queues), len(batcher.batches), batcher.deadlines.Len())
	}
}

// TestEachRequestBatchedOnceWithinLimits: for any sequence of events each request is in at most one batch
// and ends once. It guards against a request that is sent in a batch although it has expired, whose member
// the server no longer knew. Batches are within the limits and have one key. No request waits for too long,
// beyond its deadline, or while an endpoint is free. No state is left at the end.
func TestEachRequestBatchedOnceWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.advance()
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				m.enqueue()
			case 3:
				m.completeSome()
			case 4:
				m.cancelOne()
			}
			m.poll()
			m.checkWaiting()
		}
		m.endAll()
		m.checkEmpty()
	})
}

// TestRequestsOfFailedBatchAreRetried: after a failure that one request may have caused, each request of a
// shared batch is retried by itself, even if the others have been cancelled. The result of a batch of one
// is final, and so are a rejection before any attempt and a failure of the last attempt.
func TestRequestsOfFailedBatchAreRetried(t *testing.T) {
	for _, c := range []struct {
		requests, cancelled, attempts, lostConnections int
		outcome                                        outcome.Outcome
		handling                                       Handling
	}{
		{3, 0, 1, 0, outcome.Failed, RetrySeparately},
		{3, 0, 1, 1, outcome.Failed, RetrySequentially},
		{3, 2, 1, 0, outcome.InvalidRequest, RetrySeparately},
		{3, 0, 1, 0, outcome.Rejected, RetrySeparately},
		{3, 0, 0, 0, outcome.Rejected, ShareResult},
		{3, 0, 1, 0, outcome.Served, ShareResult},
		{1, 0, 1, 1, outcome.Failed, ShareResult},
		{3, 0, 2, 2, outcome.Failed, ShareResult},
	} {
		batcher, batch := batcherWithBatch(t, c.requests)
		for i := range c.cancelled {
			batcher.Cancel(RequestID(i))
		}

		completion := batcher.Complete(0, batch, BatchResult{
			Outcome:         c.outcome,
			Attempts:        c.attempts,
			LostConnections: c.lostConnections,
			MaxAttempts:     2,
		})

		if completion.Handling != c.handling || len(completion.Requests) != c.requests-c.cancelled {
			t.Errorf("%+v: got %+v", c, completion)
		}
	}
}

// batcherWithBatch returns a batcher with one endpoint and one outstanding batch. The ids of its requests
// start at 0. They share a batch because another one was outstanding when they arrived.
func batcherWithBatch(t *testing.T, requests int) (*Batcher, BatchID) {
	t.Helper()
	batcher := NewBatcher(Settings{BatchTokens: 100, BatchItems: 10, MaxWait: time.Second})
	batcher.SetReadyEndpoints(1)
	const farFuture = control.Time(1e9)
	batcher.Enqueue(0, Key{}, Request{ID: 100, Items: 1, Objective: farFuture, Deadline: farFuture})
	first := batcher.Poll(0).Batches
	for i := range requests {
		batcher.Enqueue(0, Key{}, Request{ID: RequestID(i), Items: 1, Objective: farFuture, Deadline: farFuture})
	}
	if early := batcher.Poll(0).Batches; len(early) != 0 {
		t.Fatal("sent a batch while another one was outstanding")
	}
	batcher.Complete(0, first[0].ID, BatchResult{Outcome: outcome.Served, Attempts: 1, MaxAttempts: 2})
	batches := batcher.Poll(0).Batches
	if len(batches) != 1 || len(batches[0].Requests) != requests {
		t.Fatalf("sent %v, want one batch of %d requests", batches, requests)
	}
	return batcher, batches[0].ID
}
