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

// httpLimits bound the requests to an engine and the responses to its fetches of KV states.
var httpLimits = http1.Limits{Line: 8 << 10, Headers: 64 << 10, Fields: 200, Body: 64 << 20}

// conn is a connection to an engine. It implements eventloop.Handler.
type conn struct {
	engine *Engine
	socket *eventloop.Conn
	parser *http1.Parser

	// The current request.
	method    string
	path      string
	requestID string // id that the router assigned
	recordID  string // request id in recorded events; see the function recordID
	body      []byte
	job       *job // nil before and after execution

	// unreadID is the recordID of a request that arrived at the hung engine and was not read yet. It is "" if there
	// is none.
	unreadID string
}

// accept returns the handler of a new connection.
func (e *Engine) accept(socket *eventloop.Conn) eventloop.Handler {
	c := &conn{engine: e, socket: socket, parser: http1.NewRequestParser(&httpLimits)}
	e.conns[c] = struct{}{}
	return c
}

// Opened implements eventloop.Handler. It is not called for accepted connections.
func (c *conn) Opened(*eventloop.Conn) {}

// Data implements eventloop.Handler. It reads up to the end of a request and then pauses the connection
// until the request is finished.
func (c *conn) Data(socket *eventloop.Conn, data []byte) int {
	total := 0
	for c.job == nil {
		if c.engine.fault.Hang {
			c.recordUnread(data[total:])
			break
		}
		used, kind, part, err := c.parser.Next(data[total:])
		total += used
		if err != nil {
			c.respond(response{status: err.Status, contentType: contentTypeText, body: []byte(err.Reason)})
			socket.Close()
			return len(data)
		}
		switch kind {
		case http1.NeedMore:
			return total
		case http1.HeadDone:
			c.beginRequest(&c.parser.Head)
		case http1.Data:
			c.body = append(c.body, part...)
		case http1.End:
			c.handleRequest()
		}
	}
	socket.Pause()
	return total
}

// EOF implements eventloop.Handler. It cancels the current request, also while the engine hangs.
func (c *conn) EOF(socket *eventloop.Conn) {
	c.detach()
	socket.Close()
}

// Closed implements eventloop.Handler. It cancels the current request.
func (c *conn) Closed(*eventloop.Conn, error) { c.detach() }

// Writable implements eventloop.Handler. It resumes a response that was paused because the peer read slowly.
func (c *conn) Writable(*eventloop.Conn) {
	if c.job != nil && c.job.isOutputFull {
		c.job.isOutputFull = false
		c.job.decodeToken()
	}
}

// beginRequest stores the head of a new request.
func (c *conn) beginRequest(head *http1.Head) {
	c.body = nil
	c.method = string(head.Method)
	c.path = string(head.Target)
	c.requestID = string(head.Get("x-request-id"))
	c.recordID = recordID(head)
}

// recordID returns the id of a request in recorded events. It is the client's id, followed by the shard's
// number if the request is a shard.
func recordID(head *http1.Head) string {
	id := string(head.Get("x-client-request-id"))
	part := string(head.Get("x-request-part"))
	if id != "" && part != "" {
		return id + invariant.ShardSeparator + part
	}
	return id
}

// recordUnread records the start of an attempt whose request arrived at a hung engine. The engine doesn't
// read the request, but the router has sent it. The attempt's work is unknown and recorded as 0.
func (c *conn) recordUnread(data []byte) {
	if c.unreadID != "" {
		return
	}
	parser := http1.NewRequestParser(&httpLimits)
	_, kind, _, err := parser.Next(data)
	if err != nil || kind != http1.HeadDone || string(parser.Head.Method) != http.MethodPost {
		return
	}
	c.unreadID = recordID(&parser.Head)
	if c.unreadID != "" {
		c.engine.observe(invariant.AttemptBegan, c.unreadID, 0)
	}
}

// handleRequest responds to the current request, or starts its job.
func (c *conn) handleRequest() {
	kvPrefix, kvID, isKVPath := strings.Cut(c.path, kvPath)
	api, isAPI := openai.APIByPath(c.path)
	isGet := c.method == http.MethodGet
	isPost := c.method == http.MethodPost
	switch {
	case isGet && c.path == "/health":
		c.respond(emptyObject)
	case isGet && isKVPath && kvPrefix == "":
		c.serveKVState(kvID)
	case isPost && c.path == "/abort_requests":
		c.abortRequests()
	case isPost && isAPI:
		c.startJob(api)
	default:
		c.respond(notFound)
	}
}

// abortRequests cancels the requests that the body lists, like vLLM's /abort_requests.
func (c *conn) abortRequests() {
	for _, id := range gjson.GetBytes(c.body, "request_ids").Array() {
		c.engine.abort(id.Str)
	}
	c.respond(emptyObject)
}

// finishRequest ends the current request and reads the next one.
func (c *conn) finishRequest() {
	c.job = nil
	c.socket.Resume()
}

// reset resets the connection and cancels its request.
func (c *conn) reset() {
	c.detach()
	c.socket.Reset()
}

// detach removes the connection from its engine and cancels its request. Further calls have no effect.
func (c *conn) detach() {
	delete(c.engine.conns, c)
	if c.job != nil {
		c.job.finish()
		c.job = nil
	} else if c.unreadID != "" {
		c.engine.observe(invariant.AttemptEnded, c.unreadID, 0)
	}
	c.unreadID = ""
}
