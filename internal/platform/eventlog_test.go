package platform

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"martenlock/internal/platform/platformtest"
)

// expectLogged fails the test unless a line with this message has these fields.
func (h *harness) expectLogged(message string, want map[string]any) {
	h.Helper()
	lines := h.log.lines(message)
	for _, line := range lines {
		matches := true
		for field, value := range want {
			matches = matches && fmt.Sprint(line[field]) == fmt.Sprint(value)
		}
		if matches {
			return
		}
	}
	h.Errorf("no line %q has the fields %v; lines with this message: %v", message, want, lines)
}

// TestTimelineOfAFailedRequestIsLogged: the log has the failed attempt with its engine and result, the request's
// outcome with the reason why there was no retry, and the release of its KV state.
func TestTimelineOfAFailedRequestIsLogged(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	h.engines[1].SetScript(platformtest.RespondAndClose(""))

	answer := h.roundTrip(h.chat("note"))
	h.waitFor("the KV release", func() bool { return len(h.log.lines("KV released")) > 0 })

	if answer.Code != http.StatusBadGateway {
		t.Errorf("answered %d, want 502", answer.Code)
	}
	h.expectLogged("attempt ended", map[string]any{
		"request_id": "c1", "attempt": 1, "endpoint_name": "s-1",
		"role": "decode", "result": "reset", "written": true,
	})
	h.expectLogged("request ended", map[string]any{"request_id": "c1", "outcome": "failed", "reason": "not_repeatable", "attempts": 2})
	h.expectLogged("KV release enqueued", map[string]any{"request_id": "c1", "reason": "request_finished"})
	h.expectLogged("KV released", map[string]any{"request_id": "c1"})
}

// TestTimelineOfARetryIsLogged: the line about a retry has the result of the previous attempt, and the line about a
// rejected request has the reason.
func TestTimelineOfARetryIsLogged(t *testing.T) {
	h := startHarness(t, "r1", "w1", "w1")
	for _, e := range h.engines[1:] {
		e.SetScript(platformtest.Respond(platformtest.Status(500, "")))
	}

	answer := h.roundTrip(h.chat("ask"))

	if answer.Code != http.StatusServiceUnavailable {
		t.Errorf("answered %d, want 503", answer.Code)
	}
	h.expectLogged("attempt ended", map[string]any{"request_id": "c1", "attempt": 1, "result": "failed", "status": 500})
	h.expectLogged("request retried", map[string]any{"request_id": "c1", "attempt": 2, "reason": "failed"})
	h.expectLogged("request ended", map[string]any{"request_id": "c1", "outcome": "rejected", "reason": "out_of_attempts"})
}

// TestReasonOfACloseIsLogged: the log has the reason why the server closed a client's connection.
func TestReasonOfACloseIsLogged(t *testing.T) {
	h := startHarness(t, "r1", "w1")

	answer := h.roundTrip("GET / HTTP/3.7\r\n\r\n")

	if answer.Code < 400 {
		t.Errorf("answered %d, want 400 or above", answer.Code)
	}
	lines := h.log.lines("client connection closed")
	if len(lines) != 1 || lines[0]["reason"] == "" {
		t.Errorf("lines about closed connections: %v, want one with a reason", lines)
	}
}

// TestUseOfAnEngineConnectionIsLogged: the request trace has the connection of each response. The line about a connection
// that is closed because of stray bytes has the same number, the requests that it has carried and how long it was idle.
func TestUseOfAnEngineConnectionIsLogged(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	h.runOnLoop(func() { h.server.startTrace(traceLevelRequests) })
	sendStray := make(chan struct{})
	h.engines[1].SetScript(platformtest.ForAttempts(func(r *platformtest.Request) bool {
		r.Write(platformtest.Stream())
		<-sendStray
		return r.Write(platformtest.Stream())
	}))

	h.roundTrip(h.chat("ask"))
	close(sendStray)
	h.waitFor("the connection to be closed", func() bool { return len(h.log.lines("engine connection closed")) > 0 })

	h.expectLogged("response trace", map[string]any{
		"call_id": "c1", "attempt": 1, "endpoint_name": "s-1", "status": 200, "connection": 1, "requests": 1, "idle_ms": 0,
	})
	h.expectLogged("engine connection closed", map[string]any{
		"endpoint_name": "s-1", "reason": "stray_bytes", "connection": 1, "requests": 1,
	})
	closed := h.log.lines("engine connection closed")[0]
	if idle, isNumber := closed["idle_ms"].(float64); !isNumber || idle < 0 {
		t.Errorf("idle_ms is %v, want the time since the response", closed["idle_ms"])
	}
}

// TestEventLogIsBounded: a flood of one kind of line is limited to the burst and then to the rate, the number of suppressed
// lines is reported, and lines of the other kind are not suppressed.
func TestEventLogIsBounded(t *testing.T) {
	var written logBuffer
	now := time.Second
	events := newEventLog(zerolog.New(&written), func() time.Duration { return now })

	for range 10 * eventLineBurst {
		events.requestLine().Msg("request")
	}
	if n := len(written.lines("request")); n != eventLineBurst {
		t.Errorf("%d lines logged at once, want %d", n, eventLineBurst)
	}

	events.connLine().Msg("connection")
	lines := written.lines("connection")
	if len(lines) != 1 || lines[0]["lines_suppressed"] != float64(9*eventLineBurst) {
		t.Errorf("lines of the other kind: %v, want one with %d lines_suppressed", lines, 9*eventLineBurst)
	}

	const seconds = 10
	before := len(written.lines("request"))
	for range seconds * 1000 {
		now += time.Millisecond
		events.requestLine().Msg("request")
	}
	if n := len(written.lines("request")) - before; n < seconds*eventLinesPerSecond-1 || n > seconds*eventLinesPerSecond+1 {
		t.Errorf("%d lines logged in %d s of a flood, want %d", n, seconds, seconds*eventLinesPerSecond)
	}
}
