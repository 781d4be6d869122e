package openaiserver_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"martenlock/internal/enginetest"
)

// postEmbeddings returns an embeddings request in HTTP/1.1. fields holds additional header fields, each ending with CRLF.
func postEmbeddings(fields, body string) string {
	return fmt.Sprintf("POST /v1/embeddings HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
}

// TestHTTPResponsesToValidAndInvalidRequests writes requests to client connections. All that a connection receives
// until it is closed must match a regular expression.
func TestHTTPResponsesToValidAndInvalidRequests(t *testing.T) {
	h := startHarness(t, embeddingSpecs(1), "[limits]\n", "[limits]\nbody = 5000\n")
	body := `{"model":"demo-embed","input":"pipe"}`
	for _, test := range []struct{ name, request, want string }{
		{"health", "GET /health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", `200 .*"ok"`},
		{"HEAD", "HEAD /health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "200 [^{]*$"},
		{"HTTP/1.0", "GET /v1/models HTTP/1.0\r\n\r\n", "200 .*Connection: close.*demo-chat"},
		{"pipelined", postEmbeddings("", body) + postEmbeddings("Connection: close\r\n", body), `200 .*embedding.*HTTP/1.1 200 .*embedding`},
		{"chunked", "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n25\r\n" + body + "\r\n0\r\n\r\n", "200 "},
		{"Expect", postEmbeddings("Expect: 100-continue\r\nConnection: close\r\n", body), "100 Continue.*HTTP/1.1 200 "},
		{"body above the limit", postEmbeddings("", strings.Repeat("x", 6000)), "413 .*Connection: close"},
		{"two lengths", "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /health HTTP/1.1\r\n\r\n", "400 [^H]*$"},
		{"invalid JSON", postEmbeddings("Connection: close\r\n", "{"), "400 .*not valid JSON"},
		{"unknown model", postEmbeddings("Connection: close\r\n", `{"model":"x","input":"a"}`), "404 .*model_not_found"},
		{"repeated member", postEmbeddings("Connection: close\r\n", `{"model":"demo-embed","input":"a","model":"x"}`), "400 .*twice"},
		{"invalid deadline", postEmbeddings("X-Request-Deadline-Ms: soon\r\n", body), "400 .*x-request-deadline-ms"},
		{"unknown class", postEmbeddings("X-Request-Class: royal\r\nConnection: close\r\n", body), "400 .*no class 'royal'"},
		{"wrong method", "GET /v1/embeddings HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "405 .*Allow: POST"},
		{"unknown path", "GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "404 "},
	} {
		conn := h.dial()
		_, _ = io.WriteString(conn, test.request)

		got, err := io.ReadAll(conn)

		if err != nil || !regexp.MustCompile("(?s)^HTTP/1.1 "+test.want).Match(got) {
			t.Errorf("%s: got %q, error %v; want a match of %s", test.name, got, err, test.want)
		}
		conn.Close()
	}
}

// TestPipelinedAnswersComeInOrderAndLargeBodiesAreRejected: a client that pipelines 100 requests gets 100 answers in
// order. A body of 32 MiB is rejected, with a Content-Length or chunked, and leaves nothing buffered.
func TestPipelinedAnswersComeInOrderAndLargeBodiesAreRejected(t *testing.T) {
	h := startHarness(t, embeddingAndRerankSpecs(2))
	const count = 100
	var pipelined strings.Builder
	for i := range count {
		pipelined.WriteString(postEmbeddings("", fmt.Sprintf(`{"model":"demo-embed","dimensions":%d,"input":"pipe"}`, i+1)))
	}
	conn := h.dial()
	defer conn.Close()

	_, err := io.WriteString(conn, pipelined.String())
	if err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for i := range count {
		expectDimensions(t, reader, i+1)
	}
	for _, head := range []string{"Content-Length: 33554432\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n2000000\r\n"} {
		h.expectTooLarge("POST /v1/embeddings HTTP/1.1\r\nHost: x\r\n" + head)
	}
	buffered := h.stats().BufferedBytes
	if buffered > 0 {
		t.Errorf("%d bytes still buffered, want 0", buffered)
	}
}

// expectDimensions reads the next response. It fails the test unless the response has one embedding with the given
// number of dimensions.
func expectDimensions(t *testing.T, reader *bufio.Reader, dimensions int) {
	t.Helper()
	httpResponse, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("response with %d dimensions was not received: %v", dimensions, err)
	}
	var parsed struct {
		Data []struct{ Embedding []float64 }
	}
	err = json.NewDecoder(httpResponse.Body).Decode(&parsed)
	if err != nil || len(parsed.Data) != 1 || len(parsed.Data[0].Embedding) != dimensions {
		t.Fatalf("status %d, %v, error %v; want one embedding with %d dimensions", httpResponse.StatusCode, parsed, err, dimensions)
	}
	_, _ = io.Copy(io.Discard, httpResponse.Body)
}

// expectTooLarge sends the start of a request. It fails the test unless the response has status 413.
func (h *harness) expectTooLarge(requestStart string) {
	h.t.Helper()
	conn := h.dial()
	defer conn.Close()
	_, _ = io.WriteString(conn, requestStart)
	httpResponse, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || httpResponse.StatusCode != http.StatusRequestEntityTooLarge {
		h.t.Errorf("%q: response %v, error %v; want status 413", requestStart, httpResponse, err)
	}
}

// TestSlowClientPausesTheEngine: if a client reads nothing, the router pauses the engine's stream. The router buffers a
// limited part of the stream and closes the connection after client_stall.
func TestSlowClientPausesTheEngine(t *testing.T) {
	specs := prefillDecodeSpecs(1, 1)
	specs[1].TokenInterval, specs[1].AnswerTokens = 0, 400_000 // a stream of about 80 MB
	h := startHarness(t, specs, "[limits]\n", "[limits]\nclient_stall = 1s\n", "memory_tokens = 60000", "memory_tokens = 600000")
	conn := h.dial()
	defer conn.Close()
	body := `{"model":"demo-chat","stream":true,"max_tokens":400000,"messages":[{"role":"user","content":"all of it"}]}`

	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)

	maxUnsent := 0
	h.waitUntil("the connection is closed", func() bool {
		stats, err := h.Service.Router.Stats()
		maxUnsent = max(maxUnsent, stats.MaxUnsentBytes)
		return err == nil && stats.Canceled == 1 && stats.OpenRequests == 0
	})
	if maxUnsent < 64<<10 || maxUnsent > 512<<10 {
		t.Errorf("the router buffered up to %d bytes, want 64 KiB to 512 KiB", maxUnsent)
	}
	h.waitUntilIdle()
}

// TestSlowRequestAndIdleConnectionAreClosed: a request that is not received in time gets status 408, and an idle
// connection is closed without a response.
func TestSlowRequestAndIdleConnectionAreClosed(t *testing.T) {
	shortIdle := startHarness(t, prefillDecodeSpecs(1, 1), "[limits]\n", "[limits]\nidle = 150ms\n")
	shortReceive := startHarness(t, prefillDecodeSpecs(1, 1), "[limits]\n", "[limits]\nreceive = 200ms\n")
	for _, test := range []struct {
		h          *harness
		sent       string
		wantPrefix string // "" for no response at all
	}{
		{shortIdle, "", ""},
		{shortReceive, "POST /v1/chat/completions HTTP/1.1\r\n", "HTTP/1.1 408 "},
		{shortReceive, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{", "HTTP/1.1 408 "},
	} {
		conn := test.h.dial()
		_, _ = io.WriteString(conn, test.sent)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))

		got, _ := io.ReadAll(conn)

		if !strings.HasPrefix(string(got), test.wantPrefix) || test.wantPrefix == "" && len(got) > 0 {
			t.Errorf("sent %q: got %q, want prefix %q", test.sent, got, test.wantPrefix)
		}
		conn.Close()
	}
}

// TestLongestIdleConnectionIsEvicted: at max_connections, a new client is served at once because the longest idle
// connection is closed. Connections with a request in progress stay open.
func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	h := startHarness(t, prefillDecodeSpecs(1, 1), "[router]\n", "[router]\nmax_connections = 20\n")
	dial := func() net.Conn {
		conn := h.dial()
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	readOKResponse := func(conn net.Conn) error {
		httpResponse, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil && httpResponse.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", httpResponse.StatusCode)
		}
		return err
	}
	oldest := dial() // the router has received only the head of its request
	fmt.Fprint(oldest, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 91\r\n\r\n")
	h.waitUntil("the oldest is connected", func() bool { return h.stats().ClientConnections == 1 })
	for range 18 {
		dial()
	}
	h.waitUntil("all connections but one are open", func() bool { return h.stats().ClientConnections == 19 })

	for i := range 40 {
		conn := dial()
		fmt.Fprint(conn, "GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
		err := readOKResponse(conn)
		if err != nil {
			t.Fatalf("new client %d was not served: %v", i, err)
		}
	}
	fmt.Fprint(oldest, `{"model":"demo-chat","max_tokens":1,"messages":[{"role":"user","content":"a frozen pipe"}]}`)

	err := readOKResponse(oldest)
	if err != nil {
		t.Errorf("request in progress was not served: %v", err)
	}
	stats := h.stats()
	if stats.IdleConnsEvicted != 40 || stats.ClientConnections > 20 {
		t.Errorf("%d connections evicted, want 40; %d open, want at most 20", stats.IdleConnsEvicted, stats.ClientConnections)
	}
}

// Environment variables for the process that holds the idle connections.
const (
	idleAddressVariable = "MARTENLOCK_IDLE"
	idleCountVariable   = "MARTENLOCK_IDLE_N"
)

// TestServesBesideTenThousandIdleConnections: with 10,000 idle connections, which use at most 8 KiB each, a request is
// served. The clients run in another process because the descriptors of one process don't suffice for both ends.
func TestServesBesideTenThousandIdleConnections(t *testing.T) {
	address := os.Getenv(idleAddressVariable)
	if address != "" {
		holdIdleConnections(t, address)
		return
	}
	count := raiseLimitForIdleConnections()
	h := startHarness(t, prefillDecodeSpecs(1, 1))
	holder := exec.Command(os.Args[0], "-test.run=^TestServesBesideTenThousandIdleConnections$")
	holder.Env = append(os.Environ(), idleAddressVariable+"="+h.address(), fmt.Sprintf("%s=%d", idleCountVariable, count))
	holderStdin, err := holder.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}

	before := memoryInUse()
	err = holder.Start()
	if err != nil {
		t.Fatal(err)
	}
	h.waitUntil("all are connected", func() bool { return h.stats().ClientConnections >= count })
	bytesPerConnection := (memoryInUse() - before) / int64(count)

	t.Logf("%d idle connections, %d bytes each", count, bytesPerConnection)
	if bytesPerConnection > 8<<10 {
		t.Errorf("an idle connection uses %d bytes, want at most 8 KiB", bytesPerConnection)
	}
	received := h.send(request{stream: true})
	if !received.served() {
		t.Errorf("request was not served: %v", received)
	}
	holderStdin.Close()
	err = holder.Wait()
	if err != nil {
		t.Errorf("process with the idle connections: %v", err)
	}
	h.waitUntil("the idle connections are closed", func() bool { return h.stats().ClientConnections < 10 })
}

// memoryInUse returns the size of heap and stacks in bytes after a garbage collection.
func memoryInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// raiseLimitForIdleConnections raises the descriptor limit of this process. It returns the number of idle connections:
// 10,000 or, if lower, the limit minus 500 descriptors for other use.
func raiseLimitForIdleConnections() int {
	var limit unix.Rlimit
	_ = unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)
	limit.Cur = limit.Max
	_ = unix.Setrlimit(unix.RLIMIT_NOFILE, &limit)
	return int(min(limit.Max-500, 10_000))
}

// holdIdleConnections opens the configured number of connections and keeps them open until standard input ends.
func holdIdleConnections(t *testing.T, address string) {
	t.Helper()
	raiseLimitForIdleConnections()
	count, err := strconv.Atoi(os.Getenv(idleCountVariable))
	if err != nil {
		t.Fatal(err)
	}
	for range count {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
}

// TestAnswerDelimitedByConnectionCloseIsComplete: the end of the engine's connection marks the end of its answer. The
// client gets the complete answer even if it starts to read after the engine has closed the connection.
func TestAnswerDelimitedByConnectionCloseIsComplete(t *testing.T) {
	engine := startClosingEngine(t)
	service := startServiceWithEngine(t, "chat", engine.Addr())
	httpResponse, err := http.Post("http://"+service.Router.Addr()+chatPath, "application/json",
		strings.NewReader(`{"model":"demo-chat","stream":true,"messages":[{"role":"user","content":"x"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	for unsent := 0; unsent < 128<<10; {
		stats, err := service.Router.Stats()
		if err != nil {
			t.Fatal(err)
		}
		unsent = stats.MaxUnsentBytes
	}

	engine.mustEnd.Store(true)
	sent := <-engine.sentEvents
	time.Sleep(50 * ms) // lets the router receive the end of the answer; if the pause is too short, the test can only miss a fault
	body, err := io.ReadAll(httpResponse.Body)

	received := strings.Count(string(body), "forty")
	if err != nil || received != sent || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
		t.Errorf("received %d of %d events, error %v; want all events and [DONE]", received, sent, err)
	}
	httpResponse.Body.Close()
}

// closingEngine streams an answer until mustEnd is set. It then ends the answer by closing the connection.
type closingEngine struct {
	*enginetest.Engine
	mustEnd    atomic.Bool
	sentEvents chan int // receives the number of events that were sent
}

// startClosingEngine starts a closingEngine, which is stopped when the test ends.
func startClosingEngine(t *testing.T) *closingEngine {
	t.Helper()
	engine := &closingEngine{sentEvents: make(chan int, 1)}
	engine.Engine = enginetest.Start(t, engine.stream)
	return engine
}

// stream answers inference requests. It does not answer health checks.
func (e *closingEngine) stream(r *enginetest.Request) (keepOpen bool) {
	if r.Method != http.MethodPost {
		r.AwaitClose()
		return false
	}
	const eventsPerWrite = 200
	events := 0
	r.Write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	for !e.mustEnd.Load() {
		if !r.Write(strings.Repeat("data: {\"x\":\"some forty bytes of a token, more or less\"}\n\n", eventsPerWrite)) {
			return false
		}
		events += eventsPerWrite
		time.Sleep(ms)
	}
	r.Write("data: [DONE]\n\n")
	e.sentEvents <- events
	return false
}
