package bench

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"martenlock/internal/http1"
	"martenlock/internal/latency"
)

// The requests of the load.
var (
	embeddingRequest = newRequest("/v1/embeddings", `{"model":"m","input":"where is the ice on the pipe","encoding_format":"base64"}`)
	chatRequest      = newRequest("/v1/chat/completions", `{"model":"m","stream":true,"messages":[{"role":"user","content":"my pipe is frozen"}]}`)
)

// newRequest returns a POST request with header fields that clients of the API usually send.
func newRequest(path, body string) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: x\r\nUser-Agent: bench\r\nAccept: application/json\r\nContent-Type: application/json\r\nAuthorization: Bearer none\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// responseLimits are the limits of the responses that a client accepts.
var responseLimits = http1.Limits{Line: 8000, Headers: 64000, Fields: 100, Body: 1 << 30}

// readBufferBytes is the size of a client's read buffer. It exceeds the limit of a response head, so that what the parser
// has not consumed always fits.
const readBufferBytes = 64 << 10

// loadOptions describe a load. Each client sends its next request after the response to the previous one.
type loadOptions struct {
	address  string
	clients  int
	span     time.Duration // time after which the clients stop
	interval time.Duration // planned time between two requests of a client; 0 to send without pauses
	request  []byte
}

// runLoad runs the clients and returns the latencies of all responses. If clients fail, it returns the error of the
// client that failed last.
func runLoad(options loadOptions) (*latency.Histogram, error) {
	all := latency.NewHistogram()
	end := time.Now().Add(options.span)
	var mu sync.Mutex // guards lastError
	var lastError error
	var clients sync.WaitGroup
	for i := range options.clients {
		clients.Go(func() {
			latencies := latency.NewHistogram()
			// Spreads the clients' requests evenly over the interval.
			firstSend := time.Now().Add(options.interval * time.Duration(i) / time.Duration(options.clients))
			err := runClient(options, firstSend, end, latencies)
			all.Merge(latencies)
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				lastError = err
			}
		})
	}
	clients.Wait()
	return all, lastError
}

// runClient sends requests on one connection until end and records their latencies. If the options have an interval, the
// first request is sent at nextSend.
func runClient(options loadOptions, nextSend, end time.Time, latencies *latency.Histogram) (err error) {
	conn, err := net.Dial("tcp", options.address)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, conn.Close()) }()
	parser := http1.NewResponseParser(&responseLimits)
	buffer := make([]byte, readBufferBytes)
	for time.Now().Before(end) {
		if options.interval > 0 {
			time.Sleep(time.Until(nextSend))
			nextSend = nextSend.Add(options.interval)
		}
		sentAt := time.Now()
		err = exchange(conn, parser, options.request, buffer)
		if err != nil {
			return err
		}
		latencies.Record(time.Since(sentAt))
	}
	return nil
}

// exchange sends a request and reads the complete response.
func exchange(conn net.Conn, parser *http1.Parser, request, buffer []byte) error {
	_, err := conn.Write(request)
	if err != nil {
		return err
	}
	unparsed := 0 // bytes at the start of the buffer that the parser has not consumed
	for {
		n, err := conn.Read(buffer[unparsed:])
		if err != nil {
			return err
		}
		used, isComplete, err := parse(parser, buffer[:unparsed+n])
		if err != nil || isComplete {
			return err
		}
		unparsed = copy(buffer, buffer[used:unparsed+n])
	}
}

// parse parses the next bytes of a response. It returns how many bytes it consumed and whether the response is complete.
func parse(parser *http1.Parser, data []byte) (used int, isComplete bool, err error) {
	for {
		n, kind, _, parseError := parser.Next(data[used:])
		used += n
		switch {
		case parseError != nil:
			return used, false, parseError
		case kind == http1.HeadDone && parser.Head.Status != http.StatusOK:
			return used, false, fmt.Errorf("response has status %d, want %d", parser.Head.Status, http.StatusOK)
		case kind == http1.End:
			return used, true, nil
		case kind == http1.NeedMore:
			return used, false, nil
		}
	}
}
