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

// TestBulkDoesNotKeepASearchFromEngines: large requests of one client, and then of many, don't delay a small request at
// the engines that they keep busy. A large request that would miss its deadline is rejected before it is computed.
func TestBulkDoesNotKeepASearchFromEngines(t *testing.T) {
	specs := embeddingSpecs(2)
	for i := range specs {
		specs[i].PrefillTokensPerSecond, specs[i].MaxWaiting = 40_000, 10_000
	}
	h := startHarness(t, specs, "join_wait = 5ms", "join_wait = 0s")
	const bulkRequests = 12
	bulk := startBulk(h, bulkRequests)
	h.waitUntil("a bulk request is computed", func() bool { return h.engine("e1").Stats().Waiting > 0 })
	ctx, cancel := context.WithCancel(t.Context())
	abandoned := make(chan response)
	go func() {
		abandoned <- h.send(request{ctx: ctx, path: embeddingsPath, class: "search", body: strings.Replace(bulk.body, `"input":[`, `"input":["waits",`, 1)})
	}()
	time.AfterFunc(100*ms, cancel) // while it waits for admission, or shortly before or after

	maxWaiting := 0
	for i := range 30 {
		for _, engine := range h.FindEngines("pool:embeddings") {
			maxWaiting = max(maxWaiting, engine.Stats().Waiting)
		}
		received := h.sendEmbeddings(fmt.Sprintf(`{"model":"demo-embed","input":"search %d"}`, i))
		if !received.served() || received.elapsed > time.Second {
			t.Errorf("search %d: %v", i, received)
		}
	}
	bulk.clients.Wait()

	received := <-abandoned
	if received.err == nil && !received.rejected() {
		t.Error(received)
	}
	if bulk.served == 0 || bulk.rejected == 0 || bulk.served+bulk.rejected != bulkRequests || maxWaiting > 12 {
		t.Errorf("%d bulk requests served, %d rejected; %d shards waited at one engine", bulk.served, bulk.rejected, maxWaiting)
	}
}

// bulk is a number of large embeddings requests, sent concurrently.
type bulk struct {
	body    string // that the requests' bodies are variants of
	clients sync.WaitGroup

	mu               sync.Mutex
	served, rejected int
}

// startBulk sends requests of 42,000 tokens each, which take an engine 0.5 s.
func startBulk(h *harness, requests int) *bulk {
	const inputs = 1024
	b := &bulk{body: `{"model":"demo-embed","dimensions":1,"input":` + inputList(inputs, strings.Repeat("ice ", 40)) + `}`}
	for i := range requests {
		b.clients.Go(func() {
			received := h.sendEmbeddings(strings.ReplaceAll(b.body, `"ice `, fmt.Sprintf(`"%d `, i)))
			b.mu.Lock()
			defer b.mu.Unlock()
			switch {
			case received.served() && len(parseEmbeddings(received.body).vectors) == inputs:
				b.served++
			case received.rejected():
				b.rejected++
			default:
				h.t.Error(received)
			}
		})
	}
	return b
}

// chatBody returns the body of a chat completion with so many tokens of prompt. maxTokens is left out if it is 0.
func chatBody(promptTokens, maxTokens int) string {
	limit := ""
	if maxTokens > 0 {
		limit = fmt.Sprintf(`"max_tokens":%d,`, maxTokens)
	}
	return `{"model":"demo-chat",` + limit + `"messages":[{"role":"user","content":"` + strings.Repeat("ice ", promptTokens) + `"}]}`
}

// TestOversizedRequestIsAnsweredAtOnce: a request for which no engine has the memory is rejected at once in OpenAI's
// form, and no engine receives it. One that may fit is forwarded. The margin gets smaller with the prompt lengths that
// engines report.
func TestOversizedRequestIsAnsweredAtOnce(t *testing.T) {
	specs := append(prefillDecodeSpecs(1, 8), embeddingSpec("e1"))
	h := startHarness(t, specs, "models = demo-embed\n", "models = demo-embed\nmax_context = 500\n")

	// Decode engines have memory for 60,000 tokens, the prefill engine for 200,000.
	h.expectOversized(request{body: chatBody(2_000_000, 0)}, "messages")
	h.expectOversized(request{path: "/v1/completions", body: `{"model":"demo-chat","prompt":"` + strings.Repeat("ice ", 250_000) + `"}`}, "prompt")
	h.expectOversized(request{body: chatBody(10, 60_001)}, "messages")
	h.expectOversized(request{path: embeddingsPath, class: "search", body: `{"model":"demo-embed","input":["x","` + strings.Repeat("ice ", 2_100) + `"]}`}, "input")
	received := h.sendEmbeddings(`{"model":"demo-embed","input":` + inputList(400, strings.Repeat("ice ", 100)) + `}`)
	if !received.served() {
		t.Errorf("many inputs each of which fits: %v", received)
	}

	received = h.send(request{body: chatBody(130_000, 5)})
	if !received.served() {
		t.Errorf("may fit, as long as no prompt lengths were reported: %v", received)
	}
	for range 150 {
		received := h.send(request{prompt: strings.Repeat("ice ", 300)})
		if !received.served() {
			t.Fatal(received)
		}
	}
	h.expectOversized(request{body: chatBody(130_000, 5)}, "messages")
	received = h.send(request{body: chatBody(55_000, 5)})
	if !received.served() {
		t.Errorf("fits: %v", received)
	}

	oversized := h.stats().Oversized
	if oversized != 5 {
		t.Errorf("%d requests counted as oversized", oversized)
	}
	for range 10 { // no engine was ejected
		received := h.send(request{stream: true, maxTokens: 3})
		if !received.served() {
			t.Error(received)
		}
	}
}

// expectOversized sends a request and fails the test unless it is rejected because of the parameter's length, without
// any engine having received it.
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
		h.t.Errorf("%.60s: %v; %d requests at engines", r.body, received, forwarded)
	}
}

// requestsServedByEngines returns how many requests all engines have served.
func (h *harness) requestsServedByEngines() (served int) {
	for _, engine := range h.FindEngines("zone:a") {
		served += engine.Stats().Served
	}
	return served
}
