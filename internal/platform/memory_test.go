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

// TestHeapStaysConstantOverManyRequests: ten thousand request ids on ever new connections, and a
// hundred thousand engines, leave the live heap as it was.
func TestHeapStaysConstantOverManyRequests(t *testing.T) {
	const maxGrowth = 4 << 20 // sessions of the last minute are kept by design: some 200 bytes each
	h := startHarness(t, "r1", "w1")
	h.sendManyRequests(2000)
	h.listManyEngines(0, 5000)
	before := h.liveHeap()

	h.sendManyRequests(8000)
	h.listManyEngines(5000, 95_000)

	h.waitOnLoop("all of it to end", func() bool {
		return len(h.server.exchanges.ByID) == 0 && len(h.server.endpoints.byID) == 2 && h.server.membership.Len() == 2 && h.server.clients.Len() == 0
	})
	if after := h.liveHeap(); after > before+maxGrowth {
		t.Errorf("%d KB live after, %d KB before", after>>10, before>>10)
	}
}

// sendManyRequests sends requests of one session each, on new connections of 50 requests, one after another.
func (h *harness) sendManyRequests(count int) {
	h.Helper()
	const perConnection = 50
	for range count / perConnection {
		client := h.dial()
		reader := bufio.NewReader(client)
		for range perConnection {
			io.WriteString(client, h.chat("ask", "7f3a9c21e0b4d655", fmt.Sprintf("%016x", h.requestCount+1)))
			if answer := platformtest.ReadAnswer(reader); answer.Code != http.StatusOK {
				h.Fatal(answer)
			}
		}
		client.Close()
	}
}

// listManyEngines has engines come and go, numbered from a first one.
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

// liveHeap returns the bytes of live objects, without what the harness has recorded.
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
