package openaiserver

import (
	"time"

	"martenlock/control"
	"martenlock/internal/http1"
	"martenlock/internal/openai"
)

// inferenceRequest is a request, or a part of one, as it is to be computed.
type inferenceRequest struct {
	pool          *pool
	call          *openai.Request
	moduleRequest control.Request // without its id
	path          string
	headers       []byte // fields that engines get
	tenant        string
	fairShareKey  uint64 // whose share of the admission queue it takes
	prompt        float64
	timeBudget    time.Duration
	inputs        [][]byte  // its inputs or documents; nil where they were not split yet
	inputTokens   []float64 // estimated, of each input
	partMark      string    // which part of its client's request it is; "" for all
}

// itemOverheadBytes is what is kept for each item of a request beside its body: tables, places,
// runs. Many tiny items take more than they say.
const itemOverheadBytes = 300

// overheadBytes returns what keeping the request costs beside its body.
func (r *inferenceRequest) overheadBytes() int64 { return int64(r.call.ItemCount) * itemOverheadBytes }

// class returns the module's class of the request.
func (r *inferenceRequest) class() *control.Class {
	return &r.pool.config.Control.Classes[r.moduleRequest.Class]
}

// start starts the operation of the request. It answers no sooner than in a later iteration.
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

// splitInputs returns the inputs of the request and their tokens, which it keeps.
func (r *inferenceRequest) splitInputs() ([][]byte, []float64) {
	if r.inputs == nil {
		r.inputs, r.inputTokens = r.call.Items(r.pool.server.config.Request.OpenAI)
	}
	return r.inputs, r.inputTokens
}

// startExchange hands the request to the module as it is.
func (r *inferenceRequest) startExchange(client responder, requestID string) *exchange {
	p := r.pool
	x := &exchange{
		pool:      p,
		client:    client,
		id:        p.exchanges.newID(),
		requestID: requestID,
		call:      r.call,
		path:      r.path,
		headers:   r.headers,
	}
	if r.partMark != "" { // engines may see several of a client's id at once
		x.headers = http1.AppendField(r.headers[:len(r.headers):len(r.headers)], "X-Request-Part", r.partMark)
	}
	p.exchanges.byID[x.id] = x
	event := r.moduleRequest
	event.ID = x.id
	p.push(event)
	return x
}
