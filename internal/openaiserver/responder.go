package openaiserver

import (
	"fmt"
	"net/http"
	"time"

	"martenlock/control/outcome"
	"martenlock/internal/openai"
)

// responder receives the answer of an operation. It is a client's HTTP exchange, or part of an operation that starts
// other operations: a shard of a scattered request, a batch, a fill of the embedding cache. Unless the operation is
// cancelled, exactly one of respond, end and abort is called, once.
type responder interface {
	// respond receives a complete answer.
	respond(answer)
	// begin receives the head of a streamed answer.
	begin(answerHead)
	// write receives the next part of the body of a streamed answer. If mustPause is true, the operation must stop
	// reading from its engine until operation.clientWritable is called. It may still write what it has already read.
	write(data []byte) (mustPause bool)
	// end completes a streamed answer.
	end()
	// abort ends an incomplete streamed answer so that the client can tell that it is incomplete.
	abort(reason string)
	// isBatch reports whether several requests share the answer. One of them may cause engines to fail. An operation
	// for a batch is therefore not retried after a result for which batching.MayBeRequestFault holds.
	isBatch() bool
}

// operation computes an answer for a responder.
type operation interface {
	// cancel ends the operation without an answer, because the client has disconnected or no longer needs one.
	cancel()
	// clientWritable resumes a streamed answer that was paused because responder.write returned true.
	clientWritable()
}

// answer is a complete answer.
type answer struct {
	outcome         outcome.Outcome
	status          int
	contentType     string
	requestID       string // sent to the client as x-request-id; "" for none
	fields          string // additional header fields, each ending with CRLF
	body            []byte
	retryAfter      time.Duration // of a rejected request; 0 for other outcomes
	attempts        int
	lostConnections int // attempts that failed because their connection was lost
}

// answerHead is the head of a streamed answer.
type answerHead struct {
	status      int
	contentType string
	requestID   string
	length      int64 // of the body, in bytes; negative if unknown
}

// bufferedResponder is embedded in responders that never get a streamed answer. NeedsResponseCheck holds for their
// requests, so attempts buffer the whole response. Of its methods, only isBatch is ever called.
type bufferedResponder struct{}

// begin implements responder.
func (bufferedResponder) begin(answerHead) {}

// write implements responder.
func (bufferedResponder) write([]byte) bool { return false }

// end implements responder.
func (bufferedResponder) end() {}

// abort implements responder.
func (bufferedResponder) abort(string) {}

// isBatch implements responder. The answer is for one request only.
func (bufferedResponder) isBatch() bool { return false }

// noOperation is the operation of an httpExchange whose real operation is being started. It does nothing.
type noOperation struct{}

// cancel implements operation.
func (noOperation) cancel() {}

// clientWritable implements operation.
func (noOperation) clientWritable() {}

// rejectionAnswer returns the answer to a request that the client may safely retry, though it may have been executed.
// retryAfter is sent to the client.
func rejectionAnswer(requestID string, status int, code, message string, retryAfter time.Duration) answer {
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

// overloadedAnswer returns the answer to a request that is rejected for lack of capacity.
func overloadedAnswer(requestID string, retryAfter time.Duration) answer {
	return rejectionAnswer(requestID, http.StatusTooManyRequests, "overloaded", "The service is overloaded. A retry is harmless; please retry later.", retryAfter)
}

// failureAnswer returns the answer to a failed request that may have been executed. Its x-should-retry field stops
// OpenAI's client libraries from retrying the request automatically.
func failureAnswer(requestID string, status int, message string) answer {
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

// retryFields returns the header fields that tell a client when to retry: Retry-After (RFC 9110, section 10.2.3) in
// whole seconds, rounded up, and retry-after-ms, which OpenAI's client libraries read. The time is at least 1 ms.
func retryFields(after time.Duration) string {
	milliseconds := max(after.Milliseconds(), 1)
	return fmt.Sprintf("Retry-After: %d\r\nretry-after-ms: %d\r\n", (milliseconds+999)/1000, milliseconds)
}
