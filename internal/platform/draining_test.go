package platform

import (
	"net/http"
	"testing"
	"time"

	"martenlock/control"
	"martenlock/internal/enginetest"
	"martenlock/internal/platform/platformtest"
)

// TestDrainingEndpointGetsNoRequestOfTheSameIteration: a request is not forwarded to an engine that
// starts to drain in the iteration in which the request arrives, whichever event comes first.
func TestDrainingEndpointGetsNoRequestOfTheSameIteration(t *testing.T) {
	for _, drainsFirst := range []bool{true, false} {
		h := startHarness(t, "r1", "w1")
		client := h.dial()
		h.waitOnLoop("the connection", func() bool { return h.server.clients.Len() == 1 })

		h.runInOneIteration(func() {
			if drainsFirst {
				h.notifyTerminating(h.engines[0])
			}
			writeForNextIteration(t, client, h.chat("ask"))
			if !drainsFirst {
				h.notifyTerminating(h.engines[0])
			}
		})

		if answer, n := readAnswer(client), h.engines[0].Attempts(); answer.Code != http.StatusServiceUnavailable || n != 0 {
			t.Errorf("drains first %v: answered %d after %d attempts, want 503 after 0", drainsFirst, answer.Code, n)
		}
	}
}

// TestPendingAttemptIsRetriedWhenDrainGraceEnds: an attempt whose connection is not established
// when the drain grace of its engine ends is retried at another engine.
func TestPendingAttemptIsRetriedWhenDrainGraceEnds(t *testing.T) {
	h := startHarness(t, "r1", "w1", "w1")
	connecting, other := h.engines[1], h.engines[2]
	connecting.ListedAddress = enginetest.UnreachableAddress(t).String()
	h.runOnLoop(func() {
		h.server.endpoints.connOptions.ConnectTimeout = 5 * time.Second
		h.server.config.Settings.Control.Limits.DrainGrace = 100 * time.Millisecond
		settings := h.server.config.Settings.Control
		settings.Limits.KVRetentionLimit = 10 * time.Second
		h.server.mailbox.Router = control.New(settings, h.server.now())
	})
	h.notifyChange(h.engines[0].Entry(), connecting.Entry(), other.EntryInPhase(platformtest.Terminating))
	h.waitUntilListApplied()
	client := h.send(h.chat("note"))
	h.waitOnLoop("the attempt to connect", func() bool { return len(h.attemptsInFlight(connecting)) == 1 })

	h.notifyChange(connecting.EntryInPhase(platformtest.Terminating), other.Entry())

	h.waitOnLoop("the attempt to end", func() bool { return len(h.attemptsInFlight(connecting)) == 0 })
	if answer := readAnswer(client); answer.Code != http.StatusOK || other.Attempts() != 1 {
		t.Errorf("answered %d, engines received %v attempts; want 200 and one attempt at the last engine", answer.Code, h.attemptCounts())
	}
}
