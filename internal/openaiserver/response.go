package openaiserver

import (
	"net/http"
	"time"

	"martenlock/internal/http1"
	"martenlock/internal/openai"
)

// This file writes a client's complete responses.

var crlf = []byte("\r\n")

// Types of OpenAI's errors.
const (
	errorTypeInvalidRequest = "invalid_request_error"
	errorTypeServer         = "server_error"
)

const contentTypeJSON = "application/json"

// responseHeadBytes is the initial capacity of a response's head. Nearly every head fits, so that building one allocates
// once.
const responseHeadBytes = 256

// retryAfterFull is the Retry-After of a rejection because of the server's own bounds.
const retryAfterFull = time.Second

// appendResponseHead returns the beginning of a response's head, without the fields that frame its
// body.
func (c *clientConn) appendResponseHead(status int, contentType, requestID string) []byte {
	head := http1.AppendStatus(make([]byte, 0, responseHeadBytes), status)
	head = http1.AppendField(head, "Content-Type", contentType)
	if requestID != "" {
		head = http1.AppendField(head, "x-request-id", requestID)
	}
	return c.conn.AppendConnectionField(head)
}

// writeResponse writes a complete response. fields are further header fields, each with its line
// end.
func (c *clientConn) writeResponse(status int, contentType, requestID, fields string, body []byte) {
	head := c.appendResponseHead(status, contentType, requestID)
	c.conn.WriteResponse(append(head, fields...), body)
}

// respondJSON answers a request that the server handles itself.
func (c *clientConn) respondJSON(status int, body []byte) {
	c.writeResponse(status, contentTypeJSON, "", "", body)
}

// respondError rejects a request before it reaches a decision module.
func (c *clientConn) respondError(err *openai.Error, fields string) {
	if !leavesParserInSync(err.Status) || !c.conn.IsBetweenRequests() {
		c.conn.CloseAfterResponse() // further bytes may belong to this request
	}
	c.writeResponse(err.Status, contentTypeJSON, "", fields, err.AppendJSON(nil))
}

// leavesParserInSync reports whether further requests may follow an error response of the status.
func leavesParserInSync(status int) bool {
	switch status {
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusBadRequest, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// respondOutOfMemory rejects a request for which there is no memory.
func (c *clientConn) respondOutOfMemory() {
	c.respondError(&openai.Error{
		Status:  http.StatusServiceUnavailable,
		Message: "Too many large requests at once.",
		Type:    errorTypeServer,
	}, retryFields(retryAfterFull))
}
