package openaiserver_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestOversizedRequestIsAnsweredAtOnce: a request that no engine can hold is answered at once in OpenAI's form, and
// no engine hears of it; one of a size that may fit is forwarded; what engines say of
// their prompts narrows the margin.
func TestOversizedRequestIsAnsweredAtOnce(t *testing.T) {
	w := start(t, append(two(1, 8), embedder("e1")), "models = demo-embed\n", "models = demo-embed\nmax_context = 500\n")
	chat := func(tokens, answer int) string {
		max := ""
		if answer > 0 {
			max = fmt.Sprintf(`"max_tokens":%d,`, answer)
		}
		return `{"model":"demo-chat",` + max + `"messages":[{"role":"user","content":"` + strings.Repeat("ice ", tokens) + `"}]}`
	}
	seen := func() (n int) {
		for _, e := range w.FindEngines("zone:a") {
			n += e.Stats().Served
		}
		return n
	}
	tooLong := func(path, body, param string) {
		t.Helper()
		before := seen()
		r := w.post(context.Background(), path, map[bool]string{true: "search", false: "ask"}[strings.Contains(path, "embed")], body)
		var v struct {
			Error struct{ Code, Param, Type string }
		}
		if err := json.Unmarshal([]byte(r.body), &v); err != nil || r.status != 400 || v.Error.Code != "context_length_exceeded" || v.Error.Param != param || v.Error.Type != "invalid_request_error" || seen() != before {
			t.Errorf("%.60s: %v; engines saw %d", body, r, seen()-before)
		}
	}
	// The writers hold 60,000 tokens, the reader 200,000.
	tooLong("/v1/chat/completions", chat(2_000_000, 0), "messages")
	tooLong("/v1/completions", `{"model":"demo-chat","prompt":"`+strings.Repeat("ice ", 250_000)+`"}`, "prompt")
	tooLong("/v1/chat/completions", chat(10, 60_001), "messages")
	tooLong("/v1/embeddings", `{"model":"demo-embed","input":["x","`+strings.Repeat("ice ", 2_100)+`"]}`, "input")
	if r := w.post(context.Background(), "/v1/embeddings", "search", `{"model":"demo-embed","input":`+inputs(400, strings.Repeat("ice ", 100))+`}`); !r.served() {
		t.Errorf("many inputs that each fit: %v", r)
	}
	if r := w.post(context.Background(), "/v1/chat/completions", "ask", chat(130_000, 5)); !r.served() {
		t.Errorf("may fit, as far as is known: %v", r)
	}
	for range 150 {
		if r := w.ask(call{prompt: strings.Repeat("ice ", 300)}); !r.served() {
			t.Fatal(r)
		}
	}
	tooLong("/v1/chat/completions", chat(130_000, 5), "messages")
	if r := w.post(context.Background(), "/v1/chat/completions", "ask", chat(55_000, 5)); !r.served() {
		t.Errorf("fits: %v", r)
	}
	if s, err := w.Service.Router.Stats(); err != nil || s.Oversized != 5 {
		t.Errorf("%d were never to run, %v", s.Oversized, err)
	}
	// Nobody is held to be sick: the next ones go on.
	for range 10 {
		if r := w.ask(call{stream: true, tokens: 3}); !r.served() {
			t.Error(r)
		}
	}
}

// TestLongestIdleConnectionIsEvicted: with all connections taken by idle ones another caller is served at
// once, the one idle for longest goes, and none at work is closed.
func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	w := start(t, two(1, 1), "[router]\n", "[router]\nmax_connections = 20\n")
	var held []net.Conn
	dial := func() net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", w.Service.Router.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		held = append(held, c)
		return c
	}
	working := dial() // the oldest, half way through a request
	fmt.Fprint(working, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 91\r\n\r\n")
	open := func() int { s, _ := w.Service.Router.Stats(); return s.ClientConnections }
	w.until("it is taken", func() bool { return open() == 1 })
	for range 18 {
		dial()
	}
	w.until("all but one are taken", func() bool { return open() == 19 })
	for i := range 40 {
		c := dial()
		fmt.Fprint(c, "GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("caller %d: %v", i, err)
		}
	}
	fmt.Fprint(working, `{"model":"demo-chat","max_tokens":1,"messages":[{"role":"user","content":"a frozen pipe"}]}`)
	if resp, err := http.ReadResponse(bufio.NewReader(working), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("the one at work: %v, %v", resp, err)
	}
	if s, err := w.Service.Router.Stats(); err != nil || s.IdleConnsEvicted != 40 || s.ClientConnections > 20 {
		t.Errorf("%d made room, %d open, %v", s.IdleConnsEvicted, s.ClientConnections, err)
	}
}
