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

// longBatchWait is an edit for startHarness: small requests wait up to a second for others to share a batch.
var longBatchWait = []string{"join_wait = 5ms", "join_wait = 1s"}

// embeddingBody returns the body of a small embeddings request with one input.
func embeddingBody(input string) string {
	return fmt.Sprintf(`{"model":"demo-embed","dimensions":4,"input":%q}`, input)
}

// sendWhileBusy sends embeddings requests concurrently while engine e1 computes another request, so that they wait for
// the engine and may share a batch. It returns the responses in the order of bodies. If there are tenants, the requests
// are assigned to them in turn.
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
		h.t.Errorf("first request was not served: %v", received)
	}
	return responses
}

// TestSmallRequestsShareABatchAndGetTheirOwnAnswers: small requests that wait for an engine share a batch, and each gets
// its own vectors. Requests with other parameters or input types get valid answers too. Requests of different tenants
// don't share a batch. Requests of classes that are idempotent only with a key, or not idempotent, are never batched.
func TestSmallRequestsShareABatchAndGetTheirOwnAnswers(t *testing.T) {
	h := startHarness(t, embeddingSpecs(1), longBatchWait...)
	engine := h.engine("e1")
	var bodies []string
	wanted := make([][][]float64, 0, 40) // vectors of each body's inputs
	vectorOf := func(input string) []float64 {
		received := h.sendEmbeddings(fmt.Sprintf(`{"model":"demo-embed","dimensions":4,"input":[%q]}`, input))
		answer := parseEmbeddings(received.body)
		if len(answer.vectors) != 1 {
			t.Fatalf("no vector for input %q: %v", input, received)
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
			t.Errorf("request %d has no valid answer: %v", i, received)
			continue
		}
		if i >= len(wanted) {
			continue
		}
		if !slices.EqualFunc(answer.vectors, wanted[i], sameVector) {
			t.Errorf("request %d got vectors that are not those of its inputs: %v", i, received)
		}
	}

	batched, calls := h.stats().BatchedRequests, engine.Stats().Served-callsBefore
	if batched < 20 || calls > 25 {
		t.Errorf("%d of 42 requests batched in %d calls, want at least 20 and at most 25", batched, calls)
	}
	h.expectNotBatched("search", bodies[1:3], "one", "other")
	for _, class := range []string{"note", "job"} {
		h.expectNotBatched(class, bodies[1:3], "one", "other")
		h.expectNotBatched(class, bodies[1:3])
	}
}

// expectNotBatched sends requests concurrently. It fails the test if a request is not served or some share a batch.
func (h *harness) expectNotBatched(class string, bodies []string, tenants ...string) {
	h.t.Helper()
	before := h.stats().BatchedRequests
	for _, received := range h.sendWhileBusy(class, bodies, tenants...) {
		if !received.served() {
			h.t.Errorf("request of class %s was not served: %v", class, received)
		}
	}
	if h.stats().BatchedRequests != before {
		h.t.Errorf("class %s, tenants %v: requests were batched", class, tenants)
	}
}

// TestBatchMembersFailIndependently: the failure, expiry or cancellation of one member of a batch only delays the
// others.
func TestBatchMembersFailIndependently(t *testing.T) {
	t.Run("one input is invalid", testInvalidBatchMember)
	t.Run("one input crashes engines", testCrashingBatchMember)
	t.Run("one member expires and one client disconnects", testExpiredAndCancelledBatchMembers)
	t.Run("one engine hangs and one drains", testBatchesWithHangingAndDrainingEngine)
}

// testInvalidBatchMember: only the invalid request is rejected.
func testInvalidBatchMember(t *testing.T) {
	h := startHarness(t, embeddingSpecs(1), longBatchWait...)

	responses := h.sendWhileBusy("search", []string{embeddingBody("good 1"), embeddingBody(fakeengine.RejectMarker), embeddingBody("good 2")})

	if !responses[0].served() || !responses[2].served() || responses[1].status != http.StatusBadRequest {
		t.Errorf("responses %v, want a status 400 for the second request only", responses)
	}
}

// testCrashingBatchMember: an input that crashes engines crashes at most max_attempts of them. The other members are
// served or rejected.
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
		t.Errorf("%d of 5 engines are alive, want 3; response to the crashing request %v, want a failure", alive, responses[crashing])
	}
	for i, received := range responses {
		if i != crashing && !received.served() && !received.rejected() {
			t.Errorf("another member was neither served nor rejected: %v", received)
		}
	}
}

// occupyEngines sends one request to each engine, so that further requests share a batch. The engines become idle one
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

// testExpiredAndCancelledBatchMembers: a member with a short deadline is rejected in time. Neither this nor the
// disconnect of a client affects the other members.
func testExpiredAndCancelledBatchMembers(t *testing.T) {
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
	h.waitUntil("the other requests share a batch", func() bool { return engine.Stats().Waiting == 2 })

	cancel()

	served, rejected, disconnected := 0, 0, 0
	for range cap(responses) {
		received := <-responses
		switch {
		case received.err != nil:
			disconnected++
		case received.served():
			served++
		case received.rejected() && received.elapsed < 400*ms:
			rejected++
		}
	}
	if served != 2 || rejected != 1 || disconnected != 1 {
		t.Errorf("%d served, %d rejected in time, %d disconnected; want 2, 1 and 1", served, rejected, disconnected)
	}
}

// testBatchesWithHangingAndDrainingEngine: all requests are served although one engine hangs and another one drains.
func testBatchesWithHangingAndDrainingEngine(t *testing.T) {
	h := startHarness(t, embeddingAndRerankSpecs(3), "join_wait = 5ms", "join_wait = 50ms")
	h.engine("e1").SetFault(fakeengine.Fault{Hang: true})

	var clients sync.WaitGroup
	for i := range 60 {
		clients.Go(func() {
			received := h.sendEmbeddings(embeddingBody(fmt.Sprintf("good %d", i)))
			if !received.served() {
				t.Errorf("request %d was not served: %v", i, received)
			}
		})
		if i == 30 {
			h.setState("draining", "e2")
		}
	}
	clients.Wait()

	h.engine("e1").SetFault(fakeengine.Fault{})
}

// TestRequestsThatExpireWhileTheyWaitAreRejected guards against a batch with members whose deadlines had passed before it
// was sent: the router had forgotten them, and one client with little time ended the process.
func TestRequestsThatExpireWhileTheyWaitAreRejected(t *testing.T) {
	h := startHarness(t, embeddingSpecs(1), longBatchWait...)
	for _, test := range []struct {
		name     string
		deadline time.Duration
	}{
		{"before they can wait", 40 * ms}, // less than answer_margin
		{"while they wait", 100 * ms},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := h.engine("e1")
			engine.SetFault(fakeengine.Fault{PrefillDelay: 300 * ms})
			defer engine.SetFault(fakeengine.Fault{})
			var clients sync.WaitGroup
			h.occupyEngines(&clients, 1)
			responses := make([]response, 3)
			for i := range responses {
				r := request{path: embeddingsPath, class: "search", deadline: test.deadline, body: embeddingBody(fmt.Sprint("late ", i))}
				clients.Go(func() { responses[i] = h.send(r) })
			}
			clients.Wait()

			for i, received := range responses {
				if !received.rejected() {
					t.Errorf("request %d was not rejected: %v", i, received)
				}
			}
			if received := h.sendEmbeddings(embeddingBody("afterwards")); !received.served() {
				t.Errorf("a later request was not served: %v", received)
			}
		})
	}
}
