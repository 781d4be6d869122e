package platform

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestIdleConnectionFloodIsEvicted: idle client connections beyond maxClientConns are closed, and a new client is still
// served.
func TestIdleConnectionFloodIsEvicted(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	for range h.server.limits.maxClientConns + 40 {
		h.dial()
	}

	if answer := h.roundTrip(h.chat("ask")); answer.Code != http.StatusOK {
		t.Fatalf("answer %+v, want 200", answer)
	}

	h.waitOnLoop("the client connections to be within their limit", func() bool {
		listener, limits := h.server.clients.Listener, h.server.limits
		return listener.Open() <= limits.maxClientConns && listener.MaxOpen < h.server.config.Limits.Sockets-limits.maxEngineConns
	})
	h.waitOnLoop("the idle connections to be closed", func() bool { return h.server.clients.Len() == 0 })
}

// TestIdleConnectionFloodLeavesDescriptorsForOthers: discovery is down, and idle clients use all descriptors that client
// connections may use. A new client is still served, and a reload still reaches another discovery service.
func TestIdleConnectionFloodLeavesDescriptorsForOthers(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	other := startHarness(t, "r1")
	h.discovery.Close()
	h.discovery.CloseCalls()
	for range h.server.limits.maxClientConns + 60 {
		h.dial()
	}

	if answer := h.roundTrip(h.chat("ask")); answer.Code != http.StatusOK {
		t.Fatalf("answer %+v, want 200", answer)
	}
	h.runOnLoop(func() {
		const ownDescriptors = 19 // for the uses that reservedDescriptors in package connlimit lists
		listener, limit := h.server.clients.Listener, h.server.config.Limits.Sockets
		if required := listener.MaxOpen + h.server.limits.maxEngineConns + ownDescriptors; required > limit || listener.Open() > listener.MaxOpen {
			t.Errorf("%d descriptors required, limit %d; %d client connections, limit %d", required, limit, listener.Open(), listener.MaxOpen)
		}
		if n := len(h.server.discovery.pending); n > 4 {
			t.Errorf("%d concurrent calls to discovery, limit 4", n)
		}
	})

	h.revision = 7
	other.discovery.SetFirstMessage(h.completeList())
	h.config["discovery"] = other.discovery.Address()
	h.saveConfig()
	h.server.Reload(h.getenv)
	h.waitUntilListApplied()
}

// TestLargeIncompleteUploadsAreEvicted: if clients fill the memory for bodies with large bodies that they don't complete,
// other requests are still served, and the connections of the incomplete ones are closed.
func TestLargeIncompleteUploadsAreEvicted(t *testing.T) {
	const uploadBytes = 200 << 10
	h := startHarness(t, "r1", "w1")
	capacity := h.server.limits.maxBufferedBytes
	for range capacity/uploadBytes + 10 {
		client := h.dial()
		text := h.chat("ask", "Content-Length: ", "Content-Length: 2620")
		go io.WriteString(client, text+strings.Repeat("x", uploadBytes))
	}
	h.waitOnLoop("the uploads to fill the memory for bodies", func() bool { return h.server.bufferedBytes > capacity-300<<10 })

	h.messageContent = strings.Repeat("a", 150<<10)
	for range 20 {
		if answer := h.roundTrip(h.chat("ask")); answer.Code != http.StatusOK {
			t.Fatalf("answer %+v, want 200", answer)
		}
	}

	h.waitOnLoop("the uploads to be closed", func() bool { return h.server.bufferedBytes == 0 && h.server.clients.Len() == 0 })
}
