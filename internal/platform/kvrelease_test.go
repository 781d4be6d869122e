package platform

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"martenlock/control"
	"martenlock/internal/enginetest"
	"martenlock/internal/platform/platformtest"
)

// TestKVReleasedWhileNoDecodeEngineIsReachable: KV state is released in time though no
// connection to any decode engine is established, whatever the request's idempotency.
func TestKVReleasedWhileNoDecodeEngineIsReachable(t *testing.T) {
	const maxRetained = 800 * time.Millisecond
	for _, test := range []struct {
		class             string
		hasLongConnection bool // a connection may take longer than KV state may be retained
	}{{class: "ask"}, {class: "note"}, {class: "ask", hasLongConnection: true}} {
		h := startHarness(t, "r1", "w1", "w1", "w1", "w1")
		if test.hasLongConnection {
			h.runOnLoop(func() { h.server.endpoints.connOptions.ConnectTimeout = 5 * time.Second })
		}
		var entries []platformtest.Entry
		for _, e := range h.engines[1:] {
			e.ListedAddress = enginetest.UnreachableAddress(t).String()
			entries = append(entries, e.Entry())
		}
		h.notifyChange(entries...)
		h.waitUntilListApplied()

		answer := h.roundTrip(h.chat(test.class))
		h.waitFor("the KV release", func() bool { return h.isKVReleased() })

		if answer.Code != http.StatusServiceUnavailable {
			t.Errorf("%s: %d %s", test.class, answer.Code, answer.Body)
		}
		h.mu.Lock()
		prefill, release := h.requests[0], h.requests[len(h.requests)-1]
		h.mu.Unlock()
		if took := release.ReceivedAt.Sub(prefill.ReceivedAt); prefill.Method != http.MethodPost || release.Method != http.MethodDelete || took > maxRetained {
			t.Errorf("%s: retained for %v", test.class, took)
		}
	}
}

// waitForDeferredPrefill waits until a further prefill is deferred until KV state is released.
func (h *harness) waitForDeferredPrefill() {
	h.Helper()
	h.waitOnLoop("a deferred prefill", func() bool {
		for _, e := range h.server.exchanges.ByID {
			if e.attempt != nil && e.attempt.deferred != nil {
				return true
			}
		}
		return false
	})
}

// sendInBackground sends a request and returns what its answer arrives on.
func (h *harness) sendInBackground(text string) <-chan platformtest.Answer {
	h.Helper()
	client := h.send(text)
	answered := make(chan platformtest.Answer, 1)
	go func() { answered <- readAnswer(client) }()
	return answered
}

// TestPrefillIsDeferredUntilReleaseIsConfirmed: the release of what an earlier prefill may have left is answered before
// the further prefill is sent, and where no engine answers it, nothing is sent.
func TestPrefillIsDeferredUntilReleaseIsConfirmed(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	var mu sync.Mutex
	var order []string // of the requests that engines have answered, by method and flavor
	releasesConfirmed := make(chan struct{})
	for _, e := range h.engines {
		e.SetScript(func(r *platformtest.Request) bool {
			if r.Method == http.MethodDelete {
				<-releasesConfirmed
			}
			mu.Lock()
			order = append(order, r.Method+" "+r.Engine.Flavor)
			isFirstDecode := len(order) == 2
			mu.Unlock()
			if isFirstDecode && r.Engine.Role() == platformtest.Decode {
				return r.Write(platformtest.Status(http.StatusGone, platformtest.RejectedHeader))
			}
			return platformtest.WellBehaved(r)
		})
	}

	answered := h.sendInBackground(h.chat("ask"))
	h.waitForDeferredPrefill()
	h.expectAttempts(1, 1)
	close(releasesConfirmed)

	if answer := <-answered; answer.Code != http.StatusOK {
		t.Errorf("answered %d", answer.Code)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(order) < 4 || !strings.HasPrefix(order[2], http.MethodDelete) {
		t.Errorf("engines answered %v", order)
	}
}

// TestDeferredPrefillEndsAsNotSent: an attempt is not deferred past its client's time, and not sent to an engine that
// drains by then.
func TestDeferredPrefillEndsAsNotSent(t *testing.T) {
	for name, drains := range map[string]bool{"no engine answers the release": false, "the engine drains": true} {
		t.Run(name, func(t *testing.T) {
			h := startHarness(t, "r1", "w1", "w1")
			releasesConfirmed := make(chan struct{})
			for _, e := range h.engines {
				e.SetScript(func(r *platformtest.Request) bool {
					switch {
					case r.Method == http.MethodDelete:
						<-releasesConfirmed
					case r.Engine.Role() == platformtest.Decode:
						return r.Write(platformtest.Status(http.StatusGone, platformtest.RejectedHeader))
					}
					return platformtest.WellBehaved(r)
				})
			}
			answered := h.sendInBackground(h.chat("ask", "4000m", "700m"))
			h.waitForDeferredPrefill()

			if drains {
				h.notifyTerminating(h.engines[0])
				h.waitOnLoop("the engine to drain", func() bool { return h.stateOf(h.engines[0]) == control.Draining })
				close(releasesConfirmed)
			} else {
				defer close(releasesConfirmed)
			}

			if answer := <-answered; answer.Code != http.StatusServiceUnavailable {
				t.Errorf("answered %d, want 503", answer.Code)
			}
			if n := h.engines[0].Attempts(); n != 1 {
				t.Errorf("%d attempts at the prefill engine", n)
			}
		})
	}
}

// TestDecodeRetryWithdrawsPendingRelease: a decode engine that rejects the request late proves that the attempt had
// arrived; the next one gets the KV state, though its release was asked for meanwhile and no engine has answered.
func TestDecodeRetryWithdrawsPendingRelease(t *testing.T) {
	h := startHarness(t, "r1", "w1", "w1")
	testEnds := make(chan struct{})
	defer close(testEnds)
	releaseRequested := make(chan struct{})
	var once sync.Once
	for _, e := range h.engines {
		e.SetScript(func(r *platformtest.Request) bool {
			switch {
			case r.Method == http.MethodDelete:
				once.Do(func() { close(releaseRequested) })
				<-testEnds
				return false
			case r.Engine.Role() == platformtest.Decode && attemptsAt(h.engines[1:]...) == 1:
				<-releaseRequested
				return r.Write(platformtest.Status(http.StatusServiceUnavailable, platformtest.RejectedHeader))
			}
			return platformtest.WellBehaved(r)
		})
	}

	answer := h.roundTrip(h.chat("ask"))

	if answer.Code != http.StatusOK {
		t.Errorf("answered %d", answer.Code)
	}
	h.waitOnLoop("no release to be pending", func() bool { return h.server.kvReleases.scheduler.Len() == 0 })
}
