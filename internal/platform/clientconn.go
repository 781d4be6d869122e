package platform

import (
	"bytes"
	"net/http"

	"martenlock/control/connlimit"
	"martenlock/internal/http1"
	"martenlock/internal/httpserver"
)

// clientConn interprets the requests of a client's connection. It implements httpserver.Handler.
type clientConn struct {
	server   *Server
	conn     httpserver.Conn
	request  incomingRequest
	exchange *exchange // of the request being served; nil if there is none
}

// incomingRequest is the current request's head as far as the server uses it. Its fields outlive
// the request until the next head, except meta.
type incomingRequest struct {
	meta  *requestMeta // nil if the request is not for an engine
	path  string
	isGet bool // GET or HEAD
}

// Bounds of requests, and of responses of engines. Heads in use are well below 1 KiB. Larger ones
// would only cost memory.
const (
	maxLineBytes        = 8 << 10
	maxHeadBytes        = 16 << 10
	maxHeaderFields     = 64
	maxRequestBodyBytes = 256 << 10 // prompts are counted in tokens, some 4 bytes each
)

// requestLimits bound a client's request.
var requestLimits = http1.Limits{Line: maxLineBytes, Headers: maxHeadBytes, Fields: maxHeaderFields, Body: maxRequestBodyBytes}

// HeadReceived implements httpserver.Handler. It rejects an invalid call before its body arrives.
func (c *clientConn) HeadReceived(head *http1.Head) {
	path, _, _ := bytes.Cut(head.Target, []byte{'?'})
	method := string(head.Method)
	c.request = incomingRequest{
		path:  string(path),
		isGet: method == http.MethodGet || method == http.MethodHead,
	}
	if c.request.path != chatPath || method != http.MethodPost {
		return
	}
	if head.MinorVersion == 0 { // a client of HTTP/1.0 takes a truncated stream for a complete one
		c.respondAndClose(http.StatusHTTPVersionNotSupported, "", "a stream needs HTTP/1.1")
		return
	}
	meta, err := parseRequestMeta(head, &c.server.config.Settings)
	if err != nil {
		c.respondAndClose(http.StatusBadRequest, "", err.Error())
		return
	}
	c.request.meta = meta
	c.conn.SendContinue(head)
}

// healthPath is the path of the platform's health check.
const healthPath = "/healthz"

// RequestReceived implements httpserver.Handler. It starts the exchange of a call, and answers
// other requests itself.
func (c *clientConn) RequestReceived() {
	switch {
	case c.request.meta != nil:
		c.dispatchChat()
	case c.request.isGet && c.request.path == healthPath:
		c.respondHealth()
	case c.request.path == chatPath || c.request.path == healthPath:
		c.respond(http.StatusMethodNotAllowed, "", "method not allowed\n")
	default:
		c.respond(http.StatusNotFound, "", "not found\n")
	}
}

// dispatchChat starts the exchange of a call, or rejects it if the server can't accept it.
func (c *clientConn) dispatchChat() {
	s := c.server
	maxRequests := s.config.Settings.MaxRequests
	switch {
	case s.exchanges.byClientID[c.request.meta.callID] != nil:
		c.respondAndClose(http.StatusBadRequest, "", "X-Call-Id: a request of this id is open")
	case !s.shutdown.acceptsRequests():
		c.respondAndClose(http.StatusServiceUnavailable, retryAfterField(connlimit.RetryAfterShutdown), "the router stops")
	case maxRequests > 0 && len(s.exchanges.ByID) >= maxRequests:
		c.respondAndClose(http.StatusServiceUnavailable, retryAfterField(connlimit.RetryAfterFull), "the router holds as many requests as it may")
	default:
		s.startExchange(c)
	}
}

// RequestMalformed implements httpserver.Handler.
func (c *clientConn) RequestMalformed(err *http1.Error) {
	c.respondAndClose(err.Status, "", err.Reason)
}

// RequestAborted implements httpserver.Handler.
func (c *clientConn) RequestAborted(reason httpserver.AbortReason) {
	switch reason {
	case httpserver.RequestTimedOut:
		c.respondAndClose(http.StatusRequestTimeout, "", "the request did not come whole in time")
	case httpserver.UploadEvicted:
		c.server.counters.uploadsEvicted++
		c.respondOutOfMemory()
	case httpserver.OutOfMemory:
		c.respondOutOfMemory()
	}
}

// Writable implements httpserver.Handler. It resumes the stream.
func (c *clientConn) Writable() {
	if c.exchange != nil {
		c.exchange.clientWritable()
	}
}

// ClientGone implements httpserver.Handler. It cancels the exchange. A panic in an earlier call may
// have left the connection without one.
func (c *clientConn) ClientGone() {
	exchange := c.exchange
	if exchange == nil {
		return
	}
	c.exchange = nil
	exchange.cancel()
}

// Closing implements httpserver.Handler.
func (c *clientConn) Closing(reason httpserver.CloseReason) {
	if reason == httpserver.Evicted {
		c.server.counters.idleConnsEvicted++
	}
	c.logClose(reason.String())
}
