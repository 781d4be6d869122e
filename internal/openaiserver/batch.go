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

// batchMember is a small embeddings request that may be batched with others.
type batchMember struct {
	bufferedResponder
	request     *inferenceRequest
	client      responder
	id          batching.RequestID
	inputs      [][]byte
	inputTokens []float64
	exchange    *exchange        // its own, after its batch failed
	retry       *sequentialRetry // waits there for those ahead of it then
	deadline    timerwheel.Timer // of that wait
}

// batch is the responder of an exchange for several members.
type batch struct {
	bufferedResponder
	scheduler   *batchScheduler
	id          batching.BatchID
	exchange    *exchange
	call        *openai.Request // nil where there is one member, whose answer is passed on as it is
	firstInput  map[batching.RequestID]int
	inputTokens []float64
	maxAttempts int // of its class
}

// batchScheduler is a pool's batches.
type batchScheduler struct {
	*deadlineTimer
	pool            *pool
	batcher         *batching.Batcher
	members         map[batching.RequestID]*batchMember
	inFlight        map[batching.BatchID]*batch
	lastID          batching.RequestID
	batchedRequests uint64 // answered by a batch of several
}

// newBatchScheduler returns one without members by the pool's settings.
func newBatchScheduler(p *pool) *batchScheduler {
	settings := p.settings.Batching
	settings.Routers = p.config.Control.Identity.Routers
	b := &batchScheduler{
		pool:     p,
		batcher:  batching.NewBatcher(settings),
		members:  map[batching.RequestID]*batchMember{},
		inFlight: map[batching.BatchID]*batch{},
	}
	b.deadlineTimer = newDeadlineTimer(p.server, b.poll, b.batcher.NextDeadline)
	return b
}

// mayBatch tells whether a request may share a batch.
func (b *batchScheduler) mayBatch(r *inferenceRequest) bool {
	return r.call.API == openai.Embeddings && r.partMark == "" &&
		b.batcher.IsSmall(r.call.ItemCount, r.call.PromptTokens) &&
		batching.MayBatch(*r.class(), b.pool.maxAttempts(r.class()))
}

// startBatched enqueues a request that may share a batch; nil where it may not.
func (r *inferenceRequest) startBatched(client responder) operation {
	b := r.pool.batches
	if !b.mayBatch(r) {
		return nil
	}
	m := &batchMember{request: r, client: client}
	m.inputs, m.inputTokens = r.splitInputs()
	b.lastID++
	m.id = b.lastID
	b.members[m.id] = m
	now := r.pool.server.now()
	b.batcher.Enqueue(now, m.batchKey(), batching.Request{
		ID:        m.id,
		Items:     r.call.ItemCount,
		Tokens:    r.call.PromptTokens,
		Objective: now.Add(r.class().TTFTObjective),
		Deadline:  r.moduleRequest.Deadline,
	})
	b.schedulePoll()
	return m
}

// batchKey names what the requests of a batch have in common. Engines take no mixture of texts and
// lists of tokens, which the first byte of an input tells apart.
func (m *batchMember) batchKey() (key batching.Key) {
	r := m.request
	class := r.moduleRequest.Class
	hash := sha256.New()
	hash.Write([]byte{m.inputs[0][0], byte(class), byte(class >> 8)})
	hash.Write([]byte(r.path + "\x00" + r.tenant + "\x00"))
	r.call.WriteBatchKey(hash)
	copy(key[:], hash.Sum(nil))
	return key
}

// startAlone hands a member to the module, after what its batch had come to.
func (m *batchMember) startAlone(client responder, batchAnswer answer) {
	request := *m.request
	request.moduleRequest.PriorAttempts = batchAnswer.attempts
	request.moduleRequest.PriorResets = batchAnswer.lostConnections
	m.exchange = request.startExchange(client, request.pool.server.requestIDs.next())
}

// respond takes the answer to a member that was retried in sequence.
func (m *batchMember) respond(a answer) {
	m.retry.complete(m, a.lostConnections > 0)
	m.client.respond(a)
}

// cancel implements operation. The other members of the batch are not affected.
func (m *batchMember) cancel() {
	b := m.request.pool.batches
	if m.exchange != nil {
		m.exchange.cancel()
	}
	if m.retry != nil {
		m.retry.complete(m, false)
	}
	if m.exchange != nil || m.retry != nil {
		return
	}
	delete(b.members, m.id)
	cancellation := b.batcher.Cancel(m.id)
	if !cancellation.BatchCancelled {
		return
	}
	cancelled := b.inFlight[cancellation.Batch]
	if cancelled != nil {
		delete(b.inFlight, cancellation.Batch)
		cancelled.exchange.cancel()
	}
	b.schedulePoll()
}

// clientWritable does nothing: the answer is written whole.
func (m *batchMember) clientWritable() {}

// poll rejects members that waited for too long, and starts the batches that are due.
func (b *batchScheduler) poll() {
	result := b.batcher.Poll(b.pool.server.now())
	for _, id := range result.Expired {
		m := b.members[id]
		if m != nil {
			delete(b.members, id)
			m.client.respond(overloaded(b.pool.server.requestIDs.next(), batching.ExpiredRetryAfter))
		}
	}
	for _, due := range result.Batches {
		b.startBatch(due)
	}
}

// startBatch hands a batch to the module.
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

// mergeRequests makes the first member's request that of all.
func (b *batchScheduler) mergeRequests(started *batch, due batching.Batch, request *inferenceRequest) {
	var inputs [][]byte
	var headers [][]byte
	prompt := 0.0
	for _, id := range due.Requests {
		m := b.members[id]
		started.firstInput[id] = len(inputs)
		started.inputTokens = append(started.inputTokens, m.inputTokens...)
		inputs = append(inputs, m.inputs...)
		headers = append(headers, m.request.headers)
		prompt += m.request.call.PromptTokens
	}
	started.call = request.call.Batch(inputs, prompt)
	request.call = started.call
	request.headers = commonHeaders(headers)
	request.moduleRequest.PromptTokens = control.Tokens(prompt)
	request.moduleRequest.SessionID = 0 // members are of several sessions
	request.moduleRequest.Deadline = due.Deadline
}

// isBatch tells whether several requests wait for the answer.
func (b *batch) isBatch() bool { return b.call != nil }

// respond takes the batch's answer and gives each member its own.
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
		results = b.call.SplitResponse(a.body, b.inputTokens)
	}
	for _, id := range completion.Requests {
		m := scheduler.members[id]
		delete(scheduler.members, id)
		switch {
		case completion.Handling == batching.RetrySequentially:
			retry.enqueue(m)
		case completion.Handling == batching.RetrySeparately:
			m.startAlone(m.client, a)
		case results != nil:
			scheduler.batchedRequests++
			m.client.respond(b.memberAnswer(m, a, results))
		default:
			m.client.respond(a)
		}
	}
	retry.startNext()
}

// memberAnswer takes a member's answer out of the batch's.
func (b *batch) memberAnswer(m *batchMember, a answer, results []openai.EmbeddingResult) answer {
	from := b.firstInput[m.id]
	to := from + len(m.inputs)
	embeddings := make([]openai.Embedding, 0, len(m.inputs))
	promptTokens := int64(0)
	for _, result := range results[from:to] {
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
