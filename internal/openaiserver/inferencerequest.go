package openaiserver

import (
	"time"

	"martenlock/control"
	"martenlock/internal/http1"
	"martenlock/internal/openai"
)

// inferenceRequest is a client's API request, or a part of one, for which an operation computes the answer.
type inferenceRequest struct {
	pool            *pool
	apiRequest      *openai.Request
	moduleRequest   control.Request // for the decision module; startExchange assigns the ID
	path            string
	forwardedFields []byte // additional header fields for engines, each ending with CRLF
	tenant          string
	fairShareKey    uint64        // identifies the tenant whose share of the admission queue the request uses
	promptTokens    float64       // estimated, without the pool's correction
	timeBudget      time.Duration // within which the request must be answered
	inputs          [][]byte      // the items (inputs or documents); nil before splitInputs is called
	inputTokens     []float64     // estimated tokens of each item
	shardLabel      string        // value of X-Request-Part; "" if the request is complete
}

// itemOverheadBytes is the estimated memory for each item of a request in addition to the body: slices, shards and
// exchanges. Without it, the memory for a request with many tiny items would be greatly underestimated.
const itemOverheadBytes = 300

// overheadBytes returns the estimated memory for the request in addition to its body.
func (r *inferenceRequest) overheadBytes() int64 {
	return int64(r.apiRequest.ItemCount) * itemOverheadBytes
}

func (r *inferenceRequest) class() *control.Class {
	return &r.pool.config.Control.Classes[r.moduleRequest.Class]
}

// start starts the operation that computes the request's answer. The client gets no answer before start has returned.
func (r *inferenceRequest) start(client responder) operation {
	if r.apiRequest.NeedsResponseCheck() {
		scattered := r.startScattered(client)
		if scattered != nil {
			return scattered
		}
		member := r.startBatched(client)
		if member != nil {
			return member
		}
	}
	return r.startExchange(client, r.pool.server.requestIDs.next())
}

// splitInputs returns the request's inputs or documents and the estimated tokens of each. Only the first call splits
// them.
func (r *inferenceRequest) splitInputs() ([][]byte, []float64) {
	if r.inputs == nil {
		r.inputs, r.inputTokens = r.apiRequest.Items(r.pool.server.config.Request.OpenAI)
	}
	return r.inputs, r.inputTokens
}

// startExchange starts an exchange for the request and passes the request to the decision module.
func (r *inferenceRequest) startExchange(client responder, requestID string) *exchange {
	p := r.pool
	started := &exchange{
		pool:         p,
		client:       client,
		id:           p.exchanges.NewID(),
		requestID:    requestID,
		apiRequest:   r.apiRequest,
		path:         r.path,
		engineFields: r.forwardedFields,
	}
	if r.shardLabel != "" { // distinguishes the shards, which all carry the client's own request id
		started.engineFields = http1.AppendField(r.forwardedFields[:len(r.forwardedFields):len(r.forwardedFields)], "X-Request-Part", r.shardLabel)
	}
	p.exchanges.ByID[started.id] = started
	event := r.moduleRequest
	event.ID = started.id
	p.push(event)
	return started
}
