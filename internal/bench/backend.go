package bench

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"martenlock/internal/eventloop"
	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
)

// The backend's responses.
const (
	tokensPerStream   = 500 // tokens of a chat response
	tokenInterval     = 2 * time.Millisecond
	embeddingResponse = `{"object":"list","data":[{"object":"embedding","index":0,"embedding":"zczMPc3MTD6amZk+zczMPs3MTD8="}],"model":"m","usage":{"prompt_tokens":4,"total_tokens":4}}`
	tokenEvent        = `data: {"id":"c","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"snow "},"finish_reason":null}]}` + "\n\n"
	doneEvent         = "data: [DONE]\n\n"
)

// maxUnsentBytes limits the output that a backend connection buffers.
const maxUnsentBytes = 64 << 20

// requestLimits are the limits of the requests that the backend accepts.
var requestLimits = http1.Limits{Line: 8000, Headers: 64000, Fields: 100, Body: 1 << 20}

// startBackend starts the backend in this process and returns its address.
func startBackend() (string, error) {
	loop, err := eventloop.New(eventloop.Options{MaxUnsentBytes: maxUnsentBytes})
	if err != nil {
		return "", err
	}
	listener, err := loop.Listen(netip.MustParseAddrPort(anyLoopbackPort), func(*eventloop.Conn) eventloop.Handler {
		return &backendConn{parser: http1.NewRequestParser(&requestLimits)}
	})
	if err != nil {
		return "", err
	}
	go func() { _ = loop.Run() }()
	return listener.Addr().String(), nil
}

// backendConn is a connection of the backend. It responds to embeddings requests at once and streams chat tokens at a
// fixed rate. It implements eventloop.Handler.
type backendConn struct {
	parser     *http1.Parser
	isChat     bool // whether the current request is for chat
	tokensLeft int
	tokenTimer timerwheel.Timer
}

// Opened implements eventloop.Handler.
func (b *backendConn) Opened(*eventloop.Conn) {}

// Writable implements eventloop.Handler.
func (b *backendConn) Writable(*eventloop.Conn) {}

// Closed implements eventloop.Handler. It stops the current stream.
func (b *backendConn) Closed(conn *eventloop.Conn, _ error) { conn.Loop().StopTimer(&b.tokenTimer) }

// EOF implements eventloop.Handler. It stops the current stream and closes the connection.
func (b *backendConn) EOF(conn *eventloop.Conn) {
	conn.Loop().StopTimer(&b.tokenTimer)
	conn.Close()
}

// Data implements eventloop.Handler. It parses requests and responds to each complete one.
func (b *backendConn) Data(conn *eventloop.Conn, data []byte) int {
	total := 0
	for {
		used, kind, _, err := b.parser.Next(data[total:])
		total += used
		if err != nil {
			conn.Abort()
			return len(data)
		}
		switch kind {
		case http1.NeedMore:
			return total
		case http1.HeadDone:
			b.isChat = strings.Contains(string(b.parser.Head.Target), "chat")
		case http1.Data:
			// The backend ignores the content of requests.
		case http1.End:
			b.respond(conn)
		}
	}
}

// respond sends the response to the current request, or starts its stream.
func (b *backendConn) respond(conn *eventloop.Conn) {
	if !b.isChat {
		conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(embeddingResponse)) + "\r\n\r\n" + embeddingResponse))
		return
	}
	conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
	b.tokensLeft = tokensPerStream
	b.tokenTimer.Fire = func() { b.streamToken(conn) }
	b.tokenTimer.Fire()
}

// streamToken sends the next token, or the end of the stream after the last one.
func (b *backendConn) streamToken(conn *eventloop.Conn) {
	if b.tokensLeft == 0 {
		conn.Write(append(http1.AppendChunk(nil, []byte(doneEvent)), http1.LastChunk...))
		return
	}
	b.tokensLeft--
	conn.Write(http1.AppendChunk(nil, []byte(tokenEvent)))
	conn.Loop().StartTimer(&b.tokenTimer, tokenInterval)
}
