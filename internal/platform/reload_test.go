package platform

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"martenlock/internal/platform/platformtest"
)

// TestReloadRetriesTornFile: a torn file changes nothing and is read again. The complete one moves
// discovery, and open requests go on.
func TestReloadRetriesTornFile(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	released := make(chan struct{})
	h.engines[1].SetScript(platformtest.RespondAfter(released))
	client := h.send(h.chat("ask"))
	h.waitForAttempts(1, h.engines[1])
	next := startHarness(t, "r1").discovery // of another harness
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
		t.Error("a torn file was applied")
	}
	h.config["discovery"] = next.Address()
	h.saveConfig()
	h.waitFor("discovery to move", func() bool { return next.Calls() > callsBefore })

	close(released)
	h.expectServed(readAnswer(client))
}

// TestLatestReloadWins: of two reloads the later one wins, though the earlier one reads its file
// for longer.
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
	h.waitOnLoop("the later reload", func() bool { return h.server.discovery.address.String() == want })
	close(proceed)
	<-firstDone

	h.runOnLoop(func() {})
	h.runOnLoop(func() {
		if got := h.server.discovery.address.String(); got != want {
			t.Errorf("discovery at %s, of the earlier reload", got)
		}
	})
}

// saveConfigWith writes the configuration with another discovery to a file of its own, and returns its path.
func (h *harness) saveConfigWith(discovery *platformtest.Discovery) (path string) {
	h.Helper()
	path = filepath.Join(h.TempDir(), "config.json")
	ownPath := h.configPath
	h.configPath, h.config["discovery"] = path, discovery.Address()
	h.saveConfig()
	h.configPath = ownPath
	return path
}
