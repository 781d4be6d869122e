package httpserver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"martenlock/internal/eventloop"
	"martenlock/internal/eventloop/eventlooptest"
	"martenlock/internal/http1"
	"martenlock/internal/httpserver"
)

// testTimeout bounds each wait in a test.
const testTimeout = 10 * time.Second

// server answers requests according to their paths, see testHandler.RequestReceived. Its connections,
// memory and handlers must be used on the loop.
type server struct {
	t        *testing.T
	loop     eventlooptest.Loop
	conns    *httpserver.Conns
	memory   *boundedMemory
	handlers []*testHandler // in the order of accepting

	newHandler func(*testHandler) httpserver.Handler // wraps the handler of a new connection; may be nil
}

// boundedMemory implements httpserver.Memory.
type boundedMemory struct{ used, bound int }

func (m *boundedMemory) Reserve(bytes int) bool {
	if m.used+bytes > m.bound {
		return false
	}
	m.used += bytes
	return true
}

func (m *boundedMemory) Release(bytes int) { m.used -= bytes }

// longTimeouts returns options with time-outs that no test reaches.
func longTimeouts() httpserver.Options {
	return httpserver.Options{
		Parsing:           &http1.Limits{Line: 1 << 10, Headers: 4 << 10, Fields: 16, Body: 1 << 20},
		RequestTimeout:    time.Minute,
		IdleTimeout:       time.Minute,
		WriteStallTimeout: time.Minute,
	}
}

// startServer starts a server that is stopped when the test ends.
func startServer(t *testing.T, options httpserver.Options) *server {
	t.Helper()
	s := &server{t: t, loop: eventlooptest.Start(t), memory: &boundedMemory{bound: 1 << 20}}
	s.loop.Do(func() {
		s.conns = httpserver.NewConns(s.loop.Loop, s.memory)
		s.conns.Options = options
		var err error
		s.conns.Listener, err = s.loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), s.accept)
		if err != nil {
			t.Error(err)
		}
	})
	if t.Failed() {
		t.FailNow()
	}
	return s
}

func (s *server) accept(conn *eventloop.Conn) eventloop.Handler {
	h := &testHandler{memory: s.memory}
	var handler httpserver.Handler = h
	if s.newHandler != nil {
		handler = s.newHandler(h)
	}
	s.conns.Add(&h.conn, conn, handler)
	s.handlers = append(s.handlers, h)
	return &h.conn
}

// dial connects a client and returns it with the handler of its connection.
func (s *server) dial() (*client, *testHandler) {
	s.t.Helper()
	accepted := 0
	s.loop.Do(func() { accepted = len(s.handlers) })
	conn, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(s.conns.Listener.Addr()))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	s.waitFor("the connection is accepted", func() bool { return len(s.handlers) > accepted })
	var h *testHandler
	s.loop.Do(func() { h = s.handlers[accepted] })
	return &client{t: s.t, server: s, TCPConn: conn, reader: bufio.NewReader(conn)}, h
}

// waitFor evaluates a condition on the loop until it holds.
func (s *server) waitFor(what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		holds := false
		s.loop.DoIteration(func() { holds = condition() })
		if holds {
			return
		}
	}
	s.t.Fatalf("timed out waiting until %s", what)
}

// testHandler implements httpserver.Handler and records its calls.
type testHandler struct {
	conn   httpserver.Conn
	memory *boundedMemory
	path   string
	calls  []string
}

func (h *testHandler) record(call string) { h.calls = append(h.calls, call) }

// has reports whether a call was recorded.
func (h *testHandler) has(call string) bool { return slices.Contains(h.calls, call) }

// HeadReceived implements httpserver.Handler.
func (h *testHandler) HeadReceived(head *http1.Head) {
	h.path = string(head.Target)
	h.conn.SendContinue(head)
}

// RequestReceived implements httpserver.Handler. It leaves /later to the test, answers /echo with the
// request's body, and any other path with the path.
func (h *testHandler) RequestReceived() {
	h.record("request " + h.path)
	switch h.path {
	case "/later":
		h.conn.StartServing()
	case "/echo":
		h.conn.WriteResponse(h.head(http.StatusOK), h.conn.Body())
	default:
		h.respond(http.StatusOK, h.path)
	}
}

// RequestMalformed implements httpserver.Handler.
func (h *testHandler) RequestMalformed(err *http1.Error) { h.respondLast(err.Status, err.Reason) }

// RequestAborted implements httpserver.Handler.
func (h *testHandler) RequestAborted(reason httpserver.AbortReason) {
	h.record(reason.String())
	status := http.StatusServiceUnavailable
	if reason == httpserver.RequestTimedOut {
		status = http.StatusRequestTimeout
	}
	h.respondLast(status, reason.String())
}

// Writable implements httpserver.Handler.
func (h *testHandler) Writable() { h.record("writable") }

// ClientGone implements httpserver.Handler.
func (h *testHandler) ClientGone() { h.record("client gone") }

// Closing implements httpserver.Handler.
func (h *testHandler) Closing(reason httpserver.CloseReason) { h.record(reason.String()) }

// head returns the beginning of a response's head.
func (h *testHandler) head(status int) []byte {
	return h.conn.AppendConnectionField(http1.AppendStatus(nil, status))
}

// respond writes a complete response.
func (h *testHandler) respond(status int, text string) {
	h.conn.WriteTextResponse(h.head(status), text)
}

// respondLast writes a complete response that is the last one of the connection.
func (h *testHandler) respondLast(status int, text string) {
	h.conn.CloseAfterResponse()
	h.respond(status, text)
}

// startBody writes the head of a response of unknown length.
func (h *testHandler) startBody() {
	framing := h.conn.SelectFraming(false)
	head := h.head(http.StatusOK)
	if framing == httpserver.Chunked {
		head = append(head, "Transfer-Encoding: chunked\r\n"...)
	}
	h.conn.WriteHead(append(head, "\r\n"...))
}

// client is the client's side of a connection.
type client struct {
	*net.TCPConn
	t      *testing.T
	server *server
	reader *bufio.Reader
}

// send writes requests without waiting for a response.
func (c *client) send(texts ...string) {
	c.t.Helper()
	if _, err := io.WriteString(c, strings.Join(texts, "")); err != nil {
		c.t.Fatal(err)
	}
}

// sendAndServe writes requests, the first of which must be for /later, and waits until that one is being
// served.
func (c *client) sendAndServe(h *testHandler, texts ...string) {
	c.t.Helper()
	c.send(texts...)
	c.server.waitFor("the request is being served", func() bool { return h.conn.State() == httpserver.Serving })
}

// response is a response as its client reads it.
type response struct {
	status     int
	body       string
	isComplete bool
	head       http.Header
	closes     bool // the head has "Connection: close", or the body ends with the connection
}

// receive reads the response to a request with the given method.
func (c *client) receive(method string) response {
	c.t.Helper()
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	return response{status: r.StatusCode, body: string(body), isComplete: err == nil, head: r.Header, closes: r.Close}
}

// expectResponse reads a response and checks its status and body.
func (c *client) expectResponse(status int, body string) response {
	c.t.Helper()
	r := c.receive(http.MethodGet)
	if r.status != status || r.body != body || !r.isComplete {
		c.t.Fatalf("got %d %.100q, complete %v; want %d %.100q", r.status, r.body, r.isComplete, status, body)
	}
	return r
}

// expectBytes reads len(want) bytes and compares them with want.
func (c *client) expectBytes(want string) {
	c.t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c.reader, got); err != nil || string(got) != want {
		c.t.Fatalf("got %q, %v; want %q", got, err, want)
	}
}

// expectEnd waits until the server closes the connection, and fails the test if more bytes arrive before.
func (c *client) expectEnd() {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	if err != nil || len(rest) > 0 {
		c.t.Fatalf("got %.100q, %v; want the connection's end", rest, err)
	}
}

// get returns a request without a body.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// postHead returns the head of a request with a body. lengthOrMore is the value of Content-Length,
// optionally followed by further field lines.
func postHead(path, lengthOrMore string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + lengthOrMore + "\r\n\r\n"
}
