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
	responseHeadBytes = 256      // fits nearly every head, so that building one allocates once
	writeByReference  = 16 << 10 // bytes of a body; longer ones are not copied
	retryAfterFull    = time.Second
)

// appendResponseHead begins a response, up to what tells its length. untilClose tells that only
// the connection's end does.
func (c *clientConn) appendResponseHead(status int, contentType, requestID string, untilClose bool) []byte {
	if untilClose || c.server.shutdown.inProgress {
		c.keepAlive = false
	}
	out := http1.AppendStatus(make([]byte, 0, responseHeadBytes), status)
	out = http1.AppendField(out, "Content-Type", contentType)
	if requestID != "" {
		out = http1.AppendField(out, "x-request-id", requestID)
	}
	if !c.keepAlive {
		out = append(out, "Connection: close\r\n"...)
	} else if c.request.minorVersion == 0 {
		out = append(out, "Connection: keep-alive\r\n"...)
	}
	return out
}

// writeResponse writes a whole response; fields are further header fields, each with its line end.
func (c *clientConn) writeResponse(status int, contentType, requestID, fields string, body []byte) {
	out := c.appendResponseHead(status, contentType, requestID, false)
	out = http1.AppendContentLength(append(out, fields...), len(body))
	c.conn.Write(out)
	if c.request.isHead {
		return
	}
	if len(body) > writeByReference {
		c.conn.WriteRef(body)
	} else {
		c.conn.Write(body)
	}
}

// respondJSON answers a request that is not for a pool.
func (c *clientConn) respondJSON(status int, body []byte) {
	c.writeResponse(status, contentTypeJSON, "", "", body)
	c.finishRequest()
}

// respondError answers a request that the module is not told of.
func (c *clientConn) respondError(err *openai.Error, fields string) {
	if !leavesParserInSync(err.Status) || !c.parser.Idle() {
		c.keepAlive = false // what follows can't be told from the rest of this request
	}
	c.writeResponse(err.Status, contentTypeJSON, "", fields, err.AppendJSON(nil))
	c.finishRequest()
}

// leavesParserInSync tells whether further requests may follow an error.
func leavesParserInSync(status int) bool {
	switch status {
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusBadRequest, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// respondMalformed answers bytes that are no request.
func (c *clientConn) respondMalformed(err *http1.Error) {
	c.keepAlive = false
	c.request.minorVersion = 1
	c.respondError(&openai.Error{Status: err.Status, Message: err.Reason, Type: errorTypeInvalidRequest}, "")
}

// respondOutOfMemory answers a request that finds no room.
func (c *clientConn) respondOutOfMemory() {
	c.respondError(&openai.Error{
		Status:  http.StatusServiceUnavailable,
		Message: "Too many large requests at once.",
		Type:    errorTypeServer,
	}, retryFields(retryAfterFull))
}

// finishRequest makes the connection ready for another request, or closes it.
func (c *clientConn) finishRequest() {
	c.discardBody()
	if c.state == clientClosed {
		return
	}
	if !c.keepAlive {
		c.conn.CloseLingering()
		c.markClosed()
		return
	}
	c.state = clientIdle
	c.server.clients.idle.MarkIdle(c)
	c.server.loop.StartTimer(&c.stateTimer, c.server.config.Limits.IdleTimeout)
	c.conn.Resume()
}
