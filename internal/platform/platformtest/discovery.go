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

// WatchHead begins the response to a watch.
const WatchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Discovery is the discovery service on a loopback port. It answers each call with a first message and keeps the
// call open.
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
	head     string
	hasEnded bool // the router has closed its connection
}

// StartDiscovery starts a discovery service that serves until the test ends, with the first message of each watch.
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

// answer records a call and answers it by the script, or with the first message.
func (d *Discovery) answer(conn net.Conn, head string) *discoveryCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	call := &discoveryCall{conn: conn, head: head}
	d.calls = append(d.calls, call)
	if d.script == nil || !d.script(conn, len(d.calls)) {
		_, _ = io.WriteString(conn, WatchHead+Chunk(d.firstMessage+"\n")) // a router that is gone watches again
	}
	return call
}

// SetFirstMessage sets the first message of the watches from now on.
func (d *Discovery) SetFirstMessage(message string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.firstMessage = message
}

// SetScript sets how calls are answered from now on. script gets a call's connection and its number, counted from 1, and
// reports whether it answered. A call that it did not answer gets the first message.
func (d *Discovery) SetScript(script func(conn net.Conn, call int) (isAnswered bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.script = script
}

// Send sends bytes on the latest call that the router has not closed, as one chunk. While the router has several calls
// open, it may read another one of them: see OpenCalls.
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

// OpenCalls returns how many calls the router has not closed. A router that waits long for an answer calls again; once one
// call is answered, it closes the others.
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

// SendOn sends bytes on the watch of this number, from 1, as one chunk.
func (d *Discovery) SendOn(call int, text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = io.WriteString(d.calls[call-1].conn, Chunk(text)) // the router may have abandoned this watch
}

// SendHeartbeats sends an empty line at this interval, until the test ends.
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

// RequestHeads returns the exact heads of the calls received.
func (d *Discovery) RequestHeads() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	heads := make([]string, len(d.calls))
	for i, call := range d.calls {
		heads[i] = call.head
	}
	return heads
}

// Since returns the revision from which the call of this number, from 1, asks for changes, or "" if it
// names none.
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
