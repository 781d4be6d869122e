package openaiserver

import (
	"fmt"
	"net/http"
	"time"

	"martenlock/control"
	"martenlock/control/admission"
	"martenlock/control/outcome"
	"martenlock/control/scatter"
)

// scatteredRequest is a request that is computed in shards, or a large request that passes the admission queue. Each
// shard has an exchange of its own. Package scatter decides how the request ends, given the outcomes of its shards.
// Package admission decides when each shard of a large request may start.
type scatteredRequest struct {
	request        *inferenceRequest
	client         responder
	inputs         [][]byte // nil if the only shard is the unchanged request
	inputTokens    []float64
	plan           []scatter.Shard
	gather         *scatter.Gather
	shards         []*shard // by index in plan; nil until started
	bodies         [][]byte // of the shards' answers, by index in plan; counted in Server.bufferedBytes
	requestID      string   // sent to the client; the shards' ids are derived from it
	admissionID    admission.RequestID
	needsAdmission bool // the request passes the admission queue, under admissionID
	hasEnded       bool
}

// shard is one shard of a scatteredRequest. It is the responder of the shard's exchange.
type shard struct {
	bufferedResponder
	parent      *scatteredRequest
	index       int
	exchange    *exchange // nil after it has ended
	copiedBytes int64     // size of the inputs copied into the shard's apiRequest; counted in Server.bufferedBytes
}

// startScattered starts a request that has to be split into shards or is large. It returns nil for any other request. A
// large request is enqueued for admission.
func (r *inferenceRequest) startScattered(client responder) operation {
	p := r.pool
	inputs, tokens := r.splitInputs()
	plan := scatter.Plan(tokens, p.settings.ShardLimits)
	isLarge := p.admissionQueue.queue.IsLarge(r.promptTokens)
	if len(plan) < 2 && !isLarge {
		return nil
	}
	if len(plan) < 2 { // the only shard is the unchanged request
		plan = []scatter.Shard{{To: r.apiRequest.ItemCount}}
		inputs = nil
	}
	scattered := &scatteredRequest{
		request:     r,
		client:      client,
		inputs:      inputs,
		inputTokens: tokens,
		plan:        plan,
		shards:      make([]*shard, len(plan)),
		bodies:      make([][]byte, len(plan)),
		requestID:   p.server.requestIDs.next(),
	}
	scattered.gather = scatter.NewGather(scatter.Request{
		Class:     *r.class(),
		Shards:    len(plan),
		ArrivedAt: p.server.now(),
		Deadline:  r.moduleRequest.Deadline,
	})
	if isLarge {
		p.admissionQueue.enqueue(scattered)
		return scattered
	}
	for i := range plan {
		scattered.startShard(i)
	}
	return scattered
}

// shardTokens returns the estimated prompt tokens of a shard.
func (r *scatteredRequest) shardTokens(index int) float64 {
	if r.inputs == nil {
		return float64(r.request.moduleRequest.PromptTokens)
	}
	sum := 0.0
	for _, tokens := range r.inputTokens[r.plan[index].From:r.plan[index].To] {
		sum += tokens
	}
	return sum
}

func (r *scatteredRequest) startShard(index int) {
	started := &shard{parent: r, index: index}
	r.shards[index] = started
	r.gather.Start(index)
	request := *r.request
	if r.inputs == nil {
		started.exchange = request.startExchange(started, r.requestID)
		return
	}
	tokens := r.shardTokens(index)
	inputs := r.inputs[r.plan[index].From:r.plan[index].To]
	request.apiRequest = request.apiRequest.Shard(inputs, tokens)
	for _, input := range inputs {
		started.copiedBytes += int64(len(input)) + 1
	}
	request.pool.server.bufferedBytes += started.copiedBytes
	request.moduleRequest.PromptTokens = control.Tokens(tokens)
	request.moduleRequest.SessionID = 0 // session affinity would send all shards to one engine
	request.shardLabel += fmt.Sprintf("%d/%d", index+1, len(r.plan))
	started.exchange = request.startExchange(started, fmt.Sprintf("%s-%d", r.requestID, index))
}

// complete records the end of the shard's exchange, also in the admission queue.
func (s *shard) complete(result admission.UnitOutcome) {
	p := s.parent.request.pool
	s.exchange = nil
	p.server.bufferedBytes -= s.copiedBytes
	if s.parent.needsAdmission {
		unit := admission.Unit{Request: s.parent.admissionID, Index: s.index}
		p.admissionQueue.queue.Complete(p.server.now(), unit, result)
		p.admissionQueue.schedulePoll()
	}
}

// respond implements responder. It buffers the shard's answer.
func (s *shard) respond(a answer) {
	parent := s.parent
	result := admission.UnitNotServed
	if a.outcome == outcome.Served {
		result = admission.UnitServed
		parent.bodies[s.index] = a.body
		parent.request.pool.server.bufferedBytes += int64(len(a.body))
	}
	s.complete(result)
	parent.shardEnded(s.index, a)
}

// shardEnded processes the answer of a shard. If this answer decides how the request ends, the request is answered.
func (r *scatteredRequest) shardEnded(index int, a answer) {
	retryAfter := r.retryAfter(a.retryAfter)
	end := scatter.ShardEnd{Outcome: a.outcome, At: r.request.pool.server.now(), RetryAfter: retryAfter}
	switch r.gather.Complete(index, end) {
	case scatter.Wait:
		return
	case scatter.Merge:
		a = r.merge(a)
	case scatter.RelayError:
	case scatter.Reject:
		a.retryAfter = retryAfter
		a.fields = retryFields(retryAfter)
	case scatter.Fail:
		if a.outcome == outcome.Rejected { // this shard was not executed, but others may have been
			a = failureAnswer("", http.StatusBadGateway, "Part of the request was not served; the rest may have run.")
		}
	}
	a.requestID = r.requestID
	r.cancel()
	r.client.respond(a)
}

// merge returns the request's answer after all shards were served. last is the answer of the shard that ended last.
func (r *scatteredRequest) merge(last answer) answer {
	if r.inputs == nil {
		return last
	}
	return answer{
		outcome:     outcome.Served,
		status:      http.StatusOK,
		contentType: last.contentType,
		body:        r.request.apiRequest.MergeResponses(r.plan, r.bodies),
	}
}

// retryAfter returns the Retry-After of a rejected request. after is the Retry-After of the rejected shard: the time
// for the whole request if the admission queue has rejected the shard, or the time for one shard if the decision module
// has. If the request passes the admission queue, after is assumed to be the time for the whole request.
func (r *scatteredRequest) retryAfter(after time.Duration) time.Duration {
	limit := r.request.pool.config.Control.Limits.MaxRetryAfter
	if r.needsAdmission {
		return min(after, limit)
	}
	return scatter.RetryAfter(after, len(r.plan), limit)
}

// cancel implements operation. It cancels the shards that are in flight or wait for admission, and drops the buffered
// answers of the others.
func (r *scatteredRequest) cancel() {
	if r.hasEnded {
		return
	}
	r.hasEnded = true
	for _, index := range r.gather.Outstanding() {
		s := r.shards[index]
		if s != nil && s.exchange != nil {
			exchange := s.exchange
			s.complete(admission.UnitCancelled)
			exchange.cancel()
		}
	}
	r.gather.Cancel()
	for i, body := range r.bodies {
		r.request.pool.server.bufferedBytes -= int64(len(body))
		r.bodies[i] = nil
	}
	if r.needsAdmission {
		r.request.pool.admissionQueue.remove(r)
	}
}

// clientWritable implements operation. It has no effect because the answer is not streamed.
func (r *scatteredRequest) clientWritable() {}
