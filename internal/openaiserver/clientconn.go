package openaiserver

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"martenlock/internal/eventloop"
	"martenlock/internal/http1"
	"martenlock/internal/openai"
	"martenlock/internal/timerwheel"
)

// clientState is what a client's connection is doing.
type clientState uint8

// The states of a client's connection.
const (
	clientIdle      clientState = iota // waits for the first byte of a request
	clientReceiving                    // a request is arriving
	clientServing                      // a request was accepted for a pool; later ones wait unread
	clientClosed                       // nothing is read or written any more
)

// String names the state for tests and logs.
func (s clientState) String() string {
	switch s {
	case clientIdle:
		return "idle"
	case clientReceiving:
		return "receiving"
	case clientServing:
		return "serving"
	case clientClosed:
		return "closed"
	}
	return fmt.Sprintf("clientState(%d)", uint8(s))
}

// isReading tells whether bytes from the client are parsed.
func (s clientState) isReading() bool { return s == clientIdle || s == clientReceiving }

// clientConn is a client's connection. It serves one request at a time; pipelined ones wait
// unread. Its methods run on the loop; Opened, Data, EOF, Closed and Writable are
// eventloop.Handler's.
type clientConn struct {
	server *Server
	conn   *eventloop.Conn
	parser *http1.Parser

	state      clientState
	stateTimer timerwheel.Timer // bounds the time in the state; while serving, without progress of the client
	request    incomingRequest  // being received, or at work
	exchange   *httpExchange    // of the request at work; nil where there is none
	keepAlive  bool             // the connection stays open after the answer at hand
}

// incomingRequest is a request as far as it was received.
type incomingRequest struct {
	minorVersion int // of HTTP/1
	isGet        bool
	isHead       bool // the answer has no body
	path         string
	api          openai.API
	isAPICall    bool
	class        string
	session      string
	tenant       string
	timeBudget   time.Duration // the client's; 0 where it says nothing
	forwarded    []byte        // header fields that engines get
	body         []byte
}

// newClientConn returns the handler of a connection that was just accepted.
func newClientConn(s *Server, conn *eventloop.Conn) *clientConn {
	c := &clientConn{server: s, conn: conn, parser: http1.NewRequests(&s.config.Limits.HTTP)}
	c.stateTimer.Fire = c.handleTimeout
	return c
}

// Opened does nothing: an accepted connection stands already.
func (c *clientConn) Opened(*eventloop.Conn) {}

// Data parses what the client sends, up to the end of one request, and returns how many bytes
// were consumed.
func (c *clientConn) Data(conn *eventloop.Conn, data []byte) int {
	consumed := 0
	for c.state.isReading() {
		if c.state == clientIdle && consumed < len(data) {
			c.startReceiving()
		}
		used, kind, body, err := c.parser.Next(data[consumed:])
		consumed += used
		if err != nil {
			c.respondMalformed(err)
			return len(data)
		}
		switch kind {
		case http1.NeedMore:
			return consumed
		case http1.HeadDone:
			c.receiveHead(&c.parser.Head)
		case http1.Data:
			if !c.receiveBody(body) {
				return len(data)
			}
		case http1.End:
			c.server.loop.StopTimer(&c.stateTimer)
			c.dispatch()
		}
	}
	if c.state == clientClosed {
		return len(data)
	}
	conn.Pause()
	return consumed
}

// EOF is taken as leaving, also where only the client's sending half is closed: net/http and
// HAProxy's abortonclose read it so, and an answer to nobody costs an engine.
func (c *clientConn) EOF(*eventloop.Conn) {
	c.abandonExchange()
	c.close()
}

// Closed takes in that the connection has ended.
func (c *clientConn) Closed(*eventloop.Conn, error) {
	c.abandonExchange()
	c.markClosed()
}

// Writable resumes the answer after the client has taken what was written.
func (c *clientConn) Writable(*eventloop.Conn) {
	if c.exchange == nil {
		return
	}
	c.server.loop.StopTimer(&c.stateTimer)
	c.exchange.operation.clientWritable()
}

// startReceiving takes in the first byte of a request.
func (c *clientConn) startReceiving() {
	c.state = clientReceiving
	c.server.clients.idle.MarkBusy(c)
	c.server.loop.StartTimer(&c.stateTimer, c.server.config.Limits.RequestTimeout)
}

// receiveHead keeps what is needed of a request's head, whose bytes are gone when the body comes.
func (c *clientConn) receiveHead(head *http1.Head) {
	rules := &c.server.config.Request
	request := &c.request
	c.keepAlive = head.KeepAlive && !c.server.shutdown.inProgress
	method := string(head.Method)
	path, _, _ := bytes.Cut(head.Target, []byte{'?'})
	request.minorVersion = head.MinorVersion
	request.isHead = method == "HEAD"
	request.isGet = request.isHead || method == "GET"
	request.path = string(path)
	request.api, request.isAPICall = openai.APIByPath(request.path)
	request.isAPICall = request.isAPICall && method == "POST"
	request.class = string(head.Get(rules.ClassHeader))
	request.session = string(head.Get(rules.SessionHeader))
	request.tenant = string(head.Get(rules.TenantHeader))
	timeBudget, err := parseTimeBudget(head, rules.DeadlineHeader)
	request.timeBudget = timeBudget
	if err != nil {
		c.keepAlive = false
		c.respondError(err, "")
		return
	}
	request.forwarded = request.forwarded[:0]
	for _, name := range rules.Forward {
		value := head.Get(name)
		if value != nil {
			request.forwarded = http1.AppendField(request.forwarded, name, value)
		}
	}
	if head.ExpectContinue && (head.ContentLength > 0 || head.Chunked) {
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// clientTimeoutHeader is the public clients' field for their time-out in seconds.
const clientTimeoutHeader = "x-stainless-timeout"

// maxClientTimeoutSeconds bounds what is believed of clientTimeoutHeader.
const maxClientTimeoutSeconds = 1e6

// timeBudgetBits bounds the number of milliseconds in a deadline header.
const timeBudgetBits = 40

// parseTimeBudget returns how long the client will wait; 0 where it does not say.
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

// receiveBody adds to the request's body; false where there is no memory for it, which the client
// was told.
func (c *clientConn) receiveBody(data []byte) bool {
	if c.server.bufferedBytes+int64(len(data)) > maxBufferedBytes {
		c.respondOutOfMemory()
		return false
	}
	c.server.bufferedBytes += int64(len(data))
	c.request.body = append(c.request.body, data...)
	return true
}

// discardBody frees the request's body.
func (c *clientConn) discardBody() {
	c.server.bufferedBytes -= int64(len(c.request.body))
	c.request.body = nil
}

// handleTimeout ends a connection that was in its state for too long.
func (c *clientConn) handleTimeout() {
	switch {
	case c.exchange != nil: // the client takes nothing of its answer
		c.abandonExchange()
		c.abort()
	case c.state == clientReceiving:
		c.respondError(&openai.Error{
			Status:  http.StatusRequestTimeout,
			Message: "The request did not come whole in time.",
			Type:    errorTypeInvalidRequest,
		}, "")
	default:
		c.close()
	}
}

// startWriteStallTimeout bounds the time in which the client takes nothing of its answer.
func (c *clientConn) startWriteStallTimeout() {
	if !c.stateTimer.Running() {
		c.server.loop.StartTimer(&c.stateTimer, c.server.config.Limits.WriteStallTimeout)
	}
}

// abandonExchange tells the operation at work that its client has gone. The connection must be
// closed next.
func (c *clientConn) abandonExchange() {
	x := c.exchange
	if x == nil {
		return
	}
	c.server.counters.canceled++
	x.detach()
	x.operation.cancel()
}

// drain closes the connection where it is idle when the server shuts down; others close after
// their answer.
func (c *clientConn) drain() {
	c.keepAlive = false
	if c.state == clientIdle {
		c.close()
	}
}

// abortForShutdown ends a request that still runs at the shutdown limit.
func (c *clientConn) abortForShutdown() {
	if c.exchange == nil {
		c.abort()
		return
	}
	client := c.exchange
	x, isExchange := client.operation.(*exchange)
	client.operation.cancel()
	if isExchange && x.answerStarted {
		client.abort("the router is shutting down")
		return
	}
	client.respond(failure(c.server.requestIDs.next(), http.StatusBadGateway, "The router is shutting down. The request may have run."))
}

// close closes a connection that has no exchange.
func (c *clientConn) close() {
	c.conn.Close()
	c.markClosed()
}

// abort resets a connection that has no exchange.
func (c *clientConn) abort() {
	c.conn.Abort()
	c.markClosed()
}

// markClosed forgets a connection that was closed.
func (c *clientConn) markClosed() {
	c.state = clientClosed
	c.server.loop.StopTimer(&c.stateTimer)
	c.discardBody()
	c.server.clients.remove(c)
}
