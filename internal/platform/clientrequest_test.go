package platform

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"martenlock/internal/http1"
	"martenlock/internal/platform/platformtest"
)

// TestMalformedRequestsNeverReachEngines: a malformed or incomplete request is answered with an
// error, or its connection is closed, within 3 s. No engine receives any part of it, and other
// clients are served.
func TestMalformedRequestsNeverReachEngines(t *testing.T) {
	const maxDelay = 3 * time.Second
	h := startHarness(t, "r1", "w1")
	for name, text := range h.malformedRequests() {
		sentAt := time.Now()
		answer := h.roundTrip(text)

		isErrorAnswer := answer.Code >= 400 && answer.Code != http.StatusTooManyRequests && answer.Code != http.StatusServiceUnavailable
		if took := time.Since(sentAt); took > maxDelay || answer.Code != 0 && !isErrorAnswer {
			t.Errorf("%s: answered %+v after %v, limit %v", name, answer, took, maxDelay)
		}
	}

	h.expectAttempts(0, 0)
	h.expectServed(h.roundTrip(h.chat("ask")))
	h.waitUntilNothingOpen()
}

// malformedRequests returns malformed and incomplete requests. The keys describe their faults.
func (h *harness) malformedRequests() map[string]string {
	const post = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
	smuggled := post + "X-Call-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	return map[string]string{
		"not HTTP":            "\x00\x01\x02\xff\r\n\r\n",
		"no id":               h.chat("ask", "X-Call-Id: c1\r\n", ""),
		"two ids":             h.chat("ask", "X-Call-Id:", "X-Call-Id: other\r\nX-Call-Id:"),
		"id with a slash":     h.chat("ask", "X-Call-Id: ", "X-Call-Id: ../../x"),
		"no class":            h.chat("ask", "X-Call-Class: ask\r\n", ""),
		"unknown class":       h.chat("poem"),
		"no budget":           h.chat("ask", "X-Budget: 4000m\r\n", ""),
		"budget not numeric":  h.chat("ask", "4000m", "soon"),
		"budget without unit": h.chat("ask", "4000m", "4000"),
		"negative budget":     h.chat("ask", "4000m", "-4000m"),
		"budget of zero":      h.chat("ask", "4000m", "0m"),
		"budget NaN":          h.chat("ask", "4000m", "NaNm"),
		"huge budget":         h.chat("ask", "4000m", "1"+strings.Repeat("0", 30)+"m"),
		"negative prompt":     h.chat("ask", "prompt_len=512", "prompt_len=-512"),
		"prefix over prompt":  h.chat("ask", "prefix_len=204", "prefix_len=2040"),
		"negative length":     post + "Content-Length: -5\r\n\r\n",
		"huge length":         post + "Content-Length: 99999999999999999999999\r\n\r\n",
		"body too long":       post + "Content-Length: 60000000\r\n\r\n" + strings.Repeat("x", 3<<20),
		"endless head":        post + "A: " + strings.Repeat("y", 1<<20),
		"two lengths":         h.chat("ask", "Content-Length:", "Transfer-Encoding: chunked\r\nContent-Length:") + smuggled,
		"HTTP/1.0":            h.chat("ask", "HTTP/1.1", "HTTP/1.0"),
		"no bytes":            "",
		"half a head":         "POST /v1/chat/comp",
		"half a body":         h.chat("ask", "hello", "")[:300],
	}
}

// TestIDOfOpenRequestRejected: a second request with the id of an open one is rejected, and the
// open one is still served.
func TestIDOfOpenRequestRejected(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	released := make(chan struct{})
	h.engines[1].SetScript(platformtest.RespondAfter(released))
	text := h.chat("note")
	open := h.send(text)
	h.waitForAttempts(1, h.engines[1])

	if answer := h.roundTrip(text); answer.Code != http.StatusBadRequest {
		t.Errorf("second request: answered %+v, want status 400", answer)
	}

	close(released)
	h.expectServed(readAnswer(open))
	h.expectAttempts(1, 1)
}

// FuzzParseRequestMeta: the values parsed from any request head are within bounds.
func FuzzParseRequestMeta(f *testing.F) {
	f.Add([]byte(chatText(f, 1, "ask", "")))
	f.Add([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: a\r\nX-Call-Class: note\r\nX-Budget: 1u\r\nX-Call-Info: prompt_len=1e9\r\n\r\n"))
	cfg := Config{}
	cfg.Settings.ClassNames = []string{"ask", "note"}
	f.Fuzz(func(t *testing.T, b []byte) {
		parser := http1.NewRequestParser(&requestLimits)
		if _, kind, _, err := parser.Next(b); err != nil || kind != http1.HeadDone {
			return
		}

		meta, err := parseRequestMeta(&parser.Head, &cfg.Settings)
		if err != nil {
			return
		}

		if !isCallID(meta.callID) || meta.timeBudget <= 0 || meta.timeBudget > maxTimeBudget || meta.request.Class > 1 || !(meta.request.PromptTokens >= 0 && meta.request.PromptTokens <= maxTokens) ||
			!(meta.request.PrefixTokens <= meta.request.PromptTokens) || !(meta.request.MaxTokens >= 0 && meta.request.MaxTokens <= maxTokens) {
			t.Errorf("%+v", meta)
		}
	})
}
