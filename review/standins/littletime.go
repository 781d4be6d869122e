package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["little-time"] = littleTime }

// Figures of the case little-time.
const (
	littleTimeQuiet    = 3 * time.Second
	littleTimeTrouble  = 10 * time.Second
	littleTimeClients  = 8
	littleTimePause    = 5 * time.Millisecond  // of each client between two requests
	littleTimeEngine   = 20 * time.Millisecond // of an engine for one call
	littleTimeDeadline = 40                    // milliseconds that the hurried client waits
)

// embeddingSettings are those that the router's demo writes, with this pool, kind and class only.
const embeddingSettings = `[router]
listen = %s
nodes = nodes.ini
zone = a
seed = 7

[kind embedder]
role = mixed

[class search]
aim = 300ms
whole_aim = 1s
deadline = 3s
effect = safe

[pool embeddings]
apis = embeddings
models = demo-embed
class = search
part_items = 64
part_tokens = 4000
parts = 256
join_wait = 5ms
`

// embeddingEngine answers embeddings requests.
func embeddingEngine(rec *recorder, name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		var decoded struct {
			Input any `json:"input"`
		}
		_ = json.NewDecoder(request.Body).Decode(&decoded)
		if request.URL.Path != "/v1/embeddings" {
			return // a health check or a release
		}
		count := 1
		if list, isList := decoded.Input.([]any); isList {
			count = len(list)
		}
		rec.logf("%s: runs %s with %d inputs", name, request.Header.Get("X-Request-Id"), count)
		time.Sleep(littleTimeEngine)
		data := []map[string]any{}
		for i := range count {
			data = append(data, map[string]any{"object": "embedding", "index": i, "embedding": []float64{0.5, 0.25}})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"object": "list", "model": "demo-embed", "data": data,
			"usage": map[string]int{"prompt_tokens": count, "total_tokens": count},
		})
	})
}

// littleTime plays clients of an embeddings pool with two engines. After a quiet time one more client asks, which says
// that it waits 40 ms only. Every request that was written whole to an open connection must get an answer.
func littleTime(opts options, rec *recorder) (broken bool, err error) {
	nodes := ""
	for i := range 2 {
		name := fmt.Sprintf("e%d", i)
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		nodes += fmt.Sprintf("[node %s]\npool = embeddings\naddress = %s\nkind = embedder\nzone = a\n\n", name, listener.Addr())
		server := &http.Server{Handler: embeddingEngine(rec, name)}
		go server.Serve(listener)
		defer server.Close()
	}
	address, err := freeAddress()
	if err != nil {
		return false, err
	}
	path := filepath.Join(opts.temp, "martenlock.ini")
	if err := os.WriteFile(path, []byte(fmt.Sprintf(embeddingSettings, address)), 0o644); err != nil {
		return false, err
	}
	if err := os.WriteFile(filepath.Join(opts.temp, "nodes.ini"), []byte(nodes), 0o644); err != nil {
		return false, err
	}
	r, err := startRouter(opts, "exec bin/martenlock serve -c "+path, address, "/health")
	if err != nil {
		return false, err
	}
	defer r.kill()

	transport := &http.Transport{MaxIdleConnsPerHost: 100}
	var mu sync.Mutex
	answers := map[int]int{}
	unanswered, notSent := 0, 0
	// ask sends one request. deadline is the header in milliseconds, 0 for none. It reports whether the router still listens.
	ask := func(name, text string, deadline int) bool {
		body, _ := json.Marshal(map[string]any{"model": "demo-embed", "input": text})
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/embeddings", strings.NewReader(string(body)))
		if err != nil {
			return false
		}
		request.Header.Set("Content-Type", "application/json")
		if deadline > 0 {
			request.Header.Set("x-request-deadline-ms", strconv.Itoa(deadline))
		}
		written := false
		request = request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
			WroteRequest: func(info httptrace.WroteRequestInfo) {
				mu.Lock()
				defer mu.Unlock()
				written = info.Err == nil
			},
		}))
		rec.logf("client: %s asks for %q, deadline header %d ms", name, text, deadline)
		response, err := transport.RoundTrip(request)
		status := 0
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			status = response.StatusCode
		}
		mu.Lock()
		defer mu.Unlock()
		rec.logf("client: %s answered %d, error %v, request written whole: %v", name, status, err, written)
		switch {
		case err == nil:
			answers[status]++
		case written:
			unanswered++
		default: // the connection was refused or ended before the request was written
			notSent++
			return false
		}
		return true
	}
	start := time.Now()
	var wait sync.WaitGroup
	for client := range littleTimeClients {
		wait.Go(func() {
			for n := 0; time.Since(start) < littleTimeQuiet+littleTimeTrouble; n++ {
				if !ask(fmt.Sprintf("client %d", client), fmt.Sprintf("text %d of client %d", n, client), 0) {
					return
				}
				time.Sleep(littleTimePause)
			}
		})
	}
	time.Sleep(littleTimeQuiet)
	for n := 0; opts.trouble && time.Since(start) < littleTimeQuiet+littleTimeTrouble; n++ {
		if !ask("hurried client", fmt.Sprintf("hurried text %d", n), littleTimeDeadline) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	exited := r.hasExited()
	text, _ := os.ReadFile(r.log.Name())
	if at := strings.Index(string(text), "panic:"); at >= 0 {
		rec.logf("standard error of the router:\n%.2500s", text[at:])
	}
	rec.say("answers by status %v, %d whole requests without an answer, %d not sent, the router has ended by itself: %v",
		answers, unanswered, notSent, exited)
	if answers[http.StatusOK] == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return exited || unanswered > 0, nil
}
