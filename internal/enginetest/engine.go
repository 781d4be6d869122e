package enginetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Request is a request that an engine received.
type Request struct {
	Method, Target string
	Header         http.Header
	Body           string
	Raw            string // the exact bytes of head and body
	Conn           *net.TCPConn
	Reader         *bufio.Reader // of what follows on Conn
	ReceivedAt     time.Time
}

// Write writes bytes of the response and reports whether the connection took them.
func (r *Request) Write(text string) bool {
	_, err := io.WriteString(r.Conn, text)
	return err == nil
}

// Reset ends the connection with a TCP reset.
func (r *Request) Reset() { Reset(r.Conn) }

// AwaitClose returns once the peer has ended the connection.
func (r *Request) AwaitClose() { AwaitClose(r.Reader) }

// Script answers one request and reports whether the engine keeps the connection open.
type Script func(*Request) (keepOpen bool)

// Engine is an engine on a loopback port that answers by its script. It records its requests.
type Engine struct {
	*Listener
	mu       sync.Mutex
	script   Script
	requests []*Request
}

// Start starts an engine that serves until the test ends.
func Start(t *testing.T, script Script) *Engine {
	t.Helper()
	e := &Engine{script: script}
	e.Listener = Listen(t, e.serve)
	return e
}

func (e *Engine) serve(conn *net.TCPConn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := readRequest(reader)
		if err != nil {
			return
		}
		request.Conn = conn
		if !e.record(request)(request) {
			return
		}
	}
}

// record records a request and returns the script that answers it.
func (e *Engine) record(request *Request) Script {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, request)
	return e.script
}

// SetScript sets how requests are answered from now on.
func (e *Engine) SetScript(script Script) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = script
}

// Requests returns the requests received so far, in order of arrival.
func (e *Engine) Requests() []*Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*Request(nil), e.requests...)
}

// CountRequests returns how many requests of a method were received.
func (e *Engine) CountRequests(method string) (count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, request := range e.requests {
		if request.Method == method {
			count++
		}
	}
	return count
}

// ForgetRequests drops the record of requests.
func (e *Engine) ForgetRequests() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = nil
}

var contentLength = regexp.MustCompile(`(?i)\r\ncontent-length: *(\d+)\r\n`)

// ReadRaw reads one request with its body and returns its exact bytes.
func ReadRaw(reader *bufio.Reader) (string, error) {
	var raw strings.Builder
	for !strings.HasSuffix(raw.String(), "\r\n\r\n") {
		line, err := reader.ReadString('\n')
		if err != nil {
			return "", err
		}
		raw.WriteString(line)
	}
	match := contentLength.FindStringSubmatch(raw.String())
	if match == nil {
		return raw.String(), nil
	}
	size, err := strconv.Atoi(match[1])
	if err != nil {
		return "", err
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(reader, body); err != nil {
		return "", err
	}
	return raw.String() + string(body), nil
}

// readRequest reads one request with its body.
func readRequest(reader *bufio.Reader) (*Request, error) {
	raw, err := ReadRaw(reader)
	if err != nil {
		return nil, err
	}
	parsed, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
	if err != nil {
		return nil, fmt.Errorf("%q: %w", raw, err)
	}
	_, body, _ := strings.Cut(raw, "\r\n\r\n")
	return &Request{
		Method: parsed.Method, Target: parsed.RequestURI, Header: parsed.Header, Body: body,
		Raw: raw, Reader: reader, ReceivedAt: time.Now(),
	}, nil
}
