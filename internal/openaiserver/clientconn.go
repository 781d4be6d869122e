package openaiserver

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"martenlock/internal/http1"
	"martenlock/internal/httpserver"
	"martenlock/internal/openai"
)

// clientConn handles the requests on one client connection. It implements httpserver.Handler.
type clientConn struct {
	server   *Server
	conn     httpserver.Conn
	request  incomingRequest
	exchange *httpExchange // the request being served; nil if there is none
}

// incomingRequest holds what the server uses from the head of the current request.
type incomingRequest struct {
	isGetOrHead     bool
	path            string
	api             openai.API
	isAPIRequest    bool // POST to a path of the API
	class           string
	session         string
	tenant          string
	timeBudget      time.Duration // how long the client waits for the answer; 0 if unknown
	forwardedFields []byte        // additional header fields for engines, each ending with CRLF
}

// HeadReceived implements httpserver.Handler. It rejects a request with an invalid deadline header before the body
// arrives.
func (c *clientConn) HeadReceived(head *http1.Head) {
	settings := &c.server.config.Request
	request := &c.request
	method := string(head.Method)
	path, _, _ := bytes.Cut(head.Target, []byte{'?'})
	request.isGetOrHead = method == http.MethodGet || method == http.MethodHead
	request.path = string(path)
	request.api, request.isAPIRequest = openai.APIByPath(request.path)
	request.isAPIRequest = request.isAPIRequest && method == http.MethodPost
	request.class = string(head.Get(settings.ClassHeader))
	request.session = string(head.Get(settings.SessionHeader))
	request.tenant = string(head.Get(settings.TenantHeader))
	timeBudget, err := parseTimeBudget(head, settings.DeadlineHeader)
	request.timeBudget = timeBudget
	if err != nil {
		c.conn.CloseAfterResponse()
		c.respondError(err, "")
		return
	}
	request.forwardedFields = request.forwardedFields[:0]
	for _, name := range settings.ForwardedFields {
		value := head.Get(name)
		if value != nil {
			request.forwardedFields = http1.AppendField(request.forwardedFields, name, value)
		}
	}
	c.conn.SendContinue(head)
}

// clientTimeoutHeader is the header field in which OpenAI's client libraries send their time-out, in seconds.
const clientTimeoutHeader = "x-stainless-timeout"

// maxClientTimeoutSeconds is the exclusive upper bound of clientTimeoutHeader. Longer and invalid time-outs are ignored.
const maxClientTimeoutSeconds = 1e6

// timeBudgetBits is the size in bits of the largest signed integer that a deadline header may hold. Any such number of
// milliseconds fits a time.Duration.
const timeBudgetBits = 40

// parseTimeBudget returns how long the client waits for the answer, or 0 if neither the deadline header nor
// clientTimeoutHeader says so. The deadline header takes precedence, and an invalid one is an error.
func parseTimeBudget(head *http1.Head, deadlineHeader string) (time.Duration, *openai.Error) {
	value := head.Get(deadlineHeader)
	if value != nil {
		milliseconds, err := strconv.ParseInt(string(value), 10, timeBudgetBits)
		if err != nil || milliseconds <= 0 {
			return 0, openai.InvalidRequest(deadlineHeader, "%s must be a number of milliseconds above 0", deadlineHeader)
		}
		return time.Duration(milliseconds) * time.Millisecond, nil
	}
	value = head.Get(clientTimeoutHeader)
	if value == nil {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(string(value), 64)
	if err == nil && seconds > 0 && seconds < maxClientTimeoutSeconds {
		return time.Duration(seconds * float64(time.Second)), nil
	}
	return 0, nil
}

// RequestMalformed implements httpserver.Handler. It reports the parser's error to the client.
func (c *clientConn) RequestMalformed(err *http1.Error) {
	c.conn.CloseAfterResponse()
	c.respondError(&openai.Error{Status: err.Status, Message: err.Reason, Type: errorTypeInvalidRequest}, "")
}

// RequestAborted implements httpserver.Handler. It tells the client why the rest of its request is not read.
func (c *clientConn) RequestAborted(reason httpserver.AbortReason) {
	switch reason {
	case httpserver.RequestTimedOut:
		c.respondError(&openai.Error{
			Status:  http.StatusRequestTimeout,
			Message: "The request did not come whole in time.",
			Type:    errorTypeInvalidRequest,
		}, "")
	case httpserver.OutOfMemory, httpserver.UploadEvicted:
		c.respondOutOfMemory()
	}
}

// Writable implements httpserver.Handler. It resumes a streamed answer.
func (c *clientConn) Writable() {
	if c.exchange != nil {
		c.exchange.operation.clientWritable()
	}
}

// ClientGone implements httpserver.Handler. It cancels the operation of the request being served. There may be no such
// operation if an earlier call panicked.
func (c *clientConn) ClientGone() {
	current := c.exchange
	if current == nil {
		return
	}
	c.server.counters.canceled++
	current.detach()
	current.operation.cancel()
}

// Closing implements httpserver.Handler. It counts evicted connections.
func (c *clientConn) Closing(reason httpserver.CloseReason) {
	if reason == httpserver.Evicted {
		c.server.counters.idleConnsEvicted++
	}
}

// abortForShutdown ends the connection when the shutdown times out. If a request is being served, the client gets an
// error first, or its streamed answer is aborted.
func (c *clientConn) abortForShutdown() {
	if c.exchange == nil {
		c.conn.Abort()
		return
	}
	current := c.exchange
	operation, isExchange := current.operation.(*exchange)
	current.operation.cancel()
	if isExchange && operation.answerStarted {
		current.abort("the router is shutting down")
		return
	}
	current.respond(failureAnswer(c.server.requestIDs.next(), http.StatusBadGateway, "The router is shutting down. The request may have run."))
}
