package openaiserver_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"martenlock/control/connreuse"
	"martenlock/internal/enginetest"
)

// embeddingResponse is an engine's response to an embeddings request with one input.
const embeddingResponse = `{"object":"list","data":[{"object":"embedding","index":0,"embedding":[0.5]}],` +
	`"model":"demo-embed","usage":{"prompt_tokens":1,"total_tokens":1}}`

// pausesOf returns the pauses before the requests that came over a reused connection.
func pausesOf(engine *enginetest.Engine) (pauses []time.Duration) {
	for _, request := range engine.Requests() {
		if request.Pause > 0 {
			pauses = append(pauses, request.Pause)
		}
	}
	return pauses
}

// TestEngineConnectionRestsBeforeItIsReused guards against a connection that is reused so soon that a second response of
// the engine, some milliseconds after the first, is taken for the response to the next request. Connections are reused.
func TestEngineConnectionRestsBeforeItIsReused(t *testing.T) {
	engine := enginetest.Start(t, func(r *enginetest.Request) (keepOpen bool) {
		return r.Write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			len(embeddingResponse), embeddingResponse))
	})
	service := startServiceWithEngine(t, "embeddings", engine.Addr())
	const wantReused = 10
	deadline := time.Now().Add(20 * time.Second)
	for number := 0; len(pausesOf(engine)) < wantReused && time.Now().Before(deadline); number++ {
		answer, err := http.Post("http://"+service.Router.Addr()+"/v1/embeddings", "application/json",
			strings.NewReader(fmt.Sprintf(`{"model":"demo-embed","input":"text %d"}`, number)))
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			t.Fatalf("request %d was answered %d", number, answer.StatusCode)
		}
	}

	pauses := pausesOf(engine)
	if len(pauses) < wantReused {
		t.Errorf("connections were reused %d times, want %d", len(pauses), wantReused)
	}
	for _, pause := range pauses {
		if pause < connreuse.MinIdleTime {
			t.Errorf("a connection was reused %v after a response, want at least %v", pause, connreuse.MinIdleTime)
		}
	}
}
