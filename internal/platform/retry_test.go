package platform

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"martenlock/internal/enginetest"
	"martenlock/internal/platform/platformtest"
)

// TestRetryFollowsClassAndEngineResponse: what an engine answers, and the class of the request,
// decide whether it is retried at another engine, and what its client gets.
func TestRetryFollowsClassAndEngineResponse(t *testing.T) {
	stream := platformtest.Stream()
	for _, test := range []struct {
		name      string
		script    platformtest.Script
		ask, note int // the client's status for a request of this class
	}{
		{"well", platformtest.WellBehaved, 200, 200},
		{"error", platformtest.Respond(platformtest.Status(500, "")), 200, 502},
		{"503 without the rejection header", platformtest.Respond(platformtest.Status(503, "")), 200, 502},
		{"rejected", platformtest.Respond(platformtest.Status(503, platformtest.RejectedHeader)), 200, 200},
		{"KV state missing", platformtest.Respond(platformtest.Status(410, platformtest.RejectedHeader)), 200, 200},
		{"reset", platformtest.RespondAndClose(""), 200, 502},
		{"malformed event", platformtest.Respond(platformtest.StreamHead + platformtest.Chunk("\x00\xff\x13 no event \n\n")), 200, 502},
		{"no head", platformtest.Respond("\x01\x02\r\n\r\n"), 200, 502},
		{"endless head", platformtest.Respond("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 64<<10)), 200, 502},
		{"bad chunk", platformtest.Respond(platformtest.StreamHead + "zz\r\n"), 200, 502},
		{"enormous chunk", platformtest.Respond(platformtest.StreamHead + "c0000000\r\n" + platformtest.FirstEvent), 200, 502},
		{"stream of nothing", platformtest.Respond(platformtest.StreamHead + platformtest.LastChunk), 200, 502},
		{"no stream", platformtest.Respond("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi\n"), 200, 502},
		{"1xx ahead", platformtest.Respond("HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 Y\r\nLink: z\r\n\r\n" + stream), 200, 200},
		{"malformed load report", platformtest.Respond(strings.Replace(stream, "\r\n", "\r\nX-Load-Report: {{,\x01\x7f\r\n", 1)), 200, 200},
		{"a second response behind", platformtest.Respond(stream + stream), 200, 200},
		{"client error", platformtest.Respond(platformtest.Status(400, "")), 400, 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			for class, want := range map[string]int{"ask": test.ask, "note": test.note} {
				h := startHarness(t, "r1", "w1", "w1")

				h.untilFirstAttemptAt(h.engines[1], test.script, class, want)

				h.waitUntilNothingOpen()
			}
		})
	}
}

// untilFirstAttemptAt sends requests of a class until one of them has an attempt at this engine, which answers by the script,
// and checks the status of its answer. All answers are checked to be served completely, or to have that status.
func (h *harness) untilFirstAttemptAt(e *platformtest.Engine, script platformtest.Script, class string, wantStatus int) {
	h.Helper()
	e.SetScript(script)
	const maxRequests = 20 // the decision module may choose the other engine first
	for range maxRequests {
		answer := h.roundTrip(h.chat(class))
		if answer.Code != http.StatusOK && answer.Code != wantStatus || answer.Code == http.StatusOK && !answer.IsCompleteStream() {
			h.Fatalf("%s: %+v", class, answer)
		}
		if e.Attempts() > 0 {
			if answer.Code != wantStatus {
				h.Errorf("%s: %d, want %d", class, answer.Code, wantStatus)
			}
			return
		}
	}
	h.Errorf("%s: no attempt at the engine", class)
}

// TestTruncatedStreamEndsConnectionAndIsNotRetried: a stream that breaks after its first event
// ends its client's connection without the last chunk, and the request is not sent again.
func TestTruncatedStreamEndsConnectionAndIsNotRetried(t *testing.T) {
	for name, script := range map[string]platformtest.Script{
		"connection closed":  platformtest.RespondAndClose(platformtest.TruncatedStream()),
		"bad chunk":          platformtest.Respond(platformtest.TruncatedStream() + "zz\r\n"),
		"chunk over its end": platformtest.Respond(platformtest.TruncatedStream() + "5\r\nabcdefgh\r\n"),
		"enormous chunk":     platformtest.Respond(platformtest.TruncatedStream() + "c0000000\r\nxxx"),
	} {
		h := startHarness(t, "r1", "w1", "w1")
		h.engines[1].SetScript(script)
		h.engines[2].SetScript(script)

		answer := h.roundTrip(h.chat("ask"))

		if answer.Code != http.StatusOK || answer.IsComplete || !strings.HasPrefix(answer.Body, platformtest.FirstEvent) {
			t.Errorf("%s: %+v", name, answer)
		}
		if n := attemptsAt(h.engines[1:]...); n != 1 {
			t.Errorf("%s: %d attempts at decode engines", name, n)
		}
	}
}

// TestNotIdempotentRequestNeverResentAfterConnectionLoss: a request that is not idempotent,
// whose connection ends after any number of its bytes was read, is neither sent again nor
// rejected once its last byte has left.
func TestNotIdempotentRequestNeverResentAfterConnectionLoss(t *testing.T) {
	for bytesRead := 1; bytesRead < 240; bytesRead += 13 { // the request has some 247
		h := startHarness(t, "r1", "w1", "w1")
		attempts := make(chan struct{}, 10)
		resetting := enginetest.Listen(t, func(conn *net.TCPConn) {
			buffer := make([]byte, bytesRead)
			if _, err := io.ReadFull(conn, buffer[:1]); err == nil && buffer[0] == 'P' { // of POST: no release or health check
				attempts <- struct{}{}
				io.ReadFull(conn, buffer[1:])
			}
			enginetest.Reset(conn)
		})
		h.listAt(resetting.Addr().String(), h.engines[1:]...)

		answer := h.roundTrip(h.chat("note"))

		if answer.Code != http.StatusBadGateway || len(attempts) != 1 {
			t.Errorf("after %d bytes: %d, sent %d times", bytesRead, answer.Code, len(attempts))
		}
	}
}

// TestRejectedWithRetryAfterWithoutPrefillEngine: a request that no engine can take is rejected
// at once, with a Retry-After.
func TestRejectedWithRetryAfterWithoutPrefillEngine(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	h.notifyTerminating(h.engines[0])
	h.waitUntilListApplied()
	sentAt := time.Now()

	answer := h.roundTrip(h.chat("ask"))

	isRejected := answer.Code == http.StatusServiceUnavailable || answer.Code == http.StatusTooManyRequests
	if took := time.Since(sentAt); !isRejected || answer.Header.Get("Retry-After") == "" || took > 3*time.Second {
		t.Errorf("%+v after %v", answer, took)
	}
}

// TestServersInOneProcessActByTheirOwnSettings: servers in one process, with other names,
// idempotencies, deadlines and limits, each act by their own settings at the same time.
func TestServersInOneProcessActByTheirOwnSettings(t *testing.T) {
	for _, test := range []struct {
		hasOtherSettings bool
		class            string
		status           int // where each decode attempt breaks off: idempotent requests are retried, others not
		decodeAttempts   int
	}{
		{false, "ask", 503, 4},
		{false, "note", 502, 1},
		{true, "tide", 502, 1},
		{true, "wave", 503, 1},
		{false, "tide", 400, 0},
		{true, "ask", 400, 0},
	} {
		t.Run(test.class, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, "r1", "w1", "w1", "w1", "w1")
			if test.hasOtherSettings {
				h = startHarnessWith(t, otherSettings(t), "x9", "y9", "y9", "y9", "y9")
			}
			for _, e := range h.engines[1:] {
				e.SetScript(platformtest.RespondAndClose("")) // it may have been executed
			}

			answer := h.roundTrip(h.chat(test.class))

			if n := attemptsAt(h.engines[1:]...); answer.Code != test.status || n != test.decodeAttempts {
				t.Errorf("%d %s after %d decode attempts", answer.Code, answer.Body, n)
			}
		})
	}
	t.Run("held", func(t *testing.T) { // how many requests a router may have open
		for maxOpen, h := range map[int]*harness{1000: startHarness(t, "r1", "w1"), 1: startHarnessWith(t, otherSettings(t), "x9", "y9")} {
			released := make(chan struct{})
			h.engines[0].SetScript(platformtest.RespondAfter(released))
			class := map[int]string{1000: "ask", 1: "wave"}[maxOpen]
			first := h.send(h.chat(class))
			h.waitForAttempts(1, h.engines[0])

			second := h.send(h.chat(class))

			if maxOpen == 1 {
				if answer := readAnswer(second); answer.Code != http.StatusServiceUnavailable {
					t.Errorf("a second request where one may be open: %d", answer.Code)
				}
			} else {
				h.waitOnLoop("both requests to be open", func() bool { return len(h.server.exchanges.ByID) == 2 })
			}
			close(released)
			if answer := readAnswer(first); answer.Code != http.StatusOK {
				t.Errorf("%s: %d %s", class, answer.Code, answer.Body)
			}
		}
	})
}

// otherSettings differ from testSettings in names, idempotencies, deadlines and limits.
func otherSettings(t *testing.T) string {
	t.Helper()
	settings := testSettings
	for _, edit := range [][2]string{
		{`"ask"`, `"tide"`},
		{`"note"`, `"wave"`},
		{`"r1"`, `"x9"`},
		{`"w1"`, `"y9"`},
		{`"Zones":["a","b"]`, `"Zones":["q"]`},
		{`"DeadlineUs":4000000,"Effect":"idempotent"`, `"DeadlineUs":900000,"Effect":"at_most_once"`},
		{`"Effect":"at_most_once","LateWorth":0.2`, `"Effect":"idempotent","LateWorth":0.2`},
		{`"PinLimitUs":500000`, `"PinLimitUs":200000`},
		{`"AttemptsCap":5`, `"AttemptsCap":2`},
		{`"MostHeld":1000`, `"MostHeld":1`},
	} {
		if !strings.Contains(settings, edit[0]) {
			t.Fatalf("no %s in the settings", edit[0])
		}
		settings = strings.Replace(settings, edit[0], edit[1], 1)
	}
	return settings
}
