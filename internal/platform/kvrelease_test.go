package platform

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"martenlock/control"
	"martenlock/internal/decisionloop"
	"martenlock/internal/enginetest"
	"martenlock/internal/platform/platformtest"
)

// TestKVReleasedWhileNoDecodeEngineIsReachable: KV state is released in time although no connection
// to a decode engine can be established, for idempotent and other requests.
func TestKVReleasedWhileNoDecodeEngineIsReachable(t *testing.T) {
	const maxRetained = 800 * time.Millisecond
	for _, test := range []struct {
		class              string
		longConnectTimeout bool // connect time-out above the KV retention limit
	}{{class: "ask"}, {class: "note"}, {class: "ask", longConnectTimeout: true}} {
		h := startHarness(t, "r1", "w1", "w1", "w1", "w1")
		if test.longConnectTimeout {
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
			t.Errorf("class %s: answered %d %s, want 503", test.class, answer.Code, answer.Body)
		}
		h.mu.Lock()
		prefill, release := h.requests[0], h.requests[len(h.requests)-1]
		h.mu.Unlock()
		if took := release.ReceivedAt.Sub(prefill.ReceivedAt); prefill.Method != http.MethodPost || release.Method != http.MethodDelete || took > maxRetained {
			t.Errorf("class %s: first request %s, last request %s, KV state retained for %v, limit %v", test.class, prefill.Method, release.Method, took, maxRetained)
		}
	}
}

// waitForDeferredPrefill waits until an attempt is deferred because of a pending KV release.
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

// sendInBackground sends a request, and returns a channel that receives its answer.
func (h *harness) sendInBackground(text string) <-chan platformtest.Answer {
	h.Helper()
	client := h.send(text)
	answered := make(chan platformtest.Answer, 1)
	go func() { answered <- readAnswer(client) }()
	return answered
}

// TestPrefillIsDeferredUntilReleaseIsConfirmed: a second prefill of a request is not sent before an
// engine has confirmed the release of the KV state that the first one may have left.
func TestPrefillIsDeferredUntilReleaseIsConfirmed(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	var mu sync.Mutex
	var order []string // method and engine flavor of each request, in order of the engines' answers
	confirmReleases := make(chan struct{})
	for _, e := range h.engines {
		e.SetScript(func(r *platformtest.Request) bool {
			if r.Method == http.MethodDelete {
				<-confirmReleases
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
	close(confirmReleases)

	if answer := <-answered; answer.Code != http.StatusOK {
		t.Errorf("answered %d, want 200", answer.Code)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(order) < 4 || !strings.HasPrefix(order[2], http.MethodDelete) {
		t.Errorf("engines answered %v, want a release as the third", order)
	}
}

// TestStrayResponseBehindReleaseIsNotTakenForAttempt guards against a second response right behind the confirmation of a
// release, which was taken for the response to the attempt that waited for the release.
func TestStrayResponseBehindReleaseIsNotTakenForAttempt(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	h.engines[0].SetScript(func(r *platformtest.Request) bool {
		if r.Method == http.MethodDelete {
			return r.Write("HTTP/1.1 204 No Content\r\n\r\n" + platformtest.Status(http.StatusInternalServerError, ""))
		}
		return platformtest.WellBehaved(r)
	})
	confirmByDecode := make(chan struct{})
	t.Cleanup(func() { close(confirmByDecode) })
	var isFirstDecode atomic.Bool
	isFirstDecode.Store(true)
	h.engines[1].SetScript(func(r *platformtest.Request) bool {
		switch {
		case r.Method == http.MethodDelete: // only the prefill engine confirms the release
			<-confirmByDecode
			return false
		case isFirstDecode.Swap(false):
			return r.Write(platformtest.Status(http.StatusGone, platformtest.RejectedHeader))
		}
		return platformtest.WellBehaved(r)
	})

	answer := h.roundTrip(h.chat("ask"))

	if answer.Code != http.StatusOK {
		t.Errorf("answered %d, want 200", answer.Code)
	}
	h.expectAttempts(2, 2)
	for _, line := range h.log.lines("attempt ended") {
		if line["status"] != float64(http.StatusGone) {
			t.Errorf("an attempt got a response that no engine sent for it: %v", line)
		}
	}
}

// TestDeferredPrefillEndsAsNotSent: a deferred attempt is not sent if its client's time budget ends
// or its engine starts to drain before the release is confirmed.
func TestDeferredPrefillEndsAsNotSent(t *testing.T) {
	for name, drains := range map[string]bool{"no engine answers the release": false, "the engine drains": true} {
		t.Run(name, func(t *testing.T) {
			h := startHarness(t, "r1", "w1", "w1")
			confirmReleases := make(chan struct{})
			for _, e := range h.engines {
				e.SetScript(func(r *platformtest.Request) bool {
					switch {
					case r.Method == http.MethodDelete:
						<-confirmReleases
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
				close(confirmReleases)
			} else {
				defer close(confirmReleases)
			}

			if answer := <-answered; answer.Code != http.StatusServiceUnavailable {
				t.Errorf("answered %d, want 503", answer.Code)
			}
			if n := h.engines[0].Attempts(); n != 1 {
				t.Errorf("%d attempts at the prefill engine, want 1", n)
			}
		})
	}
}

// deferredRetry is a request with a key that has been executed and whose next prefill waits for KV releases to be confirmed.
type deferredRetry struct {
	*harness
	sentAt          time.Time
	answered        <-chan platformtest.Answer
	prefills        int           // attempts at the prefill engine so far
	confirmReleases chan struct{} // close it to confirm the releases
}

// startDeferredRetry starts a server whose engines drop repeats within window, and a request that becomes a deferredRetry.
func startDeferredRetry(t *testing.T, window time.Duration) *deferredRetry {
	t.Helper()
	settings := strings.Replace(testSettings, `"Effect":"at_most_once"`,
		fmt.Sprintf(`"Effect":"deduplicated","DedupScope":"all","WindowUs":%d`, window.Microseconds()), 1)
	d := &deferredRetry{harness: startHarnessWith(t, settings, "r1", "w1", "w1"), confirmReleases: make(chan struct{})}
	var decodes atomic.Int32
	for _, e := range d.engines {
		e.SetScript(func(r *platformtest.Request) bool {
			switch {
			case r.Method == http.MethodDelete:
				<-d.confirmReleases
			case r.Engine.Role() != platformtest.Decode:
			case decodes.Add(1) == 1: // the request has been executed
				return r.Write(platformtest.Status(http.StatusInternalServerError, ""))
			default: // the prompt has to be computed again
				return r.Write(platformtest.Status(http.StatusGone, platformtest.RejectedHeader))
			}
			return platformtest.WellBehaved(r)
		})
	}
	d.sentAt = time.Now()
	d.answered = d.sendInBackground(d.chat("note"))
	d.waitForDeferredPrefill()
	d.prefills = d.engines[0].Attempts()
	return d
}

// expectFailedWithoutRetry fails the test unless the request fails soon and its prompt is not computed again.
func (d *deferredRetry) expectFailedWithoutRetry() {
	d.Helper()
	answer := <-d.answered
	if answer.Code != http.StatusBadGateway {
		d.Errorf("answered %d, want 502: the request may have been executed", answer.Code)
	}
	if n := d.engines[0].Attempts(); n != d.prefills {
		d.Errorf("%d attempts at the prefill engine, want %d as within the window", n, d.prefills)
	}
	if took := time.Since(d.sentAt); took > 2*time.Second {
		d.Errorf("answered after %v, want an answer when the window is over", took)
	}
}

// TestDeferredRetryIsNotSentAfterItsDedupWindow guards against a retry that waits for a KV release to be confirmed and is then
// sent although the dedup window of its request is over: the engines would execute the request again. The client is answered
// when the window is over, also if no engine ever confirms the release.
func TestDeferredRetryIsNotSentAfterItsDedupWindow(t *testing.T) {
	const window = 500 * time.Millisecond
	for name, isConfirmed := range map[string]bool{"confirmed after the window": true, "never confirmed": false} {
		t.Run(name, func(t *testing.T) {
			d := startDeferredRetry(t, window)
			if isConfirmed {
				time.AfterFunc(window+200*time.Millisecond, func() { close(d.confirmReleases) })
			} else {
				defer close(d.confirmReleases)
			}

			d.expectFailedWithoutRetry()
		})
	}
}

// TestDeferredRetryIsSentInWhatIsLeftOfItsDedupWindow guards against a retry that may be sent for the whole length of its dedup
// window once it has waited for most of it: its connection is not established, and the attempt ends with the window.
func TestDeferredRetryIsSentInWhatIsLeftOfItsDedupWindow(t *testing.T) {
	const window, wait = time.Second, 700 * time.Millisecond
	d := startDeferredRetry(t, window)
	prefill := d.engines[0]
	d.runOnLoop(func() { d.server.endpoints.connOptions.ConnectTimeout = 5 * time.Second })
	d.listAt(enginetest.UnreachableAddress(t).String(), prefill)
	var deferred *attempt
	d.runOnLoop(func() {
		for _, e := range d.server.exchanges.ByID {
			deferred = e.attempt
		}
	})
	time.AfterFunc(wait, func() { close(d.confirmReleases) })

	var endedAt time.Duration
	d.waitOnLoop("the attempt to end", func() bool {
		endedAt = d.server.loop.Now()
		return deferred.state == decisionloop.AttemptEnded
	})

	if late := endedAt - deferred.sendBefore; late > wait/2 {
		t.Errorf("the attempt ended %v after the window", late)
	}
	d.expectFailedWithoutRetry()
}

// TestConfirmationAtTheEndOfTheDedupWindowSendsNoRetry guards against the same if a delayed iteration of the loop reads the
// confirmation before the timer for the end of the window fires.
func TestConfirmationAtTheEndOfTheDedupWindowSendsNoRetry(t *testing.T) {
	const window = 500 * time.Millisecond
	d := startDeferredRetry(t, window)

	d.runOnLoop(func() {
		close(d.confirmReleases)
		time.Sleep(window)
	})

	d.expectFailedWithoutRetry()
}

// TestDecodeRetryWithdrawsPendingRelease: while a decode attempt waits for its response, the release
// of the KV state is requested. If the engine then rejects the attempt, the pending release is
// withdrawn and the next decode attempt uses the KV state.
func TestDecodeRetryWithdrawsPendingRelease(t *testing.T) {
	h := startHarness(t, "r1", "w1", "w1")
	testEnded := make(chan struct{})
	defer close(testEnded)
	releaseRequested := make(chan struct{})
	var once sync.Once
	for _, e := range h.engines {
		e.SetScript(func(r *platformtest.Request) bool {
			switch {
			case r.Method == http.MethodDelete:
				once.Do(func() { close(releaseRequested) })
				<-testEnded
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
		t.Errorf("answered %d, want 200", answer.Code)
	}
	h.waitOnLoop("no release to be pending", func() bool { return h.server.kvReleases.scheduler.Len() == 0 })
}
