package fakeengine

import (
	"bytes"
	"cmp"
	"net/http"

	"github.com/tidwall/gjson"

	"martenlock/control"
	"martenlock/internal/invariant"
	"martenlock/internal/openai"
	"martenlock/internal/timerwheel"
)

// decodeOptions accept everything that the router forwards.
var decodeOptions = openai.DecodeOptions{
	BytesPerToken:    4,
	DefaultMaxTokens: 1 << 20,
	MaxInputs:        1 << 20,
	MaxDocuments:     1 << 20,
}

// job is the execution of one request.
type job struct {
	conn      *conn
	engine    *Engine
	requestID string // id that the router assigned
	recordID  string // request id in recorded events
	request   *openai.Request
	body      []byte
	stages    control.Role // prefill, decode or both
	timer     timerwheel.Timer

	isPrefilling bool     // in prefill, or waiting for it
	hasSlot      bool     // has a decode slot
	fetch        *kvFetch // fetch of the KV state; nil if none is in progress

	answerTokens    int
	tokensGenerated int
	wantsUsage      bool // token counts at the end of a stream
	streamStarted   bool
	isOutputFull    bool // paused until the connection is writable
}

// startJob starts the execution of the current request, or responds with an error.
func (c *conn) startJob(api openai.API) {
	request, err := openai.Decode(api, c.body, decodeOptions)
	if err != nil {
		c.respond(response{status: err.Status, contentType: contentTypeJSON, body: err.AppendJSON(nil)})
		c.finishRequest()
		return
	}
	j := newJob(c, request)
	c.job = j
	if c.unreadID == "" { // otherwise recordUnread has recorded the attempt
		j.observe(invariant.AttemptBegan)
	}
	c.unreadID = ""
	if j.applyFault() || j.rejectIfUnservable() {
		return
	}
	c.engine.scheduler.add(j)
}

// newJob returns the job of the current request.
func newJob(c *conn, request *openai.Request) *job {
	return &job{
		conn:         c,
		engine:       c.engine,
		requestID:    c.requestID,
		recordID:     cmp.Or(c.recordID, c.requestID),
		request:      request,
		body:         c.body,
		stages:       requestedStages(c.body),
		answerTokens: min(max(c.engine.Spec.AnswerTokens, 1), request.MaxTokens),
		wantsUsage:   gjson.GetBytes(c.body, "stream_options.include_usage").Bool(),
	}
}

// requestedStages returns the stages that the kv_transfer_params of a request ask for.
func requestedStages(body []byte) control.Role {
	transfer := gjson.GetBytes(body, kvTransferField)
	switch {
	case transfer.Get("do_remote_decode").Bool():
		return control.RolePrefill
	case transfer.Get("do_remote_prefill").Bool():
		return control.RoleDecode
	}
	return control.RoleColocated
}

// applyFault applies the markers in the request and the faults that precede execution. It reports whether
// one of them ended the job.
func (j *job) applyFault() bool {
	switch {
	case bytes.Contains(j.body, []byte(CrashMarker)):
		j.engine.kill()
		return true
	case bytes.Contains(j.body, []byte(RejectMarker)):
		j.fail(http.StatusBadRequest, "invalid_input", "an input that no engine takes")
		return true
	case j.engine.fault.ResetBefore:
		j.conn.reset()
		return true
	}
	isFailure := j.engine.failsByErrorRate()
	if isFailure {
		j.fail(http.StatusInternalServerError, "internal_error", "made to fail")
	}
	return isFailure
}

// rejectIfUnservable rejects a job if the fault rejects all requests, if the engine has no capacity for it, or
// if a decode engine gets a request without KV state. It reports whether it rejected the job.
func (j *job) rejectIfUnservable() bool {
	e := j.engine
	switch {
	case e.fault.RejectAll || e.scheduler.isFull() || e.kvStore.isFull():
		j.fail(http.StatusServiceUnavailable, "overloaded", "no place in the queue")
	case e.Spec.Role == control.RoleDecode && j.stages == control.RoleColocated:
		j.failKVMissing("a decode engine needs a KV state")
	default:
		return false
	}
	return true
}

// observe records an event of the job.
func (j *job) observe(kind invariant.Kind) {
	work := 0.0
	if kind == invariant.AttemptBegan {
		work = j.work()
	}
	j.engine.observe(kind, j.recordID, work)
}

// work returns the engine time that the job takes at full speed, in seconds. The time of a decode is divided
// by the number of slots, since decodes run concurrently.
func (j *job) work() float64 {
	spec := &j.engine.Spec
	work := 0.0
	if j.stages != control.RoleDecode {
		work = j.prefillTokens() / spec.PrefillTokensPerSecond
	}
	if j.stages != control.RolePrefill && spec.TokenInterval > 0 {
		work += float64(j.answerTokens) * spec.TokenInterval.Seconds() / float64(max(spec.DecodeSlots, 1))
	}
	return work
}

// respond responds with status 200 and finishes the job.
func (j *job) respond(body []byte) {
	if j.engine.Spec.Role != control.RolePrefill {
		j.engine.counters.served++
	}
	j.finish()
	j.conn.respond(response{status: http.StatusOK, contentType: contentTypeJSON, body: body})
	j.conn.finishRequest()
}

// fail responds with an error and finishes the job.
func (j *job) fail(status int, code, message string) {
	j.finish()
	j.conn.fail(status, code, message)
}

// finish ends a completed or cancelled job. It releases the job's timer, KV fetch, queue entries and slot.
func (j *job) finish() {
	j.engine.cluster.loop.StopTimer(&j.timer)
	if j.fetch != nil {
		j.fetch.socket.Abort()
		j.fetch = nil
	}
	j.engine.scheduler.remove(j)
	j.observe(invariant.AttemptEnded)
	if j.hasSlot {
		j.engine.scheduler.releaseSlot(j)
	}
}
