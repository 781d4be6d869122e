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

// TestEndpointChangesApplyInTheIterationOfTheirArrival: changes apply in the iteration in which
// they arrive, however they are cut; outdated lists change nothing; malformed messages and the end of a watch lead to a
// new watch from the last revision.
func TestEndpointChangesApplyInTheIterationOfTheirArrival(t *testing.T) {
	h := startHarness(t, "r1", "w1", "w1")
	draining, other := h.engines[1], h.engines[2]
	callsBefore := h.discovery.Calls()

	// An engine drains by a message in two pieces.
	h.revision = 5
	message := platformtest.IncrementalList(h.revision, draining.EntryInPhase(platformtest.Terminating)) + "\n\n"
	h.discovery.Send(message[:40])
	h.discovery.Send(message[40:])
	h.waitOnLoop("the engine to drain", func() bool { return h.stateOf(draining) == control.Draining })
	for range 8 {
		if answer := h.roundTrip(h.chat("ask")); answer.Code != http.StatusOK {
			t.Fatal(answer)
		}
	}
	if n := draining.Attempts(); n != 0 {
		t.Errorf("%d attempts at a draining engine", n)
	}

	// An outdated list changes nothing, and unusable entries leave the others alone.
	h.discovery.Send(strings.Replace(h.completeList(), `"revision":5`, `"revision":2`, 1) + "\n")
	h.revision = 6
	h.discovery.Send(`{"revision":6,"complete":false,"members":[{"id":"s-9","host_port":"nowhere","flavor":"w1","phase":"in_service"},{"id":"s-8","host_port":"127.0.0.1:1","flavor":"odd","phase":"in_service"}]}` + "\n")
	h.waitUntilListApplied()
	h.waitOnLoop("the engine still to drain", func() bool { return h.stateOf(draining) == control.Draining })
	h.waitOnLoop("three engines", func() bool { return h.server.membership.Len() == 3 })

	// A malformed message, and the end of a watch, lead to a new one from the last revision.
	h.discovery.Send("%%% no JSON\n")
	h.waitFor("a new watch", func() bool { return h.discovery.Calls() == callsBefore+1 })
	if since := h.discovery.Since(callsBefore + 1); since != "6" {
		t.Errorf("watch from revision %s", since)
	}
	h.discovery.CloseCalls()
	h.waitFor("another watch", func() bool { return h.discovery.Calls() == callsBefore+2 })

	// Engines leave the list, and one returns.
	h.notifyChange(draining.EntryInPhase(platformtest.Terminated), other.EntryInPhase(platformtest.Terminated))
	h.waitOnLoop("the engines to be gone", func() bool { return h.server.membership.Len() == 1 && len(h.server.endpoints.byID) == 1 })
	restarted := other.Entry()
	restarted.UpSinceMillis = time.Now().UnixMilli()
	h.notifyChange(restarted)
	h.waitOnLoop("an engine to be back", func() bool { return h.stateOf(other) == control.Ready })
}

// TestWatchReadsIndentedListInPieces: a list over many lines, in pieces, is applied, and
// the watch goes on.
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
		t.Errorf("%d calls, %d before the lists", n, callsBefore)
	}
}

// TestRepeatedListKeepsIdleConnections: a repeated list does not make engines look
// restarted.
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
		t.Fatal(answer)
	}

	var startedBefore map[control.EndpointID]control.Time
	for i := range 200 {
		sendList()

		h.runOnLoop(func() {
			startedAt := map[control.EndpointID]control.Time{}
			for id, e := range h.server.endpoints.byID {
				startedAt[id] = e.startedAt
				if e.Idle() != 1 {
					t.Errorf("%d idle connections after list %d", e.Idle(), i)
				}
			}
			if startedBefore != nil && fmt.Sprint(startedAt) != fmt.Sprint(startedBefore) {
				t.Errorf("started at %v, then at %v", startedBefore, startedAt)
			}
			startedBefore = startedAt
		})
		if t.Failed() {
			return
		}
	}
}

// callScript answers a call of discovery.
type callScript func(net.Conn)

// The ways in which a call of discovery fails.
var (
	neverAnswers   callScript = func(net.Conn) {}
	onlyAnswerHead callScript = func(conn net.Conn) { io.WriteString(conn, platformtest.WatchHead) }
	answersError   callScript = func(conn net.Conn) {
		io.WriteString(conn, platformtest.Status(http.StatusInternalServerError, ""))
	}
	closesConn callScript = func(conn net.Conn) { conn.Close() }
	// endlessMessage sends half a message, a byte at a time for ever.
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

// TestEndpointUpdateArrivesInTimeThoughCallsHang: an update arrives in time although the watch becomes
// unresponsive, or half a message arrives a byte at a time for ever, and the next
// calls hang before or after their heads.
func TestEndpointUpdateArrivesInTimeThoughCallsHang(t *testing.T) {
	const notifiedWithin = 6 * time.Second
	const oneCallMore = membership.WatchTimeout + 2*time.Second
	for name, test := range map[string]struct {
		calls  []callScript // that follow the watch; then calls are answered
		within time.Duration
	}{
		"at once": {within: oneCallMore},
		"hang":    {[]callScript{neverAnswers, neverAnswers, neverAnswers, neverAnswers, neverAnswers, neverAnswers}, oneCallMore},
		"head":    {[]callScript{onlyAnswerHead}, notifiedWithin},
		"half":    {[]callScript{endlessMessage}, notifiedWithin},
		"mixed":   {[]callScript{answersError, closesConn, neverAnswers, onlyAnswerHead}, notifiedWithin},
		"ends":    {[]callScript{closesConn, answersError, closesConn, answersError, closesConn}, oneCallMore},
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
			since := time.Now()

			h.waitUntilListApplied()

			if took := time.Since(since); took > min(notifiedWithin, test.within) {
				t.Errorf("the update arrived after %v", took)
			}
			h.expectOnlyLatestWatchIsRead()
		})
	}
}

// expectOnlyLatestWatchIsRead fails the test unless the server applies what the latest watch brings and nothing that an
// abandoned one brings later.
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
			h.Error("more than one watch")
		}
	})
}

// TestServesConfiguredEndpointsWithoutDiscovery: a server is ready with the endpoint list in its
// configuration, and serves, while discovery is unresponsive.
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
		t.Error(answer)
	}
	calls := map[*watchCall]bool{}
	withoutDiscovery.waitOnLoop("calls to make way for later ones", func() bool {
		for _, call := range server.discovery.pending {
			calls[call] = true
		}
		if n := len(server.discovery.pending); n > membership.MaxConcurrentCalls {
			t.Errorf("%d calls at once", n) // on the loop, which a Fatalf would end
		}
		return len(calls) > membership.MaxConcurrentCalls+2
	})
	if answer := withoutDiscovery.roundTrip(withoutDiscovery.chat("note")); answer.Code != http.StatusOK {
		t.Error(answer)
	}

	server.Shutdown()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestEngineDrainsThoughRestOfEntryIsUnusable: the end of an engine counts by itself.
func TestEngineDrainsThoughRestOfEntryIsUnusable(t *testing.T) {
	h := startHarness(t, "r1", "w1", "w1")
	engine := h.engines[1]

	h.discovery.Send(fmt.Sprintf(`{"revision":2,"complete":false,"members":[{"id":%q,"host_port":"","flavor":"?","phase":"terminating"}]}`, engine.ID) + "\n")

	h.waitOnLoop("the engine to drain", func() bool {
		member, _ := h.server.membership.Get(endpointID(engine))
		return member.State == control.Draining && member.Kind == 1 && member.Addr.String() == engine.Address()
	})
}
