package openaiserver_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"martenlock/internal/demo"
	"martenlock/internal/fakeengine"
	"martenlock/internal/invariant"
)

// This file tests what an operator does to a running server: endpoint lists, reload, shutdown, log and limits.

// TestInvalidListOrConfigurationKeepsThePreviousOne: an invalid endpoint list or configuration is rejected with its
// reason, and the previous one stays in force. A valid one is applied to new requests; those in progress continue.
func TestInvalidListOrConfigurationKeepsThePreviousOne(t *testing.T) {
	h := startHarness(t, prefillDecodeSpecs(1, 1))
	listPath, configPath := filepath.Join(h.Dir(), "nodes.ini"), filepath.Join(h.Dir(), "martenlock.ini")
	validList, validConfig := readFile(t, listPath), readFile(t, configPath)

	writeFile(t, listPath, strings.Replace(validList, "kind = reader", "kind = toaster", 1))
	h.waitUntil("the reason is logged", func() bool { return h.log.contains("there is no section [kind toaster]") })
	received := h.send(request{})
	if !received.served() {
		t.Errorf("after an invalid list: %v", received)
	}

	writeFile(t, listPath, strings.ReplaceAll(validList, "state = ready", "state = gone"))
	h.waitUntil("no engine is listed", func() bool {
		received := h.send(request{deadline: 150 * ms})
		return received.status == http.StatusServiceUnavailable && received.rejected()
	})
	writeFile(t, listPath, validList)
	h.waitUntil("the engines are listed again", func() bool { return h.send(request{}).served() })

	writeFile(t, configPath, strings.Replace(validConfig, "aim = 1s", "aim = soon", 1))
	err := h.Service.Reload()
	if err == nil || !strings.Contains(err.Error(), `[class ask] aim: invalid duration "soon"`) {
		t.Errorf("invalid configuration: %v", err)
	}

	h.engine("p1").SetFault(fakeengine.Fault{PrefillDelay: 300 * ms})
	inProgress := make(chan response)
	go func() { inProgress <- h.send(request{stream: true}) }()
	h.waitUntil("a request is in prefill", func() bool { return h.engine("p1").Stats().Waiting == 1 })
	writeFile(t, configPath, strings.ReplaceAll(validConfig, "demo-chat", "new-chat"))
	err = h.Service.Reload()
	if err != nil {
		t.Fatal(err)
	}
	received = h.send(request{})
	if received.status != http.StatusNotFound {
		t.Errorf("the previous model is still served: %v", received)
	}
	received = <-inProgress
	if !received.served() {
		t.Errorf("request in progress at the reload: %v", received)
	}
}

// TestBoundsOfOpenRequestsBufferAndShutdown: above [limits] held, requests are rejected at once. An answer longer than
// hold_back is streamed. Streams that outlast the shutdown limit are aborted.
func TestBoundsOfOpenRequestsBufferAndShutdown(t *testing.T) {
	specs := prefillDecodeSpecs(1, 1)
	specs[1].TokenInterval, specs[1].AnswerTokens = 20*ms, 10_000
	h := startHarness(t, specs, "[limits]\n", "[limits]\nheld = 1\nhold_back = 10\nshutdown = 300ms\n")

	received := h.send(request{maxTokens: 3})
	if !received.served() || !strings.Contains(received.body, "snow on the") || received.header.Get("Content-Length") == "" {
		t.Errorf("answer longer than hold_back: %v", received)
	}

	streamed := make(chan response)
	go func() { streamed <- h.send(request{stream: true, maxTokens: 10_000}) }()
	h.waitUntil("a request is streamed", func() bool { return h.engine("d1").Stats().Running == 1 })
	received = h.send(request{})
	if received.status != http.StatusServiceUnavailable || !received.rejected() {
		t.Errorf("request above held: %v", received)
	}

	h.Service.Router.Shutdown()
	received = <-streamed
	if !received.aborted() {
		t.Errorf("stream at the shutdown limit: %v", received)
	}
}

// TestShutdownAnswersAcceptedRequests: at a shutdown accepted requests are answered, idle connections and the port are
// closed.
func TestShutdownAnswersAcceptedRequests(t *testing.T) {
	h := startHarness(t, prefillDecodeSpecs(1, 1))
	h.engine("p1").SetFault(fakeengine.Fault{PrefillDelay: 300 * ms})
	idle := h.dial()
	accepted := make(chan response, 4)
	for i := range cap(accepted) {
		go func() { accepted <- h.send(request{stream: i%2 == 0, maxTokens: 5}) }()
	}
	h.waitUntil("all requests are accepted", func() bool { return h.stats().OpenRequests == cap(accepted) })

	h.Service.Router.Shutdown()

	_, err := idle.Read(make([]byte, 1))
	if !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v", err)
	}
	for range cap(accepted) {
		received := <-accepted
		if !received.served() {
			t.Errorf("accepted before the shutdown: %v", received)
		}
	}
	h.waitUntil("the port is closed", func() bool {
		conn, err := net.Dial("tcp", h.address())
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
}

// TestSlowLogDelaysNoRequest: requests are served though the log's destination blocks. Log lines are dropped and counted.
func TestSlowLogDelaysNoRequest(t *testing.T) {
	unblocked := make(chan struct{})
	h := &harness{t: t, recording: invariant.NewRecording(1 << 16), client: http.DefaultClient}
	options := demo.Options{
		Specs:     prefillDecodeSpecs(1, 1),
		Listen:    "127.0.0.1:0",
		Seed:      1,
		LogLevel:  "info",
		Log:       blockedWriter{unblocked},
		Recording: h.recording,
	}
	var err error
	h.Cluster, err = demo.Start(options)
	if err != nil {
		t.Fatal(err)
	}

	for range 30_000 { // one log line each
		h.Service.Router.SetEndpoints(nil)
	}
	err = h.PublishEndpoints()
	if err != nil {
		t.Fatal(err)
	}

	h.waitUntil("requests are served", func() bool { return h.send(request{deadline: time.Second}).served() })
	if h.stats().Served == 0 {
		t.Error("no request was served")
	}
	close(unblocked)
	h.waitUntil("dropped lines are counted", func() bool { return h.Service.DroppedLogLines() > 0 })
	err = h.Close()
	if err != nil {
		t.Error(err)
	}
}

// blockedWriter blocks until its channel is closed and then discards what is written.
type blockedWriter struct{ unblocked <-chan struct{} }

func (w blockedWriter) Write(line []byte) (int, error) {
	<-w.unblocked
	return len(line), nil
}

// TestLocalLimitsEjectNoEngine: a limit of this process is no fault of an engine. With one connection to an engine, all
// requests are answered and the engine stays in use.
func TestLocalLimitsEjectNoEngine(t *testing.T) {
	h := startHarness(t, embeddingSpecs(1), "[limits]\n", "[limits]\nengine_connections = 1\n")

	var clients sync.WaitGroup
	var served atomic.Int64
	for range 8 {
		clients.Go(func() {
			received := h.sendEmbeddings(`{"model":"demo-embed","input":"frozen pipe"}`)
			if received.served() {
				served.Add(1)
			} else if !received.rejected() {
				t.Error(received)
			}
		})
	}
	clients.Wait()

	time.Sleep(50 * ms) // for the log's lines; correct code passes without the pause
	if served.Load() == 0 {
		t.Error("no request was served")
	}
	if h.log.contains("endpoint ejected") {
		t.Error("the engine was ejected")
	}
}
