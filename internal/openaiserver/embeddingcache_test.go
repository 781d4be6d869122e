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

// TestEachInputIsComputedOnce: an input is computed once, though it is in several requests, twice in one request, or
// cached. A request that fails does not affect the others.
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
		t.Error(received)
	}
	callsBefore := engine.Stats().Served

	received = send(`["c","b","a"]`)

	cached := parseEmbeddings(received.body).vectors
	if len(cached) != 3 || !sameVector(cached[2], vectorOfA) || !sameVector(cached[0], mixed[3]) || received.header.Get("X-Cache") != "hit" || engine.Stats().Served != callsBefore {
		t.Error(received)
	}
}

// TestFollowerComputesAfterTheLeaderIsRejected: two requests share an input, and the one that computes it is invalid
// because of another input. The second one is served.
func TestFollowerComputesAfterTheLeaderIsRejected(t *testing.T) {
	h := startHarness(t, embeddingSpecs(1), "models = demo-embed\n", "models = demo-embed\ncache_bytes = 1000000\n")
	engine := h.engine("e1")
	engine.SetFault(fakeengine.Fault{Hang: true})
	responses := make(chan response, 2)
	send := func(inputs string) {
		go func() { responses <- h.sendEmbeddings(`{"model":"demo-embed","dimensions":4,"input":` + inputs + `}`) }()
	}
	send(`["x","` + fakeengine.RejectMarker + `","y"]`)
	h.waitUntil("the leader is open", func() bool { return h.stats().OpenRequests == 1 })
	send(`["y","p","q"]`)
	h.waitUntil("both are open", func() bool { return h.stats().OpenRequests == 2 })

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
		t.Errorf("%d served, %d rejected as invalid", served, invalid)
	}
	received := h.sendEmbeddings(`{"model":"demo-embed","dimensions":4,"input":["x","z"]}`)
	if !received.served() {
		t.Error(received)
	}
}

// identicalRequests is a harness with one slow engine, for embeddings requests with the same input.
type identicalRequests struct {
	*harness
	engine    *fakeengine.Engine
	responses chan response // of the requests sent, in the order of their ends
}

// startIdenticalRequests starts a harness.
func startIdenticalRequests(t *testing.T) *identicalRequests {
	t.Helper()
	h := startHarness(t, embeddingSpecs(1))
	identical := &identicalRequests{harness: h, engine: h.engine("e1"), responses: make(chan response, 64)}
	identical.engine.SetFault(fakeengine.Fault{PrefillDelay: 400 * ms})
	return identical
}

// start sends a request, of class "search" unless it has another one, without waiting for its response.
func (i *identicalRequests) start(r request) {
	if r.class == "" {
		r.class = "search"
	}
	r.path, r.body = embeddingsPath, `{"model":"demo-embed","input":"frozen pipe"}`
	go func() { i.responses <- i.send(r) }()
}

// waitForCalls waits until n computations are in flight.
func (i *identicalRequests) waitForCalls(n int) {
	i.t.Helper()
	i.waitUntil(fmt.Sprintf("%d computations are in flight", n), func() bool { return i.engine.Stats().Waiting == n })
}

// waitForFollowers waits until n requests have waited for another request's computation.
func (i *identicalRequests) waitForFollowers(n uint64) {
	i.t.Helper()
	i.waitUntil(fmt.Sprintf("%d requests wait for another one's computation", n), func() bool { return i.stats().CoalescedInputs == n })
}

// TestIdenticalRequestsAreCoalesced: identical requests at the same time are computed once, but not across tenants and
// not for classes that are not idempotent.
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
			t.Error(received)
		}
		var parsed struct{ Data json.RawMessage }
		_ = json.Unmarshal([]byte(received.body), &parsed) // served has checked the body
		answers[string(parsed.Data)] = true
	}

	calls := identical.engine.Stats().Served
	if calls != 3 || len(answers) != 1 {
		t.Errorf("computed %d times, %d different answers", calls, len(answers))
	}
}

// TestCoalescedRequestsOutliveALeaderWithLittleTime: requests with little time are rejected by their own deadlines,
// the one that leads included. The other one is served.
func TestCoalescedRequestsOutliveALeaderWithLittleTime(t *testing.T) {
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
		t.Errorf("%d rejected, %d served", rejected, served)
	}
}

// TestCoalescedRequestsOutliveALeaderWhoseClientLeaves: the request that waits for the leader's computation is served.
func TestCoalescedRequestsOutliveALeaderWhoseClientLeaves(t *testing.T) {
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
			t.Error(received)
		}
	}
}

// startCachedHarness starts a harness with two engines and a cache of cacheBytes.
func startCachedHarness(t *testing.T, cacheBytes int) *harness {
	t.Helper()
	return startHarness(t, embeddingSpecs(2), "models = demo-embed\n", fmt.Sprintf("models = demo-embed\ncache_bytes = %d\n", cacheBytes))
}

// isCached sends an embeddings request with one input, numbered, and reports whether it is answered from the cache.
func (h *harness) isCached(input int, tenant string) bool {
	h.t.Helper()
	received := h.send(request{path: embeddingsPath, class: "search", tenant: tenant, body: fmt.Sprintf(`{"model":"demo-embed","input":"pipe %d"}`, input)})
	if !received.served() {
		h.t.Error(received)
	}
	return received.header.Get("X-Cache") == "hit"
}

// TestRepeatedInputIsAnsweredFromTheCache: a repeated input is answered without an engine, but not across tenants, not
// after the model's revision has changed and not while engines serve different revisions.
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
		name    string
		list    string
		isValid bool // the cache may be used after the change
	}{
		{"another revision", strings.ReplaceAll(list, "kind = embedder", "kind = embedder\nrevision = 2"), true},
		{"two revisions", strings.Replace(list, "kind = embedder", "kind = embedder\nrevision = 2", 1), false},
	} {
		writeFile(t, listPath, test.list)
		h.waitUntil("the list invalidates the answer", func() bool { return !h.isCached(0, "") })
		got := h.isCached(0, "")
		if got != test.isValid {
			t.Errorf("%s: answered from the cache: %v", test.name, got)
		}
	}
	writeFile(t, listPath, list)
	h.waitUntil("there is one revision again", func() bool { return h.isCached(0, "") })
}

// TestCacheStaysWithinItsBytes: many inputs don't make the cache exceed its bytes, and it uses half of them at least.
func TestCacheStaysWithinItsBytes(t *testing.T) {
	const cacheBytes = 50_000
	h := startCachedHarness(t, cacheBytes)

	for input := range 1500 {
		h.isCached(input, "")
		used := h.stats().CacheBytes
		if used > cacheBytes {
			t.Fatalf("%d bytes after %d inputs", used, input)
		}
	}
	used := h.stats().CacheBytes
	if used < cacheBytes/2 {
		t.Errorf("only %d bytes used", used)
	}
}
