package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"martenlock/control"
	"martenlock/control/membership"
	"martenlock/internal/enginetest"
	"martenlock/internal/platform/platformtest"
)

// TestWatchAppliesValidUpdatesAndRestartsAfterErrors: a message is applied once its last piece has arrived. A list of an
// earlier revision and invalid entries change no engine. After a malformed message or the end of the watch, a new watch
// requests the changes since the latest revision.
func TestWatchAppliesValidUpdatesAndRestartsAfterErrors(t *testing.T) {
	h := startHarness(t, "r1", "w1", "w1")
	draining, other := h.engines[1], h.engines[2]
	callsBefore := h.discovery.Calls()

	// A message in two pieces makes an engine drain.
	h.revision = 5
	message := platformtest.IncrementalList(h.revision, draining.EntryInPhase(platformtest.Terminating)) + "\n\n"
	h.discovery.Send(message[:40])
	h.discovery.Send(message[40:])
	h.waitOnLoop("the engine to drain", func() bool { return h.stateOf(draining) == control.Draining })
	for range 8 {
		if answer := h.roundTrip(h.chat("ask")); answer.Code != http.StatusOK {
			t.Fatalf("answer %+v, want 200", answer)
		}
	}
	if n := draining.Attempts(); n != 0 {
		t.Errorf("%d attempts at a draining engine, want none", n)
	}

	// A list of an earlier revision and invalid entries change no engine.
	h.discovery.Send(strings.Replace(h.completeList(), `"revision":5`, `"revision":2`, 1) + "\n")
	h.revision = 6
	h.discovery.Send(`{"revision":6,"complete":false,"members":[{"id":"s-9","host_port":"nowhere","flavor":"w1","phase":"in_service"},{"id":"s-8","host_port":"127.0.0.1:1","flavor":"odd","phase":"in_service"}]}` + "\n")
	h.waitUntilListApplied()
	h.waitOnLoop("the engine to be draining still", func() bool { return h.stateOf(draining) == control.Draining })
	h.waitOnLoop("the list to have three engines", func() bool { return h.server.membership.Len() == 3 })

	// A malformed message and the end of a watch each lead to a new call since the latest revision.
	h.discovery.Send("%%% no JSON\n")
	h.waitFor("a call after the malformed message", func() bool { return h.discovery.Calls() == callsBefore+1 })
	if since := h.discovery.Since(callsBefore + 1); since != "6" {
		t.Errorf("changes requested since revision %q, want 6", since)
	}
	h.discovery.CloseCalls()
	h.waitFor("a call after the end of the watch", func() bool { return h.discovery.Calls() == callsBefore+2 })

	// Two engines leave the list, and one of them is listed again after a restart.
	h.notifyChange(draining.EntryInPhase(platformtest.Terminated), other.EntryInPhase(platformtest.Terminated))
	h.waitOnLoop("the engines to be removed", func() bool { return h.server.membership.Len() == 1 && len(h.server.endpoints.byID) == 1 })
	restarted := other.Entry()
	restarted.UpSinceMillis = time.Now().UnixMilli()
	h.notifyChange(restarted)
	h.waitOnLoop("the restarted engine to be ready", func() bool { return h.stateOf(other) == control.Ready })
}

// TestWatchReadsIndentedListInPieces: a list that extends over many lines and chunks is applied, and the watch continues.
func TestWatchReadsIndentedListInPieces(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	callsBefore := h.discovery.Calls()
	h.revision = 2
	list := platformtest.CompleteList(h.revision, h.engines[0].Entry(), h.engines[1].EntryInPhase(platformtest.Terminating))
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(list), "", "  "); err != nil {
		t.Fatal(err)
	}

	for piece := range strings.Lines(indented.String() + "\n\n") {
		h.discovery.Send(piece)
	}
	h.waitUntilListApplied()

	h.revision = 3
	h.discovery.Send(h.completeList() + "\n")
	h.waitUntilListApplied()
	if n := h.discovery.Calls(); n != callsBefore {
		t.Errorf("%d calls to discovery, want %d as before the lists", n, callsBefore)
	}
}

// TestRepeatedListKeepsIdleConnections: a list that is sent again does not make engines look restarted, which would close
// their idle connections.
func TestRepeatedListKeepsIdleConnections(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	entries := []platformtest.Entry{h.engines[0].Entry(), h.engines[1].Entry()}
	for i := range entries {
		entries[i].UpSinceMillis = time.Now().Add(-time.Minute).UnixMilli()
	}
	sendList := func() {
		h.revision++
		h.discovery.Send(platformtest.CompleteList(h.revision, entries...) + "\n")
		h.waitUntilListApplied()
	}
	sendList()
	if answer := h.roundTrip(h.chat("ask")); answer.Code != http.StatusOK {
		t.Fatalf("answer %+v, want 200", answer)
	}

	var startedBefore map[control.EndpointID]control.Time
	for i := range 200 {
		sendList()

		h.runOnLoop(func() {
			startedAt := map[control.EndpointID]control.Time{}
			for id, e := range h.server.endpoints.byID {
				startedAt[id] = e.startedAt
				if e.Idle() != 1 {
					t.Errorf("%d idle connections to an engine after list %d, want 1", e.Idle(), i)
				}
			}
			if startedBefore != nil && fmt.Sprint(startedAt) != fmt.Sprint(startedBefore) {
				t.Errorf("start times %v after list %d, want %v as before", startedAt, i, startedBefore)
			}
			startedBefore = startedAt
		})
		if t.Failed() {
			return
		}
	}
}

// callScript answers a call to discovery.
type callScript func(net.Conn)

// Faults of a call to discovery.
var (
	neverAnswers callScript = func(net.Conn) {}
	answersHead  callScript = func(conn net.Conn) { io.WriteString(conn, platformtest.WatchHead) }
	answersError callScript = func(conn net.Conn) {
		io.WriteString(conn, platformtest.Status(http.StatusInternalServerError, ""))
	}
	closesConn callScript = func(conn net.Conn) { conn.Close() }
	// endlessMessage sends a message that never ends, in small chunks.
	endlessMessage callScript = func(conn net.Conn) {
		io.WriteString(conn, platformtest.WatchHead)
		go func() {
			for {
				if _, err := io.WriteString(conn, platformtest.Chunk("{\n")); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
)

// TestEndpointUpdateArrivesInTimeThoughCallsHang: the watch becomes unresponsive, and the calls after it fail or hang. The
// next update is still applied within the platform's limit.
func TestEndpointUpdateArrivesInTimeThoughCallsHang(t *testing.T) {
	const platformLimit = 6 * time.Second
	const oneCallMore = membership.WatchTimeout + 2*time.Second
	for name, test := range map[string]struct {
		calls  []callScript // of the calls after the watch; all later ones are answered
		within time.Duration
	}{
		"next call answered":   {within: oneCallMore},
		"no response":          {[]callScript{neverAnswers, neverAnswers, neverAnswers, neverAnswers, neverAnswers, neverAnswers}, oneCallMore},
		"head only":            {[]callScript{answersHead}, platformLimit},
		"endless message":      {[]callScript{endlessMessage}, platformLimit},
		"different faults":     {[]callScript{answersError, closesConn, neverAnswers, answersHead}, platformLimit},
		"connections that end": {[]callScript{closesConn, answersError, closesConn, answersError, closesConn}, oneCallMore},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, "r1", "w1")
			callsBefore := h.discovery.Calls()
			h.revision = 2
			h.discovery.SetFirstMessage(platformtest.IncrementalList(h.revision, h.engines[1].EntryInPhase(platformtest.Terminating)))
			h.discovery.SetScript(func(conn net.Conn, call int) (isAnswered bool) {
				i := call - callsBefore - 1
				if i >= len(test.calls) {
					return false
				}
				test.calls[i](conn)
				return true
			})
			start := time.Now()

			h.waitUntilListApplied()

			if took, limit := time.Since(start), min(platformLimit, test.within); took > limit {
				t.Errorf("the update was applied after %v, limit %v", took, limit)
			}
			h.expectOnlyLatestWatchIsRead()
		})
	}
}

// expectOnlyLatestWatchIsRead fails the test unless the server applies a message on the latest call and ignores one on the
// first call, which it has abandoned.
func (h *harness) expectOnlyLatestWatchIsRead() {
	h.Helper()
	const abandonedRevision, latestRevision = 9, 3
	h.revision = abandonedRevision
	h.discovery.SendOn(1, h.completeList()+"\n")
	h.revision = latestRevision
	h.discovery.Send(platformtest.IncrementalList(h.revision) + "\n")
	h.waitUntilListApplied()
	h.runOnLoop(func() {
		if len(h.server.discovery.pending) != 0 || h.server.discovery.watch == nil {
			h.Errorf("%d pending calls beside the watch, or no watch; want a watch alone", len(h.server.discovery.pending))
		}
	})
}

// TestServesConfiguredEndpointsWithoutDiscovery: while discovery is unreachable, a server passes health checks and serves
// with the endpoint list in its configuration.
func TestServesConfiguredEndpointsWithoutDiscovery(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	h.config["discovery"] = enginetest.UnreachableAddress(t).String()
	h.saveConfig()
	cfg, err := LoadConfig(h.getenv)
	if err != nil {
		t.Fatal(err)
	}
	server, err := New(cfg, h.server.log)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Run() }()
	withoutDiscovery := &harness{T: t, server: server, discovery: h.discovery, requestCount: 100}

	if answer := withoutDiscovery.roundTrip(healthCheck); answer.Code != http.StatusOK {
		t.Errorf("health check: answer %+v, want 200", answer)
	}
	calls := map[*watchCall]bool{}
	withoutDiscovery.waitOnLoop("calls to be replaced by later ones", func() bool {
		for _, call := range server.discovery.pending {
			calls[call] = true
		}
		if n := len(server.discovery.pending); n > membership.MaxConcurrentCalls {
			t.Errorf("%d concurrent calls, limit %d", n, membership.MaxConcurrentCalls) // Fatalf would end the loop's goroutine
		}
		return len(calls) > membership.MaxConcurrentCalls+2
	})
	if answer := withoutDiscovery.roundTrip(withoutDiscovery.chat("note")); answer.Code != http.StatusOK {
		t.Errorf("request: answer %+v, want 200", answer)
	}

	server.Shutdown()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestEngineDrainsDespiteInvalidAddressAndKind: an engine whose entry is terminating drains even if the entry's address and
// kind are invalid. It keeps its previous address and kind.
func TestEngineDrainsDespiteInvalidAddressAndKind(t *testing.T) {
	h := startHarness(t, "r1", "w1", "w1")
	engine := h.engines[1]

	h.discovery.Send(fmt.Sprintf(`{"revision":2,"complete":false,"members":[{"id":%q,"host_port":"","flavor":"?","phase":"terminating"}]}`, engine.ID) + "\n")

	h.waitOnLoop("the engine to drain", func() bool {
		member, _ := h.server.membership.Get(endpointID(engine))
		return member.State == control.Draining && member.Kind == 1 && member.Addr.String() == engine.Address()
	})
}
