package platform

import (
	"net/http"
	"testing"
	"time"

	"martenlock/control"
	"martenlock/internal/enginetest"
	"martenlock/internal/platform/platformtest"
)

// TestDrainingEndpointGetsNoRequestOfTheSameIteration: an engine that starts to drain in the
// iteration in which a request arrives gets nothing of it, whichever event came first.
func TestDrainingEndpointGetsNoRequestOfTheSameIteration(t *testing.T) {
	for _, drainsFirst := range []bool{true, false} {
		h := startHarness(t, "r1", "w1")
		client := h.dial()
		h.waitOnLoop("the connection", func() bool { return h.server.clients.Len() == 1 })

		h.runInOneIteration(func() {
			if drainsFirst {
				h.notifyTerminating(h.engines[0])
			}
			writeUnseen(t, client, h.chat("ask"))
			if !drainsFirst {
				h.notifyTerminating(h.engines[0])
			}
		})

		if answer, n := readAnswer(client), h.engines[0].Attempts(); answer.Code != http.StatusServiceUnavailable || n != 0 {
			t.Errorf("drains first %v: %d after %d attempts", drainsFirst, answer.Code, n)
		}
	}
}

// TestPendingSendEndsWithDrainGrace: a request whose connection is not established when its
// engine's drain grace ends is never sent there.
func TestPendingSendEndsWithDrainGrace(t *testing.T) {
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
		t.Error(answer.Code, h.attemptCounts())
	}
}
