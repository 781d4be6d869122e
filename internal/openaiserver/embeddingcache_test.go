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

// TestIdenticalRequestsAreCoalesced: identical requests at the same time are computed once, but not across tenants and
// not for classes that are not idempotent. One with little time is rejected by its own deadline. Neither it nor a client
// that leaves affects the others.
func TestIdenticalRequestsAreCoalesced(t *testing.T) {
	h := startHarness(t, embeddingSpecs(1))
	engine := h.engine("e1")
	engine.SetFault(fakeengine.Fault{PrefillDelay: 400 * ms})
	responses := make(chan response, 64)
	send := func(r request) {
		if r.class == "" {
			r.class = "search"
		}
		r.path, r.body = embeddingsPath, `{"model":"demo-embed","input":"frozen pipe"}`
		go func() { responses <- h.send(r) }()
	}
	waitForCalls := func(n int) {
		t.Helper()
		h.waitUntil(fmt.Sprintf("%d computations are in flight", n), func() bool { return engine.Stats().Waiting == n })
	}
	waitForFollowers := func(n uint64) {
		t.Helper()
		h.waitUntil(fmt.Sprintf("%d requests have waited for another one's computation", n), func() bool { return h.stats().CoalescedInputs == n })
	}

	for range 20 {
		send(request{})
	}
	waitForFollowers(19)
	send(request{tenant: "other"})
	send(request{class: "note"})
	waitForCalls(3)
	answers := map[string]bool{}
	for range 22 {
		received := <-responses
		if !received.served() {
			t.Error(received)
		}
		var parsed struct{ Data json.RawMessage }
		_ = json.Unmarshal([]byte(received.body), &parsed) // served has checked the body
		answers[string(parsed.Data)] = true
	}
	calls := engine.Stats().Served
	if calls != 3 || len(answers) != 1 {
		t.Errorf("computed %d times, %d different answers", calls, len(answers))
	}

	send(request{deadline: 300 * ms})
	waitForCalls(1)
	send(request{})
	send(request{deadline: 150 * ms})
	waitForFollowers(21)
	rejected, served := 0, 0
	for range 3 {
		received := <-responses
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

	ctx, cancel := context.WithCancel(t.Context())
	send(request{ctx: ctx})
	waitForCalls(1)
	send(request{})
	waitForFollowers(22)
	cancel()
	for range 2 {
		received := <-responses
		if received.err == nil && !received.served() {
			t.Error(received)
		}
	}
}

// TestRepeatedInputIsAnsweredFromTheCache: a repeated input is answered without an engine, but not across tenants, not
// after the model's revision has changed and not while engines serve different revisions. Many other inputs don't make
// the cache exceed its bytes.
func TestRepeatedInputIsAnsweredFromTheCache(t *testing.T) {
	const cacheBytes = 50_000
	h := startHarness(t, embeddingSpecs(2), "models = demo-embed\n", fmt.Sprintf("models = demo-embed\ncache_bytes = %d\n", cacheBytes))
	isHit := func(input int, tenant string) bool {
		received := h.send(request{path: embeddingsPath, class: "search", tenant: tenant, body: fmt.Sprintf(`{"model":"demo-embed","input":"pipe %d"}`, input)})
		if !received.served() {
			t.Error(received)
		}
		return received.header.Get("X-Cache") == "hit"
	}
	for _, test := range []struct {
		tenant string
		want   bool
	}{{"", false}, {"", true}, {"other", false}, {"other", true}} {
		got := isHit(0, test.tenant)
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
		h.waitUntil("the list invalidates the answer", func() bool { return !isHit(0, "") })
		got := isHit(0, "")
		if got != test.isValid {
			t.Errorf("%s: answered from the cache: %v", test.name, got)
		}
	}
	writeFile(t, listPath, list)
	h.waitUntil("there is one revision again", func() bool { return isHit(0, "") })

	for input := range 1500 {
		isHit(input+1, "")
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
