package platform

import (
	"bytes"
	"net/http"

	"martenlock/control/connlimit"
	"martenlock/internal/http1"
	"martenlock/internal/httpserver"
)

// clientConn handles the requests of one client connection. It implements httpserver.Handler.
type clientConn struct {
	server   *Server
	conn     httpserver.Conn
	request  incomingRequest
	exchange *exchange // of the request being served; nil if there is none
}

// incomingRequest holds the parts of the current request's head that the server uses. They stay set
// until the next head arrives, except meta, which is cleared with the answer.
type incomingRequest struct {
	meta  *requestMeta // nil if the request is not for an engine
	path  string
	isGet bool // GET or HEAD
}

// Bounds of clients' requests and of engines' responses. Heads in use are well below 1 KiB, and larger ones
// would only cost memory.
const (
	maxLineBytes        = 8 << 10
	maxHeadBytes        = 16 << 10
	maxHeaderFields     = 64
	maxRequestBodyBytes = 256 << 10
)

var requestLimits = http1.Limits{Line: maxLineBytes, Headers: maxHeadBytes, Fields: maxHeaderFields, Body: maxRequestBodyBytes}

// HeadReceived implements httpserver.Handler. It rejects an invalid chat request before its body
// arrives.
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
	if head.MinorVersion == 0 { // an HTTP/1.0 client can't tell a truncated stream from a complete one
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

// healthPath is the path of health checks, of this server and of engines.
const healthPath = "/healthz"

// RequestReceived implements httpserver.Handler. It starts the exchange of a chat request and
// answers any other request directly.
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

// dispatchChat starts the exchange of a chat request, or rejects the request if the server can't
// accept it.
func (c *clientConn) dispatchChat() {
	s := c.server
	maxRequests := s.config.Settings.MaxRequests
	switch {
	case s.exchanges.byCallID[c.request.meta.callID] != nil:
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

// ClientGone implements httpserver.Handler. It cancels the exchange. There may be none if a handler
// of this connection has panicked.
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
