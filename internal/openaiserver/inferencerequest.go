package openaiserver

import (
	"time"

	"martenlock/control"
	"martenlock/internal/http1"
	"martenlock/internal/openai"
)

// inferenceRequest is a request, or a part of one, that is to be computed.
type inferenceRequest struct {
	pool          *pool
	call          *openai.Request
	moduleRequest control.Request // its ID is set by startExchange
	path          string
	headers       []byte // header fields for engines, each with its line end
	tenant        string
	fairShareKey  uint64  // identifies whose share of the admission queue it uses
	promptTokens  float64 // estimated, without the pool's correction
	timeBudget    time.Duration
	inputs        [][]byte  // inputs or documents; nil until splitInputs
	inputTokens   []float64 // estimated, of each input
	shardSuffix   string    // X-Request-Part: which part of the client's request it is; "" for all of it
}

// itemOverheadBytes estimates the memory for each item of a request apart from its body: slices, shards and
// exchanges. Without it, a request with many tiny items would take much more memory than is counted for it.
const itemOverheadBytes = 300

// overheadBytes returns the estimated memory for the request apart from its body.
func (r *inferenceRequest) overheadBytes() int64 { return int64(r.call.ItemCount) * itemOverheadBytes }

// class returns the request's class.
func (r *inferenceRequest) class() *control.Class {
	return &r.pool.config.Control.Classes[r.moduleRequest.Class]
}

// start starts the operation that computes the request. The client is never answered before start has returned.
func (r *inferenceRequest) start(client responder) operation {
	if r.call.HasCheckedResponse() {
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

// splitInputs returns the request's inputs and their estimated tokens. They are split on the first call.
func (r *inferenceRequest) splitInputs() ([][]byte, []float64) {
	if r.inputs == nil {
		r.inputs, r.inputTokens = r.call.Items(r.pool.server.config.Request.OpenAI)
	}
	return r.inputs, r.inputTokens
}

// startExchange hands the request to the decision module as one exchange.
func (r *inferenceRequest) startExchange(client responder, requestID string) *exchange {
	p := r.pool
	started := &exchange{
		pool:      p,
		client:    client,
		id:        p.exchanges.NewID(),
		requestID: requestID,
		call:      r.call,
		path:      r.path,
		headers:   r.headers,
	}
	if r.shardSuffix != "" { // engines may see several requests with the same client's id
		started.headers = http1.AppendField(r.headers[:len(r.headers):len(r.headers)], "X-Request-Part", r.shardSuffix)
	}
	p.exchanges.ByID[started.id] = started
	event := r.moduleRequest
	event.ID = started.id
	p.push(event)
	return started
}
