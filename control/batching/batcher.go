package batching

import (
	"slices"
	"time"

	"martenlock/control"
	"martenlock/control/internal/ewma"
	"martenlock/control/internal/indexedheap"
	"martenlock/control/outcome"
)

const (
	// durationAlpha is the weight of a new batch in the mean duration of batches.
	durationAlpha = 0.1
	// objectiveSlack is how long before its objective a request stops waiting for others, as a multiple of
	// the mean batch duration. It covers the request's own batch and a margin.
	objectiveSlack = 2.0
)

// Batcher groups the small requests of one pool into batches, similar to Nagle's algorithm (RFC 896). A
// request is sent at once if fewer batches of its key are outstanding than this router's share of the
// endpoints. Otherwise it waits until a batch of its key ends or the waiting requests of its key exceed one
// batch. It waits at most for Settings.MaxWait, and less if its latency objective is near.
//
// Each request keeps its own deadline and can be cancelled without affecting the others of its batch. If a
// batch fails and one of its requests may be the cause, each request is retried by itself, with the remaining
// attempts of the batch. Thus an invalid input delays other requests but does not fail them. If a connection
// to an engine was lost, the requests are retried in the order of a SequentialRetry.
//
// Batcher is not safe for concurrent use.
type Batcher struct {
	settings            Settings
	readyEndpoints      int
	queues              map[Key]*requestQueue
	waitingQueues       []*requestQueue // with waiting requests, in order of arrival
	batches             map[BatchID]*sentBatch
	requests            map[RequestID]*trackedRequest
	deadlines           *indexedheap.Heap[*trackedRequest] // of requests that wait or are in batches of more than one
	lastBatchID         BatchID
	meanDurationSeconds ewma.Average[float64] // of a batch
}

// requestQueue holds the requests of one key.
type requestQueue struct {
	key                Key
	waiting            []*trackedRequest
	waitingItems       int
	waitingTokens      float64
	sendBy             control.Time // when the waiting requests are sent at the latest
	outstandingBatches int
	isListed           bool // in Batcher.waitingQueues
}

// sentBatch is a batch that has not ended.
type sentBatch struct {
	queue              *requestQueue
	sentAt             control.Time
	hadSeveralRequests bool              // when the batch was sent
	requests           []*trackedRequest // without those that were cancelled or expired after the batch was sent
}

// trackedRequest is a request that waits or is in a batch.
type trackedRequest struct {
	Request
	queue     *requestQueue
	batch     BatchID // 0 while it waits
	heapIndex int     // in Batcher.deadlines
}

// NewBatcher returns a batcher that assumes one ready endpoint until SetReadyEndpoints is called.
func NewBatcher(settings Settings) *Batcher {
	settings.Routers = max(settings.Routers, 1)
	return &Batcher{
		settings: settings,
		queues:   map[Key]*requestQueue{},
		batches:  map[BatchID]*sentBatch{},
		requests: map[RequestID]*trackedRequest{},
		deadlines: indexedheap.New(
			func(a, b *trackedRequest) bool {
				return a.Deadline < b.Deadline || a.Deadline == b.Deadline && a.ID < b.ID
			},
			func(request *trackedRequest, index int) { request.heapIndex = index },
		),
	}
}

// SetReadyEndpoints sets the number of endpoints of the pool that are ready.
func (b *Batcher) SetReadyEndpoints(count int) { b.readyEndpoints = count }

// IsSmall reports whether a request is small enough to share a batch: two of its size must fit into one.
func (b *Batcher) IsSmall(items int, tokens float64) bool {
	return b.settings.MaxWait > 0 && 2*items <= b.settings.BatchItems && 2*tokens <= b.settings.BatchTokens
}

// Len returns the number of requests that wait or are in batches.
func (b *Batcher) Len() int { return len(b.requests) }

// Enqueue adds a request. Poll returns it in a batch.
func (b *Batcher) Enqueue(now control.Time, key Key, request Request) {
	queue := b.queues[key]
	if queue == nil {
		queue = &requestQueue{key: key}
		b.queues[key] = queue
	}
	sendBy := b.sendBy(now, request.Objective)
	if len(queue.waiting) == 0 || sendBy < queue.sendBy {
		queue.sendBy = sendBy
	}
	added := &trackedRequest{Request: request, queue: queue, heapIndex: indexedheap.NoIndex}
	b.requests[request.ID] = added
	b.deadlines.Push(added)
	queue.waiting = append(queue.waiting, added)
	queue.waitingItems += request.Items
	queue.waitingTokens += request.Tokens
	if !queue.isListed {
		queue.isListed = true
		b.waitingQueues = append(b.waitingQueues, queue)
	}
}

// sendBy returns the time until which a request with the given objective may wait for others.
func (b *Batcher) sendBy(now, objective control.Time) control.Time {
	slack := time.Duration(objectiveSlack * b.meanDurationSeconds.Value * float64(time.Second))
	untilObjective := objective.Sub(now)
	if untilObjective < slack+b.settings.MaxWait {
		return now.Add(max(untilObjective-slack, 0))
	}
	return now.Add(b.settings.MaxWait)
}

// Poll returns the batches to send now and the requests that have expired. Expired requests are removed
// first, so that no request is returned as both. Poll must be called after every event, and at NextPoll.
func (b *Batcher) Poll(now control.Time) PollResult {
	expired := b.expire(now)
	return PollResult{
		Batches: b.startDueBatches(now),
		Expired: expired,
	}
}

// NextPoll returns when Poll must be called if no event occurs before. It returns false while no request
// waits and none can expire.
func (b *Batcher) NextPoll() (next control.Time, ok bool) {
	for _, queue := range b.waitingQueues {
		if len(queue.waiting) > 0 && (!ok || queue.sendBy < next) {
			next, ok = queue.sendBy, true
		}
	}
	if b.deadlines.Len() > 0 && (!ok || b.deadlines.Min().Deadline < next) {
		next, ok = b.deadlines.Min().Deadline, true
	}
	return next, ok
}

// startDueBatches starts and returns all batches that are due.
func (b *Batcher) startDueBatches(now control.Time) []Batch {
	var batches []Batch
	stillWaiting := b.waitingQueues[:0]
	for _, queue := range b.waitingQueues {
		batches = b.startDueBatchesOf(now, queue, batches)
		queue.isListed = len(queue.waiting) > 0
		if queue.isListed {
			stillWaiting = append(stillWaiting, queue)
		} else {
			b.forgetIfEmpty(queue)
		}
	}
	clear(b.waitingQueues[len(stillWaiting):])
	b.waitingQueues = stillWaiting
	return batches
}

// startDueBatchesOf starts the batches of one queue that are due, and appends them to batches.
func (b *Batcher) startDueBatchesOf(now control.Time, queue *requestQueue, batches []Batch) []Batch {
	ownEndpoints := max(b.readyEndpoints/b.settings.Routers, 1)
	for len(queue.waiting) > 0 {
		isFull := queue.waitingItems > b.settings.BatchItems || queue.waitingTokens > b.settings.BatchTokens
		freeEndpoints := ownEndpoints - queue.outstandingBatches
		if !isFull && freeEndpoints <= 0 && now < queue.sendBy {
			break
		}
		// Spread the requests over the free endpoints. A shared batch is an advantage only if none is free.
		spread := max(freeEndpoints, 1)
		maxRequests := (len(queue.waiting) + spread - 1) / spread
		batches = append(batches, b.startBatch(now, queue, maxRequests))
	}
	return batches
}

// startBatch starts a batch of the requests at the front of a queue: as many as fit, but at least one and at
// most maxRequests.
func (b *Batcher) startBatch(now control.Time, queue *requestQueue, maxRequests int) Batch {
	requests := b.takeFitting(queue, maxRequests)
	b.lastBatchID++
	batch := Batch{ID: b.lastBatchID}
	hasSeveralRequests := len(requests) > 1
	for _, request := range requests {
		request.batch = batch.ID
		batch.Requests = append(batch.Requests, request.ID)
		batch.Deadline = max(batch.Deadline, request.Deadline)
		if !hasSeveralRequests { // package control enforces the deadline of a batch of one
			b.deadlines.Remove(request.heapIndex)
		}
	}
	queue.outstandingBatches++
	b.batches[batch.ID] = &sentBatch{
		queue:              queue,
		sentAt:             now,
		hadSeveralRequests: hasSeveralRequests,
		requests:           requests,
	}
	return batch
}

// takeFitting removes the requests of the next batch from the front of a queue and returns them.
func (b *Batcher) takeFitting(queue *requestQueue, maxRequests int) []*trackedRequest {
	count := 0
	items := 0
	tokens := 0.0
	for count < min(len(queue.waiting), maxRequests) {
		next := queue.waiting[count]
		fits := items+next.Items <= b.settings.BatchItems && tokens+next.Tokens <= b.settings.BatchTokens
		if count > 0 && !fits {
			break
		}
		items += next.Items
		tokens += next.Tokens
		count++
	}
	taken := slices.Clone(queue.waiting[:count])
	queue.waiting = slices.Delete(queue.waiting, 0, count)
	queue.subtractWaiting(items, tokens)
	return taken
}

// subtractWaiting subtracts the items and tokens of requests that were removed from waiting.
func (q *requestQueue) subtractWaiting(items int, tokens float64) {
	q.waitingItems -= items
	q.waitingTokens -= tokens
	if len(q.waiting) == 0 {
		q.waitingTokens = 0 // clear the accumulated rounding error
	}
}

// expire cancels and returns the requests whose deadlines have passed, earliest first. It does not consider
// requests in batches of one.
func (b *Batcher) expire(now control.Time) []RequestID {
	var expired []RequestID
	for b.deadlines.Len() > 0 && b.deadlines.Min().Deadline <= now {
		id := b.deadlines.Min().ID
		expired = append(expired, id)
		b.Cancel(id)
	}
	return expired
}

// Complete records the end of a batch, removes its requests, and returns how to handle them. For an unknown
// batch it returns the zero Completion.
func (b *Batcher) Complete(now control.Time, id BatchID, result BatchResult) Completion {
	batch := b.batches[id]
	if batch == nil {
		return Completion{}
	}
	if result.Outcome == outcome.Served {
		b.meanDurationSeconds.Observe(now.Sub(batch.sentAt).Seconds(), durationAlpha)
	}
	completion := Completion{Handling: handlingOf(result, batch.hadSeveralRequests)}
	for _, request := range batch.requests {
		completion.Requests = append(completion.Requests, request.ID)
		b.forgetRequest(request)
	}
	b.forgetBatch(id, batch)
	return completion
}

// handlingOf returns how to handle the requests of a batch after its end.
func handlingOf(result BatchResult, hadSeveralRequests bool) Handling {
	mayBeCausedByRequest := false
	switch result.Outcome {
	case outcome.Failed, outcome.InvalidRequest:
		mayBeCausedByRequest = true
	case outcome.Rejected: // without an attempt, the cause was a lack of capacity
		mayBeCausedByRequest = result.Attempts > 0
	case outcome.Served:
	}
	switch {
	case !mayBeCausedByRequest || !hadSeveralRequests || result.Attempts >= result.MaxAttempts:
		return ShareResult
	case result.LostConnections > 0:
		return RetrySequentially
	}
	return RetrySeparately
}

// Cancel removes a request that no longer needs an answer. It has no effect if the request is unknown.
func (b *Batcher) Cancel(id RequestID) Cancellation {
	request := b.requests[id]
	if request == nil {
		return Cancellation{}
	}
	b.forgetRequest(request)
	isCancelled := func(other *trackedRequest) bool { return other == request }
	if request.batch == 0 {
		queue := request.queue
		queue.waiting = slices.DeleteFunc(queue.waiting, isCancelled)
		queue.subtractWaiting(request.Items, request.Tokens)
		b.forgetIfEmpty(queue)
		return Cancellation{}
	}
	batch := b.batches[request.batch]
	batch.requests = slices.DeleteFunc(batch.requests, isCancelled)
	if len(batch.requests) > 0 {
		return Cancellation{Batch: request.batch}
	}
	b.forgetBatch(request.batch, batch)
	return Cancellation{Batch: request.batch, BatchCancelled: true}
}

func (b *Batcher) forgetRequest(request *trackedRequest) {
	delete(b.requests, request.ID)
	if request.heapIndex != indexedheap.NoIndex {
		b.deadlines.Remove(request.heapIndex)
	}
}

func (b *Batcher) forgetBatch(id BatchID, batch *sentBatch) {
	delete(b.batches, id)
	batch.queue.outstandingBatches--
	b.forgetIfEmpty(batch.queue)
}

// forgetIfEmpty removes a queue that has no waiting requests and no outstanding batches.
func (b *Batcher) forgetIfEmpty(queue *requestQueue) {
	if len(queue.waiting) == 0 && queue.outstandingBatches == 0 && !queue.isListed {
		delete(b.queues, queue.key)
	}
}
