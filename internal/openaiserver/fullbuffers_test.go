package openaiserver_test

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"martenlock/internal/enginetest"
	"martenlock/internal/openaiserver"
	"martenlock/internal/serve"
)

// bufferedText is an engine's answer that does not fit into the buffers that the tests leave free.
var bufferedText = strings.Repeat("x", 20_000)

// respondWith returns a script that answers each POST with a status and a body, which it sends in two pieces. Other
// requests, such as aborts, are answered with 200.
func respondWith(status int, body string) enginetest.Script {
	return func(r *enginetest.Request) (keepOpen bool) {
		if !strings.HasPrefix(r.Target, "/v1/") {
			return r.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
		head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
			status, http.StatusText(status), len(body))
		return r.Write(head+body[:len(body)/2]) && r.Write(body[len(body)/2:])
	}
}

// countRuns returns how many requests of clients the engine has received.
func countRuns(engine *enginetest.Engine) (runs int) {
	for _, request := range engine.Requests() {
		if strings.HasPrefix(request.Target, "/v1/") {
			runs++
		}
	}
	return runs
}

// startServiceWithEngines starts a router with engines of a kind in the named pool. edits holds pairs of old and new text
// for editedSettings. The router is stopped when the test ends, and the test fails unless all buffers are free by then.
func startServiceWithEngines(t *testing.T, pool, kind string, engines []*enginetest.Engine, edits ...string) *serve.Service {
	t.Helper()
	dir := t.TempDir()
	var nodes strings.Builder
	for i, engine := range engines {
		fmt.Fprintf(&nodes, "[node e%d]\npool = %s\nkind = %s\naddress = %s\n", i, pool, kind, engine.Addr())
	}
	writeFile(t, filepath.Join(dir, "nodes.ini"), nodes.String())
	configPath := filepath.Join(dir, "m.ini")
	writeFile(t, configPath, editedSettings(t, edits))
	service, err := serve.Start(configPath, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		expectBuffersFree(t, service.Router)
		if err := service.Stop(); err != nil {
			t.Error(err)
		}
	})
	return service
}

// expectBuffersFree fails the test if the server still counts buffered bytes.
func expectBuffersFree(t *testing.T, server *openaiserver.Server) {
	t.Helper()
	stats, err := server.Stats()
	if err != nil || stats.BufferedBytes != 0 {
		t.Errorf("%d buffered bytes, error %v; want none", stats.BufferedBytes, err)
	}
}

// TestFullBuffersRepeatNoRequest guards against an engine's answer that finds the buffers full and is taken for a request
// that was not sent: a request that must not be executed twice ran at one engine after another and was then rejected.
func TestFullBuffersRepeatNoRequest(t *testing.T) {
	const chat, embeddings, rerank = "chat", "embeddings", "rerank"
	bodies := map[string]string{
		chat:       `{"model":"demo-chat","messages":[{"role":"user","content":"x"}]}`,
		embeddings: `{"model":"demo-embed","input":["a","b"]}`,
		rerank:     `{"model":"demo-rerank","query":"q","documents":["a","b"]}`,
	}
	paths := map[string]string{chat: chatPath, embeddings: "/v1/embeddings", rerank: "/v1/rerank"}
	for _, test := range []struct {
		name       string
		pool       string
		status     int
		class      string
		wantStatus int
		wantBody   string // the beginning of the answer, which may continue with more of bufferedText
		maxRuns    int
	}{
		{"chat, not idempotent", chat, http.StatusOK, "note", http.StatusOK, bufferedText, 1},
		{"chat, with a key", chat, http.StatusOK, "job", http.StatusOK, bufferedText, 1},
		{"chat, idempotent", chat, http.StatusOK, "ask", http.StatusOK, bufferedText, 1},
		{"chat, engine's error", chat, http.StatusInternalServerError, "note", http.StatusBadGateway, "", 1},
		{"chat, engine's refusal", chat, http.StatusServiceUnavailable, "note", http.StatusTooManyRequests, "", 2},
		{"chat, invalid request", chat, http.StatusUnprocessableEntity, "note", http.StatusUnprocessableEntity, bufferedText[:10_000], 1},
		{"embeddings, not idempotent", embeddings, http.StatusOK, "note", http.StatusBadGateway, "", 1},
		{"embeddings, idempotent", embeddings, http.StatusOK, "search", http.StatusTooManyRequests, "", 2},
		{"rerank, not idempotent", rerank, http.StatusOK, "note", http.StatusBadGateway, "", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			first := enginetest.Start(t, respondWith(test.status, bufferedText))
			second := enginetest.Start(t, respondWith(test.status, bufferedText))
			service := startServiceWithEngines(t, test.pool, "mixed", []*enginetest.Engine{first, second})
			release := service.Router.FillBuffers(15_000)

			request, err := http.NewRequest(http.MethodPost, "http://"+service.Router.Addr()+paths[test.pool], strings.NewReader(bodies[test.pool]))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("X-Request-Class", test.class)
			answer, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(answer.Body)
			answer.Body.Close()
			release()

			runs := countRuns(first) + countRuns(second)
			if err != nil || answer.StatusCode != test.wantStatus || !strings.HasPrefix(string(body), test.wantBody) {
				t.Errorf("status %d, body of %d bytes, error %v; want status %d and the engine's text", answer.StatusCode, len(body), err, test.wantStatus)
			}
			if runs > test.maxRuns {
				t.Errorf("the request ran %d times, want at most %d", runs, test.maxRuns)
			}
		})
	}
}

// TestUnusedPrefillResponseLeavesNoKVState guards against KV state that an engine retains for good, because its response to
// the prefill found the buffers full or was too long: the engine is asked to release it.
func TestUnusedPrefillResponseLeavesNoKVState(t *testing.T) {
	const tooLong = 5 << 20
	for name, test := range map[string]struct {
		freeBytes int64
		text      string
	}{
		"buffers full": {15_000, bufferedText},
		"too long":     {64 << 20, strings.Repeat("x", tooLong)},
	} {
		t.Run(name, func(t *testing.T) {
			engine := enginetest.Start(t, respondWith(http.StatusOK, `{"kv_transfer_params":{"x":"`+test.text+`"}}`))
			service := startServiceWithEngines(t, "chat", "reader", []*enginetest.Engine{engine})
			release := service.Router.FillBuffers(test.freeBytes)
			answer, err := http.Post("http://"+service.Router.Addr()+chatPath, "application/json",
				strings.NewReader(`{"model":"demo-chat","messages":[{"role":"user","content":"x"}]}`))
			if err != nil {
				t.Fatal(err)
			}
			answer.Body.Close()
			release()

			if answer.StatusCode != http.StatusTooManyRequests {
				t.Errorf("status %d, want 429: a prefill has no effect", answer.StatusCode)
			}
			prefill := engine.Requests()[0].Header.Get("X-Request-Id")
			waitUntil(t, "the engine is asked to release the KV state", func() bool {
				for _, request := range engine.Requests()[1:] {
					if strings.Contains(request.Body, prefill) {
						return true
					}
				}
				return false
			})
		})
	}
}

// TestCutErrorStaysCut guards against an engine's error of which a piece in the middle is missing, since the buffers were full
// when it came and no longer when the next one did.
func TestCutErrorStaysCut(t *testing.T) {
	const free = 15_000
	pieces := []string{strings.Repeat("a", 20_000), strings.Repeat("b", 1000)}
	mustContinue := make(chan struct{})
	engine := enginetest.Start(t, func(r *enginetest.Request) (keepOpen bool) {
		r.Write(fmt.Sprintf("HTTP/1.1 422 Unprocessable Entity\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			len(pieces[0])+len(pieces[1]), pieces[0]))
		<-mustContinue
		return r.Write(pieces[1])
	})
	service := startServiceWithEngines(t, "chat", "mixed", []*enginetest.Engine{engine})
	release := service.Router.FillBuffers(free)
	before, err := service.Router.Stats()
	if err != nil {
		t.Fatal(err)
	}
	answered := make(chan *http.Response, 1)
	go func() {
		defer close(answered)
		answer, err := http.Post("http://"+service.Router.Addr()+chatPath, "application/json",
			strings.NewReader(`{"model":"demo-chat","messages":[{"role":"user","content":"x"}]}`))
		if err != nil {
			t.Error(err)
			return
		}
		answered <- answer
	}()

	waitUntil(t, "the buffers are full", func() bool {
		stats, err := service.Router.Stats()
		return err != nil || stats.BufferedBytes == before.BufferedBytes+free
	})
	release()
	close(mustContinue)

	answer := <-answered
	if answer == nil {
		return
	}
	body, err := io.ReadAll(answer.Body)
	answer.Body.Close()
	if err != nil || answer.StatusCode != http.StatusUnprocessableEntity || !strings.HasPrefix(pieces[0], string(body)) {
		t.Errorf("status %d, %d bytes, error %v; want 422 and the beginning of the engine's text", answer.StatusCode, len(body), err)
	}
}

// TestLongErrorIsCutAtItsEnd guards against an engine's error of which a piece in the middle is missing, since later pieces
// were buffered again after one that did not fit.
func TestLongErrorIsCutAtItsEnd(t *testing.T) {
	pieces := []string{strings.Repeat("a", 60<<10), strings.Repeat("b", 6<<10), strings.Repeat("c", 2<<10)}
	text := strings.Join(pieces, "")
	engine := enginetest.Start(t, func(r *enginetest.Request) (keepOpen bool) {
		r.Write("HTTP/1.1 422 Unprocessable Entity\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, piece := range pieces {
			r.Write(fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece))
		}
		return r.Write("0\r\n\r\n")
	})
	service := startServiceWithEngines(t, "chat", "mixed", []*enginetest.Engine{engine})

	answer, err := http.Post("http://"+service.Router.Addr()+chatPath, "application/json",
		strings.NewReader(`{"model":"demo-chat","messages":[{"role":"user","content":"x"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	answer.Body.Close()

	if err != nil || answer.StatusCode != http.StatusUnprocessableEntity || !strings.HasPrefix(text, string(body)) || len(body) != 64<<10 {
		t.Errorf("status %d, %d bytes, error %v; want 422 and the first 64 KiB of the engine's text", answer.StatusCode, len(body), err)
	}
}
