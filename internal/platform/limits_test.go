package platform

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestIdleConnectionFloodIsEvicted: silent connections beyond the clients' share of descriptors
// are closed, and others are served.
func TestIdleConnectionFloodIsEvicted(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	for range h.server.limits.maxClientConns + 40 {
		h.dial()
	}

	if answer := h.roundTrip(h.chat("ask")); answer.Code != http.StatusOK {
		t.Fatal(answer)
	}

	h.waitOnLoop("the connections to be within their limit", func() bool {
		listener, limits := h.server.clients.Listener, h.server.limits
		return listener.Open() <= limits.maxClientConns && listener.MaxOpen < h.server.config.Limits.Sockets-limits.maxEngineConns
	})
	h.waitOnLoop("the idle connections to be closed", func() bool { return h.server.clients.Len() == 0 })
}

// TestIdleConnectionFloodLeavesDescriptorsForOthers: idle clients fill their share of the
// descriptors while discovery is down: engines, the watch and a reload still get theirs, and new
// clients are served.
func TestIdleConnectionFloodLeavesDescriptorsForOthers(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	other := startHarness(t, "r1")
	h.discovery.Close()
	h.discovery.CloseCalls()
	for range h.server.limits.maxClientConns + 60 {
		h.dial()
	}

	if answer := h.roundTrip(h.chat("ask")); answer.Code != http.StatusOK {
		t.Fatal(answer)
	}
	h.runOnLoop(func() {
		const ownDescriptors = 19 // package connlimit lists them
		listener, limit := h.server.clients.Listener, h.server.config.Limits.Sockets
		if inUse := listener.MaxOpen + h.server.limits.maxEngineConns + ownDescriptors; inUse > limit || listener.Open() > listener.MaxOpen {
			t.Errorf("%d descriptors of %d; %d clients, %d at most", inUse, limit, listener.Open(), listener.MaxOpen)
		}
		if n := len(h.server.discovery.pending); n > 4 {
			t.Errorf("%d calls at discovery", n)
		}
	})

	h.revision = 7
	other.discovery.SetFirstMessage(h.completeList())
	h.config["discovery"] = other.discovery.Address()
	h.saveConfig()
	h.server.Reload(h.getenv)
	h.waitUntilListApplied()
}

// TestLargeIncompleteUploadsAreEvicted: clients that send most of a large body and then nothing
// more don't take the memory for bodies from small requests, and are closed in time.
func TestLargeIncompleteUploadsAreEvicted(t *testing.T) {
	const uploadBytes = 200 << 10
	h := startHarness(t, "r1", "w1")
	capacity := h.server.limits.maxBufferedBytes
	for range capacity/uploadBytes + 10 {
		client := h.dial()
		text := h.chat("ask", "Content-Length: ", "Content-Length: 2620")
		go io.WriteString(client, text+strings.Repeat("x", uploadBytes))
	}
	h.waitOnLoop("the memory for bodies to be in use", func() bool { return h.server.bufferedBytes > capacity-300<<10 })

	h.messageContent = strings.Repeat("a", 150<<10)
	for range 20 {
		if answer := h.roundTrip(h.chat("ask")); answer.Code != http.StatusOK {
			t.Fatal(answer)
		}
	}

	h.waitOnLoop("the uploads to be closed", func() bool { return h.server.bufferedBytes == 0 && h.server.clients.Len() == 0 })
}
