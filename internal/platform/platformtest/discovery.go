package platformtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"martenlock/internal/enginetest"
)

// WatchHead is the head of the response to a watch.
const WatchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Discovery is a discovery service on a loopback port. It answers each call with the first message and keeps the call
// open, unless a script answers it.
type Discovery struct {
	listener *enginetest.Listener

	mu           sync.Mutex
	calls        []*discoveryCall
	firstMessage string
	script       func(conn net.Conn, call int) (isAnswered bool)
}

// discoveryCall is a call that discovery received.
type discoveryCall struct {
	conn     net.Conn
	head     string // the exact bytes of the request
	hasEnded bool   // the router has closed the connection
}

// StartDiscovery starts a discovery service that runs until the test ends. Each call is answered with firstMessage.
func StartDiscovery(t *testing.T, firstMessage string) *Discovery {
	t.Helper()
	d := &Discovery{firstMessage: firstMessage}
	d.listener = enginetest.Listen(t, d.serve)
	return d
}

func (d *Discovery) serve(conn *net.TCPConn) {
	reader := bufio.NewReader(conn)
	head, err := enginetest.ReadRaw(reader)
	if err != nil {
		return
	}
	call := d.answer(conn, head)
	enginetest.AwaitClose(reader)
	d.mu.Lock()
	defer d.mu.Unlock()
	call.hasEnded = true
}

// answer records a call and answers it with the script, or else with the first message.
func (d *Discovery) answer(conn net.Conn, head string) *discoveryCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	call := &discoveryCall{conn: conn, head: head}
	d.calls = append(d.calls, call)
	if d.script == nil || !d.script(conn, len(d.calls)) {
		_, _ = io.WriteString(conn, WatchHead+Chunk(d.firstMessage+"\n")) // the router may have closed the call
	}
	return call
}

// SetFirstMessage sets the first message that later calls are answered with.
func (d *Discovery) SetFirstMessage(message string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.firstMessage = message
}

// SetScript sets the function that answers later calls. script gets a call's connection and its number, counted from 1,
// and reports whether it has answered the call. A call that it has not answered gets the first message.
func (d *Discovery) SetScript(script func(conn net.Conn, call int) (isAnswered bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.script = script
}

// Send sends text as one chunk on the latest call that the router has not closed. While the router has several calls
// open, another one may be its watch: wait until OpenCalls returns 1 first.
func (d *Discovery) Send(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, call := range slices.Backward(d.calls) {
		if !call.hasEnded {
			_, _ = io.WriteString(call.conn, Chunk(text)) // the router may be closing it
			return
		}
	}
}

// OpenCalls returns how many calls the router has not closed. The router makes further calls while none is answered, and
// closes all others once one is answered.
func (d *Discovery) OpenCalls() (count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, call := range d.calls {
		if !call.hasEnded {
			count++
		}
	}
	return count
}

// SendOn sends text as one chunk on the call with this number, counted from 1.
func (d *Discovery) SendOn(call int, text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = io.WriteString(d.calls[call-1].conn, Chunk(text)) // the router may have closed this call
}

// SendHeartbeats sends an empty line at this interval, as Send does, until the test ends. It returns at once.
func (d *Discovery) SendHeartbeats(t *testing.T, interval time.Duration) {
	t.Helper()
	ticker := time.NewTicker(interval)
	ended := make(chan struct{})
	t.Cleanup(func() {
		ticker.Stop()
		close(ended)
	})
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-ticker.C:
				d.Send("\n")
			}
		}
	}()
}

// Calls returns how many calls discovery has received.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}

// RequestHeads returns the exact bytes of the requests received, in order of arrival.
func (d *Discovery) RequestHeads() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	heads := make([]string, len(d.calls))
	for i, call := range d.calls {
		heads[i] = call.head
	}
	return heads
}

// Since returns the query parameter since of the call with this number, counted from 1: the revision after which the
// router requests changes. It returns "" if the call has none.
func (d *Discovery) Since(call int) string {
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(d.RequestHeads()[call-1])))
	if err != nil {
		return ""
	}
	return request.URL.Query().Get("since")
}

// CloseCalls closes the connections of all calls.
func (d *Discovery) CloseCalls() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, call := range d.calls {
		_ = call.conn.Close() // the router may have closed it
	}
}

// Close makes discovery refuse new calls.
func (d *Discovery) Close() { d.listener.Close() }

// Address returns the address on which discovery listens.
func (d *Discovery) Address() string { return d.listener.Addr().String() }
