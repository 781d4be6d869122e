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
	Raw            string // exact bytes of head and body
	Conn           *net.TCPConn
	Reader         *bufio.Reader // reads what follows the request on Conn
	ReceivedAt     time.Time
	Pause          time.Duration // since the previous response on Conn was written; 0 for the first request

	wroteAt time.Time // before the latest Write
}

// Write writes text to the connection, as part of the response, and reports whether that succeeded.
func (r *Request) Write(text string) bool {
	r.wroteAt = time.Now()
	_, err := io.WriteString(r.Conn, text)
	return err == nil
}

// Reset closes the connection with a TCP reset.
func (r *Request) Reset() { Reset(r.Conn) }

// AwaitClose discards further input until the connection is closed or reset, by the peer or at the end of the test.
func (r *Request) AwaitClose() { AwaitClose(r.Reader) }

// Script writes the response to one request and reports whether the engine keeps the connection open.
type Script func(*Request) (keepOpen bool)

// Engine is an HTTP/1.1 server on a loopback port whose script responds to each request. It records the requests.
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
	var previous *Request
	for {
		request, err := readRequest(reader)
		if err != nil {
			return
		}
		request.Conn = conn
		if previous != nil {
			request.Pause = request.ReceivedAt.Sub(previous.wroteAt)
		}
		previous = request
		if !e.record(request)(request) {
			return
		}
	}
}

// record records a request and returns the current script.
func (e *Engine) record(request *Request) Script {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, request)
	return e.script
}

// SetScript replaces the script, for requests received from now on.
func (e *Engine) SetScript(script Script) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = script
}

// Requests returns the recorded requests in order of arrival.
func (e *Engine) Requests() []*Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*Request(nil), e.requests...)
}

// CountRequests returns the number of recorded requests with the given method.
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

// ForgetRequests deletes the recorded requests.
func (e *Engine) ForgetRequests() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = nil
}

var contentLength = regexp.MustCompile(`(?i)\r\ncontent-length: *(\d+)\r\n`)

// ReadRaw reads one request and returns its exact bytes. The body is as long as Content-Length says; without that field it
// is empty.
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

// readRequest reads and parses one request with its body. The caller sets Conn.
func readRequest(reader *bufio.Reader) (*Request, error) {
	raw, err := ReadRaw(reader)
	if err != nil {
		return nil, err
	}
	parsed, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
	if err != nil {
		return nil, fmt.Errorf("parse request %q: %w", raw, err)
	}
	_, body, _ := strings.Cut(raw, "\r\n\r\n")
	return &Request{
		Method: parsed.Method, Target: parsed.RequestURI, Header: parsed.Header, Body: body,
		Raw: raw, Reader: reader, ReceivedAt: time.Now(),
	}, nil
}
