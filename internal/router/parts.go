package router

import (
	"fmt"
	"time"

	"martenlock/control"
	"martenlock/control/batch"
	"martenlock/internal/config"
	"martenlock/internal/http1"
	"martenlock/internal/openai"
)

// whole is a request that is out in parts. Each part is an exchange of its own with a
// front that has no connection; package batch says what their ends mean.
type whole struct {
	f      *front
	p      *pool
	call   *openai.Call
	plan   []batch.Part
	batch  *batch.Batch
	fronts []*front
	bodies [][]byte
	name   string // under which the client knows it
	size   int64
}

// part ties an exchange to its whole.
type part struct {
	w *whole
	i int
}

// split takes a request in parts where the pool's limits ask for it, and says so.
func (f *front) split(p *pool, call *openai.Call, class config.Class, ev control.Request) bool {
	r := f.r
	items, tokens := call.Items(r.cfg.Request.OpenAI)
	plan := batch.Plan(tokens, p.set.Part)
	if len(plan) < 2 {
		return false
	}
	w := &whole{f: f, p: p, call: call, plan: plan, batch: batch.New(len(plan), p.cfg.Control.Classes[class.Whole]),
		bodies: make([][]byte, len(plan)), name: r.nextName(), size: int64(len(f.body))}
	f.body = nil
	f.whole = w
	for i, s := range plan {
		sum := 0.0
		for _, t := range tokens[s.From:s.To] {
			sum += t
		}
		pf := &front{r: r, part: &part{w, i}, minor: 1}
		x := &exchange{p: p, f: pf, id: p.id(), name: w.name + "-" + fmt.Sprint(i), call: call.Part(items[s.From:s.To], sum), path: f.path,
			forward: http1.AppendField(f.forward[:len(f.forward):len(f.forward)], "X-Request-Part", fmt.Sprintf("%d/%d", i+1, len(plan)))}
		for _, item := range items[s.From:s.To] {
			x.size += int64(len(item)) + 1
		}
		pf.x = x
		w.fronts = append(w.fronts, pf)
		r.bytes += x.size
		r.active++
		p.live[x.id] = x
		ev.ID, ev.PromptLen, ev.Session = x.id, sum, 0 // a session's engine would get all parts
		p.push(ev)
	}
	f.forward = nil
	return true
}

// answered takes a part's answer in the place of its client.
func (t *part) answered(status int, kind string, body []byte) {
	w := t.w
	outcome := batch.Rejected
	switch status {
	case 200:
		outcome = batch.Served
		w.bodies[t.i] = body
		w.p.r.bytes += int64(len(body))
	case 429, 503:
		outcome = batch.Refused
	case 502, 504:
		outcome = batch.Failed
	}
	x := w.fronts[t.i].x
	verdict := w.batch.End(t.i, outcome)
	if verdict == batch.Wait {
		return
	}
	f, r := w.f, w.p.r
	switch verdict {
	case batch.Answer:
		r.served++
		f.reply(200, kind, w.name, "", w.call.Merge(w.plan, w.bodies))
	case batch.Reject:
		f.reply(status, kind, w.name, "", body)
	case batch.Refuse:
		r.refused++
		f.reply(status, kind, w.name, retryFields(batch.RetryAfter(x.retryAfter, len(w.plan), w.p.cfg.Control.MaxRetryAfter)), body)
	case batch.Fail:
		r.failed++
		if outcome == batch.Refused { // that part did not run, but others may have
			status = 502
			body = (&openai.Error{Status: 502, Message: "Part of the request was not served; the rest may have run.", Type: "server_error", Code: "engine_failed"}).Append(nil)
		}
		f.reply(status, kind, w.name, "x-should-retry: false\r\n", body)
	}
	w.close(t.i)
	f.next()
}

// close withdraws the parts that are out, but for one whose end is being told.
func (w *whole) close(but int) {
	for _, i := range w.batch.Out() {
		if x := w.fronts[i].x; i != but && x != nil {
			w.fronts[i].x = nil
			x.clientGone()
		}
	}
	w.batch.Gone()
	for i, b := range w.bodies {
		w.p.r.bytes -= int64(len(b))
		w.bodies[i] = nil
	}
	w.p.r.bytes -= w.size
	w.size = 0
	w.f.whole = nil
}

// gone ends the whole without an answer: its client has left.
func (w *whole) gone() {
	w.p.r.left++
	w.close(-1)
}

// abandon ends it with a failure when the router must go.
func (w *whole) abandon() {
	f := w.f
	w.p.r.failed++
	f.reply(502, "application/json", w.name, "x-should-retry: false\r\n",
		(&openai.Error{Status: 502, Message: "The router is shutting down.", Type: "server_error"}).Append(nil))
	w.close(-1)
	f.next()
}

// busy tells that a request is under way.
func (f *front) busy() bool { return f.x != nil || f.whole != nil || f.pending != nil }

// patience is how long the client waits at most.
func (f *front) patience(class control.Class) time.Duration {
	if f.deadline > 0 {
		return min(class.Deadline, f.deadline)
	}
	return class.Deadline
}
