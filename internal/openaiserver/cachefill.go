package openaiserver

import (
	"bytes"
	"slices"

	"martenlock/control/coalesce"
	"martenlock/control/outcome"
	"martenlock/internal/openai"
)

// cacheFill computes the embeddings of some or all inputs of an embeddings request, in an operation of its own. It is
// the responder of that operation.
type cacheFill struct {
	bufferedResponder
	parent       *embeddingRequest
	inputIndices []int // indices in parent.inputs
	apiRequest   *openai.Request
	operation    operation
	copiedBytes  int64 // size of the body in apiRequest if it was copied for this fill, or 0; counted in Server.bufferedBytes
}

// follower is an input of another request that waits for the result of a cacheFill.
type follower struct {
	inputRef
	position int // in cacheFill.inputIndices
}

// respond implements responder. It passes the result to all requests that wait for one of the inputs.
func (f *cacheFill) respond(a answer) {
	e := f.parent
	cache := e.request.pool.embeddingCache
	f.remove()
	result := coalesce.OutcomeOfInput(a.outcome, len(f.inputIndices))
	followers, newLeaders := f.completeInputs(result)
	cache.restart()
	if result != outcome.Served {
		endFollowers(followers, a)
		e.end(a)
		startFills(newLeaders)
		return
	}
	if e.template == nil {
		e.template = a.body
	}
	isWholeRequest := len(f.inputIndices) == len(e.inputs) && len(followers) == 0
	if isWholeRequest && cache.entries == nil {
		e.respond(a)
		return
	}
	results := f.apiRequest.SplitResponse(a.body, f.inputTokens())
	f.store(results, isWholeRequest)
	serveFollowers(followers, a, results)
	if isWholeRequest {
		e.respond(a)
	} else {
		e.respondIfComplete(a.requestID)
	}
}

// remove removes the fill from its parent and releases its memory budget.
func (f *cacheFill) remove() {
	e := f.parent
	index := slices.Index(e.fills, f)
	if index >= 0 {
		e.fills = slices.Delete(e.fills, index, index+1)
	}
	e.request.pool.server.bufferedBytes -= f.copiedBytes
}

// completeInputs records the result of each input in the coalescing group. It returns the inputs of other requests that
// share the result, and the inputs that another request now has to compute.
func (f *cacheFill) completeInputs(result outcome.Outcome) (followers []follower, newLeaders []inputRef) {
	cache := f.parent.request.pool.embeddingCache
	for position, index := range f.inputIndices {
		id := f.parent.pendingIDs[index]
		f.parent.pendingIDs[index] = 0
		delete(cache.pending, id)
		completion := cache.group.Complete(id, result)
		for _, followerID := range completion.SameResult {
			followers = append(followers, follower{inputRef: cache.pending[followerID], position: position})
			delete(cache.pending, followerID)
		}
		if completion.HasNewLeader {
			newLeaders = append(newLeaders, cache.pending[completion.NewLeader])
		}
	}
	return followers, newLeaders
}

// inputTokens returns the estimated tokens of each of the fill's inputs.
func (f *cacheFill) inputTokens() []float64 {
	tokens := make([]float64, len(f.inputIndices))
	for position, index := range f.inputIndices {
		tokens[position] = f.parent.inputTokens[index]
	}
	return tokens
}

// store caches the embeddings. It also sets them in the parent, unless the parent gets the engine's answer unchanged.
func (f *cacheFill) store(results []openai.EmbeddingResult, isWholeRequest bool) {
	e := f.parent
	cache := e.request.pool.embeddingCache.entries
	for position, index := range f.inputIndices {
		if cache != nil {
			cached := results[position]
			cached.Embedding = bytes.Clone(cached.Embedding) // the cache must not keep the whole answer in memory
			cache.Set(e.keys[index], cached)
		}
		if !isWholeRequest {
			e.setEmbedding(index, results[position])
		}
	}
}

// serveFollowers passes the embeddings to the other requests that wait for them.
func serveFollowers(followers []follower, a answer, results []openai.EmbeddingResult) {
	for _, waiting := range followers {
		e := waiting.request
		e.pendingIDs[waiting.index] = 0
		if e.hasEnded {
			continue
		}
		if e.template == nil {
			e.template = openai.ResponseTemplate(a.body)
		}
		e.setEmbedding(waiting.index, results[waiting.position])
		e.respondIfComplete(a.requestID)
	}
}

// endFollowers ends the other requests that wait for a computation that was not served. They get the computation's
// answer.
func endFollowers(followers []follower, a answer) {
	for _, waiting := range followers {
		waiting.request.pendingIDs[waiting.index] = 0
		waiting.request.end(a)
	}
}

// startFills starts the computation of inputs whose computation for another request was rejected or cancelled. It
// starts one fill for each request.
func startFills(inputs []inputRef) {
	for len(inputs) > 0 {
		request := inputs[0].request
		var indices []int
		remaining := inputs[:0:0]
		for _, input := range inputs {
			if input.request == request {
				indices = append(indices, input.index)
			} else {
				remaining = append(remaining, input)
			}
		}
		if !request.hasEnded {
			request.startFill(indices)
		}
		inputs = remaining
	}
}
