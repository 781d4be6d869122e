package router

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"github.com/maypok86/otter/v2"

	"martenlock/control"
	"martenlock/control/flight"
	"martenlock/internal/config"
	"martenlock/internal/openai"
	"martenlock/internal/wheel"
)

// repeats is what a pool knows of embeddings that were asked for before or are being
// computed: whole requests by their content, so that an answer's usage is its own.
type repeats struct {
	p     *pool
	table flight.Table
	cache *otter.Cache[flight.Key, []byte] // nil where the settings give it no bytes
	wait  map[flight.ID]*front
	timer wheel.Timer
	hits  uint64
	joins uint64
}

// pending is a request that waits for another's answer, as it would be sent.
type pending struct {
	p     *pool
	call  *openai.Call
	class config.Class
	ev    control.Request
	id    flight.ID
	key   flight.Key
	leads bool
}

const entryCost = 150 // bytes of a cache entry beside its answer: key, node, policy

func newRepeats(p *pool) *repeats {
	s := &repeats{p: p, wait: map[flight.ID]*front{}}
	s.timer.Fire = func() {
		for _, id := range s.table.Due(p.r.now()) {
			f := s.wait[id]
			delete(s.wait, id)
			f.pending = nil
			p.r.active--
			p.r.refused++
			f.refuseLate()
		}
		s.arm()
	}
	if p.set.CacheBytes > 0 {
		s.cache = otter.Must(&otter.Options[flight.Key, []byte]{MaximumWeight: uint64(p.set.CacheBytes),
			Weigher:  func(_ flight.Key, v []byte) uint32 { return uint32(len(v) + entryCost) },
			Executor: func(fn func()) { fn() }}) // on the loop: no goroutine of its own, and evictions keep pace
	}
	return s
}

// key is what must be the same for two requests to have the same answer: all that an
// engine gets, the revision of the model, and the tenant unless tenants share.
func (p *pool) key(call *openai.Call, path, tenant string) (k flight.Key) {
	if p.set.CacheShared {
		tenant = ""
	}
	h := sha256.New()
	for _, part := range []string{tenant, p.revision, path} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	call.Hash(h)
	copy(k[:], h.Sum(nil))
	return k
}

// repeated answers a request from the cache, or lets it follow one that is being
// computed; false where it is to be computed itself.
func (f *front) repeated(p *pool, call *openai.Call, class config.Class, ev control.Request) bool {
	// Engines of two revisions give two answers to one input: neither is known ahead.
	if call.API != openai.Embeddings || !p.set.Repeats || p.mixed || !flight.May(p.cfg.Control.Classes[class.Whole]) {
		return false
	}
	s, r := p.repeats, p.r
	key := p.key(call, f.path, f.tenant)
	if s.cache != nil {
		if body, ok := s.cache.GetIfPresent(key); ok {
			s.hits++
			r.served++
			f.reply(200, "application/json", r.nextName(), "x-cache: hit\r\n", body)
			f.next()
			return true
		}
	}
	r.seq++
	w := &pending{p, call, class, ev, flight.ID(r.seq), key, false}
	f.pending = w
	if s.table.Arrive(key, w.id, ev.Deadline) {
		w.leads = true
		return false
	}
	s.joins++
	s.wait[w.id] = f
	r.active++
	s.arm()
	return true
}

func (s *repeats) arm() {
	if at, ok := s.table.Next(); ok {
		s.p.r.loop.Start(&s.timer, at.Sub(s.p.r.now()))
	} else {
		s.p.r.loop.Stop(&s.timer)
	}
}

// lead lets a request that followed go its own way.
func (s *repeats) lead(id flight.ID) {
	f := s.wait[id]
	delete(s.wait, id)
	s.p.r.active--
	f.pending.leads = true
	f.launch(f.pending.p, f.pending.call, f.pending.class, f.pending.ev)
}

// ended takes in the answer that a leader has had and gives it to its followers.
func (w *pending) ended(status int, kind, fields string, body []byte) {
	s := w.p.repeats
	outcome := flight.Failed
	switch status {
	case 200:
		outcome = flight.Served
		if s.cache != nil {
			s.cache.Set(w.key, bytes.Clone(body)) // without the room that reading it left behind
		}
	case 429, 503:
		outcome = flight.Refused
	}
	same, next, more := s.table.End(w.id, outcome)
	for _, id := range same {
		f := s.wait[id]
		delete(s.wait, id)
		f.pending = nil
		s.p.r.active--
		switch status {
		case 200:
			s.p.r.served++
		default:
			s.p.r.failed++
		}
		f.reply(status, kind, s.p.r.nextName(), fields, body)
		f.next()
	}
	if more {
		s.lead(next)
	}
	s.arm()
}

// left takes in that a client has gone, or that its request ends another way.
func (w *pending) left() {
	s := w.p.repeats
	if _, follows := s.wait[w.id]; follows {
		delete(s.wait, w.id)
		s.p.r.active--
		s.p.r.left++
	}
	if next, more := s.table.Leave(w.id); more {
		s.lead(next)
	}
	s.arm()
}
