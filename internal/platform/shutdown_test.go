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

// endAcceptWindow makes the accept window of a shutdown in progress end now.
func (h *harness) endAcceptWindow() {
	h.Helper()
	h.runOnLoop(func() {
		h.server.loop.StopTimer(&h.server.shutdown.timer)
		h.server.shutdown.timer.Fire()
	})
}

// TestShutdownAnswersRequestsOfTheAcceptWindow: requests accepted before the shutdown and in its accept window are
// answered, while health checks fail. Then Run returns.
func TestShutdownAnswersRequestsOfTheAcceptWindow(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	released := make(chan struct{})
	h.engines[1].SetScript(platformtest.RespondAfter(released))
	early := h.send(h.chat("ask"))
	h.waitForAttempts(1, h.engines[1])

	h.shutDown()
	late := h.send(h.chat("note"))
	if answer := h.roundTrip(healthCheck); answer.Code != http.StatusServiceUnavailable {
		t.Errorf("health check: answer %+v, want 503", answer)
	}
	h.waitForAttempts(2, h.engines[1])
	close(released)

	for _, client := range []net.Conn{early, late} {
		h.expectServed(readAnswer(client))
	}
	h.expectFinished()
}

// TestBacklogIsAnsweredAtShutdown: requests on connections that are in the kernel's accept queue when the listener closes
// are answered 503 and not forwarded.
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
			t.Errorf("client %d: answer %+v, want 503 with Retry-After", i, answer)
		}
	}
	h.expectAttempts(0, 0)
	h.expectFinished()
}

// TestShutdownFinishesStreamsAndRejectsLateRequests: a stream in progress at a shutdown is forwarded to its end. A request
// pipelined after it is rejected without an attempt. An incomplete request is served if its rest arrives in the accept
// window, and rejected without an attempt if its rest arrives later.
func TestShutdownFinishesStreamsAndRejectsLateRequests(t *testing.T) {
	const restBytes = 10 // of an incomplete request, sent later
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
		t.Errorf("request completed in the accept window: answered %d %q, want 200", answer.Code, answer.Body)
	}
	h.endAcceptWindow()
	io.WriteString(late, lateText[len(lateText)-restBytes:])
	if answer := readAnswer(late); answer.Code != http.StatusServiceUnavailable {
		t.Errorf("request completed after the accept window: answered %d %q, want 503", answer.Code, answer.Body)
	}
	close(released)

	reader := bufio.NewReader(streaming)
	h.expectServed(platformtest.ReadAnswer(reader))
	// The head of the stream was sent before the shutdown, without Connection: close, so the next request needs an answer.
	if answer := platformtest.ReadAnswer(reader); answer.Code != http.StatusServiceUnavailable {
		t.Errorf("request pipelined after the stream: answer %+v, want 503", answer)
	}
	h.expectAttempts(2, 2)
	h.expectFinished()
}

// busyClientConns returns how many client connections are not idle. It runs on the loop.
func (h *harness) busyClientConns() (count int) {
	for c := range h.server.clients.All() {
		if c.State() != httpserver.Idle {
			count++
		}
	}
	return count
}

// TestQueuedRequestIsAnsweredAtShutdown: a request that waits for capacity when a shutdown starts is answered.
func TestQueuedRequestIsAnsweredAtShutdown(t *testing.T) {
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
	queued := h.send(h.chat("note"))
	h.waitOnLoop("both requests to be open", func() bool { return len(h.server.exchanges.ByID) == 2 })
	if n := h.engines[0].Attempts(); n != 1 {
		t.Fatalf("%d prefill attempts, want 1: the second request must wait", n)
	}

	h.shutDown()
	h.endAcceptWindow()
	close(released)

	if answer := readAnswer(served); answer.Code != http.StatusOK {
		t.Errorf("request in decode: answered %d %q, want 200", answer.Code, answer.Body)
	}
	if answer := readAnswer(queued); answer.Code != http.StatusOK && answer.Code != http.StatusServiceUnavailable {
		t.Errorf("queued request: answer %+v, want 200 or 503", answer)
	}
	h.expectFinished()
}

// limitDecodeMemory replaces the decision module by a new one that assumes this much memory at each decode engine.
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
