package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() {
	cases["refused-after-run"] = playRefusedAfterRun
}

const refusedAfterRunSettings = `[router]
listen = LISTEN
nodes = nodes.ini
log_level = debug

[kind gpu]
role = mixed

[class job]
aim = 5s
deadline = 10s
effect = keyed
scope = all
window = 1s

[pool chat]
apis = chat
class = job
`

const (
	keyWindow  = time.Second
	resetAfter = 1500 * time.Millisecond
)

// playRefusedAfterRun: a request with a key runs, and its connection is reset before the answer, after the window. Its
// client does what its answer says.
func playRefusedAfterRun(s *scene) {
	keys := &keyStore{ran: map[string]time.Duration{}}
	var once sync.Once
	serve := func(e *engine, w http.ResponseWriter, r *http.Request, _ string) {
		keys.run(s, e, r.Header.Get("x-client-request-id"))
		isFirst := false
		once.Do(func() { isFirst = true })
		if !s.hasTrouble || !isFirst {
			writeJSON(w, chatAnswer(100))
			return
		}
		time.Sleep(resetAfter)
		conn, _, err := w.(http.Hijacker).Hijack()
		s.must(err)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		s.note("%s resets the connection", e.name)
	}
	engines := []*engine{newEngine(s, "gpu1", serve).start(), newEngine(s, "gpu2", serve).start()}
	s.startRouter(refusedAfterRunSettings, engines[0].node("chat", "ready", "")+engines[1].node("chat", "ready", ""))
	got := s.ask("/v1/chat/completions", "job-1", chatBody("job"), 15*time.Second)
	s.note("job-1: %v", got)
	if got.status == http.StatusTooManyRequests || got.status == http.StatusServiceUnavailable {
		seconds, _ := strconv.Atoi(got.header.Get("Retry-After"))
		time.Sleep(time.Duration(seconds) * time.Second)
		again := s.ask("/v1/chat/completions", "job-1", chatBody("job"), 15*time.Second)
		s.note("job-1, sent again as the answer says: %v", again)
	}
	times := keys.effects("job-1")
	s.note("job-1 had an effect at %v", times)
	if len(times) > 1 {
		s.end(exitBroken, fmt.Sprintf("job-1 was applied %d times, since its client was told %d and \"nothing was done\" after it had run", len(times), got.status))
	}
	s.end(exitHeld, "job-1 was applied once")
}

// keyStore is the memory of the engines, which they share, of the keys that they have run.
type keyStore struct {
	mu   sync.Mutex
	ran  map[string]time.Duration // the latest effect
	list []effect
}

type effect struct {
	id string
	at time.Duration
}

// run applies a request unless one with the same key was applied within the window.
func (k *keyStore) run(s *scene, e *engine, id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := s.clock()
	at, known := k.ran[id]
	if known && now-at <= keyWindow {
		s.note("%s drops the repeat of %s", e.name, id)
		return
	}
	k.ran[id] = now
	k.list = append(k.list, effect{id: id, at: now})
	s.note("%s applies %s", e.name, id)
}

func (k *keyStore) effects(id string) (times []time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, one := range k.list {
		if one.id == id {
			times = append(times, one.at)
		}
	}
	return times
}
