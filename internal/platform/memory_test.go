package platform

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"testing"

	"martenlock/internal/platform/platformtest"
)

// TestHeapStaysConstantOverManyRequests: completed requests, closed client connections and removed engines leave no data
// on the heap, apart from recent sessions.
func TestHeapStaysConstantOverManyRequests(t *testing.T) {
	const maxGrowth = 4 << 20 // bytes; the sessions of the last minute are kept
	h := startHarness(t, "r1", "w1")
	h.sendManyRequests(2000)
	h.listManyEngines(0, 5000)
	before := h.liveHeap()

	h.sendManyRequests(8000)
	h.listManyEngines(5000, 95_000)

	h.waitOnLoop("all requests, engines and connections to be removed", func() bool {
		return len(h.server.exchanges.ByID) == 0 && len(h.server.endpoints.byID) == 2 && h.server.membership.Len() == 2 && h.server.clients.Len() == 0
	})
	if after := h.liveHeap(); after > before+maxGrowth {
		t.Errorf("live heap grew from %d KiB to %d KiB, want growth of at most %d KiB", before>>10, after>>10, maxGrowth>>10)
	}
}

// sendManyRequests sends requests one after another, each in a session of its own and 50 on each connection.
func (h *harness) sendManyRequests(count int) {
	h.Helper()
	const perConnection = 50
	for range count / perConnection {
		client := h.dial()
		reader := bufio.NewReader(client)
		for range perConnection {
			io.WriteString(client, h.chat("ask", "7f3a9c21e0b4d655", fmt.Sprintf("%016x", h.requestCount+1)))
			if answer := platformtest.ReadAnswer(reader); answer.Code != http.StatusOK {
				h.Fatalf("answer %+v, want 200", answer)
			}
		}
		client.Close()
	}
}

// listManyEngines adds engines to the endpoint list and removes each at once. They are numbered from first.
func (h *harness) listManyEngines(first, count int) {
	h.Helper()
	const perIteration = 1000
	for batch := range count / perIteration {
		h.runOnLoop(func() {
			for i := range perIteration {
				entry := platformtest.Entry{ID: fmt.Sprintf("x-%d", first+batch*perIteration+i), Address: "127.0.0.1:9", Flavor: "w1"}
				for _, phase := range []string{platformtest.InService, platformtest.Terminated} {
					h.revision++
					entry.Phase = phase
					if err := h.server.applyEndpointList([]byte(platformtest.IncrementalList(h.revision, entry))); err != nil {
						h.Error(err)
					}
				}
			}
		})
	}
}

// liveHeap discards the requests that the harness has recorded and returns the bytes of live objects.
func (h *harness) liveHeap() uint64 {
	for _, e := range h.engines {
		e.ForgetRequests()
	}
	h.mu.Lock()
	h.requests = nil
	h.mu.Unlock()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
