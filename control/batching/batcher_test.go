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
		Deadline:  m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(m.t, "deadline")) * time.Millisecond),
	}
	key := Key{byte(rapid.IntRange(0, 1).Draw(m.t, "key"))}
	m.requests[m.lastID] = &expectedRequest{Request: request, key: key, arrivedAt: m.now}
	m.batcher.Enqueue(m.now, key, request)
}

// completeSome ends a random selection of the outstanding batches with random results.
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

// complete ends a batch.
func (m *model) complete(id BatchID, result BatchResult) {
	completion := m.batcher.Complete(m.now, id, result)
	mustShare := result.Outcome == outcome.Served || result.Attempts == 3 ||
		result.Outcome == outcome.Rejected && result.Attempts == 0
	if completion.Handling != ShareResult && mustShare {
		m.t.Fatalf("%v after %+v", completion.Handling, result)
	}
	for _, request := range completion.Requests {
		m.end(request, "its batch")
	}
	delete(m.batches, id)
}

// end records the only end of a request.
func (m *model) end(id RequestID, reason string) {
	if m.requests[id].ended {
		m.t.Fatalf("%d ends again: %s", id, reason)
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
			m.t.Fatalf("left batch %d, was in %d", cancellation.Batch, request.batch)
		}
	}
	if cancellation.BatchCancelled {
		delete(m.batches, cancellation.Batch)
	}
}

// poll checks the batches and the expired requests of a poll.
func (m *model) poll() {
	result := m.batcher.Poll(m.now)
	for _, batch := range result.Batches {
		m.checkSent(batch)
		m.batches[batch.ID] = batch.Requests
	}
	for _, id := range result.Expired {
		m.end(id, "expired")
		if m.now < m.requests[id].Deadline {
			m.t.Fatalf("%d ends before its deadline", id)
		}
	}
}

// checkSent checks that a batch keeps the limits and that its requests share a key and were in no other batch.
func (m *model) checkSent(batch Batch) {
	items, tokens, lastDeadline := 0, 0.0, control.Time(0)
	for _, id := range batch.Requests {
		request := m.requests[id]
		if request.batch != 0 || request.ended || request.key != m.requests[batch.Requests[0]].key {
			m.t.Fatalf("%d is sent in batch %d, was in %d, ended %v", id, batch.ID, request.batch, request.ended)
		}
		request.batch = batch.ID
		items += request.Items
		tokens += request.Tokens
		lastDeadline = max(lastDeadline, request.Deadline)
	}
	exceedsLimits := items > m.settings.BatchItems || tokens > m.settings.BatchTokens
	if len(batch.Requests) > 1 && exceedsLimits || batch.Deadline != lastDeadline {
		m.t.Fatalf("batch of %d items, %v tokens, deadline %v of %v", items, tokens, batch.Deadline, lastDeadline)
	}
}

// checkWaiting checks that no request waits past its time or beside a free endpoint.
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
		if m.now >= latest || m.now >= request.Objective || hasFreeEndpoint {
			m.t.Fatalf("%d waits since %v, objective %v, %d batches outstanding, now %v",
				request.ID, request.arrivedAt, request.Objective, outstanding[request.key], m.now)
		}
		if deadline, ok := m.batcher.NextDeadline(); !ok || deadline > latest {
			m.t.Fatalf("next deadline %v, %v", deadline, ok)
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
				m.t.Fatalf("%d has no end", id)
			}
		}
	}
	m.batcher.Poll(m.now)
}

// checkEmpty checks that the batcher remembers nothing.
func (m *model) checkEmpty() {
	batcher := m.batcher
	if batcher.Len() != 0 || len(batcher.queues) != 0 || len(batcher.batches) != 0 || batcher.deadlines.Len() != 0 {
		m.t.Fatalf("left: %d requests, %d queues, %d batches, %d deadlines",
			batcher.Len(), len(batcher.queues), len(batcher.batches), batcher.deadlines.Len())
	}
}

// TestEachRequestBatchedOnceWithinLimits: after any events each request is in one batch, keys are not mixed,
// batches keep their limits, no request waits past its time or beside a free endpoint, each ends once, and
// nothing is left.
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

// TestFaultyBatchRetriedByRequest: after a fault each request of a batch of several is retried by itself, even if
// the others were cancelled since. The result of a batch of one, and a rejection before any attempt, is final.
func TestFaultyBatchRetriedByRequest(t *testing.T) {
	for _, c := range []struct {
		requests, cancelled, attempts, lostConnections int
		outcome                                        outcome.Outcome
		handling                                       FailureHandling
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
			t.Errorf("%+v: %+v", c, completion)
		}
	}
}

// batcherWithBatch returns a batcher of one endpoint with one outstanding batch, of requests with ids from 0. They
// share it because another batch was outstanding when they arrived.
func batcherWithBatch(t *testing.T, requests int) (*Batcher, BatchID) {
	t.Helper()
	batcher := NewBatcher(Settings{BatchTokens: 100, BatchItems: 10, MaxWait: time.Second})
	batcher.SetReadyEndpoints(1)
	const far = control.Time(1e9)
	batcher.Enqueue(0, Key{}, Request{ID: 100, Items: 1, Objective: far, Deadline: far})
	first := batcher.Poll(0).Batches
	for i := range requests {
		batcher.Enqueue(0, Key{}, Request{ID: RequestID(i), Items: 1, Objective: far, Deadline: far})
	}
	if early := batcher.Poll(0).Batches; len(early) != 0 {
		t.Fatal("sent beside a batch that is outstanding")
	}
	batcher.Complete(0, first[0].ID, BatchResult{Outcome: outcome.Served, Attempts: 1, MaxAttempts: 2})
	batches := batcher.Poll(0).Batches
	if len(batches) != 1 || len(batches[0].Requests) != requests {
		t.Fatalf("sent %v", batches)
	}
	return batcher, batches[0].ID
}
