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

// embeddingRequest is an embeddings request that uses the embedding cache. Each input is answered from the cache, by a
// computation in flight for another request, or by a fill of this request.
type embeddingRequest struct {
	request     *inferenceRequest
	client      responder
	inputs      [][]byte
	inputTokens []float64
	keys        []coalesce.Key
	pendingIDs  []coalesce.RequestID // by input; 0 unless the request waits for its embedding
	duplicateOf []int                // by input: index of the first equal input, which may be itself

	embeddings   []openai.Embedding // by input; nil until known
	inputUsage   []int64            // by input: prompt tokens used
	missingCount int                // number of distinct inputs whose embeddings are not known yet
	cacheHits    int                // number of distinct inputs answered from the cache
	template     []byte             // answer of an engine, copied except for embeddings and usage; nil until there is one
	fills        []*cacheFill
	partialFills int   // number of fills that were started for only some of the inputs
	copiedBytes  int64 // size of the embeddings copied from answers; counted in Server.bufferedBytes
	hasEnded     bool
}

// startCached starts an embeddings request that may use the cache and computations in flight. It returns nil if the
// request may not.
func (r *inferenceRequest) startCached(client responder) operation {
	p := r.pool
	// Engines with different model revisions give different answers to the same input.
	if r.apiRequest.API != openai.Embeddings || !p.settings.Coalesces || p.revisionsMixed || !coalesce.MayCoalesce(*r.class()) {
		return nil
	}
	e := newEmbeddingRequest(r, client)
	leaders := e.resolveInputs()
	if e.missingCount == 0 {
		e.respondIfComplete("")
		return e
	}
	e.startFill(leaders)
	p.embeddingCache.restart()
	return e
}

// newEmbeddingRequest returns a request whose inputs have not been looked up yet.
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
	cache := e.request.pool.embeddingCache
	e.findDuplicates()
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
		e.missingCount++
		if cache.add(e, i) {
			leaders = append(leaders, i)
		}
	}
	return leaders
}

// findDuplicates sets duplicateOf for each input.
func (e *embeddingRequest) findDuplicates() {
	if len(e.keys) == 1 { // duplicateOf is already set to 0
		return
	}
	first := make(map[coalesce.Key]int, len(e.keys))
	for i, key := range e.keys {
		earlier, isDuplicate := first[key]
		if isDuplicate {
			e.duplicateOf[i] = earlier
			continue
		}
		e.duplicateOf[i] = i
		first[key] = i
	}
}

// startFill starts the computation of the inputs with the given indices. It does nothing if there are none.
func (e *embeddingRequest) startFill(indices []int) {
	if len(indices) == 0 {
		return
	}
	fill := &cacheFill{parent: e, inputIndices: indices, apiRequest: e.request.apiRequest}
	request := *e.request
	if len(indices) < len(e.inputs) {
		e.selectInputs(&request, indices)
		fill.apiRequest = request.apiRequest
		fill.copiedBytes = int64(request.apiRequest.BodySize())
		request.pool.server.bufferedBytes += fill.copiedBytes
	}
	e.fills = append(e.fills, fill)
	fill.operation = request.start(fill)
}

// selectInputs restricts request, a copy of e.request, to the inputs with the given indices.
func (e *embeddingRequest) selectInputs(request *inferenceRequest, indices []int) {
	inputs := make([][]byte, len(indices))
	inputTokens := make([]float64, len(indices))
	promptTokens := 0.0
	for position, i := range indices {
		inputs[position] = e.inputs[i]
		inputTokens[position] = e.inputTokens[i]
		promptTokens += e.inputTokens[i]
	}
	request.apiRequest = request.apiRequest.Shard(inputs, promptTokens)
	request.moduleRequest.PromptTokens = control.Tokens(promptTokens)
	request.promptTokens = promptTokens
	request.inputs = inputs
	request.inputTokens = inputTokens
	e.partialFills++
	request.shardLabel = fmt.Sprintf("%d.", e.partialFills) // startShard appends to it if the fill is scattered
}

// setEmbedding sets an input's embedding. It copies the embedding if the request still waits for other inputs, so that
// the answer that contains the embedding can be freed.
func (e *embeddingRequest) setEmbedding(index int, result openai.EmbeddingResult) {
	embedding := result.Embedding
	e.missingCount--
	if e.missingCount > 0 || len(e.fills) > 0 {
		embedding = bytes.Clone(embedding)
		e.copiedBytes += int64(len(embedding))
		e.request.pool.server.bufferedBytes += int64(len(embedding))
	}
	e.embeddings[index] = embedding
	e.inputUsage[index] = result.PromptTokens
}

// respondIfComplete answers the request if all embeddings are known. requestID is the id of the computation that ended
// last, or "" if there was none.
func (e *embeddingRequest) respondIfComplete(requestID string) {
	if e.missingCount > 0 || e.hasEnded {
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
	if e.template == nil {
		e.template = append(gjson.AppendJSONString([]byte(`{"object":"list","data":[],"model":`), e.request.apiRequest.Model), `,"usage":{}}`...)
	}
	a.body = openai.AssembleResponse(e.template, e.embeddings, usage)
	e.respond(a)
}

// cacheField returns the header field that tells the client whether all or some of the inputs were cached. It returns
// "" if none were.
func (e *embeddingRequest) cacheField() string {
	switch {
	case e.cacheHits == 0:
		return ""
	case e.template == nil:
		return "x-cache: hit\r\n"
	}
	return "x-cache: partial\r\n"
}

// end answers the request with the answer of one of its computations and cancels the others. It has no effect if the
// request has ended.
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

// cancel implements operation. Other requests that wait for one of its computations start their own.
func (e *embeddingRequest) cancel() {
	if e.hasEnded {
		return
	}
	e.hasEnded = true
	cache := e.request.pool.embeddingCache
	server := e.request.pool.server
	server.bufferedBytes -= e.copiedBytes
	for _, fill := range e.fills {
		server.bufferedBytes -= fill.copiedBytes
		if fill.operation != nil {
			fill.operation.cancel()
		}
	}
	e.fills = nil
	var newLeaders []inputRef
	for _, id := range e.pendingIDs {
		if id == 0 {
			continue
		}
		delete(cache.pending, id)
		newLeader, hasNewLeader := cache.group.Cancel(id)
		if hasNewLeader {
			newLeaders = append(newLeaders, cache.pending[newLeader])
		}
	}
	cache.restart()
	startFills(newLeaders)
}

// clientWritable implements operation. It has no effect because the answer is not streamed.
func (e *embeddingRequest) clientWritable() {}
