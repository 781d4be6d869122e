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

// TestRetryDependsOnClassAndEngineResponse: the engine's response and the class of the request decide
// whether the request is retried at another engine, and which status its client receives.
func TestRetryDependsOnClassAndEngineResponse(t *testing.T) {
	stream := platformtest.Stream()
	for _, test := range []struct {
		name      string
		script    platformtest.Script
		ask, note int // status that the client receives for a request of this class
	}{
		{"well-behaved", platformtest.WellBehaved, 200, 200},
		{"500", platformtest.Respond(platformtest.Status(500, "")), 200, 502},
		{"503 without the rejection header", platformtest.Respond(platformtest.Status(503, "")), 200, 502},
		{"rejected", platformtest.Respond(platformtest.Status(503, platformtest.RejectedHeader)), 200, 200},
		{"KV state missing", platformtest.Respond(platformtest.Status(410, platformtest.RejectedHeader)), 200, 200},
		{"closed without a response", platformtest.RespondAndClose(""), 200, 502},
		{"malformed event", platformtest.Respond(platformtest.StreamHead + platformtest.Chunk("\x00\xff\x13 no event \n\n")), 200, 502},
		{"malformed head", platformtest.Respond("\x01\x02\r\n\r\n"), 200, 502},
		{"endless head", platformtest.Respond("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 64<<10)), 200, 502},
		{"malformed chunk size", platformtest.Respond(platformtest.StreamHead + "zz\r\n"), 200, 502},
		{"enormous chunk", platformtest.Respond(platformtest.StreamHead + "c0000000\r\n" + platformtest.FirstEvent), 200, 502},
		{"stream without events", platformtest.Respond(platformtest.StreamHead + platformtest.LastChunk), 200, 502},
		{"200 without a stream", platformtest.Respond("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi\n"), 200, 502},
		{"1xx responses first", platformtest.Respond("HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 Y\r\nLink: z\r\n\r\n" + stream), 200, 200},
		{"malformed load report", platformtest.Respond(strings.Replace(stream, "\r\n", "\r\nX-Load-Report: {{,\x01\x7f\r\n", 1)), 200, 200},
		{"second response", platformtest.Respond(stream + stream), 200, 200},
		{"400", platformtest.Respond(platformtest.Status(400, "")), 400, 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			for class, want := range map[string]int{"ask": test.ask, "note": test.note} {
				h := startHarness(t, "r1", "w1", "w1")

				h.sendUntilFirstAttemptAt(h.engines[1], test.script, class, want)

				h.waitUntilNothingOpen()
			}
		})
	}
}

// sendUntilFirstAttemptAt sends requests of a class until one reaches this engine, which responds with
// the script. It fails the test unless that request is answered with wantStatus, and each earlier one
// with wantStatus or a complete stream.
func (h *harness) sendUntilFirstAttemptAt(e *platformtest.Engine, script platformtest.Script, class string, wantStatus int) {
	h.Helper()
	e.SetScript(script)
	const maxRequests = 20 // the decision module may choose the other engine first
	for range maxRequests {
		answer := h.roundTrip(h.chat(class))
		if answer.Code != http.StatusOK && answer.Code != wantStatus || answer.Code == http.StatusOK && !answer.IsCompleteStream() {
			h.Fatalf("class %s: answered %+v", class, answer)
		}
		if e.Attempts() > 0 {
			if answer.Code != wantStatus {
				h.Errorf("class %s: answered %d, want %d", class, answer.Code, wantStatus)
			}
			return
		}
	}
	h.Errorf("class %s: the engine received none of %d requests", class, maxRequests)
}

// TestTruncatedStreamEndsConnectionAndIsNotRetried: if the engine's stream breaks after its first
// event, the client's connection is closed without the last chunk and the request is not retried.
func TestTruncatedStreamEndsConnectionAndIsNotRetried(t *testing.T) {
	for name, script := range map[string]platformtest.Script{
		"connection closed":          platformtest.RespondAndClose(platformtest.TruncatedStream()),
		"malformed chunk size":       platformtest.Respond(platformtest.TruncatedStream() + "zz\r\n"),
		"chunk longer than its size": platformtest.Respond(platformtest.TruncatedStream() + "5\r\nabcdefgh\r\n"),
		"enormous chunk":             platformtest.Respond(platformtest.TruncatedStream() + "c0000000\r\nxxx"),
	} {
		h := startHarness(t, "r1", "w1", "w1")
		h.engines[1].SetScript(script)
		h.engines[2].SetScript(script)

		answer := h.roundTrip(h.chat("ask"))

		if answer.Code != http.StatusOK || answer.IsComplete || !strings.HasPrefix(answer.Body, platformtest.FirstEvent) {
			t.Errorf("%s: answered %+v, want a truncated stream", name, answer)
		}
		if n := attemptsAt(h.engines[1:]...); n != 1 {
			t.Errorf("%s: %d attempts at decode engines, want 1", name, n)
		}
	}
}

// TestNotIdempotentRequestNeverResentAfterConnectionLoss: a request that is not idempotent and was
// written completely is neither retried nor rejected if its connection is lost, however many of its
// bytes the engine has read.
func TestNotIdempotentRequestNeverResentAfterConnectionLoss(t *testing.T) {
	for bytesRead := 1; bytesRead < 240; bytesRead += 13 { // the request has about 247 bytes
		h := startHarness(t, "r1", "w1", "w1")
		attempts := make(chan struct{}, 10)
		resetting := enginetest.Listen(t, func(conn *net.TCPConn) {
			buffer := make([]byte, bytesRead)
			if _, err := io.ReadFull(conn, buffer[:1]); err == nil && buffer[0] == 'P' { // of POST, not of a release or a health check
				attempts <- struct{}{}
				io.ReadFull(conn, buffer[1:])
			}
			enginetest.Reset(conn)
		})
		h.listAt(resetting.Addr().String(), h.engines[1:]...)

		answer := h.roundTrip(h.chat("note"))

		if answer.Code != http.StatusBadGateway || len(attempts) != 1 {
			t.Errorf("connection reset after %d bytes: answered %d, want 502; sent %d times, want 1", bytesRead, answer.Code, len(attempts))
		}
	}
}

// TestRejectedWithRetryAfterWithoutPrefillEngine: without a ready prefill engine, a request is
// rejected within 3 s and with Retry-After.
func TestRejectedWithRetryAfterWithoutPrefillEngine(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	h.notifyTerminating(h.engines[0])
	h.waitUntilListApplied()
	sentAt := time.Now()

	answer := h.roundTrip(h.chat("ask"))

	isRejected := answer.Code == http.StatusServiceUnavailable || answer.Code == http.StatusTooManyRequests
	if took := time.Since(sentAt); !isRejected || answer.Header.Get("Retry-After") == "" || took > 3*time.Second {
		t.Errorf("answered %+v after %v, want a rejection with Retry-After", answer, took)
	}
}

// TestServersInOneProcessFollowTheirOwnSettings: servers that run in one process with different
// names, idempotencies, deadlines and limits each follow their own settings.
func TestServersInOneProcessFollowTheirOwnSettings(t *testing.T) {
	for _, test := range []struct {
		hasOtherSettings bool
		class            string
		status           int // that the client receives if each decode attempt loses its connection
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
				e.SetScript(platformtest.RespondAndClose("")) // the engine may have executed the attempt
			}

			answer := h.roundTrip(h.chat(test.class))

			if n := attemptsAt(h.engines[1:]...); answer.Code != test.status || n != test.decodeAttempts {
				t.Errorf("answered %d %s after %d decode attempts, want %d after %d", answer.Code, answer.Body, n, test.status, test.decodeAttempts)
			}
		})
	}
	t.Run("limit of open requests", func(t *testing.T) {
		for maxOpen, h := range map[int]*harness{1000: startHarness(t, "r1", "w1"), 1: startHarnessWith(t, otherSettings(t), "x9", "y9")} {
			released := make(chan struct{})
			h.engines[0].SetScript(platformtest.RespondAfter(released))
			class := map[int]string{1000: "ask", 1: "wave"}[maxOpen]
			first := h.send(h.chat(class))
			h.waitForAttempts(1, h.engines[0])

			second := h.send(h.chat(class))

			if maxOpen == 1 {
				if answer := readAnswer(second); answer.Code != http.StatusServiceUnavailable {
					t.Errorf("second request, with a limit of one open request: answered %d, want 503", answer.Code)
				}
			} else {
				h.waitOnLoop("both requests to be open", func() bool { return len(h.server.exchanges.ByID) == 2 })
			}
			close(released)
			if answer := readAnswer(first); answer.Code != http.StatusOK {
				t.Errorf("class %s: answered %d %s, want 200", class, answer.Code, answer.Body)
			}
		}
	})
}

// otherSettings returns testSettings with other names, idempotencies, deadlines and limits.
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
			t.Fatalf("testSettings does not contain %s", edit[0])
		}
		settings = strings.Replace(settings, edit[0], edit[1], 1)
	}
	return settings
}
