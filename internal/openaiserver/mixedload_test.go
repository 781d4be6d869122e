package openaiserver_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"martenlock/internal/demo"
	"martenlock/internal/fakeengine"
)

// TestInvariantsHoldForMixedRequestsUnderAllFaults sends embeddings and rerank requests of all kinds while engines have
// one fault after another. The harness checks the invariants of package invariant.
func TestInvariantsHoldForMixedRequestsUnderAllFaults(t *testing.T) {
	h := startHarness(t, embeddingAndRerankSpecs(5), "part_items = 64", "part_items = 20", "part_tokens = 4000", "part_tokens = 500",
		"[class search]\n", "[class search]\nmax_attempts = 3\n", "models = demo-embed\n", "models = demo-embed\ncache_bytes = 100000\n")
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	defer transport.CloseIdleConnections()
	h.client = &http.Client{Transport: transport}
	const (
		requests = 5000
		duration = 8 * time.Second
	)
	stopFaults := make(chan struct{})
	var faults, clients sync.WaitGroup
	faults.Go(func() { h.cycleFaults(stopFaults) })

	rng := rand.New(rand.NewPCG(1, 2))
	counts := responseCounts{}
	startedAt := time.Now()
	for i := range requests {
		time.Sleep(time.Until(startedAt.Add(time.Duration(i) * duration / requests)))
		ctx, cancel := context.WithCancel(t.Context())
		r, cancelAfter := randomRequest(rng, i)
		r.ctx = ctx
		if cancelAfter > 0 {
			time.AfterFunc(cancelAfter, cancel)
		}
		clients.Go(func() {
			defer cancel()
			counts.add(t, h.send(r))
		})
	}
	clients.Wait()
	close(stopFaults)
	faults.Wait()

	stats := h.stats()
	t.Logf("%v; %d inputs coalesced, %d cached, %d requests batched, %d rejected by the admission queue",
		&counts, stats.CoalescedInputs, stats.CacheHits, stats.BatchedRequests, stats.AdmissionRejected)
	if counts.served < 2000 || stats.BatchedRequests == 0 || stats.CoalescedInputs == 0 || stats.CacheHits == 0 {
		t.Error("fewer than 2000 requests were served, or coalescing, caching or batching was not used")
	}
}

// randomRequest returns the request with number i and the time after which its client cancels it. The time is 0 for a
// request that is not cancelled.
func randomRequest(rng *rand.Rand, i int) (r request, cancelAfter time.Duration) {
	r = request{
		class: []string{"search", "search", "search", "job", "note"}[rng.IntN(5)],
		path:  embeddingsPath,
		body:  fmt.Sprintf(`{"model":"demo-embed","input":"pipe %d"}`, rng.IntN(500)),
	}
	switch percentile := rng.IntN(100); {
	case percentile < 5:
		r.body = `{"model":"demo-embed","input":` + inputList(100+rng.IntN(200), fmt.Sprint(i)) + `}`
	case percentile < 10:
		r.path, r.body = rerankPath, `{"model":"demo-rerank","query":"pipe","top_n":3,"documents":`+inputList(1+rng.IntN(200), "doc")+`}`
	case percentile < 25:
		r.path, r.body = rerankPath, fmt.Sprintf(`{"model":"demo-rerank","query":"pipe %d","documents":["a pipe","a boiler"]}`, i)
	case percentile < 26:
		r.body = `{"model":"demo-embed","input":["x","` + fakeengine.RejectMarker + `"]}`
	case i == 3500 || i == 4500: // each crashes up to max_attempts engines, which restart in slow start
		r.body = fmt.Sprintf(`{"model":"demo-embed","input":["%s %d"]}`, fakeengine.CrashMarker, i)
	case percentile < 30:
		r.body = `{"model":"nobody","input":"x"}`
	case percentile < 33:
		cancelAfter = max(time.Duration(rng.IntN(100))*ms, 1)
	}
	return r, cancelAfter
}

// cycleFaults sets a fault of one engine after another until stop is closed. After each fault it restarts the engines
// that have crashed. From time to time it drains engine e5 or lists it as ready again.
func (h *harness) cycleFaults(stop <-chan struct{}) {
	engines := []string{"e1", "r1", "e2", "r2", "e3", "r3"}
	faults := []fakeengine.Fault{
		{Hang: true},
		{ErrorRate: 0.5},
		{EmbeddingDefect: fakeengine.EmbeddingMissing},
		{EmbeddingDefect: fakeengine.EmbeddingInfinite},
		{ResetBefore: true},
		{RejectAll: true},
		{SlowdownFactor: 10},
		{AnswersLost: true},
		{PrefillDelay: 300 * ms},
	}
	for i := 0; ; i++ {
		engine := h.engine(engines[i%len(engines)])
		engine.SetFault(faults[i%len(faults)])
		select {
		case <-stop:
			engine.SetFault(fakeengine.Fault{})
			return
		case <-time.After(150 * ms):
		}
		engine.SetFault(fakeengine.Fault{})
		var err error
		switch i % 10 {
		case 4:
			err = h.SetState(demo.Ready, h.engine("e5"))
		case 9:
			err = h.SetState(demo.Draining, h.engine("e5"))
		}
		if err != nil {
			h.t.Error(err)
		}
		for _, engine := range h.FindEngines("zone:a") {
			err := engine.Restart()
			if err != nil {
				h.t.Error(err)
			}
		}
	}
}

// responseCounts counts responses by kind. Its methods may be called concurrently, except for String.
type responseCounts struct {
	mu                                           sync.Mutex
	served, rejected, failed, invalid, cancelled int
}

// add counts a response. It fails the test if the response is of no known kind.
func (c *responseCounts) add(t *testing.T, r response) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.err != nil:
		c.cancelled++
	case r.served():
		c.served++
	case r.rejected():
		c.rejected++
	case r.failed():
		c.failed++
	case r.status == http.StatusBadRequest || r.status == http.StatusNotFound:
		c.invalid++
	default:
		t.Errorf("response of unknown kind: %v", r)
	}
}

func (c *responseCounts) String() string {
	return fmt.Sprintf("%d served, %d rejected, %d failed, %d invalid, %d cancelled or lost", c.served, c.rejected, c.failed, c.invalid, c.cancelled)
}
