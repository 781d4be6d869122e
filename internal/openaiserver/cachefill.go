package openaiserver

import (
	"bytes"

	"martenlock/control/coalesce"
	"martenlock/control/outcome"
	"martenlock/internal/openai"
)

// cacheFill is the responder of the computation of some inputs of an embeddings request.
type cacheFill struct {
	bufferedResponder
	request     *embeddingRequest
	inputs      []int
	call        *openai.Request
	operation   operation
	copiedBytes int64 // of the inputs
}

// follower is an input of another request that waited for a computation.
type follower struct {
	inputRef
	position int // among the computed inputs
}

// respond takes the answer of the computation and gives it to all who wait for its inputs.
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
	if e.frame == nil {
		e.frame = a.body
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

// remove takes the computation out of its request's.
func (f *cacheFill) remove() {
	e := f.request
	for i, other := range e.fills {
		if other == f {
			e.fills = append(e.fills[:i], e.fills[i+1:]...)
			break
		}
	}
	e.request.pool.server.bufferedBytes -= f.copiedBytes
}

// completeInputs tells the coalescing group how the inputs ended. It returns the inputs of others
// that share the result, and those that are to be computed for others.
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

// computedTokens returns the estimated tokens of the computed inputs.
func (f *cacheFill) computedTokens() []float64 {
	tokens := make([]float64, len(f.inputs))
	for position, index := range f.inputs {
		tokens[position] = f.request.inputTokens[index]
	}
	return tokens
}

// store caches the embeddings, and gives them to the request unless it gets the answer as it is.
func (f *cacheFill) store(results []openai.EmbeddingResult, isWholeRequest bool) {
	e := f.request
	cache := e.request.pool.embeddings.cache
	for position, index := range f.inputs {
		if cache != nil { // without the answer around it
			cache.Set(e.keys[index], cachedEmbedding{piece: bytes.Clone(results[position].Embedding), usage: results[position].PromptTokens})
		}
		if !isWholeRequest {
			e.setEmbedding(index, results[position])
		}
	}
}

// serveFollowers gives embeddings to those who waited for them.
func serveFollowers(followers []follower, a answer, results []openai.EmbeddingResult) {
	for _, waiting := range followers {
		e := waiting.request
		e.pendingIDs[waiting.index] = 0
		if e.hasEnded {
			continue
		}
		if e.frame == nil {
			e.frame = openai.ResponseTemplate(a.body)
		}
		e.setEmbedding(waiting.index, results[waiting.position])
		e.respondIfComplete(a.requestID)
	}
}

// endFollowers gives those who waited for a computation the answer that it failed with.
func endFollowers(followers []follower, a answer) {
	for _, waiting := range followers {
		waiting.request.pendingIDs[waiting.index] = 0
		waiting.request.end(a)
	}
}

// startFills has inputs computed by those who waited for another to do it.
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
