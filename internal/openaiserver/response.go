package openaiserver

import (
	"net/http"
	"time"

	"martenlock/internal/http1"
	"martenlock/internal/openai"
)

// This file writes a client's whole responses.

var crlf = []byte("\r\n")

// Types of OpenAI's errors.
const (
	errorTypeInvalidRequest = "invalid_request_error"
	errorTypeServer         = "server_error"
)

const (
	contentTypeJSON   = "application/json"
	responseHeadBytes = 256 // fits nearly every head, so that building one allocates once
	retryAfterFull    = time.Second
)

// appendResponseHead begins a response, up to the fields that tell its length.
func (c *clientConn) appendResponseHead(status int, contentType, requestID string) []byte {
	head := http1.AppendStatus(make([]byte, 0, responseHeadBytes), status)
	head = http1.AppendField(head, "Content-Type", contentType)
	if requestID != "" {
		head = http1.AppendField(head, "x-request-id", requestID)
	}
	return c.conn.AppendConnectionField(head)
}

// writeResponse writes a whole response. fields are further header fields, each with its line end.
func (c *clientConn) writeResponse(status int, contentType, requestID, fields string, body []byte) {
	head := c.appendResponseHead(status, contentType, requestID)
	c.conn.WriteResponse(append(head, fields...), body)
}

// respondJSON answers a request that is not for a pool.
func (c *clientConn) respondJSON(status int, body []byte) {
	c.writeResponse(status, contentTypeJSON, "", "", body)
}

// respondError answers a request that the module is not told of.
func (c *clientConn) respondError(err *openai.Error, fields string) {
	if !leavesParserInSync(err.Status) || !c.conn.IsBetweenRequests() {
		c.conn.CloseAfterResponse() // what follows can't be told from the rest of this request
	}
	c.writeResponse(err.Status, contentTypeJSON, "", fields, err.AppendJSON(nil))
}

// leavesParserInSync tells whether further requests may follow an error.
func leavesParserInSync(status int) bool {
	switch status {
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusBadRequest, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// respondOutOfMemory answers a request that finds no room.
func (c *clientConn) respondOutOfMemory() {
	c.respondError(&openai.Error{
		Status:  http.StatusServiceUnavailable,
		Message: "Too many large requests at once.",
		Type:    errorTypeServer,
	}, retryFields(retryAfterFull))
}
