package openaiserver

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/tidwall/gjson"

	"martenlock/control"
	"martenlock/control/coalesce"
	"martenlock/control/outcome"
	"martenlock/internal/openai"
)

// embeddingRequest is an embeddings request each of whose inputs is cached, computed for another request at this time,
// or computed by a fill of its own.
type embeddingRequest struct {
	request     *inferenceRequest
	client      responder
	inputs      [][]byte
	inputTokens []float64
	keys        []coalesce.Key
	pendingIDs  []coalesce.RequestID // by input; 0 if its embedding is not awaited
	duplicateOf []int                // by input: index of the first equal one, which may be itself

	embeddings   []openai.Embedding // by input; nil until known
	inputUsage   []int64            // prompt tokens used, by input
	missing      int                // inputs whose embeddings are not known yet
	cacheHits    int
	envelope     []byte // an answer from which the members around the embeddings are taken; nil if all is cached
	fills        []*cacheFill
	shardedFills int   // number of fills started for some of the inputs
	copiedBytes  int64 // size of the embeddings that were copied out of answers
	hasEnded     bool
}

// startCached answers an embeddings request with the help of the cache and of computations in flight. It returns nil if
// the request must be computed by itself.
func (r *inferenceRequest) startCached(client responder) operation {
	p := r.pool
	// Engines of two revisions give different answers to the same input.
	if r.call.API != openai.Embeddings || !p.settings.Coalesces || p.revisionsMixed || !coalesce.MayCoalesce(*r.class()) {
		return nil
	}
	e := newEmbeddingRequest(r, client)
	leaders := e.resolveInputs()
	if e.missing == 0 {
		e.respondIfComplete("")
		return e
	}
	e.startFill(leaders)
	p.embeddings.restart()
	return e
}

// newEmbeddingRequest returns a request whose inputs have not been looked up.
func newEmbeddingRequest(r *inferenceRequest, client responder) *embeddingRequest {
	inputs, tokens := r.splitInputs()
	return &embeddingRequest{
		request:     r,
		client:      client,
		inputs:      inputs,
		inputTokens: tokens,
		keys:        r.cacheKeys(inputs),
		pendingIDs:  make([]coalesce.RequestID, len(inputs)),
		duplicateOf: make([]int, len(inputs)),
		embeddings:  make([]openai.Embedding, len(inputs)),
		inputUsage:  make([]int64, len(inputs)),
	}
}

// resolveInputs looks up each input in the cache and in the computations in flight. It returns the indices of the
// inputs that this request has to compute.
func (e *embeddingRequest) resolveInputs() (leaders []int) {
	cache := e.request.pool.embeddings
	e.markRepeatedInputs()
	for i, key := range e.keys {
		if e.duplicateOf[i] != i {
			continue
		}
		cached, isCached := cache.lookUp(key)
		if isCached {
			e.embeddings[i] = cached.Embedding
			e.inputUsage[i] = cached.PromptTokens
			cache.hits++
			e.cacheHits++
			continue
		}
		e.missing++
		if cache.add(e, i) {
			leaders = append(leaders, i)
		}
	}
	return leaders
}

// markRepeatedInputs sets duplicateOf.
func (e *embeddingRequest) markRepeatedInputs() {
	if len(e.keys) == 1 { // nothing to compare
		return
	}
	first := make(map[coalesce.Key]int, len(e.keys))
	for i, key := range e.keys {
		earlier, isRepeated := first[key]
		if isRepeated {
			e.duplicateOf[i] = earlier
			continue
		}
		e.duplicateOf[i] = i
		first[key] = i
	}
}

// startFill starts the computation of the inputs with these indices, if any.
func (e *embeddingRequest) startFill(inputs []int) {
	if len(inputs) == 0 {
		return
	}
	fill := &cacheFill{request: e, inputs: inputs, call: e.request.call}
	request := *e.request
	if len(inputs) < len(e.inputs) {
		e.selectInputs(&request, inputs)
		fill.call = request.call
		fill.copiedBytes = int64(request.call.BodySize())
		request.pool.server.bufferedBytes += fill.copiedBytes
	}
	e.fills = append(e.fills, fill)
	fill.operation = request.start(fill)
}

// selectInputs restricts request, a copy of the client's, to the inputs with these indices.
func (e *embeddingRequest) selectInputs(request *inferenceRequest, indices []int) {
	inputs := make([][]byte, len(indices))
	inputTokens := make([]float64, len(indices))
	promptTokens := 0.0
	for position, i := range indices {
		inputs[position] = e.inputs[i]
		inputTokens[position] = e.inputTokens[i]
		promptTokens += e.inputTokens[i]
	}
	request.call = request.call.Shard(inputs, promptTokens)
	request.moduleRequest.PromptTokens = control.Tokens(promptTokens)
	request.promptTokens = promptTokens
	request.inputs = inputs
	request.inputTokens = inputTokens
	e.shardedFills++
	request.shardLabel = fmt.Sprintf("%d.", e.shardedFills)
}

// setEmbedding sets an input's embedding. If the request waits for more, the embedding is copied, so that the answer
// around it can be freed.
func (e *embeddingRequest) setEmbedding(index int, result openai.EmbeddingResult) {
	embedding := result.Embedding
	e.missing--
	if e.missing > 0 || len(e.fills) > 0 {
		embedding = bytes.Clone(embedding)
		e.copiedBytes += int64(len(embedding))
		e.request.pool.server.bufferedBytes += int64(len(embedding))
	}
	e.embeddings[index] = embedding
	e.inputUsage[index] = result.PromptTokens
}

// respondIfComplete answers the request if all embeddings are known. requestID is that of the latest computation, ""
// if there was none.
func (e *embeddingRequest) respondIfComplete(requestID string) {
	if e.missing > 0 || e.hasEnded {
		return
	}
	usage := int64(0)
	for i, earlier := range e.duplicateOf {
		e.embeddings[i] = e.embeddings[earlier]
		if i == earlier {
			usage += e.inputUsage[i]
		}
	}
	if requestID == "" {
		requestID = e.request.pool.server.requestIDs.next()
	}
	a := answer{
		outcome:     outcome.Served,
		status:      http.StatusOK,
		contentType: contentTypeJSON,
		requestID:   requestID,
		fields:      e.cacheField(),
	}
	if e.envelope == nil {
		e.envelope = append(gjson.AppendJSONString([]byte(`{"object":"list","data":[],"model":`), e.request.call.Model), `,"usage":{}}`...)
	}
	a.body = openai.AssembleResponse(e.envelope, e.embeddings, usage)
	e.respond(a)
}

// cacheField returns the header field that says whether all inputs were cached or some. It is empty if none was.
func (e *embeddingRequest) cacheField() string {
	switch {
	case e.cacheHits == 0:
		return ""
	case e.envelope == nil:
		return "x-cache: hit\r\n"
	}
	return "x-cache: partial\r\n"
}

// end answers the request with the answer to one of its computations. The others are cancelled.
func (e *embeddingRequest) end(a answer) {
	if !e.hasEnded {
		e.respond(a)
	}
}

// respond answers the request and cancels its computations.
func (e *embeddingRequest) respond(a answer) {
	e.cancel()
	e.client.respond(a)
}

// cancel implements operation. Other requests that wait for the cancelled computations start their own.
func (e *embeddingRequest) cancel() {
	if e.hasEnded {
		return
	}
	e.hasEnded = true
	cache := e.request.pool.embeddings
	server := e.request.pool.server
	server.bufferedBytes -= e.copiedBytes
	for _, fill := range e.fills {
		server.bufferedBytes -= fill.copiedBytes
		if fill.operation != nil {
			fill.operation.cancel()
		}
	}
	e.fills = nil
	var orphans []inputRef
	for _, id := range e.pendingIDs {
		if id == 0 {
			continue
		}
		delete(cache.pending, id)
		newLeader, hasNewLeader := cache.group.Cancel(id)
		if hasNewLeader {
			orphans = append(orphans, cache.pending[newLeader])
		}
	}
	cache.restart()
	startFills(orphans)
}

// clientWritable implements operation. It has no effect: the answer does not come in pieces.
func (e *embeddingRequest) clientWritable() {}
