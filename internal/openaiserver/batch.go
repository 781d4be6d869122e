package openaiserver

import (
	"crypto/sha256"
	"net/http"

	"martenlock/control"
	"martenlock/control/batching"
	"martenlock/control/outcome"
	"martenlock/internal/openai"
	"martenlock/internal/timerwheel"
)

// batchMember is a small embeddings request that may share a batch with others. If the batch
// fails and one of its members may be the cause, each member is retried in an exchange of its own.
type batchMember struct {
	bufferedResponder
	request         *inferenceRequest
	client          responder
	id              batching.RequestID
	inputs          [][]byte
	inputTokens     []float64
	retryExchange   *exchange        // of the member's own retry; nil until the retry starts
	sequentialRetry *sequentialRetry // set if the members of its batch are retried one after another
	expiryTimer     timerwheel.Timer // rejects the member if its deadline passes before its turn to be retried
}

// batch is a group of one or more members whose answers are computed by one exchange. It is the exchange's responder.
type batch struct {
	bufferedResponder
	scheduler   *batchScheduler
	id          batching.BatchID
	exchange    *exchange
	apiRequest  *openai.Request            // with the inputs of all members; nil if there is only one member
	firstInput  map[batching.RequestID]int // index of each member's first input
	inputTokens []float64                  // estimated tokens of each input in apiRequest
	maxAttempts int                        // of the members' class
}

// batchScheduler starts a pool's batches. Package batching decides which requests share a batch and when it starts.
type batchScheduler struct {
	*pollTimer
	pool            *pool
	batcher         *batching.Batcher
	members         map[batching.RequestID]*batchMember
	inFlight        map[batching.BatchID]*batch
	lastID          batching.RequestID
	batchedRequests uint64 // number of requests answered by a batch with other members
}

func newBatchScheduler(p *pool) *batchScheduler {
	settings := p.settings.Batching
	settings.Routers = p.config.Control.Identity.Routers
	b := &batchScheduler{
		pool:     p,
		batcher:  batching.NewBatcher(settings),
		members:  map[batching.RequestID]*batchMember{},
		inFlight: map[batching.BatchID]*batch{},
	}
	b.pollTimer = newPollTimer(p.server, b.poll, b.batcher.NextPoll)
	return b
}

// mayBatch reports whether a request may share a batch. Shards and partial cache fills may not.
func (b *batchScheduler) mayBatch(request *inferenceRequest) bool {
	return request.apiRequest.API == openai.Embeddings && request.shardLabel == "" &&
		b.batcher.IsSmall(request.apiRequest.ItemCount, request.apiRequest.PromptTokens) &&
		batching.MayBatch(*request.class(), b.pool.maxAttempts(request.class()))
}

// startBatched enqueues a request that may share a batch. It returns nil if the request may not.
func (r *inferenceRequest) startBatched(client responder) operation {
	scheduler := r.pool.batchScheduler
	if !scheduler.mayBatch(r) {
		return nil
	}
	member := &batchMember{request: r, client: client}
	member.inputs, member.inputTokens = r.splitInputs()
	scheduler.lastID++
	member.id = scheduler.lastID
	scheduler.members[member.id] = member
	now := r.pool.server.now()
	scheduler.batcher.Enqueue(now, member.batchKey(), batching.Request{
		ID:        member.id,
		Items:     r.apiRequest.ItemCount,
		Tokens:    r.apiRequest.PromptTokens,
		Objective: now.Add(r.class().TTFTObjective),
		Deadline:  r.moduleRequest.Deadline,
	})
	scheduler.schedulePoll()
	return member
}

// batchKey returns a hash of everything that must be equal in the requests of a batch. It includes the first byte of an
// input, which distinguishes texts from lists of tokens: engines don't accept both in one request.
func (m *batchMember) batchKey() (key batching.Key) {
	r := m.request
	class := r.moduleRequest.Class
	hash := sha256.New()
	hash.Write([]byte{m.inputs[0][0], byte(class), byte(class >> 8)})
	hash.Write([]byte(r.path + "\x00" + r.tenant + "\x00"))
	r.apiRequest.WriteBatchKey(hash)
	copy(key[:], hash.Sum(nil))
	return key
}

// startRetry retries a member in an exchange of its own. The attempts of the failed batch count as attempts of the
// member.
func (m *batchMember) startRetry(client responder, batchAnswer answer) {
	request := *m.request
	request.moduleRequest.PriorAttempts = batchAnswer.attempts
	request.moduleRequest.PriorLostConnections = batchAnswer.lostConnections
	m.retryExchange = request.startExchange(client, request.pool.server.requestIDs.next())
}

// respond implements responder for a sequential retry. It allows the next member to be retried.
func (m *batchMember) respond(a answer) {
	m.sequentialRetry.complete(m, a.lostConnections > 0)
	m.client.respond(a)
}

// cancel implements operation. A batch that has started is cancelled only if no other members are left.
func (m *batchMember) cancel() {
	scheduler := m.request.pool.batchScheduler
	if m.retryExchange != nil {
		m.retryExchange.cancel()
	}
	if m.sequentialRetry != nil {
		m.sequentialRetry.complete(m, false)
	}
	if m.retryExchange != nil || m.sequentialRetry != nil {
		return
	}
	delete(scheduler.members, m.id)
	cancellation := scheduler.batcher.Cancel(m.id)
	if !cancellation.BatchCancelled {
		return
	}
	cancelled := scheduler.inFlight[cancellation.Batch]
	if cancelled != nil {
		delete(scheduler.inFlight, cancellation.Batch)
		cancelled.exchange.cancel()
	}
	scheduler.schedulePoll()
}

// clientWritable implements operation. It has no effect because the answer is not streamed.
func (m *batchMember) clientWritable() {}

// poll starts the batches that are due. It rejects members whose deadlines have passed while they waited, or while the
// batches that they share with others are in flight.
func (b *batchScheduler) poll() {
	result := b.batcher.Poll(b.pool.server.now())
	for _, id := range result.Expired {
		member := b.members[id]
		if member != nil {
			delete(b.members, id)
			member.client.respond(overloadedAnswer(b.pool.server.requestIDs.next(), batching.ExpiredRetryAfter))
		}
	}
	for _, due := range result.Batches {
		b.startBatch(due)
	}
}

func (b *batchScheduler) startBatch(due batching.Batch) {
	started := &batch{scheduler: b, id: due.ID, firstInput: map[batching.RequestID]int{}}
	b.inFlight[due.ID] = started
	request := *b.members[due.Requests[0]].request
	started.maxAttempts = b.pool.maxAttempts(request.class())
	if len(due.Requests) > 1 {
		b.mergeRequests(started, due, &request)
	}
	started.exchange = request.startExchange(started, b.pool.server.requestIDs.next())
}

// mergeRequests turns request, a copy of the first member's request, into the request for all members of the batch.
func (b *batchScheduler) mergeRequests(started *batch, due batching.Batch, request *inferenceRequest) {
	var inputs [][]byte
	var headers [][]byte
	promptTokens := 0.0
	for _, id := range due.Requests {
		member := b.members[id]
		started.firstInput[id] = len(inputs)
		started.inputTokens = append(started.inputTokens, member.inputTokens...)
		inputs = append(inputs, member.inputs...)
		headers = append(headers, member.request.forwardedFields)
		promptTokens += member.request.apiRequest.PromptTokens
	}
	started.apiRequest = request.apiRequest.Batch(inputs, promptTokens)
	request.apiRequest = started.apiRequest
	request.forwardedFields = commonHeaders(headers)
	request.moduleRequest.PromptTokens = control.Tokens(promptTokens)
	request.moduleRequest.SessionID = 0 // the members may belong to different sessions
	request.moduleRequest.Deadline = due.Deadline
}

// isBatch implements responder.
func (b *batch) isBatch() bool { return b.apiRequest != nil }

// respond implements responder. It sends each member its part of the answer. Members of a failed batch are retried if
// package batching decides so, and get the batch's answer otherwise.
func (b *batch) respond(a answer) {
	scheduler := b.scheduler
	s := scheduler.pool.server
	delete(scheduler.inFlight, b.id)
	completion := scheduler.batcher.Complete(s.now(), b.id, batching.BatchResult{
		Outcome:         a.outcome,
		Attempts:        a.attempts,
		LostConnections: a.lostConnections,
		MaxAttempts:     b.maxAttempts,
	})
	retry := newSequentialRetry(a)
	scheduler.schedulePoll()
	var results []openai.EmbeddingResult
	if b.isBatch() && a.outcome == outcome.Served {
		results = b.apiRequest.SplitResponse(a.body, b.inputTokens)
	}
	for _, id := range completion.Requests {
		member := scheduler.members[id]
		delete(scheduler.members, id)
		switch {
		case completion.Handling == batching.RetrySequentially:
			retry.enqueue(member)
		case completion.Handling == batching.RetrySeparately:
			member.startRetry(member.client, a)
		case results != nil:
			scheduler.batchedRequests++
			member.client.respond(b.memberAnswer(member, a, results))
		default:
			member.client.respond(a)
		}
	}
	retry.startNext()
}

// memberAnswer returns a member's part of the answer. results holds the results for all inputs of the batch.
func (b *batch) memberAnswer(member *batchMember, a answer, results []openai.EmbeddingResult) answer {
	first := b.firstInput[member.id]
	end := first + len(member.inputs)
	embeddings := make([]openai.Embedding, 0, len(member.inputs))
	promptTokens := int64(0)
	for _, result := range results[first:end] {
		embeddings = append(embeddings, result.Embedding)
		promptTokens += result.PromptTokens
	}
	return answer{
		outcome:     outcome.Served,
		status:      http.StatusOK,
		contentType: a.contentType,
		requestID:   a.requestID,
		body:        openai.AssembleResponse(a.body, embeddings, promptTokens),
	}
}
