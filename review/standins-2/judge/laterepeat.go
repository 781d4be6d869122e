package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["late-repeat"] = playLateRepeat
}

const lateRepeatSettings = `[router]
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
window = 2s

[pool chat]
apis = chat
class = job
`

const (
	dedupWindow = 2 * time.Second
	repeatSkew  = 50 * time.Millisecond
	hangTime    = 3 * time.Second
)

// playLateRepeat: a request of a class with a key runs, and its connection is reset before the answer. The other engine
// hangs for 3 s just then.
func playLateRepeat(s *scene) {
	keys := &keyStore{ran: map[string]time.Duration{}}
	var engines []*engine
	var once sync.Once
	serve := func(e *engine, w http.ResponseWriter, r *http.Request, _ string) {
		id := r.Header.Get("x-client-request-id")
		keys.run(s, e, id)
		if !s.hasTrouble {
			writeJSON(w, chatAnswer(100))
			return
		}
		isFirst := false
		once.Do(func() { isFirst = true })
		if !isFirst {
			writeJSON(w, chatAnswer(100))
			return
		}
		for _, other := range engines {
			if other != e {
				other.hang()
				time.AfterFunc(hangTime, other.resume)
			}
		}
		time.Sleep(100 * time.Millisecond)
		conn, _, err := w.(http.Hijacker).Hijack()
		s.must(err)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		s.note("%s resets the connection of %s, which has run", e.name, id)
	}
	engines = []*engine{newEngine(s, "gpu1", serve).start(), newEngine(s, "gpu2", serve).start()}
	s.startRouter(lateRepeatSettings, engines[0].node("chat", "ready", "")+engines[1].node("chat", "ready", ""))
	got := s.ask("/v1/chat/completions", "job-1", chatBody("job"), 15*time.Second)
	s.note("job-1: %v", got)
	time.Sleep(200 * time.Millisecond)
	times := keys.effects("job-1")
	s.note("job-1 had an effect at %v", times)
	if len(times) > 1 {
		s.end(exitBroken, fmt.Sprintf("job-1 was applied %d times, %v apart; the window is %v", len(times), (times[1]-times[0]).Round(time.Millisecond), dedupWindow))
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
	if known && now-at <= dedupWindow+repeatSkew {
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
