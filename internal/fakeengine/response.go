package fakeengine

import (
	"net/http"

	"martenlock/internal/http1"
	"martenlock/internal/openai"
)

const (
	contentTypeJSON   = "application/json"
	contentTypeText   = "text/plain"
	contentTypeBinary = "application/octet-stream"
	contentTypeEvents = "text/event-stream; charset=utf-8"
)

// loadReportHeader is the header field with the ORCA load report, which every response has.
const loadReportHeader = "endpoint-load-metrics"

// response is a response that is not streamed.
type response struct {
	status      int
	contentType string
	header      string // further header fields, each followed by CRLF
	body        []byte
}

var (
	emptyObject = response{status: http.StatusOK, contentType: contentTypeJSON, body: []byte("{}")}
	notFound    = response{status: http.StatusNotFound, contentType: contentTypeText}
)

func (c *conn) respond(r response) {
	head := c.appendHead(nil, r.status, r.contentType)
	head = append(head, r.header...)
	c.socket.Write(http1.AppendContentLength(head, len(r.body)))
	c.socket.WriteRef(r.body)
}

// appendHead appends the status line and the header fields that all responses have.
func (c *conn) appendHead(head []byte, status int, contentType string) []byte {
	head = http1.AppendStatus(head, status)
	head = http1.AppendField(head, "Content-Type", contentType)
	return http1.AppendField(head, loadReportHeader, c.engine.loadReport())
}

// fail responds with an error in OpenAI's format and finishes the request.
func (c *conn) fail(status int, code, message string) {
	failure := openai.Error{Status: status, Message: message, Type: "server_error", Code: code}
	r := response{status: status, contentType: contentTypeJSON, body: failure.AppendJSON(nil)}
	if status == http.StatusServiceUnavailable {
		r.header = "Retry-After: 1\r\n"
	}
	c.respond(r)
	c.finishRequest()
}
