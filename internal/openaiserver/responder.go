package openaiserver

import (
	"fmt"
	"net/http"
	"time"

	"martenlock/control/outcome"
	"martenlock/internal/openai"
)

// responder receives the answer of an operation. It is a client's HTTP exchange, or an operation that needs
// another one for its own answer: a shard of a scattered request, a batch, a fill of the embedding cache. Exactly
// one of respond, end and abort ends the answer, unless the operation is cancelled.
type responder interface {
	// respond receives a complete answer.
	respond(answer)
	// begin receives the head of an answer that comes in pieces.
	begin(answerHead)
	// write receives a piece of the answer. If mustPause is set, no further piece may follow until
	// operation.clientWritable is called.
	write(data []byte) (mustPause bool)
	// end completes an answer that came in pieces.
	end()
	// abort ends an incomplete answer in such a way that the client can't take it for a complete one.
	abort(reason string)
	// isBatch reports whether several requests share the answer. One of them may be what makes engines fail, so
	// the operation ends with the first attempt for which batching.MayBeRequestFault holds.
	isBatch() bool
}

// operation computes an answer for a responder.
type operation interface {
	// cancel ends the operation without an answer: the client has left or no longer needs it.
	cancel()
	// clientWritable resumes the answer after responder.write has asked for a pause.
	clientWritable()
}

// answer is a complete answer.
type answer struct {
	outcome         outcome.Outcome
	status          int
	contentType     string
	requestID       string // under which engines know the request
	fields          string // additional header fields, each with its line end
	body            []byte
	retryAfter      time.Duration // of a rejection
	attempts        int
	lostConnections int // attempts that ended with their connection
}

// answerHead is the head of an answer that comes in pieces.
type answerHead struct {
	status      int
	contentType string
	requestID   string
	length      int64 // of the body in bytes; negative if it is not known
}

// bufferedResponder is embedded by responders whose answers are always complete: HasCheckedResponse holds for their
// calls, so that exchange buffers the response. Its methods are never called, except for isBatch.
type bufferedResponder struct{}

// begin implements responder.
func (bufferedResponder) begin(answerHead) {}

// write implements responder.
func (bufferedResponder) write([]byte) bool { return false }

// end implements responder.
func (bufferedResponder) end() {}

// abort implements responder.
func (bufferedResponder) abort(string) {}

// isBatch implements responder: one request needs the answer.
func (bufferedResponder) isBatch() bool { return false }

// noOperation stands for an operation that is being started.
type noOperation struct{}

// cancel implements operation.
func (noOperation) cancel() {}

// clientWritable implements operation.
func (noOperation) clientWritable() {}

// rejection returns the answer to a request of which nothing was executed.
func rejection(requestID string, status int, code, message string, retryAfter time.Duration) answer {
	err := openai.Error{Status: status, Message: message, Type: errorTypeServer, Code: code}
	return answer{
		outcome:     outcome.Rejected,
		status:      status,
		contentType: contentTypeJSON,
		requestID:   requestID,
		fields:      retryFields(retryAfter),
		body:        err.AppendJSON(nil),
		retryAfter:  retryAfter,
	}
}

// overloaded returns the rejection of a request for which there is no capacity.
func overloaded(requestID string, retryAfter time.Duration) answer {
	return rejection(requestID, http.StatusTooManyRequests, "overloaded", "The service is overloaded. Nothing was done; please retry later.", retryAfter)
}

// failure returns the answer to a request that may have been executed. x-should-retry stops the public clients
// from retrying it by themselves.
func failure(requestID string, status int, message string) answer {
	err := openai.Error{Status: status, Message: message, Type: errorTypeServer, Code: "engine_failed"}
	return answer{
		outcome:     outcome.Failed,
		status:      status,
		contentType: contentTypeJSON,
		requestID:   requestID,
		fields:      "x-should-retry: false\r\n",
		body:        err.AppendJSON(nil),
	}
}

// retryFields returns the header fields of a rejection: RFC 9110's Retry-After in whole seconds, rounded up, and
// the public clients' retry-after-ms.
func retryFields(after time.Duration) string {
	milliseconds := max(after.Milliseconds(), 1)
	return fmt.Sprintf("Retry-After: %d\r\nretry-after-ms: %d\r\n", (milliseconds+999)/1000, milliseconds)
}
