package openaiserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"martenlock/internal/fakeengine"
)

// TestEachInputIsComputedOnce: an input that is repeated in one request or was cached by an earlier one has the same
// embedding everywhere. A request whose inputs are all cached reaches no engine.
func TestEachInputIsComputedOnce(t *testing.T) {
	h := startHarness(t, embeddingSpecs(1), "models = demo-embed\n", "models = demo-embed\ncache_bytes = 1000000\n")
	engine := h.engine("e1")
	send := func(inputs string) response {
		return h.sendEmbeddings(`{"model":"demo-embed","dimensions":4,"input":` + inputs + `}`)
	}
	vectorOfA := parseEmbeddings(send(`"a"`).body).vectors[0]

	received := send(`["b","a","b","c"]`)

	mixed := parseEmbeddings(received.body).vectors
	if len(mixed) != 4 || !sameVector(mixed[1], vectorOfA) || !sameVector(mixed[0], mixed[2]) || sameVector(mixed[0], mixed[3]) || received.header.Get("X-Cache") != "partial" {
		t.Errorf("request with one cached input: %v, X-Cache %q", received, received.header.Get("X-Cache"))
	}
	callsBefore := engine.Stats().Served

	received = send(`["c","b","a"]`)

	cached := parseEmbeddings(received.body).vectors
	if len(cached) != 3 || !sameVector(cached[2], vectorOfA) || !sameVector(cached[0], mixed[3]) || received.header.Get("X-Cache") != "hit" || engine.Stats().Served != callsBefore {
		t.Errorf("request with cached inputs only: %v, X-Cache %q, %d calls; want no calls", received, received.header.Get("X-Cache"), engine.Stats().Served-callsBefore)
	}
}

// TestFollowerComputesAfterTheLeaderIsRejected: two requests share an input. The request that computes it is rejected
// because another of its inputs is invalid. The second request is served.
func TestFollowerComputesAfterTheLeaderIsRejected(t *testing.T) {
	h := startHarness(t, embeddingSpecs(1), "models = demo-embed\n", "models = demo-embed\ncache_bytes = 1000000\n")
	engine := h.engine("e1")
	engine.SetFault(fakeengine.Fault{Hang: true})
	responses := make(chan response, 2)
	send := func(inputs string) {
		go func() { responses <- h.sendEmbeddings(`{"model":"demo-embed","dimensions":4,"input":` + inputs + `}`) }()
	}
	send(`["x","` + fakeengine.RejectMarker + `","y"]`)
	h.waitUntil("the leader has arrived", func() bool { return h.stats().OpenRequests == 1 })
	send(`["y","p","q"]`)
	h.waitUntil("the follower has arrived", func() bool { return h.stats().OpenRequests == 2 })

	engine.SetFault(fakeengine.Fault{})

	served, invalid := 0, 0
	for range cap(responses) {
		received := <-responses
		switch {
		case received.served() && len(parseEmbeddings(received.body).vectors) == 3:
			served++
		case received.status == http.StatusBadRequest:
			invalid++
		}
	}
	if served != 1 || invalid != 1 {
		t.Errorf("%d served, %d rejected as invalid; want 1 and 1", served, invalid)
	}
	received := h.sendEmbeddings(`{"model":"demo-embed","dimensions":4,"input":["x","z"]}`)
	if !received.served() {
		t.Errorf("request with an input of the invalid request was not served: %v", received)
	}
}

// identicalRequests is a harness with one slow engine, for embeddings requests with the same input.
type identicalRequests struct {
	*harness
	engine    *fakeengine.Engine
	responses chan response // of the requests that were started, in order of completion
}

// startIdenticalRequests starts a harness. It sends no requests.
func startIdenticalRequests(t *testing.T) *identicalRequests {
	t.Helper()
	h := startHarness(t, embeddingSpecs(1))
	identical := &identicalRequests{harness: h, engine: h.engine("e1"), responses: make(chan response, 64)}
	identical.engine.SetFault(fakeengine.Fault{PrefillDelay: 400 * ms})
	return identical
}

// start sends a request without waiting for its response. The class is "search" if r has none.
func (i *identicalRequests) start(r request) {
	if r.class == "" {
		r.class = "search"
	}
	r.path, r.body = embeddingsPath, `{"model":"demo-embed","input":"frozen pipe"}`
	go func() { i.responses <- i.send(r) }()
}

// waitForCalls waits until n calls to the engine are in flight.
func (i *identicalRequests) waitForCalls(n int) {
	i.t.Helper()
	i.waitUntil(fmt.Sprintf("%d calls are in flight", n), func() bool { return i.engine.Stats().Waiting == n })
}

// waitForFollowers waits until n requests have started to wait for another request's computation.
func (i *identicalRequests) waitForFollowers(n uint64) {
	i.t.Helper()
	i.waitUntil(fmt.Sprintf("%d requests wait for another request's computation", n), func() bool { return i.stats().CoalescedInputs == n })
}

// TestIdenticalRequestsAreCoalesced: concurrent identical requests are computed once. Requests of other tenants or of
// classes that are not idempotent are computed separately.
func TestIdenticalRequestsAreCoalesced(t *testing.T) {
	identical := startIdenticalRequests(t)
	for range 20 {
		identical.start(request{})
	}
	identical.waitForFollowers(19)
	identical.start(request{tenant: "other"})
	identical.start(request{class: "note"})
	identical.waitForCalls(3)

	answers := map[string]bool{}
	for range 22 {
		received := <-identical.responses
		if !received.served() {
			t.Errorf("request was not served: %v", received)
		}
		var parsed struct{ Data json.RawMessage }
		_ = json.Unmarshal([]byte(received.body), &parsed) // served has checked that the body is valid JSON
		answers[string(parsed.Data)] = true
	}

	calls := identical.engine.Stats().Served
	if calls != 3 || len(answers) != 1 {
		t.Errorf("%d calls and %d different answers, want 3 and 1", calls, len(answers))
	}
}

// TestCoalescedRequestIsServedAfterItsLeaderExpires: a leader and a follower with short deadlines are rejected. Another
// follower is served.
func TestCoalescedRequestIsServedAfterItsLeaderExpires(t *testing.T) {
	identical := startIdenticalRequests(t)
	identical.start(request{deadline: 300 * ms})
	identical.waitForCalls(1)
	identical.start(request{})
	identical.start(request{deadline: 150 * ms})
	identical.waitForFollowers(2)

	rejected, served := 0, 0
	for range 3 {
		received := <-identical.responses
		switch {
		case received.rejected():
			rejected++
		case received.served():
			served++
		}
	}

	if rejected != 2 || served != 1 {
		t.Errorf("%d rejected, %d served; want 2 and 1", rejected, served)
	}
}

// TestCoalescedRequestIsServedAfterItsLeaderIsCancelled: the leader's client disconnects. The follower is served.
func TestCoalescedRequestIsServedAfterItsLeaderIsCancelled(t *testing.T) {
	identical := startIdenticalRequests(t)
	ctx, cancel := context.WithCancel(t.Context())
	identical.start(request{ctx: ctx})
	identical.waitForCalls(1)
	identical.start(request{})
	identical.waitForFollowers(1)

	cancel()

	for range 2 {
		received := <-identical.responses
		if received.err == nil && !received.served() {
			t.Errorf("request was not served: %v", received)
		}
	}
}

// startCachedHarness starts a harness with two engines and the given value of cache_bytes.
func startCachedHarness(t *testing.T, cacheBytes int) *harness {
	t.Helper()
	return startHarness(t, embeddingSpecs(2), "models = demo-embed\n", fmt.Sprintf("models = demo-embed\ncache_bytes = %d\n", cacheBytes))
}

// isCached sends an embeddings request for the input with the given number, and reports whether it was answered from
// the cache.
func (h *harness) isCached(input int, tenant string) bool {
	h.t.Helper()
	received := h.send(request{path: embeddingsPath, class: "search", tenant: tenant, body: fmt.Sprintf(`{"model":"demo-embed","input":"pipe %d"}`, input)})
	if !received.served() {
		h.t.Errorf("input %d was not served: %v", input, received)
	}
	return received.header.Get("X-Cache") == "hit"
}

// TestRepeatedInputIsAnsweredFromTheCache: a repeated input is answered from the cache. The cache is not used for
// another tenant, after the model's revision has changed, or while engines serve different revisions.
func TestRepeatedInputIsAnsweredFromTheCache(t *testing.T) {
	h := startCachedHarness(t, 50_000)
	for _, test := range []struct {
		tenant string
		want   bool
	}{{"", false}, {"", true}, {"other", false}, {"other", true}} {
		got := h.isCached(0, test.tenant)
		if got != test.want {
			t.Errorf("tenant %q: answered from the cache: %v, want %v", test.tenant, got, test.want)
		}
	}

	listPath := filepath.Join(h.Dir(), "nodes.ini")
	list := readFile(t, listPath)
	for _, test := range []struct {
		name        string
		list        string
		isCacheUsed bool // for an input that is repeated after the change
	}{
		{"another revision", strings.ReplaceAll(list, "kind = embedder", "kind = embedder\nrevision = 2"), true},
		{"two revisions", strings.Replace(list, "kind = embedder", "kind = embedder\nrevision = 2", 1), false},
	} {
		writeFile(t, listPath, test.list)
		h.waitUntil("the cached embedding is not used any more", func() bool { return !h.isCached(0, "") })
		got := h.isCached(0, "")
		if got != test.isCacheUsed {
			t.Errorf("%s: repeated input answered from the cache: %v, want %v", test.name, got, test.isCacheUsed)
		}
	}
	writeFile(t, listPath, list)
	h.waitUntil("the cache is used again", func() bool { return h.isCached(0, "") })
}

// TestCacheStaysWithinCacheBytes: after many inputs, the cache uses at most cache_bytes, and at least half of it.
func TestCacheStaysWithinCacheBytes(t *testing.T) {
	const cacheBytes = 50_000
	h := startCachedHarness(t, cacheBytes)

	for input := range 1500 {
		h.isCached(input, "")
		used := h.stats().CacheBytes
		if used > cacheBytes {
			t.Fatalf("%d bytes used at input %d, want at most %d", used, input, cacheBytes)
		}
	}
	used := h.stats().CacheBytes
	if used < cacheBytes/2 {
		t.Errorf("%d bytes used, want at least %d", used, cacheBytes/2)
	}
}
