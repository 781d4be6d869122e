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

// This file tests the operation of a running server: endpoint lists, reload, shutdown, log and limits.

// TestInvalidListOrConfigurationKeepsThePreviousOne: an invalid endpoint list or configuration is rejected with a
// reason, and the previous one stays in force. A valid configuration applies to new requests. Requests in progress
// complete.
func TestInvalidListOrConfigurationKeepsThePreviousOne(t *testing.T) {
	h := startHarness(t, prefillDecodeSpecs(1, 1))
	listPath, configPath := filepath.Join(h.Dir(), "nodes.ini"), filepath.Join(h.Dir(), "martenlock.ini")
	validList, validConfig := readFile(t, listPath), readFile(t, configPath)

	writeFile(t, listPath, strings.Replace(validList, "kind = reader", "kind = toaster", 1))
	h.waitUntil("the reason is logged", func() bool { return h.log.contains("there is no section [kind toaster]") })
	received := h.send(request{})
	if !received.served() {
		t.Errorf("request after an invalid list was not served: %v", received)
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
		t.Errorf("reload of an invalid configuration: error %v", err)
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
		t.Errorf("previous model after the reload: %v, want status 404", received)
	}
	received = <-inProgress
	if !received.served() {
		t.Errorf("request in progress at the reload was not served: %v", received)
	}
}

// TestLimitsOnOpenRequestsBufferingAndShutdownApply: a request above the limit "held" is rejected at once, an answer
// longer than "hold_back" is streamed, and a stream that is still open after the time-out "shutdown" is aborted.
func TestLimitsOnOpenRequestsBufferingAndShutdownApply(t *testing.T) {
	specs := prefillDecodeSpecs(1, 1)
	specs[1].TokenInterval, specs[1].AnswerTokens = 20*ms, 10_000
	h := startHarness(t, specs, "[limits]\n", "[limits]\nheld = 1\nhold_back = 10\nshutdown = 300ms\n")

	received := h.send(request{maxTokens: 3})
	if !received.served() || !strings.Contains(received.body, "snow on the") || received.header.Get("Content-Length") == "" {
		t.Errorf("answer longer than hold_back is incomplete or has no Content-Length: %v", received)
	}

	streamed := make(chan response)
	go func() { streamed <- h.send(request{stream: true, maxTokens: 10_000}) }()
	h.waitUntil("a request is streamed", func() bool { return h.engine("d1").Stats().Running == 1 })
	received = h.send(request{})
	if received.status != http.StatusServiceUnavailable || !received.rejected() {
		t.Errorf("request above held: %v, want a rejection with status 503", received)
	}

	h.Service.Router.Shutdown()
	received = <-streamed
	if !received.aborted() {
		t.Errorf("stream at the shutdown time-out was not aborted: %v", received)
	}
}

// TestShutdownAnswersAcceptedRequests: after a shutdown has started, accepted requests are still answered, and idle
// connections and the port are closed.
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
		t.Errorf("read from an idle connection: %v, want EOF", err)
	}
	for range cap(accepted) {
		received := <-accepted
		if !received.served() {
			t.Errorf("request accepted before the shutdown was not served: %v", received)
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

// TestSlowLogDelaysNoRequest: while the log's destination blocks, requests are served. Log lines are dropped and counted.
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

// blockedWriter blocks writes until its channel is closed, and discards what is written.
type blockedWriter struct{ unblocked <-chan struct{} }

func (w blockedWriter) Write(line []byte) (int, error) {
	<-w.unblocked
	return len(line), nil
}

// TestLocalLimitsEjectNoEngine: if the router may open only one connection to an engine, concurrent requests are served
// or rejected. The engine is not ejected because the limit is the router's own.
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
				t.Errorf("request was neither served nor rejected: %v", received)
			}
		})
	}
	clients.Wait()

	time.Sleep(50 * ms) // lets log lines arrive; if the pause is too short, the test can only miss a fault
	if served.Load() == 0 {
		t.Error("no request was served")
	}
	if h.log.contains("endpoint ejected") {
		t.Error("the engine was ejected")
	}
}
