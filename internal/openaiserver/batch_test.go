package openaiserver_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"martenlock/internal/fakeengine"
)

// longBatchWait is an edit of the settings: small requests wait for others for up to a second.
var longBatchWait = []string{"join_wait = 5ms", "join_wait = 1s"}

// embeddingBody returns the body of a small embeddings request with one input.
func embeddingBody(input string) string {
	return fmt.Sprintf(`{"model":"demo-embed","dimensions":4,"input":%q}`, input)
}

// sendWhileBusy sends embeddings requests concurrently while engine e1 computes another one, so that they wait for each
// other. It returns the responses in the order of the bodies. Tenants take turns.
func (h *harness) sendWhileBusy(class string, bodies []string, tenants ...string) []response {
	h.t.Helper()
	engine := h.engine("e1")
	engine.SetFault(fakeengine.Fault{PrefillDelay: 150 * ms})
	defer engine.SetFault(fakeengine.Fault{})
	first := make(chan response)
	go func() { first <- h.send(request{path: embeddingsPath, class: class, body: embeddingBody("first")}) }()
	h.waitUntil("the engine is busy", func() bool { return engine.Stats().Waiting > 0 })

	responses := make([]response, len(bodies))
	var clients sync.WaitGroup
	for i, body := range bodies {
		r := request{path: embeddingsPath, class: class, body: body}
		if len(tenants) > 0 {
			r.tenant = tenants[i%len(tenants)]
		}
		clients.Go(func() { responses[i] = h.send(r) })
	}
	clients.Wait()
	received := <-first
	if !received.served() {
		h.t.Error(received)
	}
	return responses
}

// TestSmallRequestsShareABatchAndGetTheirOwnAnswers: small requests that have to wait anyway share a batch. Each gets
// its own vectors and its share of the usage. Requests of other forms, tenants and classes are not mixed in.
func TestSmallRequestsShareABatchAndGetTheirOwnAnswers(t *testing.T) {
	h := startHarness(t, embeddingSpecs(1), longBatchWait...)
	engine := h.engine("e1")
	var bodies []string
	wanted := make([][][]float64, 0, 40) // vectors of each body's inputs
	vectorOf := func(input string) []float64 {
		received := h.sendEmbeddings(fmt.Sprintf(`{"model":"demo-embed","dimensions":4,"input":[%q]}`, input))
		answer := parseEmbeddings(received.body)
		if len(answer.vectors) != 1 {
			t.Fatal(received)
		}
		return answer.vectors[0]
	}
	for i := range 40 {
		input := fmt.Sprintf("pipe %d", i)
		vectors := [][]float64{vectorOf(input)}
		body := embeddingBody(input)
		if i%4 == 0 { // some have two inputs
			vectors = append(vectors, vectorOf("pipe 0"))
			body = fmt.Sprintf(`{"model":"demo-embed","user":"u%d","dimensions":4,"input":[%q,"pipe 0"]}`, i, input)
		}
		wanted = append(wanted, vectors)
		bodies = append(bodies, body)
	}
	bodies = append(bodies, `{"model":"demo-embed","dimensions":4,"input":[7,8,9]}`, `{"model":"demo-embed","dimensions":5,"input":"pipe 1"}`)
	callsBefore := engine.Stats().Served

	for i, received := range h.sendWhileBusy("search", bodies) {
		answer := parseEmbeddings(received.body)
		if !received.served() || answer.promptTokens < 0 || len(answer.vectors) == 0 {
			t.Errorf("request %d: %v", i, received)
			continue
		}
		if i >= len(wanted) {
			continue
		}
		if !slices.EqualFunc(answer.vectors, wanted[i], sameVector) {
			t.Errorf("request %d has other vectors than its inputs: %v", i, received)
		}
	}

	batched, calls := h.stats().BatchedRequests, engine.Stats().Served-callsBefore
	if batched < 20 || calls > 25 {
		t.Errorf("%d of 42 requests batched, %d calls", batched, calls)
	}
	h.expectNotBatched("search", bodies[1:3], "one", "other")
	for _, class := range []string{"note", "job"} {
		h.expectNotBatched(class, bodies[1:3], "one", "other")
		h.expectNotBatched(class, bodies[1:3])
	}
}

// expectNotBatched sends requests concurrently and fails the test if one is not served or some share a batch.
func (h *harness) expectNotBatched(class string, bodies []string, tenants ...string) {
	h.t.Helper()
	before := h.stats().BatchedRequests
	for _, received := range h.sendWhileBusy(class, bodies, tenants...) {
		if !received.served() {
			h.t.Errorf("class %s: %v", class, received)
		}
	}
	if h.stats().BatchedRequests != before {
		h.t.Errorf("class %s, tenants %v: requests were batched", class, tenants)
	}
}

// TestBatchMembersCostEachOtherNothingButTime: what one member of a batch does wrong, or suffers, only delays the others.
func TestBatchMembersCostEachOtherNothingButTime(t *testing.T) {
	t.Run("one input is invalid", testInvalidBatchMember)
	t.Run("one input crashes engines", testCrashingBatchMember)
	t.Run("one has little time, one client leaves", testImpatientBatchMembers)
	t.Run("one engine hangs, one drains", testBatchesWithoutTwoEngines)
}

// testInvalidBatchMember: only the invalid request is rejected.
func testInvalidBatchMember(t *testing.T) {
	h := startHarness(t, embeddingSpecs(1), longBatchWait...)

	responses := h.sendWhileBusy("search", []string{embeddingBody("good 1"), embeddingBody(fakeengine.RejectMarker), embeddingBody("good 2")})

	if !responses[0].served() || !responses[2].served() || responses[1].status != http.StatusBadRequest {
		t.Error(responses)
	}
}

// testCrashingBatchMember: the input crashes no more engines than its class has attempts, and the others are served or
// rejected.
func testCrashingBatchMember(t *testing.T) {
	edits := append([]string{"[class search]\n", "[class search]\nmax_attempts = 2\n"}, longBatchWait...)
	h := startHarness(t, embeddingSpecs(5), edits...)
	h.setEmbeddingFaults(fakeengine.Fault{PrefillDelay: 500 * ms})
	var clients sync.WaitGroup
	h.occupyEngines(&clients, 5)

	responses := make([]response, 4)
	const crashing = 1
	for i := range responses {
		body := embeddingBody(fmt.Sprintf("good %d", i))
		if i == crashing {
			body = embeddingBody(fakeengine.CrashMarker)
		}
		clients.Go(func() { responses[i] = h.sendEmbeddings(body) })
	}
	clients.Wait()

	alive := h.countAliveEmbeddingEngines()
	if alive != 3 || !responses[crashing].failed() {
		t.Errorf("%d of 5 engines left, answer to the crashing request: %v", alive, responses[crashing])
	}
	for i, received := range responses {
		if i != crashing && !received.served() && !received.rejected() {
			t.Errorf("another member: %v", received)
		}
	}
}

// occupyEngines sends one request to each of the engines, so that further requests share a batch. The calls end one
// after another.
func (h *harness) occupyEngines(clients *sync.WaitGroup, engines int) {
	h.t.Helper()
	for i := range engines {
		clients.Go(func() { h.sendEmbeddings(embeddingBody(fmt.Sprint("first ", i))) })
		h.waitUntil("one more engine is busy", func() bool {
			waiting := 0
			for _, engine := range h.FindEngines("pool:embeddings") {
				waiting += engine.Stats().Waiting
			}
			return waiting > i
		})
		time.Sleep(20 * ms)
	}
}

// testImpatientBatchMembers: a member with little time is rejected in time, and neither it nor a client that leaves
// takes the others with it.
func testImpatientBatchMembers(t *testing.T) {
	h := startHarness(t, embeddingSpecs(1), "join_wait = 5ms", "join_wait = 20ms")
	engine := h.engine("e1")
	engine.SetFault(fakeengine.Fault{PrefillDelay: 600 * ms})
	ctx, cancel := context.WithCancel(t.Context())
	responses := make(chan response, 4)
	for i, r := range []request{{}, {}, {deadline: 300 * ms}, {ctx: ctx}} {
		r.path, r.class, r.body = embeddingsPath, "search", embeddingBody(fmt.Sprintf("good %d", i))
		go func() { responses <- h.send(r) }()
		if i == 0 {
			h.waitUntil("the engine is busy", func() bool { return engine.Stats().Waiting > 0 })
		}
	}
	h.waitUntil("the others share a batch", func() bool { return engine.Stats().Waiting == 2 })

	cancel()

	served, rejected, left := 0, 0, 0
	for range cap(responses) {
		received := <-responses
		switch {
		case received.err != nil:
			left++
		case received.served():
			served++
		case received.rejected() && received.elapsed < 400*ms:
			rejected++
		}
	}
	if served != 2 || rejected != 1 || left != 1 {
		t.Errorf("%d served, %d rejected, %d left", served, rejected, left)
	}
}

// testBatchesWithoutTwoEngines: all requests are served though one engine hangs and another one drains.
func testBatchesWithoutTwoEngines(t *testing.T) {
	h := startHarness(t, embeddingAndRerankSpecs(3), "join_wait = 5ms", "join_wait = 50ms")
	h.engine("e1").SetFault(fakeengine.Fault{Hang: true})

	var clients sync.WaitGroup
	for i := range 60 {
		clients.Go(func() {
			received := h.sendEmbeddings(embeddingBody(fmt.Sprintf("good %d", i)))
			if !received.served() {
				t.Error(received)
			}
		})
		if i == 30 {
			h.setState("draining", "e2")
		}
	}
	clients.Wait()

	h.engine("e1").SetFault(fakeengine.Fault{})
}
