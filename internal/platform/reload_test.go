package platform

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"martenlock/internal/platform/platformtest"
)

// TestReloadRetriesIncompleteFile: a configuration file that is incomplete changes nothing and is read again. Once it is
// complete, the server subscribes to the new discovery address, and open requests continue.
func TestReloadRetriesIncompleteFile(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	released := make(chan struct{})
	h.engines[1].SetScript(platformtest.RespondAfter(released))
	client := h.send(h.chat("ask"))
	h.waitForAttempts(1, h.engines[1])
	next := startHarness(t, "r1").discovery
	next.SetFirstMessage(h.completeList())
	callsBefore, ownCallsBefore := next.Calls(), h.discovery.Calls()
	text, err := os.ReadFile(h.configPath)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(h.configPath, text[:len(text)/2], 0o644); err != nil {
		t.Fatal(err)
	}

	h.server.Reload(h.getenv)
	time.Sleep(3 * reloadRetryDelay / 2)
	if next.Calls() != callsBefore || h.discovery.Calls() != ownCallsBefore {
		t.Error("an incomplete file was applied: discovery received a new call")
	}
	h.config["discovery"] = next.Address()
	h.saveConfig()
	h.waitFor("a call to the new discovery address", func() bool { return next.Calls() > callsBefore })

	close(released)
	h.expectServed(readAnswer(client))
}

// TestLatestReloadWins: of two concurrent reloads only the later one is applied, even if the earlier one finishes
// reading its file last.
func TestLatestReloadWins(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	firstDiscovery, secondDiscovery := startHarness(t, "r1").discovery, startHarness(t, "r1").discovery
	firstPath, secondPath := h.saveConfigWith(firstDiscovery), h.saveConfigWith(secondDiscovery)
	reading, proceed, firstDone := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		h.server.Reload(func(name string) string {
			if name == "PROXY_CONFIG" {
				close(reading)
				<-proceed
			}
			return firstPath
		})
		close(firstDone)
	}()
	<-reading

	h.server.Reload(func(string) string { return secondPath })
	want := secondDiscovery.Address()
	h.waitOnLoop("the later reload to be applied", func() bool { return h.server.discovery.address.String() == want })
	close(proceed)
	<-firstDone

	h.runOnLoop(func() {})
	h.runOnLoop(func() {
		if got := h.server.discovery.address.String(); got != want {
			t.Errorf("discovery address %s, want %s of the later reload", got, want)
		}
	})
}

// saveConfigWith writes the configuration with this discovery service to a new file and returns its path.
func (h *harness) saveConfigWith(discovery *platformtest.Discovery) (path string) {
	h.Helper()
	path = filepath.Join(h.TempDir(), "config.json")
	ownPath := h.configPath
	h.configPath, h.config["discovery"] = path, discovery.Address()
	h.saveConfig()
	h.configPath = ownPath
	return path
}
