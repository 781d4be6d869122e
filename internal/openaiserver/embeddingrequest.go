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

// embeddingRequest is an embeddings request whose inputs are computed for it, by others, or
// cached.
type embeddingRequest struct {
	request     *inferenceRequest
	client      responder
	inputs      [][]byte
	inputTokens []float64
	keys        []coalesce.Key
	pendingIDs  []coalesce.RequestID // of inputs that are not known yet; 0 for others
	sameAs      []int                // the earlier input that it repeats, or itself

	pieces       []openai.Embedding
	usage        []int64
	missing      int // inputs that are not known yet
	cacheHits    int
	frame        []byte // an answer to take the other members from
	fills        []*cacheFill
	partialFills int   // begun, of some of its inputs
	copiedBytes  int64 // of pieces
	hasEnded     bool
}

// startCached computes an embeddings request with what is known; nil where each request is to be
// computed for itself.
func (r *inferenceRequest) startCached(client responder) operation {
	p := r.pool
	// Engines of two revisions give two answers to one input: neither is known ahead.
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

// newEmbeddingRequest returns a request of which no input was looked up yet.
func newEmbeddingRequest(r *inferenceRequest, client responder) *embeddingRequest {
	inputs, tokens := r.splitInputs()
	return &embeddingRequest{
		request:     r,
		client:      client,
		inputs:      inputs,
		inputTokens: tokens,
		keys:        r.cacheKeys(inputs),
		pendingIDs:  make([]coalesce.RequestID, len(inputs)),
		sameAs:      make([]int, len(inputs)),
		pieces:      make([]openai.Embedding, len(inputs)),
		usage:       make([]int64, len(inputs)),
	}
}

// resolveInputs takes what is cached, and returns the inputs that this request is to compute; the
// others wait for another's computation.
func (e *embeddingRequest) resolveInputs() (leaders []int) {
	cache := e.request.pool.embeddings
	e.markRepeatedInputs()
	for i, key := range e.keys {
		if e.sameAs[i] != i {
			continue
		}
		entry, isCached := cache.lookUp(key)
		if isCached {
			e.pieces[i] = entry.piece
			e.usage[i] = entry.usage
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

// markRepeatedInputs finds the inputs that the request has several times.
func (e *embeddingRequest) markRepeatedInputs() {
	if len(e.keys) == 1 { // nothing to compare
		return
	}
	first := make(map[coalesce.Key]int, len(e.keys))
	for i, key := range e.keys {
		earlier, isRepeated := first[key]
		if isRepeated {
			e.sameAs[i] = earlier
			continue
		}
		e.sameAs[i] = i
		first[key] = i
	}
}

// startFill starts the computation of some inputs.
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

// selectInputs makes a request one for some of the inputs.
func (e *embeddingRequest) selectInputs(request *inferenceRequest, indices []int) {
	inputs := make([][]byte, len(indices))
	inputTokens := make([]float64, len(indices))
	prompt := 0.0
	for k, i := range indices {
		inputs[k] = e.inputs[i]
		inputTokens[k] = e.inputTokens[i]
		prompt += e.inputTokens[i]
	}
	request.call = request.call.Shard(inputs, prompt)
	request.moduleRequest.PromptTokens = control.Tokens(prompt)
	request.prompt = prompt
	request.inputs = inputs
	request.inputTokens = inputTokens
	e.partialFills++
	request.partMark = fmt.Sprintf("%d.", e.partialFills)
}

// setEmbedding takes in an input's embedding. One that is kept for a while is copied, without the
// answer around it.
func (e *embeddingRequest) setEmbedding(index int, result openai.EmbeddingResult) {
	piece := result.Embedding
	e.missing--
	if e.missing > 0 || len(e.fills) > 0 {
		piece = bytes.Clone(piece)
		e.copiedBytes += int64(len(piece))
		e.request.pool.server.bufferedBytes += int64(len(piece))
	}
	e.pieces[index] = piece
	e.usage[index] = result.PromptTokens
}

// respondIfComplete answers when all inputs are known. requestID is that of the latest computation;
// "" where there was none.
func (e *embeddingRequest) respondIfComplete(requestID string) {
	if e.missing > 0 || e.hasEnded {
		return
	}
	usage := int64(0)
	for i, earlier := range e.sameAs {
		e.pieces[i] = e.pieces[earlier]
		if i == earlier {
			usage += e.usage[i]
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
	if e.frame == nil {
		e.frame = append(gjson.AppendJSONString([]byte(`{"object":"list","data":[],"model":`), e.request.call.Model), `,"usage":{}}`...)
	}
	a.body = openai.AssembleResponse(e.frame, e.pieces, usage)
	e.respond(a)
}

// cacheField is the header field that tells whether all inputs were cached, or some.
func (e *embeddingRequest) cacheField() string {
	switch {
	case e.cacheHits == 0:
		return ""
	case e.frame == nil:
		return "x-cache: hit\r\n"
	}
	return "x-cache: partial\r\n"
}

// end answers with what became of one of its computations; the others are withdrawn.
func (e *embeddingRequest) end(a answer) {
	if !e.hasEnded {
		e.respond(a)
	}
}

// respond ends the request with an answer.
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
	s := e.request.pool.server
	s.bufferedBytes -= e.copiedBytes
	for _, fill := range e.fills {
		s.bufferedBytes -= fill.copiedBytes
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

// clientWritable does nothing: the answer is written whole.
func (e *embeddingRequest) clientWritable() {}
