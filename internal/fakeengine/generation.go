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

// unpacedBurstTokens is the number of tokens that an engine with a TokenInterval of 0 sends before other
// connections are served.
const unpacedBurstTokens = 64

// vocabulary is the text of every response, repeated as needed. Each word is a token.
var vocabulary = strings.Fields("snow on the roof and ice in the pipe keep the boiler warm until the crew has come over the hill")

// completePrefill ends a job's prefill and continues with its next stage. Embeddings and rerank requests
// have no other stage and are answered.
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
	case j.stage == control.RolePrefill:
		j.respondWithKVState()
	default:
		j.engine.scheduler.addDecode(j)
	}
}

// respondWithKVState retains the KV state of a prefill and responds with where to fetch it.
func (j *job) respondWithKVState() {
	state := newKVState(j)
	j.engine.kvStore.retain(j, state)
	if j.engine.fault.AnswersLost {
		return
	}
	j.respond(j.prefillResponse(state))
}

// startDecode starts the decode of a job that has a slot. If another engine has the KV state, it is
// fetched first.
func (j *job) startDecode() {
	if j.stage == control.RoleDecode {
		j.startKVFetch()
		return
	}
	j.decode()
}

// decode makes the first token. From here on the request counts as executed.
func (j *job) decode() {
	j.observe(invariant.Executed)
	j.decodeToken()
}

// decodeToken makes the next token and schedules the one after it, or ends the response.
func (j *job) decodeToken() {
	fault := &j.engine.fault
	switch {
	case fault.Hang:
		j.waitWhileHung(j.decodeToken)
		return
	case fault.resetsAfter(j.tokensSent):
		j.conn.reset()
		return
	case fault.stallsAfter(j.tokensSent):
		return
	}
	if j.request.Stream {
		j.streamToken()
	}
	j.tokensSent++
	switch {
	case j.tokensSent < j.tokensWanted:
		j.awaitNextToken()
	case j.request.Stream:
		j.endStream()
	default:
		j.respond(j.completion())
	}
}

// awaitNextToken schedules the next token for when it is due and the connection is writable.
func (j *job) awaitNextToken() {
	spec := &j.engine.Spec
	isOutputFull := j.conn.socket.AboveHighWaterMark()
	switch {
	case isOutputFull:
		j.isOutputFull = true
	case spec.TokenInterval == 0 && j.tokensSent%unpacedBurstTokens != 0:
		j.decodeToken()
	default:
		j.timer.Fire = j.decodeToken
		j.engine.cluster.loop.StartTimer(&j.timer, time.Duration(float64(spec.TokenInterval)/j.engine.speed()))
	}
}

// streamToken sends the current token. The first is preceded by the head of the response.
func (j *job) streamToken() {
	if !j.streamStarted {
		j.streamStarted = true
		head := j.conn.appendHead(nil, http.StatusOK, contentTypeEvents)
		j.conn.socket.Write(append(head, "Transfer-Encoding: chunked\r\n\r\n"...))
	}
	j.sendEvent(j.streamEvent(tokenText(j.tokensSent), "null"))
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
