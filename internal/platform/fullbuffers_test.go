package platform

import (
	"net/http"
	"strings"
	"testing"

	"martenlock/control"
	"martenlock/internal/platform/platformtest"
)

// TestFullBuffersEjectNoEngine guards against an engine's response that finds the buffers full and counts as the engine's
// error: the buffers are full for all engines, so that all would be ejected. A request that must not be executed twice
// fails, and an idempotent one is rejected in the end.
func TestFullBuffersEjectNoEngine(t *testing.T) {
	const freeBytes = 2000
	longEvent := platformtest.StreamHead + platformtest.Chunk(`data: {"choices":[{"delta":{"content":"`+strings.Repeat("x", 2*freeBytes))
	for class, want := range map[string]int{"note": http.StatusBadGateway, "ask": http.StatusServiceUnavailable} {
		t.Run(class, func(t *testing.T) {
			h := startHarness(t, "r1", "w1", "w1")
			for _, engine := range h.engines[1:] {
				engine.SetScript(platformtest.RespondAndStall(longEvent))
			}
			filled := 0
			h.runOnLoop(func() {
				filled = h.server.limits.maxBufferedBytes - freeBytes
				h.server.bufferedBytes += filled
			})

			const requests = 8
			for range requests {
				if answer := h.roundTrip(h.chat(class)); answer.Code != want {
					t.Errorf("answer %+v, want %d", answer, want)
				}
			}

			attempts := attemptsAt(h.engines[1:]...)
			if class == "note" && attempts != requests {
				t.Errorf("%d attempts at decode engines, want %d", attempts, requests)
			}
			if ejections := h.log.lines("endpoint ejected"); len(ejections) != 0 {
				t.Errorf("engines were ejected: %v", ejections)
			}
			h.runOnLoop(func() { h.server.bufferedBytes -= filled })
			h.waitUntilNothingOpen()
			h.runOnLoop(func() {
				dropped := uint64(0)
				for _, e := range h.server.endpoints.byID {
					dropped += e.stats.results[control.ResponseDropped]
				}
				if dropped != uint64(attempts) {
					t.Errorf("%d attempts ended as %v, want %d", dropped, control.ResponseDropped, attempts)
				}
			})
		})
	}
}
