package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() {
	cases["full-buffers"] = playFullBuffers
}

const fullBuffersSettings = `[router]
listen = LISTEN
nodes = nodes.ini
log_level = debug

[kind gpu]
role = mixed

[class order]
aim = 10s
deadline = 20s
effect = unsafe

[pool chat]
apis = chat
class = order
`

// Sizes of the case. The first two are the limits of the pages.
const (
	bufferBytes = 1 << 30 // of bodies and buffered answers
	bodyBytes   = 16 << 20
	freeBytes   = 10_000 // left by the slow uploads
	answerBytes = 20_000
	orders      = 5
)

// playFullBuffers: clients on slow links are in the middle of large requests, within the limits, while other clients
// send requests that must not run twice.
func playFullBuffers(s *scene) {
	serve := func(_ *engine, w http.ResponseWriter, _ *http.Request, _ string) {
		time.Sleep(100 * time.Millisecond)
		writeJSON(w, chatAnswer(answerBytes))
	}
	engines := []*engine{newEngine(s, "gpu1", serve).start(), newEngine(s, "gpu2", serve).start(), newEngine(s, "gpu3", serve).start()}
	nodes := ""
	for _, e := range engines {
		nodes += e.node("chat", "ready", "")
	}
	s.startRouter(fullBuffersSettings, nodes)
	first := s.ask("/v1/chat/completions", "before", chatBody("before"), 25*time.Second)
	s.note("before: %v", first)
	if first.status != http.StatusOK {
		s.end(exitNotRun, "the first request was not served")
	}
	var uploads []net.Conn
	if s.hasTrouble {
		uploads = startUploads(s)
	}
	broken := ""
	for i := range orders {
		id := fmt.Sprintf("order-%d", i+1)
		got := s.ask("/v1/chat/completions", id, chatBody(id), 25*time.Second)
		s.note("%s: %v", id, got)
		runs := 0
		for _, e := range engines {
			runs += len(e.runs(id))
		}
		s.note("%s ran %d times", id, runs)
		switch {
		case runs > 1:
			broken = fmt.Sprintf("%s, which must not run twice, ran %d times; its client got %d", id, runs, got.status)
		case runs == 1 && (got.status == http.StatusTooManyRequests || got.status == http.StatusServiceUnavailable):
			broken = fmt.Sprintf("%s ran, and its client was told that nothing was done", id)
		}
	}
	for _, conn := range uploads {
		conn.Close()
	}
	if broken != "" {
		s.end(exitBroken, broken)
	}
	s.end(exitHeld, "no request ran twice")
}

func chatBody(text string) string {
	return `{"model":"m","max_tokens":8000,"messages":[{"role":"user","content":"` + text + `"}]}`
}

// startUploads starts clients that have sent most of a large request each and stay. It returns when the router has
// read what they have sent.
func startUploads(s *scene) []net.Conn {
	var uploads []net.Conn
	left := bufferBytes - freeBytes
	chunk := make([]byte, 1<<20)
	for i := range chunk {
		chunk[i] = ' '
	}
	for left > 0 {
		size := min(left, bodyBytes-1)
		left -= size
		conn, err := net.Dial("tcp4", s.listen)
		s.must(err)
		uploads = append(uploads, conn)
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", bodyBytes)
		s.must(err)
		for size > 0 {
			n, err := conn.Write(chunk[:min(size, len(chunk))])
			s.must(err)
			size -= n
		}
	}
	time.Sleep(time.Second)
	s.note("%d clients are in the middle of requests of %d bytes", len(uploads), bodyBytes)
	return uploads
}
