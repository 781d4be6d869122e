package openaiserver

import (
	"fmt"
	"net/http"
	"time"

	"martenlock/control/outcome"
	"martenlock/internal/openai"
)

// responder takes the answer of an operation: a client's HTTP exchange, or an operation of which
// the one at hand is a part (a shard of a scattered request, a batch, a fill of the embedding
// cache). It hears of one end, by respond, end or abort.
type responder interface {
	// respond takes a whole answer.
	respond(answer)
	// begin takes the head of an answer that comes in pieces.
	begin(answerHead)
	// write takes a piece; true where the client is slow to take it, and the answer is to pause
	// until operation.clientWritable is called.
	write(data []byte) (isFull bool)
	// end ends an answer that is whole.
	end()
	// abort ends an answer that is not, so that nobody takes it for a whole one.
	abort(reason string)
	// isBatch tells that several requests wait for the answer, of which one may be what breaks
	// engines: the operation ends with the first attempt that batching.MayBeRequestFault names.
	isBatch() bool
}

// operation is what is done for a responder.
type operation interface {
	// clientGone ends it without an answer: its client has left or needs it no more.
	clientGone()
	// clientWritable tells that the client has taken what was written.
	clientWritable()
}

// answer is a whole answer.
type answer struct {
	outcome         outcome.Outcome
	status          int
	contentType     string
	requestID       string // under which engines know the request
	fields          string // further header fields, each with its line end
	body            []byte
	retryAfter      time.Duration // of a rejection
	attempts        int
	lostConnections int // attempts that ended with their connection
}

// answerHead begins an answer that comes in pieces.
type answerHead struct {
	status      int
	contentType string
	requestID   string
	length      int64 // below 0 where it is not known
}

// wholeAnswers is embedded by responders whose answers are checked, and so come whole.
type wholeAnswers struct{}

// begin is not called.
func (wholeAnswers) begin(answerHead) {}

// write is not called.
func (wholeAnswers) write([]byte) bool { return false }

// end is not called.
func (wholeAnswers) end() {}

// abort is not called.
func (wholeAnswers) abort(string) {}

// isBatch tells that one request waits for the answer.
func (wholeAnswers) isBatch() bool { return false }

// noOperation stands for one that is being started.
type noOperation struct{}

// clientGone has nothing to end.
func (noOperation) clientGone() {}

// clientWritable has nothing to resume.
func (noOperation) clientWritable() {}

// rejection is the answer to a request of which nothing was done.
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

// overloaded is the rejection for want of capacity.
func overloaded(requestID string, retryAfter time.Duration) answer {
	return rejection(requestID, http.StatusTooManyRequests, "overloaded", "The service is overloaded. Nothing was done; please retry later.", retryAfter)
}

// failure is the answer to a request that may have been executed. It promises nothing; the public
// clients don't retry it by themselves.
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

// retryFields are RFC 9110's field in whole seconds and the finer one that the public clients
// know.
func retryFields(after time.Duration) string {
	milliseconds := max(after.Milliseconds(), 1)
	return fmt.Sprintf("Retry-After: %d\r\nretry-after-ms: %d\r\n", (milliseconds+999)/1000, milliseconds)
}
