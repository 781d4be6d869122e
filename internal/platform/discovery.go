package platform

import (
	"bytes"
	"encoding/json"
	"math"
	"net/netip"
	"strconv"
	"time"

	"martenlock/internal/http1"
	"martenlock/internal/loop"
	"martenlock/internal/wheel"
)

const (
	watchSilence  = 5 * time.Second // an empty line is due each 2 s
	watchRetry    = 50 * time.Millisecond
	watchRetryMax = time.Second
	mostLine      = 4 << 20 // bytes of one message
)

// watch follows discovery at one address, again and again.
type watch struct {
	r      *Router
	addr   netip.AddrPort
	conn   *loop.Conn
	parser *http1.Parser
	line   []byte
	status int
	timer  wheel.Timer // of silence while connected, else until the next try
	pause  time.Duration
	ended  bool
}

var watchLimits = http1.Limits{Line: 4096, Headers: 16 << 10, Fields: 64, Body: math.MaxInt64 / 2}

func (r *Router) follow(addr netip.AddrPort) {
	if r.watch != nil {
		r.watch.end()
	}
	r.watch = &watch{r: r, addr: addr}
	r.watch.dial()
}

func (w *watch) end() {
	w.ended = true
	w.r.loop.Stop(&w.timer)
	if w.conn != nil {
		w.conn.Abort()
		w.conn = nil
	}
}

func (w *watch) dial() {
	w.parser, w.line, w.status = http1.NewResponses(&watchLimits), nil, 0
	c, err := w.r.loop.Dial(w.addr, w)
	if err != nil {
		w.again()
		return
	}
	w.conn = c
	b := http1.AppendRequest(nil, "GET", "/v1/servers?follow=1&since="+strconv.FormatUint(w.r.table.Revision(), 10))
	b = http1.AppendField(b, "Host", w.addr.String())
	c.Write(append(b, "\r\n"...))
	w.listen()
}

func (w *watch) listen() {
	w.timer.Fire = w.again
	w.r.loop.Start(&w.timer, watchSilence)
}

// again ends the watch at hand and makes another after a while.
func (w *watch) again() {
	if w.ended {
		return
	}
	if w.conn != nil {
		w.conn.Abort()
		w.conn = nil
	}
	w.pause = min(max(2*w.pause, watchRetry), watchRetryMax)
	w.timer.Fire = w.dial
	w.r.loop.Start(&w.timer, w.pause)
}

// Opened and the others are the loop's.
func (w *watch) Opened(*loop.Conn)        {}
func (w *watch) Drained(*loop.Conn)       {}
func (w *watch) EOF(*loop.Conn)           { w.again() }
func (w *watch) Closed(*loop.Conn, error) { w.conn = nil; w.again() }

func (w *watch) Data(c *loop.Conn, b []byte) int {
	w.listen()
	for total := 0; ; {
		used, kind, data, err := w.parser.Next(b[total:])
		total += used
		switch {
		case err != nil || kind == http1.End:
			w.again()
			return len(b)
		case kind == http1.More:
			return total
		case kind == http1.HeadDone:
			if w.status = w.parser.Head.Status; w.status != 200 {
				w.again()
				return len(b)
			}
		case kind == http1.Data:
			if !w.take(data) {
				w.r.log.Warn().Msg("discovery: a message that can't be read; the watch begins anew")
				w.again()
				return len(b)
			}
		}
	}
}

// take takes the bytes of messages, one a line.
func (w *watch) take(b []byte) bool {
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			if len(w.line)+len(b) > mostLine {
				return false
			}
			w.line = append(w.line, b...)
			return true
		}
		line := b[:i]
		if len(w.line) > 0 {
			line, w.line = append(w.line, line...), nil
		}
		b = b[i+1:]
		if line = bytes.TrimSpace(line); len(line) == 0 {
			w.pause = 0
			continue
		}
		if !w.r.told(line) {
			return false
		}
		w.pause = 0
	}
	return true
}

// told takes one message of discovery; false where it can't be read.
func (r *Router) told(text []byte) bool {
	var l lists
	if err := json.Unmarshal(text, &l); err != nil {
		return false
	}
	list, err := l.list(&r.cfg.Settings, r.at)
	if err != nil {
		r.log.Warn().Err(err).Msg("discovery: entries left out")
	}
	ev, news, err := r.table.Apply(r.now(), list)
	if err != nil {
		r.log.Warn().Err(err).Msg("discovery: list not taken")
	}
	if news {
		r.fleet(ev)
	}
	return true
}
