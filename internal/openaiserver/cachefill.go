package openaiserver

import (
	"bytes"
	"slices"

	"martenlock/control/coalesce"
	"martenlock/control/outcome"
	"martenlock/internal/openai"
)

// cacheFill is a computation of some or all inputs of an embeddings request, and the responder of its operation.
type cacheFill struct {
	bufferedResponder
	request     *embeddingRequest
	inputs      []int // indices in the request
	call        *openai.Request
	operation   operation
	copiedBytes int64 // size of the inputs' copy in the call
}

// follower is an input of another request that waits for a cacheFill.
type follower struct {
	inputRef
	position int // index in cacheFill.inputs
}

// respond implements responder. It hands the result to all requests that wait for one of the inputs.
func (f *cacheFill) respond(a answer) {
	e := f.request
	cache := e.request.pool.embeddings
	f.remove()
	result := coalesce.OutcomeOfInput(a.outcome, len(f.inputs))
	followers, newLeaders := f.completeInputs(result)
	cache.restart()
	if result != outcome.Served {
		endFollowers(followers, a)
		e.end(a)
		startFills(newLeaders)
		return
	}
	if e.envelope == nil {
		e.envelope = a.body
	}
	isWholeRequest := len(f.inputs) == len(e.inputs) && len(followers) == 0
	if isWholeRequest && cache.cache == nil {
		e.respond(a)
		return
	}
	results := f.call.SplitResponse(a.body, f.computedTokens())
	f.store(results, isWholeRequest)
	serveFollowers(followers, a, results)
	if isWholeRequest {
		e.respond(a)
	} else {
		e.respondIfComplete(a.requestID)
	}
}

// remove removes the fill from its request.
func (f *cacheFill) remove() {
	e := f.request
	index := slices.Index(e.fills, f)
	if index >= 0 {
		e.fills = slices.Delete(e.fills, index, index+1)
	}
	e.request.pool.server.bufferedBytes -= f.copiedBytes
}

// completeInputs ends the inputs' computations in the coalescing group. It returns the inputs of other requests that
// share the result, and those that another request now has to compute.
func (f *cacheFill) completeInputs(result outcome.Outcome) (followers []follower, newLeaders []inputRef) {
	cache := f.request.request.pool.embeddings
	for position, index := range f.inputs {
		id := f.request.pendingIDs[index]
		f.request.pendingIDs[index] = 0
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

// computedTokens returns the estimated tokens of the fill's inputs.
func (f *cacheFill) computedTokens() []float64 {
	tokens := make([]float64, len(f.inputs))
	for position, index := range f.inputs {
		tokens[position] = f.request.inputTokens[index]
	}
	return tokens
}

// store caches the embeddings. It hands them to the request too, unless the request gets the answer unchanged.
func (f *cacheFill) store(results []openai.EmbeddingResult, isWholeRequest bool) {
	e := f.request
	cache := e.request.pool.embeddings.cache
	for position, index := range f.inputs {
		if cache != nil {
			cached := results[position]
			cached.Embedding = bytes.Clone(cached.Embedding) // so that the answer around it can be freed
			cache.Set(e.keys[index], cached)
		}
		if !isWholeRequest {
			e.setEmbedding(index, results[position])
		}
	}
}

// serveFollowers hands embeddings to the other requests that wait for them.
func serveFollowers(followers []follower, a answer, results []openai.EmbeddingResult) {
	for _, waiting := range followers {
		e := waiting.request
		e.pendingIDs[waiting.index] = 0
		if e.hasEnded {
			continue
		}
		if e.envelope == nil {
			e.envelope = openai.ResponseTemplate(a.body)
		}
		e.setEmbedding(waiting.index, results[waiting.position])
		e.respondIfComplete(a.requestID)
	}
}

// endFollowers answers the other requests that wait for a failed computation with its answer.
func endFollowers(followers []follower, a answer) {
	for _, waiting := range followers {
		waiting.request.pendingIDs[waiting.index] = 0
		waiting.request.end(a)
	}
}

// startFills starts a fill for each request whose inputs no other request computes any more.
func startFills(inputs []inputRef) {
	for len(inputs) > 0 {
		request := inputs[0].request
		var own []int
		others := inputs[:0:0]
		for _, input := range inputs {
			if input.request == request {
				own = append(own, input.index)
			} else {
				others = append(others, input)
			}
		}
		if !request.hasEnded {
			request.startFill(own)
		}
		inputs = others
	}
}
