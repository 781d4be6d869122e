package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// engine is a colocated engine behind OpenAI's API. It runs a request once it has read all of it, unless its
// connection has closed by then, and answers when the request has run.
type engine struct {
	scene *scene
	name  string
	addr  string
	serve func(*engine, http.ResponseWriter, *http.Request, string) // runs an API request with this body

	mu     sync.Mutex
	begun  map[string][]time.Duration // when requests arrived, by the client's id
	ran    map[string][]time.Duration // when requests began to run, by the client's id
	inWork int
	hung   chan struct{} // closed when the engine goes on; nil while it does not hang
}

func newEngine(s *scene, name string, serve func(*engine, http.ResponseWriter, *http.Request, string)) *engine {
	return &engine{scene: s, name: name, serve: serve, begun: map[string][]time.Duration{}, ran: map[string][]time.Duration{}}
}

// start makes the engine listen on a loopback address.
func (e *engine) start() *engine {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	e.scene.must(err)
	e.startOn(listener)
	return e
}

func (e *engine) startOn(listener net.Listener) *http.Server {
	e.addr = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(e.handle)}
	go func() { _ = server.Serve(listener) }()
	return server
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("x-client-request-id")
	isAPI := r.URL.Path != "/health" && r.URL.Path != "/abort_requests"
	if isAPI {
		e.mu.Lock()
		e.begun[id] = append(e.begun[id], e.scene.clock())
		e.inWork++
		e.mu.Unlock()
		e.scene.note("%s receives %s (%s)", e.name, id, r.Header.Get("X-Request-Id"))
		defer func() {
			e.mu.Lock()
			e.inWork--
			e.mu.Unlock()
		}()
	}
	if !e.awaitResume(r) {
		e.scene.note("%s: the connection of %s closed before it ran", e.name, id)
		return
	}
	if !isAPI {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, "{}")
		return
	}
	e.mu.Lock()
	e.ran[id] = append(e.ran[id], e.scene.clock())
	e.mu.Unlock()
	e.scene.note("%s runs %s", e.name, id)
	e.serve(e, w, r, string(body))
}

// hang makes the engine answer nothing and run nothing until resume.
func (e *engine) hang() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hung = make(chan struct{})
	e.scene.note("%s hangs", e.name)
}

func (e *engine) resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hung != nil {
		close(e.hung)
		e.hung = nil
		e.scene.note("%s goes on", e.name)
	}
}

// awaitResume waits until the engine does not hang. It returns false if the connection has closed.
func (e *engine) awaitResume(r *http.Request) bool {
	e.mu.Lock()
	hung := e.hung
	e.mu.Unlock()
	if hung != nil {
		<-hung
		time.Sleep(5 * time.Millisecond) // an end of the connection that came meanwhile is read as well
	}
	return r.Context().Err() == nil
}

// arrivals returns when a request arrived.
func (e *engine) arrivals(id string) []time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Duration(nil), e.begun[id]...)
}

// runs returns when a request began to run.
func (e *engine) runs(id string) []time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Duration(nil), e.ran[id]...)
}

// load returns the number of requests that the engine has.
func (e *engine) load() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inWork
}

// node returns the engine's entry in the node list.
func (e *engine) node(pool, state, more string) string {
	return fmt.Sprintf("[node %s]\npool = %s\naddress = %s\nkind = gpu\nstate = %s\n%s\n", e.name, pool, e.addr, state, more)
}

// chatAnswer returns the whole answer of a chat completion with a text of this length.
func chatAnswer(length int) string {
	text := make([]byte, length)
	for i := range text {
		text[i] = "abcdefgh "[i%9]
	}
	return fmt.Sprintf(`{"id":"c1","object":"chat.completion","created":1,"model":"m","choices":[{"index":0,"message":{"role":"assistant","content":"%s"},"finish_reason":"stop"}],"usage":{"prompt_tokens":10,"completion_tokens":%d,"total_tokens":%d}}`, text, length/4, length/4+10)
}

func writeJSON(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
}
