package platform

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"martenlock/control"
	"martenlock/internal/httpserver"
	"martenlock/internal/platform/platformtest"
)

// endAcceptWindow ends the accept window of a shutdown in progress.
func (h *harness) endAcceptWindow() {
	h.Helper()
	h.runOnLoop(func() {
		h.server.loop.StopTimer(&h.server.shutdown.timer)
		h.server.shutdown.timer.Fire()
	})
}

// TestShutdownAnswersRequestsOfTheAcceptWindow: requests accepted before SIGTERM and in the
// accept window are answered, then Run returns.
func TestShutdownAnswersRequestsOfTheAcceptWindow(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	released := make(chan struct{})
	h.engines[1].SetScript(platformtest.RespondAfter(released))
	early := h.send(h.chat("ask"))
	h.waitForAttempts(1, h.engines[1])

	h.shutDown()
	late := h.send(h.chat("note"))
	if answer := h.roundTrip(healthCheck); answer.Code != http.StatusServiceUnavailable {
		t.Error(answer)
	}
	h.waitForAttempts(2, h.engines[1])
	close(released)

	for _, client := range []net.Conn{early, late} {
		h.expectServed(readAnswer(client))
	}
	h.expectFinished()
}

// TestBacklogIsAnsweredAtShutdown: connections in the kernel's backlog when the listener closes
// get an answer, and none of their requests is forwarded.
func TestBacklogIsAnsweredAtShutdown(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	h.shutDown()

	var clients []net.Conn
	h.runOnLoop(func() {
		h.server.loop.StopTimer(&h.server.shutdown.timer)
		for range 5 {
			client := h.dial()
			writeForNextIteration(t, client, h.chat("note"))
			clients = append(clients, client)
		}
		h.server.shutdown.timer.Fire()
	})

	for i, client := range clients {
		if answer := readAnswer(client); answer.Code != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
			t.Errorf("client %d: %+v", i, answer)
		}
	}
	h.expectAttempts(0, 0)
	h.expectFinished()
}

// TestShutdownFinishesStreamsAndRejectsLateRequests: at SIGTERM a stream is forwarded to its
// end, and a request pipelined behind it is rejected unsent; one that is half received is served
// where the rest arrives within the accept window, and rejected unsent where it arrives later.
func TestShutdownFinishesStreamsAndRejectsLateRequests(t *testing.T) {
	const restBytes = 10
	h := startHarness(t, "r1", "w1")
	released := make(chan struct{})
	h.engines[1].SetScript(platformtest.ForAttempts(func(r *platformtest.Request) bool {
		if r.ID != "c1" {
			return platformtest.WellBehaved(r)
		}
		r.Write(platformtest.TruncatedStream())
		<-released
		return r.Write(platformtest.Chunk(platformtest.LastToken) + platformtest.Chunk(platformtest.DoneEvent) + platformtest.LastChunk)
	}))
	streaming := h.send(h.chat("note") + h.chat("note"))
	earlyText, lateText := h.chat("note"), h.chat("note")
	early, late := h.send(earlyText[:len(earlyText)-restBytes]), h.send(lateText[:len(lateText)-restBytes])
	h.waitForAttempts(1, h.engines[1])
	h.waitOnLoop("three requests to begin", func() bool { return h.busyClientConns() == 3 })

	h.shutDown()
	io.WriteString(early, earlyText[len(earlyText)-restBytes:])
	if answer := readAnswer(early); answer.Code != http.StatusOK {
		t.Errorf("in the accept window: %d %s", answer.Code, answer.Body)
	}
	h.endAcceptWindow()
	io.WriteString(late, lateText[len(lateText)-restBytes:])
	if answer := readAnswer(late); answer.Code != http.StatusServiceUnavailable {
		t.Errorf("after the accept window: %d %s", answer.Code, answer.Body)
	}
	close(released)

	reader := bufio.NewReader(streaming)
	h.expectServed(platformtest.ReadAnswer(reader))
	if answer := platformtest.ReadAnswer(reader); answer.Code != http.StatusServiceUnavailable { // the stream's head promised that the connection stays open
		t.Errorf("the request behind the stream: %+v", answer)
	}
	h.expectAttempts(2, 2)
	h.expectFinished()
}

// busyClientConns returns how many client connections have begun a request. It runs on the loop.
func (h *harness) busyClientConns() (count int) {
	for c := range h.server.clients.All() {
		if c.State() != httpserver.Idle {
			count++
		}
	}
	return count
}

// TestParkedRequestIsAnsweredAtShutdown: a request that waits for capacity at a shutdown gets
// its answer.
func TestParkedRequestIsAnsweredAtShutdown(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	released := make(chan struct{})
	h.engines[1].SetScript(func(r *platformtest.Request) bool {
		if r.ID == "c1" {
			return platformtest.RespondAfter(released)(r)
		}
		return platformtest.WellBehaved(r)
	})
	h.limitDecodeMemory(700) // tokens: capacity for one request
	served := h.send(h.chat("note"))
	h.waitForAttempts(1, h.engines[1])
	parked := h.send(h.chat("note"))
	h.waitOnLoop("both requests to be open", func() bool { return len(h.server.exchanges.ByID) == 2 })
	if n := h.engines[0].Attempts(); n != 1 {
		t.Fatalf("%d prefill attempts: the second request is not parked", n)
	}

	h.shutDown()
	h.endAcceptWindow()
	close(released)

	if answer := readAnswer(served); answer.Code != http.StatusOK {
		t.Errorf("the request in decode: %d %s", answer.Code, answer.Body)
	}
	if answer := readAnswer(parked); answer.Code != http.StatusOK && answer.Code != http.StatusServiceUnavailable {
		t.Errorf("the parked request: %+v", answer)
	}
	h.expectFinished()
}

// limitDecodeMemory replaces the decision module by one whose decode engines have this memory, in tokens.
func (h *harness) limitDecodeMemory(tokens control.Tokens) {
	h.Helper()
	h.runOnLoop(func() {
		settings := h.server.config.Settings.Control
		settings.Engines.Kinds = []control.EngineKind{{Role: control.RolePrefill}, {Role: control.RoleDecode, MemoryTokens: tokens}}
		h.server.mailbox.Router = control.New(settings, h.server.now())
		update := control.EndpointUpdate{Full: true}
		for _, e := range h.engines {
			member, _ := h.server.membership.Get(endpointID(e))
			update.Endpoints = append(update.Endpoints, member.Endpoint)
		}
		h.server.push(update)
	})
}
