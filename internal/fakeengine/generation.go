package fakeengine

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"martenlock/control"
	"martenlock/internal/http1"
	"martenlock/internal/invariant"
	"martenlock/internal/openai"
)

// unpacedBurstTokens is the number of tokens that an engine with a TokenInterval of 0 generates before it
// yields to other connections.
const unpacedBurstTokens = 64

// vocabulary contains the words of which responses consist, repeated as needed. Each word is a token.
var vocabulary = strings.Fields("snow on the roof and ice in the pipe keep the boiler warm until the crew has come over the hill")

// completePrefill ends a job's prefill and continues with its next stage. Embeddings and rerank requests
// have no further stage, so it sends their responses.
func (j *job) completePrefill() {
	if j.engine.fault.Hang {
		j.waitWhileHung(j.completePrefill)
		return
	}
	j.engine.scheduler.endPrefill(j)
	switch {
	case j.request.API == openai.Embeddings:
		j.observe(invariant.Executed)
		j.respond(j.embeddings())
	case j.request.API == openai.Rerank:
		j.observe(invariant.Executed)
		j.respond(j.rerank())
	case j.stages == control.RolePrefill:
		j.respondWithKVState()
	default:
		j.engine.scheduler.addDecode(j)
	}
}

// respondWithKVState retains the KV state of a prefill and responds with the parameters for fetching it.
func (j *job) respondWithKVState() {
	state := newKVState(j)
	j.engine.kvStore.retain(j, state)
	if j.engine.fault.AnswersLost {
		return
	}
	j.respond(j.prefillResponse(state))
}

// startDecode starts the decode of a job that has a slot. A decode without a prefill on this engine fetches
// its KV state first.
func (j *job) startDecode() {
	if j.stages == control.RoleDecode {
		j.startKVFetch()
		return
	}
	j.decode()
}

// decode starts to generate tokens. From here on the request counts as executed.
func (j *job) decode() {
	j.observe(invariant.Executed)
	j.decodeToken()
}

// decodeToken generates the next token, then schedules another one or ends the response.
func (j *job) decodeToken() {
	fault := &j.engine.fault
	switch {
	case fault.Hang:
		j.waitWhileHung(j.decodeToken)
		return
	case fault.resetsAfter(j.tokensGenerated):
		j.conn.reset()
		return
	case fault.stallsAfter(j.tokensGenerated):
		return
	}
	if j.request.Stream {
		j.streamToken()
	}
	j.tokensGenerated++
	switch {
	case j.tokensGenerated < j.answerTokens:
		j.awaitNextToken()
	case j.request.Stream:
		j.endStream()
	default:
		j.respond(j.completion())
	}
}

// awaitNextToken schedules the next token. If the connection's output buffer is full, the token waits until
// the connection is writable.
func (j *job) awaitNextToken() {
	spec := &j.engine.Spec
	isOutputFull := j.conn.socket.AboveHighWaterMark()
	switch {
	case isOutputFull:
		j.isOutputFull = true
	case spec.TokenInterval == 0 && j.tokensGenerated%unpacedBurstTokens != 0:
		j.decodeToken()
	default:
		j.timer.Fire = j.decodeToken
		j.engine.cluster.loop.StartTimer(&j.timer, time.Duration(float64(spec.TokenInterval)/j.engine.speed()))
	}
}

// streamToken sends the current token, after the head of the response if it is the first.
func (j *job) streamToken() {
	if !j.streamStarted {
		j.streamStarted = true
		head := j.conn.appendHead(nil, http.StatusOK, contentTypeEvents)
		j.conn.socket.Write(append(head, "Transfer-Encoding: chunked\r\n\r\n"...))
	}
	j.sendEvent(j.streamEvent(tokenText(j.tokensGenerated), "null"))
}

// endStream sends the last events of a stream and finishes the job.
func (j *job) endStream() {
	j.sendEvent(j.streamEvent("", `"stop"`))
	if j.wantsUsage {
		j.sendEvent(fmt.Appendf(nil, `{"id":%q,"object":"chat.completion.chunk","created":1,"model":%q,"choices":[],"usage":%s}`,
			j.requestID, j.request.Model, j.usage()))
	}
	j.conn.socket.Write(http1.AppendChunk(nil, []byte(openai.StreamEnd)))
	j.conn.socket.Write([]byte(http1.LastChunk))
	j.engine.counters.served++
	j.finish()
	j.conn.finishRequest()
}

// sendEvent sends one event of a stream as a chunk.
func (j *job) sendEvent(data []byte) {
	j.conn.socket.Write(http1.AppendChunk(nil, openai.AppendEvent(nil, data)))
}
