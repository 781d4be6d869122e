package router

import (
	"errors"
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"martenlock/control"
	"martenlock/internal/http1"
	"martenlock/internal/loop"
	"martenlock/internal/nodes"
	"martenlock/internal/openai"
	"martenlock/internal/wheel"
)

// engine is the connections to one node.
type engine struct {
	r     *Router
	node  nodes.Node
	idle  []*engineConn // the latest used last
	conns int           // open ones
	gone  bool          // from the list

	aborts   map[string]time.Duration // ids of states to let go, until when it is tried
	aborting bool
	retry    wheel.Timer
	pause    time.Duration // before the next try
}

// sink takes one response.
type sink interface {
	// connected tells that the request has begun to leave, so it may run.
	connected()
	head(h *http1.Head)
	data(b []byte)
	// end tells that the response is whole; the connection is no longer the sink's.
	end()
	// broken tells that the connection ended before that, or was never made.
	broken(dialed bool)
}

// engineConn is one connection to an engine; it has one request at a time.
type engineConn struct {
	e      *engine
	c      *loop.Conn
	parser *http1.Parser
	sink   sink // nil while idle
	dialed bool // the connection stands
	timer  wheel.Timer
	linger bool // the response at hand allows another request
}

// errNoConn tells that this machine, not the engine, could not make a connection.
var errNoConn = errors.New("router: no connection to be had")

// start sends a request over an idle or a new connection.
func (e *engine) start(s sink, head, body []byte) (*engineConn, error) {
	k := (*engineConn)(nil)
	if n := len(e.idle); n > 0 {
		k = e.idle[n-1]
		e.idle = e.idle[:n-1]
		e.r.loop.Stop(&k.timer)
	} else {
		if e.conns >= e.r.cfg.Limits.EngineConns {
			return nil, errNoConn
		}
		k = &engineConn{e: e, parser: http1.NewResponses(&http1.Limits{Line: e.r.cfg.Limits.HTTP.Line, Headers: e.r.cfg.Limits.HTTP.Headers,
			Fields: e.r.cfg.Limits.HTTP.Fields, Body: e.r.cfg.Limits.Response})}
		k.timer.Fire = k.expire
		c, err := e.r.loop.Dial(e.node.Addr, k)
		if err != nil {
			e.r.log.Warn().Err(err).Str("node", e.node.Name).Msg("no connection can be made")
			return nil, errNoConn
		}
		k.c = c
		e.conns++
		e.r.loop.Start(&k.timer, e.r.cfg.Control.ConnectTimeout)
	}
	k.sink = s
	k.c.Write(head)
	if len(body) > 16<<10 {
		k.c.WriteRef(body)
	} else {
		k.c.Write(body)
	}
	if k.dialed {
		s.connected()
	}
	return k, nil
}

func (k *engineConn) Opened(*loop.Conn) {
	k.dialed = true
	k.e.r.loop.Stop(&k.timer)
	if k.sink != nil {
		k.sink.connected()
	}
}

// expire ends a connection that was not made in time, or idled for too long.
func (k *engineConn) expire() {
	if !k.dialed {
		k.fail()
		return
	}
	k.e.idle = slices.DeleteFunc(k.e.idle, func(o *engineConn) bool { return o == k })
	k.abort()
}

// abort ends the connection; its sink hears no more.
func (k *engineConn) abort() {
	if !k.c.IsClosed() {
		k.e.r.loop.Stop(&k.timer)
		k.c.Abort()
		k.e.conns--
		k.e.forget()
	}
	k.sink = nil
}

func (k *engineConn) fail() {
	s, dialed := k.sink, k.dialed
	if s == nil {
		k.e.idle = slices.DeleteFunc(k.e.idle, func(o *engineConn) bool { return o == k })
	}
	k.abort()
	if s != nil {
		s.broken(dialed)
	}
}

func (k *engineConn) Data(c *loop.Conn, b []byte) int {
	total := 0
	for {
		if k.sink == nil || c.IsClosed() {
			if total < len(b) { // bytes that nobody asked for
				k.fail()
			}
			return len(b)
		}
		used, kind, data, err := k.parser.Next(b[total:])
		total += used
		if err != nil {
			k.e.r.log.Warn().Str("node", k.e.node.Name).Str("reason", err.Reason).Msg("malformed response")
			k.fail()
			return len(b)
		}
		switch kind {
		case http1.More:
			return total
		case http1.HeadDone:
			k.linger = k.parser.Head.KeepAlive
			k.sink.head(&k.parser.Head)
		case http1.Data:
			k.sink.data(data)
		case http1.End:
			s := k.sink
			k.sink = nil
			if k.linger && !k.e.gone {
				k.c.Resume()
				k.e.idle = append(k.e.idle, k)
				k.e.r.loop.Start(&k.timer, k.e.r.cfg.Limits.EngineIdle)
			} else {
				k.abort()
			}
			s.end()
		}
	}
}

func (k *engineConn) EOF(c *loop.Conn) {
	if c.Paused() { // its client is slow: the end comes again after what lies unread
		return
	}
	if k.sink != nil && k.parser.Close() {
		s := k.sink
		k.abort()
		s.end()
		return
	}
	k.fail()
}
func (k *engineConn) Closed(*loop.Conn, error) {
	k.e.r.loop.Stop(&k.timer)
	k.e.conns--
	s := k.sink
	if k.sink = nil; s != nil {
		s.broken(k.dialed)
	} else {
		k.e.idle = slices.DeleteFunc(k.e.idle, func(o *engineConn) bool { return o == k })
	}
	k.e.forget()
}
func (k *engineConn) Drained(*loop.Conn) {}

func (e *engine) dropIdle() {
	idle := e.idle
	e.idle = nil
	for _, k := range idle {
		k.abort()
	}
}

// forget drops an engine that is gone from the list and has nothing left to do.
func (e *engine) forget() {
	if e.gone && e.conns == 0 && len(e.aborts) == 0 && e.r.engines[e.node.ID] == e {
		delete(e.r.engines, e.node.ID)
	}
}

// request appends a request's head, without its own fields' end.
func (e *engine) request(method, path string) []byte {
	b := http1.AppendRequest(make([]byte, 0, 256), method, path)
	return http1.AppendField(b, "Host", e.node.Addr.String())
}

// probing is the answer to a probe on its way.
type probing struct {
	e      *engine
	p      *pool
	conn   *engineConn
	timer  wheel.Timer
	since  time.Duration
	status int
	report []float64
	over   bool
}

func (e *engine) probe(p *pool) {
	s := &probing{e: e, p: p, since: e.r.loop.Now()}
	s.timer.Fire = func() { s.finish(control.TimedOut) }
	conn, err := e.start(s, append(e.request("GET", "/health"), "\r\n"...), nil)
	if err != nil {
		s.finish(control.Moot)
		return
	}
	s.conn = conn
	e.r.loop.Start(&s.timer, e.r.cfg.Limits.ProbeTimeout)
}

func (s *probing) connected() {}
func (s *probing) head(h *http1.Head) {
	s.status = h.Status
	s.report = openai.Orca(h.Get("endpoint-load-metrics"), s.p.set.Reports)
}
func (s *probing) data([]byte) {}
func (s *probing) end() {
	s.conn = nil
	if s.status == 200 {
		s.finish(control.OK)
	} else {
		s.finish(control.Failed)
	}
}
func (s *probing) broken(dialed bool) {
	s.conn = nil
	if dialed {
		s.finish(control.Reset)
	} else {
		s.finish(control.ConnectFailed)
	}
}

func (s *probing) finish(result control.Result) {
	if s.over {
		return
	}
	s.over = true
	s.e.r.loop.Stop(&s.timer)
	if s.conn != nil {
		s.conn.abort()
	}
	s.p.push(control.ProbeResult{Server: s.e.node.ID, Result: result, Took: s.e.r.loop.Now() - s.since, Report: s.report})
}

const (
	abortRetry   = 50 * time.Millisecond // after the first failure; then ever longer
	abortSlow    = 500 * time.Millisecond
	abortTimeout = 250 * time.Millisecond
	abortLimit   = time.Minute // then the engine's own limit has to do it
	mostAborts   = 10000       // of one engine
	abortsAtOnce = 500
)

// abort lets go of what an engine holds or runs under an id. An engine that can't be
// told, behind a cut link for one, is told as soon as it can be.
func (e *engine) abort(id string) {
	if len(e.aborts) >= mostAborts {
		e.r.log.Warn().Str("node", e.node.Name).Msg("too many states to let go: one is left to its engine")
		return
	}
	e.aborts[id] = e.r.loop.Now() + abortLimit
	e.flushAborts()
}

func (e *engine) flushAborts() {
	if e.aborting || e.retry.Set() {
		return
	}
	e.aborting = true
	e.r.loop.After(func() {
		var ids []string
		for id, until := range e.aborts {
			if e.r.loop.Now() > until {
				e.r.log.Warn().Str("node", e.node.Name).Str("id", id).Msg("a state could not be let go in time")
				delete(e.aborts, id)
			} else if len(ids) < abortsAtOnce {
				ids = append(ids, id)
			}
		}
		if len(ids) == 0 {
			e.aborting = false
			e.forget()
			return
		}
		body := []byte(`{"request_ids":[`)
		for i, id := range ids {
			if i > 0 {
				body = append(body, ',')
			}
			body = gjson.AppendJSONString(body, id)
		}
		body = append(body, "]}"...)
		s := &aborting{e: e, ids: ids}
		s.timer.Fire = func() { s.finish(false) }
		conn, err := e.start(s, http1.AppendLength(http1.AppendField(e.request("POST", "/abort_requests"), "Content-Type", "application/json"), len(body)), body)
		if err != nil {
			s.finish(false)
			return
		}
		s.conn = conn
		e.r.loop.Start(&s.timer, abortTimeout)
	})
}

// aborting is a call that lets go of states.
type aborting struct {
	e      *engine
	ids    []string
	conn   *engineConn
	timer  wheel.Timer
	status int
	over   bool
}

func (s *aborting) connected()         {}
func (s *aborting) head(h *http1.Head) { s.status = h.Status }
func (s *aborting) data([]byte)        {}
func (s *aborting) end() {
	s.conn = nil
	s.finish(s.status == 200)
}
func (s *aborting) broken(bool) {
	s.conn = nil
	s.finish(false)
}

func (s *aborting) finish(ok bool) {
	if s.over {
		return
	}
	s.over = true
	s.e.r.loop.Stop(&s.timer)
	if s.conn != nil {
		s.conn.abort()
	}
	s.e.aborting = false
	if ok {
		s.e.pause = 0
		for _, id := range s.ids {
			delete(s.e.aborts, id)
		}
		if len(s.e.aborts) > 0 {
			s.e.flushAborts()
		}
		s.e.forget()
		return
	}
	s.e.pause = min(max(2*s.e.pause, abortRetry), abortSlow)
	s.e.retry.Fire = s.e.flushAborts
	s.e.r.loop.Start(&s.e.retry, s.e.pause)
}
