package openaiserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestLargeRequestsDoNotDelaySmallOnes: while large requests keep all engines busy, small requests are served within a
// second. Large requests that would miss their deadline are rejected.
func TestLargeRequestsDoNotDelaySmallOnes(t *testing.T) {
	specs := embeddingSpecs(2)
	for i := range specs {
		specs[i].PrefillTokensPerSecond, specs[i].MaxWaiting = 40_000, 10_000
	}
	h := startHarness(t, specs, "join_wait = 5ms", "join_wait = 0s")
	const largeCount = 12
	large := startLargeRequests(h, largeCount)
	h.waitUntil("an engine computes a large request", func() bool { return h.engine("e1").Stats().Waiting > 0 })
	ctx, cancel := context.WithCancel(t.Context())
	abandoned := make(chan response)
	go func() {
		abandoned <- h.send(request{ctx: ctx, path: embeddingsPath, class: "search", body: strings.Replace(large.body, `"input":[`, `"input":["waits",`, 1)})
	}()
	time.AfterFunc(100*ms, cancel) // while the request waits for admission, or shortly before or after

	maxWaiting := 0
	for i := range 30 {
		for _, engine := range h.FindEngines("pool:embeddings") {
			maxWaiting = max(maxWaiting, engine.Stats().Waiting)
		}
		received := h.sendEmbeddings(fmt.Sprintf(`{"model":"demo-embed","input":"search %d"}`, i))
		if !received.served() || received.elapsed > time.Second {
			t.Errorf("small request %d: %v; want an answer within 1s", i, received)
		}
	}
	large.clients.Wait()

	received := <-abandoned
	if received.err == nil && !received.rejected() {
		t.Errorf("cancelled large request: %v; want no response or a rejection", received)
	}
	if large.served == 0 || large.rejected == 0 || large.served+large.rejected != largeCount || maxWaiting > 12 {
		t.Errorf("%d large requests served and %d rejected, want some of each and %d in total; %d requests waited at one engine, want at most 12",
			large.served, large.rejected, largeCount, maxWaiting)
	}
}

// largeRequests is a group of large embeddings requests that are sent concurrently.
type largeRequests struct {
	body    string // the requests' bodies are variants of it
	clients sync.WaitGroup

	mu               sync.Mutex
	served, rejected int
}

// startLargeRequests sends n requests of about 42,000 tokens each.
func startLargeRequests(h *harness, n int) *largeRequests {
	const inputs = 1024
	l := &largeRequests{body: `{"model":"demo-embed","dimensions":1,"input":` + inputList(inputs, strings.Repeat("ice ", 40)) + `}`}
	for i := range n {
		l.clients.Go(func() {
			received := h.sendEmbeddings(strings.ReplaceAll(l.body, `"ice `, fmt.Sprintf(`"%d `, i)))
			l.mu.Lock()
			defer l.mu.Unlock()
			switch {
			case received.served() && len(parseEmbeddings(received.body).vectors) == inputs:
				l.served++
			case received.rejected():
				l.rejected++
			default:
				h.t.Errorf("large request was neither served nor rejected: %v", received)
			}
		})
	}
	return l
}

// chatBody returns the body of a chat completion request with a prompt of about promptTokens. It has no max_tokens if
// maxTokens is 0.
func chatBody(promptTokens, maxTokens int) string {
	limit := ""
	if maxTokens > 0 {
		limit = fmt.Sprintf(`"max_tokens":%d,`, maxTokens)
	}
	return `{"model":"demo-chat",` + limit + `"messages":[{"role":"user","content":"` + strings.Repeat("ice ", promptTokens) + `"}]}`
}

// TestOversizedRequestIsRejectedWithoutAnEngine: a request that no engine has memory for, or that exceeds max_context, is
// rejected with the error that OpenAI's API has for this case, and no engine receives the request. A request that may
// fit is forwarded. The router's estimate becomes more accurate as engines report the lengths of prompts.
func TestOversizedRequestIsRejectedWithoutAnEngine(t *testing.T) {
	specs := append(prefillDecodeSpecs(1, 8), embeddingSpec("e1"))
	h := startHarness(t, specs, "models = demo-embed\n", "models = demo-embed\nmax_context = 500\n")

	// Decode engines have memory for 60,000 tokens, the prefill engine for 200,000.
	h.expectOversized(request{body: chatBody(2_000_000, 0)}, "messages")
	h.expectOversized(request{path: "/v1/completions", body: `{"model":"demo-chat","prompt":"` + strings.Repeat("ice ", 250_000) + `"}`}, "prompt")
	h.expectOversized(request{body: chatBody(10, 60_001)}, "messages")
	h.expectOversized(request{path: embeddingsPath, class: "search", body: `{"model":"demo-embed","input":["x","` + strings.Repeat("ice ", 2_100) + `"]}`}, "input")
	received := h.sendEmbeddings(`{"model":"demo-embed","input":` + inputList(400, strings.Repeat("ice ", 100)) + `}`)
	if !received.served() {
		t.Errorf("many inputs, each of which fits: %v; want an answer", received)
	}

	received = h.send(request{body: chatBody(130_000, 5)})
	if !received.served() {
		t.Errorf("request that may fit while no prompt lengths were reported: %v; want an answer", received)
	}
	for range 150 {
		received := h.send(request{prompt: strings.Repeat("ice ", 300)})
		if !received.served() {
			t.Fatalf("small request was not served: %v", received)
		}
	}
	h.expectOversized(request{body: chatBody(130_000, 5)}, "messages")
	received = h.send(request{body: chatBody(55_000, 5)})
	if !received.served() {
		t.Errorf("request that fits: %v; want an answer", received)
	}

	oversized := h.stats().Oversized
	if oversized != 5 {
		t.Errorf("%d requests counted as oversized, want 5", oversized)
	}
	for range 10 { // no engine was ejected
		received := h.send(request{stream: true, maxTokens: 3})
		if !received.served() {
			t.Errorf("request after the oversized ones was not served: %v", received)
		}
	}
}

// expectOversized sends a request and fails the test unless it is rejected because the given parameter is too long, and
// no engine has received it.
func (h *harness) expectOversized(r request, param string) {
	h.t.Helper()
	before := h.requestsServedByEngines()
	received := h.send(r)
	forwarded := h.requestsServedByEngines() - before
	var parsed struct {
		Error struct{ Code, Param, Type string }
	}
	err := json.Unmarshal([]byte(received.body), &parsed)
	isOversizedError := err == nil && received.status == http.StatusBadRequest &&
		parsed.Error.Code == "context_length_exceeded" && parsed.Error.Param == param && parsed.Error.Type == "invalid_request_error"
	if !isOversizedError || forwarded != 0 {
		h.t.Errorf("%.60s: %v; %d requests served by engines; want error context_length_exceeded and none", r.body, received, forwarded)
	}
}

// requestsServedByEngines returns how many requests all engines have served.
func (h *harness) requestsServedByEngines() (served int) {
	for _, engine := range h.FindEngines("zone:a") {
		served += engine.Stats().Served
	}
	return served
}
