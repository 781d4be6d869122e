package fakeengine

import (
	"net/http"
	"strings"

	"github.com/tidwall/gjson"

	"martenlock/internal/eventloop"
	"martenlock/internal/http1"
	"martenlock/internal/invariant"
	"martenlock/internal/openai"
)

// limits bound what an engine reads: far above anything that the tests send.
var limits = http1.Limits{Line: 8 << 10, Headers: 64 << 10, Fields: 200, Body: 64 << 20}

// Content types of the answers.
const (
	contentTypeJSON   = "application/json"
	contentTypeText   = "text/plain"
	contentTypeBinary = "application/octet-stream"
	contentTypeEvents = "text/event-stream; charset=utf-8"
)

// loadReportHeader carries the load report on every answer.
const loadReportHeader = "endpoint-load-metrics"

// conn is a connection to an engine. It implements eventloop.Handler.
type conn struct {
	engine *Engine
	socket *eventloop.Conn
	parser *http1.Parser

	// The request at hand.
	method    string
	path      string
	requestID string // the router's
	recordID  string // the client's, for the record
	body      []byte
	job       *job // nil while none runs

	// unreadID is the record's id of a request that lies unread while the engine hangs.
	unreadID string
}

// accept takes in a new connection.
func (e *Engine) accept(socket *eventloop.Conn) eventloop.Handler {
	k := &conn{engine: e, socket: socket, parser: http1.NewRequests(&limits)}
	e.conns[k] = struct{}{}
	return k
}

// Opened implements eventloop.Handler.
func (k *conn) Opened(*eventloop.Conn) {}

// Data implements eventloop.Handler. It reads up to the end of a request and pauses the
// connection until the request is answered.
func (k *conn) Data(socket *eventloop.Conn, data []byte) int {
	total := 0
	for k.job == nil {
		if k.engine.fault.Hang {
			k.recordUnread(data[total:])
			break
		}
		used, kind, part, err := k.parser.Next(data[total:])
		total += used
		if err != nil {
			k.answer(response{status: err.Status, contentType: contentTypeText, body: []byte(err.Reason)})
			socket.Close()
			return len(data)
		}
		switch kind {
		case http1.NeedMore:
			return total
		case http1.HeadDone:
			k.takeHead(&k.parser.Head)
		case http1.Data:
			k.body = append(k.body, part...)
		case http1.End:
			k.serve()
		}
	}
	socket.Pause()
	return total
}

// EOF implements eventloop.Handler: the peer cancels. That shows though the engine hangs.
func (k *conn) EOF(socket *eventloop.Conn) {
	k.drop()
	socket.Close()
}

// Closed implements eventloop.Handler.
func (k *conn) Closed(*eventloop.Conn, error) { k.drop() }

// Writable implements eventloop.Handler: a stream goes on that waited for a slow peer.
func (k *conn) Writable(*eventloop.Conn) {
	if k.job != nil && k.job.isOutputFull {
		k.job.isOutputFull = false
		k.job.decodeToken()
	}
}

// takeHead takes in a request's head.
func (k *conn) takeHead(head *http1.Head) {
	k.body = nil
	k.method = string(head.Method)
	k.path = string(head.Target)
	k.requestID = string(head.Get("x-request-id"))
	k.recordID = recordID(head)
}

// recordID returns the id of a request, or of a part of one, in the record.
func recordID(head *http1.Head) string {
	id := string(head.Get("x-client-request-id"))
	part := string(head.Get("x-request-part"))
	if id != "" && part != "" {
		return id + invariant.ShardSeparator + part
	}
	return id
}

// recordUnread records a request that has come to the socket of an engine that hangs: to its
// router it is an attempt like any other.
func (k *conn) recordUnread(data []byte) {
	if k.unreadID != "" {
		return
	}
	parser := http1.NewRequests(&limits)
	_, kind, _, err := parser.Next(data)
	if err != nil || kind != http1.HeadDone || string(parser.Head.Method) != http.MethodPost {
		return
	}
	k.unreadID = recordID(&parser.Head)
	if k.unreadID != "" {
		k.engine.observe(invariant.AttemptBegan, k.unreadID, 0)
	}
}

// serve answers the request at hand, or begins its job.
func (k *conn) serve() {
	kvPrefix, kvID, isKVPath := strings.Cut(k.path, kvPath)
	api, isAPI := openai.APIByPath(k.path)
	isGet := k.method == http.MethodGet
	isPost := k.method == http.MethodPost
	switch {
	case isGet && k.path == "/health":
		k.answer(emptyObject)
	case isGet && isKVPath && kvPrefix == "":
		k.serveKVState(kvID)
	case isPost && k.path == "/abort_requests":
		k.abortRequests()
	case isPost && isAPI:
		k.startJob(api)
	default:
		k.answer(notFound)
	}
}

// abortRequests cancels the requests that the body lists.
func (k *conn) abortRequests() {
	for _, id := range gjson.GetBytes(k.body, "request_ids").Array() {
		k.engine.abort(id.Str)
	}
	k.answer(emptyObject)
}

// abort releases a request's KV state and ends what runs for it here.
func (e *Engine) abort(requestID string) {
	e.kvStore.release(requestID)
	for k := range e.conns {
		if k.job != nil && k.job.requestID == requestID {
			k.socket.Abort()
			k.drop()
		}
	}
}

// response is a whole answer.
type response struct {
	status      int
	contentType string
	header      string // further header lines, each with its line end
	body        []byte
}

var (
	emptyObject = response{status: http.StatusOK, contentType: contentTypeJSON, body: []byte("{}")}
	notFound    = response{status: http.StatusNotFound, contentType: contentTypeText}
)

// answer writes a whole answer.
func (k *conn) answer(r response) {
	head := k.appendHead(nil, r.status, r.contentType)
	head = append(head, r.header...)
	k.socket.Write(http1.AppendContentLength(head, len(r.body)))
	k.socket.WriteRef(r.body)
}

// appendHead appends the head's lines that every answer has.
func (k *conn) appendHead(head []byte, status int, contentType string) []byte {
	head = http1.AppendStatus(head, status)
	head = http1.AppendField(head, "Content-Type", contentType)
	return http1.AppendField(head, loadReportHeader, k.engine.loadReport())
}

// fail answers with an error and ends the request at hand.
func (k *conn) fail(status int, code, message string) {
	failure := openai.Error{Status: status, Message: message, Type: "server_error", Code: code}
	r := response{status: status, contentType: contentTypeJSON, body: failure.AppendJSON(nil)}
	if status == http.StatusServiceUnavailable {
		r.header = "Retry-After: 1\r\n"
	}
	k.answer(r)
	k.done()
}

// done ends the request at hand and reads the next one.
func (k *conn) done() {
	k.job = nil
	k.socket.Resume()
}

// reset resets the connection.
func (k *conn) reset() {
	k.drop()
	k.socket.Reset()
}

// drop ends what runs for a connection that is no more.
func (k *conn) drop() {
	delete(k.engine.conns, k)
	if k.job != nil {
		k.job.finish()
		k.job = nil
	} else if k.unreadID != "" {
		k.engine.observe(invariant.AttemptEnded, k.unreadID, 0)
	}
	k.unreadID = ""
}
