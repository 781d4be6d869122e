package openaiserver_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"martenlock/control"
	"martenlock/internal/demo"
	"martenlock/internal/fakeengine"
	"martenlock/internal/invariant"
	"martenlock/internal/serve"
)

const ms = time.Millisecond

// world is a router with engines of its own and clients that record what they see.
type world struct {
	*demo.Cluster
	t     *testing.T
	rec   *invariant.Recording
	log   *logged
	count atomic.Int64
}

type logged struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logged) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.b.String(), text)
}

func spec(name string, role control.Role) fakeengine.Spec {
	kind := []string{"reader", "writer", "mixed"}[role]
	return fakeengine.Spec{Name: name, Kind: kind, Pool: "chat", Zone: "a", Cell: "1", Role: role, PrefillTokensPerSecond: 1e6, TokenInterval: 2 * ms, DecodeSlots: 50, MaxWaiting: 50, AnswerTokens: 5}
}

func embedder(name string) fakeengine.Spec {
	s := spec(name, control.RoleColocated)
	s.Kind, s.Pool, s.Dimensions = "embedder", "embeddings", 8
	return s
}

// start starts a world; edits are pairs of old and new text in the demo's settings.
func start(t *testing.T, specs []fakeengine.Spec, edits ...string) *world {
	t.Helper()
	w := &world{t: t, rec: invariant.NewRecording(1 << 20), log: &logged{}}
	settings := fmt.Sprintf(demo.Settings, "127.0.0.1:0", 1, "info")
	for i := 0; i < len(edits); i += 2 {
		if !strings.Contains(settings, edits[i]) {
			t.Fatalf("no %q in the settings", edits[i])
		}
		settings = strings.Replace(settings, edits[i], edits[i+1], 1)
	}
	var err error
	if w.Cluster, err = demo.Start(demo.Options{Specs: specs, Settings: settings, Log: w.log, Recording: w.rec}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		w.settle()
		rules := demo.Rules
		rules.Skew = 200 * ms // a loaded machine
		if rep := invariant.Check(w.rec, rules, w.Clock()); !rep.Kept() && rep.Verdicts[0].Checked > 0 {
			t.Errorf("a rule was broken:\n%s", rep)
		}
		if err := w.Close(); err != nil {
			t.Error(err)
		}
	})
	return w
}

// until waits for something to become true.
func (w *world) until(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(2 * ms) {
		if time.Now().After(end) {
			w.t.Fatalf("waited in vain: %s", what)
		}
	}
}

// settle waits until nothing is under way and nothing held.
func (w *world) settle() {
	w.t.Helper()
	w.until("nothing under way", func() bool {
		s, err := w.Service.Router.Stats()
		if err != nil || s.OpenRequests > 0 || s.BufferedBytes > 0 || s.PendingKVReleases > 0 {
			return err != nil
		}
		for _, e := range w.FindEngines("zone:a") {
			if x := e.Stats(); x.Running+x.Waiting+x.RetainedStates > 0 {
				return false
			}
		}
		return true
	})
}

func (w *world) engine(name string) *fakeengine.Engine { return w.FindEngines(name)[0] }

// call is a request to the router.
type call struct {
	path, class, session string
	stream               bool
	tokens               int
	deadline             time.Duration // header; 0 for none
	ctx                  context.Context
	prompt               string
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

var (
	deadlines = map[string]time.Duration{"ask": 5 * time.Second, "job": 6 * time.Second, "note": 6 * time.Second, "search": 3 * time.Second}
	effects   = map[string]invariant.Effect{"job": invariant.IdempotentWithKey, "note": invariant.NotIdempotent}
)

func (w *world) ask(c call) reply {
	if c.class == "" {
		c.class = "ask"
	}
	if c.ctx == nil {
		c.ctx = context.Background()
	}
	body := fmt.Sprintf(`{"model":"demo-chat","max_tokens":%d,"stream":%v,"messages":[{"role":"system","content":"You are a plumber."},{"role":"user","content":"frozen %s"}]}`,
		max(c.tokens, 1), c.stream, c.prompt)
	if c.path == "" {
		c.path = "/v1/chat/completions"
	}
	if c.path == "/v1/embeddings" {
		body = `{"model":"demo-embed","input":"frozen pipe"}`
	}
	req, err := http.NewRequestWithContext(c.ctx, "POST", "http://"+w.Service.Router.Addr()+c.path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	id := fmt.Sprintf("q%d", w.count.Add(1))
	req.Header.Set("X-Client-Request-Id", id)
	req.Header.Set("X-Request-Class", c.class)
	patience := deadlines[c.class]
	if c.deadline > 0 {
		patience = c.deadline
		req.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	}
	if c.session != "" {
		req.Header.Set("X-Session-Id", c.session)
	}
	began := w.Clock()
	w.rec.Add(invariant.Event{At: began, Kind: invariant.RequestSent, Request: id, Effect: effects[c.class], DedupWindow: 3 * time.Second, Deadline: began + patience})
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		w.rec.Add(invariant.Event{At: w.Clock(), Kind: invariant.ClientLeft, Request: id})
		return reply{err: err}
	}
	defer resp.Body.Close()
	if c.stream && resp.StatusCode == 200 {
		w.rec.Add(invariant.Event{At: w.Clock(), Kind: invariant.FirstToken, Request: id})
	}
	text, err := io.ReadAll(resp.Body)
	r := reply{resp.StatusCode, resp.Header, string(text), err, w.Clock() - began}
	result := invariant.Malformed
	switch {
	case c.ctx.Err() != nil:
		w.rec.Add(invariant.Event{At: w.Clock(), Kind: invariant.ClientLeft, Request: id})
		return r
	case r.served():
		result = invariant.Served
	case r.refused(), r.status >= 400 && r.status < 429:
		result = invariant.Rejected
	case r.failed() || strings.Contains(r.body, `{"error"`) && err != nil:
		result = invariant.Failed
	}
	w.rec.Add(invariant.Event{At: w.Clock(), Kind: invariant.FinalAnswer, Request: id, Result: result})
	return r
}

func (r reply) served() bool {
	return r.status == 200 && r.err == nil && (json.Valid([]byte(r.body)) || strings.HasSuffix(r.body, "data: [DONE]\n\n"))
}

func (r reply) refused() bool {
	return (r.status == 429 || r.status == 503) && r.header.Get("Retry-After") != "" && r.header.Get("Retry-After-Ms") != ""
}

func (r reply) failed() bool {
	return (r.status == 502 || r.status == 504) && r.header.Get("X-Should-Retry") == "false"
}

func (r reply) broken() bool {
	return r.status == 200 && r.err != nil && strings.Contains(r.body, `{"error"`) && !strings.Contains(r.body, "[DONE]")
}

func (r reply) String() string {
	return fmt.Sprintf("%d %v %.300q after %v", r.status, r.err, r.body, r.took)
}

func two(readers, writers int) (list []fakeengine.Spec) {
	for i := range readers {
		list = append(list, spec(fmt.Sprintf("r%d", i+1), control.RolePrefill))
	}
	for i := range writers {
		list = append(list, spec(fmt.Sprintf("w%d", i+1), control.RoleDecode))
	}
	return list
}

// TestFiveRulesHoldUnderEachFault sends one request of each class to engines of which something is wrong.
// Cleanup judges the five rules from the sockets each time.
func TestFiveRulesHoldUnderEachFault(t *testing.T) {
	served, refused, failed, broken := reply.served, reply.refused, reply.failed, reply.broken
	type outcome struct {
		class  string
		stream bool
		want   func(reply) bool
	}
	for _, c := range []struct {
		name   string
		faults map[string]fakeengine.Fault
		dead   string
		asks   []outcome
	}{
		{"one reader answers nothing", map[string]fakeengine.Fault{"r1": {Hang: true}}, "", []outcome{{"ask", true, served}, {"note", true, served}}},
		{"all readers answer nothing", map[string]fakeengine.Fault{"r1": {Hang: true}, "r2": {Hang: true}}, "", []outcome{{"ask", true, refused}, {"note", false, refused}}},
		{"one writer answers nothing", map[string]fakeengine.Fault{"w1": {Hang: true}}, "", []outcome{{"ask", true, served}}},
		{"all writers answer nothing", map[string]fakeengine.Fault{"w1": {Hang: true}, "w2": {Hang: true}}, "", []outcome{{"note", true, failed}, {"ask", true, refused}}},
		{"reset before the request ran", map[string]fakeengine.Fault{"r1": {ResetBefore: true}, "w1": {ResetBefore: true}}, "", []outcome{{"ask", true, served}, {"ask", false, served}}},
		{"reset before the first token", map[string]fakeengine.Fault{"w1": {ResetAfter: -1}, "w2": {ResetAfter: -1}}, "", []outcome{{"note", true, failed}, {"note", false, failed}, {"ask", true, refused}}},
		{"reset after the first token", map[string]fakeengine.Fault{"w1": {ResetAfter: 2}, "w2": {ResetAfter: 2}}, "", []outcome{{"note", false, failed}, {"note", true, broken}}},
		{"a stream that stalls", map[string]fakeengine.Fault{"w1": {StallAfter: 2}, "w2": {StallAfter: 2}}, "", []outcome{{"ask", true, broken}}},
		{"errors", map[string]fakeengine.Fault{"r1": {ErrorRate: 1}, "w1": {ErrorRate: 1}}, "", []outcome{{"ask", true, served}, {"ask", false, served}}},
		{"errors everywhere", map[string]fakeengine.Fault{"w1": {ErrorRate: 1}, "w2": {ErrorRate: 1}}, "", []outcome{{"note", false, failed}, {"ask", false, refused}}},
		{"one says the state is gone", map[string]fakeengine.Fault{"w1": {KVUnavailable: true}}, "", []outcome{{"ask", true, served}, {"note", false, served}}},
		{"all say the state is gone", map[string]fakeengine.Fault{"w1": {KVUnavailable: true}, "w2": {KVUnavailable: true}}, "", []outcome{{"ask", true, refused}, {"note", true, refused}}},
		{"answers of one reader are lost", map[string]fakeengine.Fault{"r1": {AnswersLost: true}}, "", []outcome{{"ask", true, served}, {"ask", true, served}, {"note", false, served}}},
		{"answers of all readers are lost", map[string]fakeengine.Fault{"r1": {AnswersLost: true}, "r2": {AnswersLost: true}}, "", []outcome{{"ask", true, refused}}},
		{"answers of all writers are lost", map[string]fakeengine.Fault{"w1": {AnswersLost: true}, "w2": {AnswersLost: true}}, "", []outcome{{"note", true, failed}, {"ask", false, refused}}},
		{"writers full", map[string]fakeengine.Fault{"w1": {RejectAll: true}, "w2": {RejectAll: true}}, "", []outcome{{"ask", true, refused}, {"note", true, refused}}},
		{"the whole fleet gone, and nobody says so", nil, "zone:a", []outcome{{"ask", true, refused}, {"note", false, refused}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := start(t, two(2, 2), "engine_stall = 2s", "engine_stall = 300ms", "[class ask]\naim = 1s", "[class ask]\naim = 300ms",
				"[class note]\naim = 1500ms\ndeadline = 6s", "[class note]\naim = 300ms\nwhole_aim = 900ms\ndeadline = 6s", "aim_per_1000 = 50ms\n", "aim_per_1000 = 50ms\nwhole_aim = 900ms\n")
			for name, fault := range c.faults {
				w.engine(name).SetFault(fault)
			}
			if c.dead != "" {
				for _, e := range w.FindEngines(c.dead) {
					e.Kill()
				}
			}
			for i, a := range c.asks {
				if r := w.ask(call{class: a.class, stream: a.stream, tokens: 5, deadline: 2 * time.Second}); !a.want(r) {
					t.Errorf("request %d, class %s, stream %v: %v", i, a.class, a.stream, r)
				}
			}
			for name := range c.faults {
				w.engine(name).SetFault(fakeengine.Fault{})
			}
		})
	}
}

// TestNothingIsLeftWhenAClientLeaves: a client that leaves while its request is queued, prefilled,
// parked between the stages, or streamed leaves nothing behind; cleanup waits for that and judges.
func TestNothingIsLeftWhenAClientLeaves(t *testing.T) {
	for _, c := range []struct {
		name  string
		specs func() []fakeengine.Spec
		fault map[string]fakeengine.Fault
		when  func(w *world) bool
	}{
		{"held", func() []fakeengine.Spec { return two(1, 1) }, nil, func(w *world) bool { s, _ := w.Service.Router.Stats(); return s.OpenRequests == 1 }},
		{"reading", func() []fakeengine.Spec { return two(1, 1) }, map[string]fakeengine.Fault{"r1": {PrefillDelay: time.Second}}, func(w *world) bool { return w.engine("r1").Stats().Waiting == 1 }},
		{"resting", func() []fakeengine.Spec { return two(1, 2) }, map[string]fakeengine.Fault{"w1": {RejectAll: true}, "w2": {RejectAll: true}}, func(w *world) bool { return w.engine("r1").Stats().RetainedStates == 1 }},
		{"writing", func() []fakeengine.Spec {
			list := two(1, 1)
			list[1].TokenInterval, list[1].AnswerTokens = 20*ms, 1000
			return list
		}, nil, func(w *world) bool { return w.engine("w1").Stats().Running == 1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := start(t, c.specs())
			for name, fault := range c.fault {
				w.engine(name).SetFault(fault)
			}
			if c.name == "held" {
				if err := w.SetState("gone", false, w.engine("r1")); err != nil {
					t.Fatal(err)
				}
				w.until("list taken", func() bool { return w.log.has("endpoint list applied") && w.ask(call{deadline: 150 * ms}).refused() })
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan reply)
			go func() { done <- w.ask(call{ctx: ctx, stream: true, tokens: 1000}) }()
			w.until("in the stage "+c.name, func() bool { return c.when(w) })
			cancel()
			<-done
			began := time.Now()
			w.settle()
			if took := time.Since(began); took > time.Second {
				t.Errorf("ended after %v", took)
			}
			if s, _ := w.Service.Router.Stats(); s.Canceled == 0 {
				t.Error("the router did not notice")
			}
		})
	}
}

// TestDrainingEngineGetsNothingAfterItsGrace: under load an engine is drained and gets nothing after the
// grace, and a replacement in slow start takes over without overload; cleanup judges both.
func TestDrainingEngineGetsNothingAfterItsGrace(t *testing.T) {
	list := two(2, 2)
	for i := range list {
		list[i].SlowStartInitialSpeed, list[i].SlowStartDuration = 0.3, 6*time.Second
	}
	w := start(t, list)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var served, other atomic.Int64
	for i := range 16 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if r := w.ask(call{stream: i%2 == 0, tokens: 5, class: []string{"ask", "job", "note"}[i%3], session: fmt.Sprint(i)}); r.served() {
					served.Add(1)
				} else {
					other.Add(1)
				}
			}
		})
	}
	for i, name := range []string{"w1", "r1", "w2", "r2"} {
		w.until("load", func() bool { return served.Load() > int64(100*(i+1)) })
		next := list[map[string]int{"r1": 0, "r2": 1, "w1": 2, "w2": 3}[name]]
		next.Name += "-next"
		if err := w.AddEngine(next, true); err != nil {
			t.Fatal(err)
		}
		if err := w.SetState("draining", false, w.engine(name)); err != nil {
			t.Fatal(err)
		}
		at := w.engine(name)
		w.until("drained", func() bool { s := at.Stats(); return s.Running+s.Waiting == 0 })
	}
	was := served.Load()
	w.until("served by cold engines alone", func() bool { return served.Load() > was+20 })
	close(stop)
	wg.Wait()
	if w.engine("w1-next").Stats().Served == 0 {
		t.Error("the replacement got nothing")
	}
}

// TestKVReleaseIsRetriedUntilTheEngineHears: KV state at a prefill engine that hears nothing when it is
// to release it is released as soon as it hears again; the fake engine's own limit would take 5 s.
func TestKVReleaseIsRetriedUntilTheEngineHears(t *testing.T) {
	w := start(t, two(1, 1), "aim = 1s", "aim = 400ms")
	w.engine("w1").SetFault(fakeengine.Fault{RejectAll: true})
	done := make(chan reply)
	go func() { done <- w.ask(call{stream: true, deadline: 600 * ms}) }()
	w.until("a state rests", func() bool { return w.engine("r1").Stats().RetainedStates == 1 })
	w.engine("r1").SetFault(fakeengine.Fault{Hang: true})
	if r := <-done; !r.refused() {
		t.Error(r)
	}
	time.Sleep(700 * ms) // some tries fail; right code passes without
	w.engine("r1").SetFault(fakeengine.Fault{})
	began := time.Now()
	w.until("let go", func() bool { return w.engine("r1").Stats().RetainedStates == 0 })
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("ended after %v", took)
	}
}

// TestAnswerBeforeADeadlineBetweenStages: the prefill ends when hardly any time is left, or no
// decode engine takes it before the deadline: an answer comes before it, and the KV state is released.
func TestAnswerBeforeADeadlineBetweenStages(t *testing.T) {
	w := start(t, two(1, 1), "aim = 1s", "aim = 900ms")
	w.engine("w1").SetFault(fakeengine.Fault{RejectAll: true})
	for _, late := range []time.Duration{0, 200 * ms, 280 * ms, 340 * ms, 400 * ms} {
		w.engine("r1").SetFault(fakeengine.Fault{PrefillDelay: late})
		if r := w.ask(call{deadline: 400 * ms, stream: true}); !r.refused() || r.took > 400*ms {
			t.Errorf("read takes %v: %v", late, r)
		}
		w.settle()
	}
}

// TestNotIdempotentIsNeverExecutedTwice breaks answers at every point for many requests that are
// not idempotent at once; cleanup counts executions.
func TestNotIdempotentIsNeverExecutedTwice(t *testing.T) {
	w := start(t, two(2, 3))
	for i, f := range []fakeengine.Fault{{ResetAfter: -1}, {ErrorRate: 0.5}, {ResetAfter: 2}} {
		w.engine(fmt.Sprintf("w%d", i+1)).SetFault(f)
	}
	var wg sync.WaitGroup
	var failed, answered atomic.Int64
	for i := range 60 {
		wg.Go(func() {
			r := w.ask(call{class: "note", stream: i%2 == 0, tokens: 5})
			if answered.Add(1); r.failed() || r.broken() {
				failed.Add(1)
			}
		})
	}
	wg.Wait()
	if failed.Load() == 0 {
		t.Error("nothing failed: the faults did not act")
	}
}

// TestSlowClientPausesTheEngine: a client that takes nothing stops the engine's stream; what the router
// buffers of it stays bounded, and in the end the connection is closed.
func TestSlowClientPausesTheEngine(t *testing.T) {
	list := two(1, 1)
	list[1].TokenInterval, list[1].AnswerTokens = 0, 400_000 // some 80 MB
	w := start(t, list, "[limits]\n", "[limits]\nclient_stall = 1s\n", "memory_tokens = 60000", "memory_tokens = 600000")
	c, err := net.Dial("tcp", w.Service.Router.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	body := `{"model":"demo-chat","stream":true,"max_tokens":400000,"messages":[{"role":"user","content":"all of it"}]}`
	fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	most := 0
	w.until("the client is let go", func() bool {
		s, err := w.Service.Router.Stats()
		most = max(most, s.MaxUnsentBytes)
		return err == nil && s.Canceled == 1 && s.OpenRequests == 0
	})
	if most < 64<<10 || most > 512<<10 {
		t.Errorf("held %d bytes: none, or more than the marks", most)
	}
	w.settle()
}

// TestSlowRequestAndIdleConnectionAreClosed: a client that dribbles its request is cut off with 408, and idle
// ones are closed.
func TestSlowRequestAndIdleConnectionAreClosed(t *testing.T) {
	quick := start(t, two(1, 1), "[limits]\n", "[limits]\nidle = 150ms\n")
	slow := start(t, two(1, 1), "[limits]\n", "[limits]\nreceive = 200ms\n")
	for _, begin := range []string{"", "POST /v1/chat/completions HTTP/1.1\r\n", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{"} {
		w := slow
		if begin == "" {
			w = quick
		}
		c, err := net.Dial("tcp", w.Service.Router.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, begin)
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		got, _ := io.ReadAll(c)
		if ok := begin == "" && len(got) == 0 || begin != "" && strings.HasPrefix(string(got), "HTTP/1.1 408 "); !ok {
			t.Errorf("%q: got %q", begin, got)
		}
		c.Close()
	}
}

// TestOddHTTPRequestsGetTheirStatus writes odd requests to a client connection.
func TestOddHTTPRequestsGetTheirStatus(t *testing.T) {
	w := start(t, []fakeengine.Spec{embedder("e1")}, "[limits]\n", "[limits]\nbody = 5000\n")
	embed := `{"model":"demo-embed","input":"pipe"}`
	post := func(head, body string) string {
		return fmt.Sprintf("POST /v1/embeddings HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	for _, c := range []struct{ name, in, want string }{
		{"health", "GET /health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", `200 .*"ok"`},
		{"head", "HEAD /health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "200 [^{]*$"},
		{"1.0", "GET /v1/models HTTP/1.0\r\n\r\n", "200 .*Connection: close.*demo-chat"},
		{"pipelined", post("", embed) + post("Connection: close\r\n", embed), `200 .*embedding.*HTTP/1.1 200 .*embedding`},
		{"chunked", "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n25\r\n" + embed + "\r\n0\r\n\r\n", "200 "},
		{"expect", post("Expect: 100-continue\r\nConnection: close\r\n", embed), "100 Continue.*HTTP/1.1 200 "},
		{"too long", post("", strings.Repeat("x", 6000)), "413 .*Connection: close"},
		{"smuggled", "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /health HTTP/1.1\r\n\r\n", "400 [^H]*$"},
		{"not JSON", post("Connection: close\r\n", "{"), "400 .*not valid JSON"},
		{"no model", post("Connection: close\r\n", `{"model":"x","input":"a"}`), "404 .*model_not_found"},
		{"doubled member", post("Connection: close\r\n", `{"model":"demo-embed","input":"a","model":"x"}`), "400 .*twice"},
		{"bad deadline", post("X-Request-Deadline-Ms: soon\r\n", embed), "400 .*x-request-deadline-ms"},
		{"bad class", post("X-Request-Class: royal\r\nConnection: close\r\n", embed), "400 .*no class 'royal'"},
		{"wrong method", "GET /v1/embeddings HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "405 .*Allow: POST"},
		{"nowhere", "GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "404 "},
	} {
		conn, err := net.Dial("tcp", w.Service.Router.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, c.in)
		got, err := io.ReadAll(conn)
		if err != nil || !regexp.MustCompile("(?s)^HTTP/1.1 "+c.want).Match(got) {
			t.Errorf("%s: got %q, %v; want %s", c.name, got, err, c.want)
		}
		conn.Close()
	}
}

// TestLocalLimitsAreNoEnginesFault: what this machine lacks is no engine's fault. With one connection to
// an engine all requests have their answer and the engine stays in use.
func TestLocalLimitsAreNoEnginesFault(t *testing.T) {
	w := start(t, []fakeengine.Spec{embedder("e1")}, "[limits]\n", "[limits]\nengine_connections = 1\n")
	var wg sync.WaitGroup
	var served atomic.Int64
	for range 8 {
		wg.Go(func() {
			if r := w.ask(call{path: "/v1/embeddings", class: "search"}); r.served() {
				served.Add(1)
			} else if !r.refused() {
				t.Error(r)
			}
		})
	}
	wg.Wait()
	time.Sleep(50 * ms) // for the log's lines; right code passes without
	if served.Load() == 0 || w.log.has("endpoint ejected") {
		t.Errorf("%d served, or the engine was blamed", served.Load())
	}
}

// TestBadListOrSettingsKeepTheOldOnes: a bad list keeps the old one and says why; a good one acts; bad settings
// likewise; good ones act on new requests while old ones go on.
func TestBadListOrSettingsKeepTheOldOnes(t *testing.T) {
	w := start(t, two(1, 1))
	nodes, settings := filepath.Join(w.Dir(), "nodes.ini"), filepath.Join(w.Dir(), "martenlock.ini")
	good, err := os.ReadFile(nodes)
	if err != nil {
		t.Fatal(err)
	}
	write := func(path, text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write(nodes, strings.Replace(string(good), "kind = reader", "kind = toaster", 1))
	w.until("the reason", func() bool { return w.log.has("there is no section [kind toaster]") })
	if r := w.ask(call{}); !r.served() {
		t.Errorf("with a bad list: %v", r)
	}
	write(nodes, strings.ReplaceAll(string(good), "state = ready", "state = gone"))
	w.until("nobody there", func() bool { r := w.ask(call{deadline: 150 * ms}); return r.status == 503 && r.refused() })
	write(nodes, string(good))
	w.until("back", func() bool { return w.ask(call{}).served() })

	text, err := os.ReadFile(settings)
	if err != nil {
		t.Fatal(err)
	}
	write(settings, strings.Replace(string(text), "aim = 1s", "aim = soon", 1))
	if err := w.Service.Reload(); err == nil || !strings.Contains(err.Error(), `[class ask] aim: invalid duration "soon"`) {
		t.Errorf("bad settings: %v", err)
	}
	w.engine("r1").SetFault(fakeengine.Fault{PrefillDelay: 300 * ms})
	done := make(chan reply)
	go func() { done <- w.ask(call{stream: true}) }()
	w.until("read", func() bool { return w.engine("r1").Stats().Waiting == 1 })
	write(settings, strings.ReplaceAll(string(text), "demo-chat", "new-chat"))
	if err := w.Service.Reload(); err != nil {
		t.Fatal(err)
	}
	if r := w.ask(call{}); r.status != 404 {
		t.Errorf("the old model is still served: %v", r)
	}
	if r := <-done; !r.served() {
		t.Errorf("a request from before the reload: %v", r)
	}
}

// TestAnswerThatEndsWithItsConnectionIsNotCutShort: an engine whose answer ends with its connection is not cut short by a
// client that reads late.
func TestAnswerThatEndsWithItsConnectionIsNotCutShort(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var full atomic.Bool // the router has paused us: little more fits between
	ended := make(chan int, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
		events := 0
		for ; !full.Load(); events += 200 {
			fmt.Fprint(c, strings.Repeat("data: {\"x\":\"some forty bytes of a token, more or less\"}\n\n", 200))
			time.Sleep(ms)
		}
		fmt.Fprint(c, "data: [DONE]\n\n")
		ended <- events
	}()
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	write("nodes.ini", fmt.Sprintf("[node a]\npool = chat\nkind = mixed\naddress = %s\n", ln.Addr()))
	s, err := serve.Start(write("m.ini", fmt.Sprintf(demo.Settings, "127.0.0.1:0", 1, "error")), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+s.Router.Addr()+"/v1/chat/completions", "application/json",
		strings.NewReader(`{"model":"demo-chat","stream":true,"messages":[{"role":"user","content":"x"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	for unsent := 0; unsent < 128<<10; {
		st, err := s.Router.Stats()
		if unsent = st.MaxUnsentBytes; err != nil {
			t.Fatal(err)
		}
	}
	full.Store(true)
	events := <-ended
	time.Sleep(50 * ms) // let the engine's end arrive; right code passes without
	body, err := io.ReadAll(resp.Body)
	if n := strings.Count(string(body), "forty"); err != nil || n != events || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
		t.Errorf("%d of %d events, %v", n, events, err)
	}
	resp.Body.Close()
	if err := s.Stop(); err != nil {
		t.Error(err)
	}
}

// TestBoundsOfOpenRequestsBufferAndShutdown: above held requests are rejected at once; a whole answer longer than
// hold_back is passed on as it comes; streams that outlast the shutdown limit are aborted.
func TestBoundsOfOpenRequestsBufferAndShutdown(t *testing.T) {
	list := two(1, 1)
	list[1].TokenInterval, list[1].AnswerTokens = 20*ms, 10_000
	w := start(t, list, "[limits]\n", "[limits]\nheld = 1\nhold_back = 10\nshutdown = 300ms\n")
	if r := w.ask(call{tokens: 3}); !r.served() || !strings.Contains(r.body, "snow on the") || r.header.Get("Content-Length") == "" {
		t.Errorf("a long answer: %v", r)
	}
	done := make(chan reply)
	go func() { done <- w.ask(call{stream: true, tokens: 10_000}) }()
	w.until("streaming", func() bool { return w.engine("w1").Stats().Running == 1 })
	if r := w.ask(call{}); r.status != 503 || !r.refused() {
		t.Errorf("above held: %v", r)
	}
	w.Service.Router.Shutdown()
	if r := <-done; !r.broken() {
		t.Errorf("a stream past the shutdown limit: %v", r)
	}
}

// TestSlowLogHoldsUpNoRequest: a log that takes nothing holds up no request; lines are dropped and counted.
func TestSlowLogHoldsUpNoRequest(t *testing.T) {
	gate := make(chan struct{})
	w := &world{t: t, rec: invariant.NewRecording(1 << 16), log: &logged{}}
	var err error
	if w.Cluster, err = demo.Start(demo.Options{Specs: two(1, 1), Listen: "127.0.0.1:0", Seed: 1, LogLevel: "info", Log: gated{gate}, Recording: w.rec}); err != nil {
		t.Fatal(err)
	}
	for range 30_000 { // a line each
		w.Service.Router.SetNodes(nil)
	}
	if err := w.PublishEndpoints(); err != nil {
		t.Fatal(err)
	}
	w.until("served again", func() bool { return w.ask(call{deadline: time.Second}).served() })
	if s, err := w.Service.Router.Stats(); err != nil || s.Served == 0 {
		t.Error(s, err)
	}
	close(gate)
	w.until("lines counted", func() bool { return w.Service.DroppedLogLines() > 0 })
	if err := w.Close(); err != nil {
		t.Error(err)
	}
}

type gated struct{ gate chan struct{} }

func (g gated) Write(b []byte) (int, error) {
	<-g.gate
	return len(b), nil
}

// TestShutdownAnswersAcceptedRequests: what was accepted is answered, nothing new is accepted, and the
// port is closed.
func TestShutdownAnswersAcceptedRequests(t *testing.T) {
	w := start(t, two(1, 1))
	w.engine("r1").SetFault(fakeengine.Fault{PrefillDelay: 300 * ms})
	idle, err := net.Dial("tcp", w.Service.Router.Addr())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan reply, 4)
	for i := range 4 {
		go func() { done <- w.ask(call{stream: i%2 == 0, tokens: 5}) }()
	}
	w.until("all are taken", func() bool { s, _ := w.Service.Router.Stats(); return s.OpenRequests == 4 })
	w.Service.Router.Shutdown()
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection: %v", err)
	}
	for range 4 {
		if r := <-done; !r.served() {
			t.Errorf("taken before the stop: %v", r)
		}
	}
	w.until("the port is closed", func() bool {
		c, err := net.Dial("tcp", w.Service.Router.Addr())
		if err == nil {
			c.Close()
		}
		return err != nil
	})
}

// TestServesBesideTenThousandIdleConnections holds 10,000 idle connections, from a process of their own for want of
// descriptors in one, and serves beside them.
func TestServesBesideTenThousandIdleConnections(t *testing.T) {
	if addr := os.Getenv("MARTENLOCK_IDLE"); addr != "" {
		holdIdle(addr)
		return
	}
	n := idleConnections()
	w := start(t, two(1, 1))
	cmd := exec.Command(os.Args[0], "-test.run=^TestServesBesideTenThousandIdleConnections$")
	cmd.Env = append(os.Environ(), "MARTENLOCK_IDLE="+w.Service.Router.Addr(), fmt.Sprintf("MARTENLOCK_IDLE_N=%d", n))
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	w.until("all connected", func() bool { s, _ := w.Service.Router.Stats(); return s.ClientConnections >= n })
	runtime.GC()
	runtime.ReadMemStats(&after)
	each := (int64(after.HeapAlloc+after.StackInuse) - int64(before.HeapAlloc+before.StackInuse)) / int64(n)
	t.Logf("%d idle connections, %d bytes each", n, each)
	if each > 8<<10 {
		t.Errorf("%d bytes for an idle connection", each)
	}
	if r := w.ask(call{stream: true}); !r.served() {
		t.Error(r)
	}
	in.Close()
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	w.until("all gone", func() bool { s, _ := w.Service.Router.Stats(); return s.ClientConnections < 10 })
}

// idleConnections is 10,000, or what the process may open.
func idleConnections() int {
	var lim unix.Rlimit
	_ = unix.Getrlimit(unix.RLIMIT_NOFILE, &lim)
	lim.Cur = lim.Max
	_ = unix.Setrlimit(unix.RLIMIT_NOFILE, &lim)
	return int(min(lim.Max-500, 10_000))
}

func holdIdle(addr string) {
	idleConnections()
	n := 0
	fmt.Sscan(os.Getenv("MARTENLOCK_IDLE_N"), &n)
	for range n {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		defer c.Close()
	}
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
}
