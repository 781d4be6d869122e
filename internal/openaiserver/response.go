package openaiserver

import (
	"net/http"
	"time"

	"martenlock/internal/http1"
	"martenlock/internal/openai"
)

// This file writes complete responses to clients.

var crlf = []byte("\r\n")

// Values of the type member of OpenAI's error objects.
const (
	errorTypeInvalidRequest = "invalid_request_error"
	errorTypeServer         = "server_error"
)

const contentTypeJSON = "application/json"

// responseHeadBytes is the initial capacity of the buffer for a response head. Nearly every head fits, so that building
// it allocates only once.
const responseHeadBytes = 256

// retryAfterFull is the Retry-After of requests that are rejected because of the server's own limits.
const retryAfterFull = time.Second

// newResponseHead returns the start of a response head: the status line and the fields Content-Type, x-request-id
// unless requestID is empty, and Connection if it is needed.
func (c *clientConn) newResponseHead(status int, contentType, requestID string) []byte {
	head := http1.AppendStatus(make([]byte, 0, responseHeadBytes), status)
	head = http1.AppendField(head, "Content-Type", contentType)
	if requestID != "" {
		head = http1.AppendField(head, "x-request-id", requestID)
	}
	return c.conn.AppendConnectionField(head)
}

// writeResponse writes a complete response. fields holds additional header fields, each ending with CRLF.
func (c *clientConn) writeResponse(status int, contentType, requestID, fields string, body []byte) {
	head := c.newResponseHead(status, contentType, requestID)
	c.conn.WriteResponse(append(head, fields...), body)
}

// respondJSON writes the response to a request that the server answers without an engine.
func (c *clientConn) respondJSON(status int, body []byte) {
	c.writeResponse(status, contentTypeJSON, "", "", body)
}

// respondError rejects a request before it reaches a decision module. fields holds additional header fields, each ending
// with CRLF. The connection is closed after the response if the start of the next request can't be found.
func (c *clientConn) respondError(err *openai.Error, fields string) {
	if !leavesParserInSync(err.Status) || !c.conn.IsBetweenRequests() {
		c.conn.CloseAfterResponse() // the next bytes may belong to this request
	}
	c.writeResponse(err.Status, contentTypeJSON, "", fields, err.AppendJSON(nil))
}

// leavesParserInSync reports whether another request may follow on the connection after an error response with the
// given status.
func leavesParserInSync(status int) bool {
	switch status {
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusBadRequest, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// respondOutOfMemory rejects a request that would exceed maxBufferedBytes, or whose body was evicted for lack of memory.
func (c *clientConn) respondOutOfMemory() {
	c.respondError(&openai.Error{
		Status:  http.StatusServiceUnavailable,
		Message: "Too many large requests at once.",
		Type:    errorTypeServer,
	}, retryFields(retryAfterFull))
}
