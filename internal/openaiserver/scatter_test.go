package openaiserver_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"martenlock/internal/demo"
	"martenlock/internal/fakeengine"
	"martenlock/internal/invariant"
)

// post sends a body as it is, recorded like ask.
func (w *world) post(ctx context.Context, path, class, body string, headers ...string) reply {
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+w.Service.Router.Addr()+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	id := fmt.Sprintf("p%d", w.count.Add(1))
	req.Header.Set("X-Client-Request-Id", id)
	req.Header.Set("X-Request-Class", class)
	patience := deadlines[class]
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
		if d, err := time.ParseDuration(headers[i+1] + "ms"); err == nil && headers[i] == "X-Request-Deadline-Ms" {
			patience = d
		}
	}
	began := w.Clock()
	w.rec.Add(invariant.Event{At: began, Kind: invariant.RequestSent, Request: id, Effect: effects[class], DedupWindow: 3 * time.Second, Deadline: began + patience})
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		w.rec.Add(invariant.Event{At: w.Clock(), Kind: invariant.ClientLeft, Request: id})
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	r := reply{resp.StatusCode, resp.Header, string(text), err, w.Clock() - began}
	result := invariant.Malformed
	switch {
	case r.served():
		result = invariant.Served
	case r.refused(), r.status >= 400 && r.status < 429:
		result = invariant.Rejected
	case r.failed():
		result = invariant.Failed
	}
	w.rec.Add(invariant.Event{At: w.Clock(), Kind: invariant.FinalAnswer, Request: id, Result: result})
	return r
}

func embedders(n int) (list []fakeengine.Spec) {
	for i := range n {
		list = append(list, embedder(fmt.Sprintf("e%d", i+1)))
		r := embedder(fmt.Sprintf("k%d", i+1))
		r.Kind, r.Pool = "ranker", "rerank"
		list = append(list, r)
	}
	return list
}

func inputs(n int, text string) string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("%q", fmt.Sprintf("%s %d ", text, i)+strings.Repeat("ice ", i%7)))
	}
	return "[" + strings.Join(list, ",") + "]"
}

// TestScatteredAnswerEqualsTheWholeOne: a scattered request has the same answer as one that is not, in the same order,
// whatever form its items have, and more than one engine works on it.
func TestScatteredAnswerEqualsTheWholeOne(t *testing.T) {
	split := start(t, embedders(3), "part_items = 64", "part_items = 10")
	whole := start(t, embedders(1), "part_items = 64\npart_tokens = 4000\nparts = 256\n", "parts = 1\n", "part_items = 100\npart_tokens = 4000\nparts = 256\n", "parts = 1\n")
	for _, c := range []struct{ path, body string }{
		{"/v1/embeddings", `{"model":"demo-embed","input":` + inputs(95, "float") + `}`},
		{"/v1/embeddings", `{"model":"demo-embed","encoding_format":"base64","dimensions":5,"input":` + inputs(21, "base") + `}`},
		{"/v1/embeddings", `{"model":"demo-embed","input":[` + strings.Repeat("[1,2,3],", 40) + `[9]]}`},
		{"/v1/embeddings", `{"model":"demo-embed","input":[1,2,3]}`},
		{"/v1/rerank", `{"model":"demo-rerank","query":"frozen 17","top_n":7,"return_documents":true,"documents":` + inputs(250, "a frozen pipe") + `}`},
		{"/v2/rerank", `{"model":"demo-rerank","query":"pipe 3","documents":[` + strings.Repeat(`{"text":"pipe"},`, 150) + `"pipe 3"]}`},
	} {
		var got [2]map[string]any
		for i, w := range []*world{split, whole} {
			r := w.post(context.Background(), c.path, "search", c.body)
			if err := json.Unmarshal([]byte(r.body), &got[i]); !r.served() || err != nil {
				t.Fatalf("%s %.80s: %v", c.path, c.body, r)
			}
			delete(got[i], "id")
		}
		// A prompt's tokens are rounded down in each part.
		for _, k := range []string{"prompt_tokens", "total_tokens"} {
			a, b := got[0]["usage"].(map[string]any), got[1]["usage"].(map[string]any)
			if x, ok := a[k].(float64); ok && x <= b[k].(float64) && x > b[k].(float64)-20 {
				a[k] = b[k]
			}
		}
		if !reflect.DeepEqual(got[0], got[1]) {
			t.Errorf("%s %.80s:\nin parts %.400v\nwhole    %.400v", c.path, c.body, got[0], got[1])
		}
	}
	for _, pool := range []string{"pool:embeddings", "pool:rerank"} {
		used := 0
		for _, e := range split.FindEngines(pool) {
			if e.Stats().Served > 0 {
				used++
			}
		}
		if used < 2 {
			t.Errorf("%s: %d engines used", pool, used)
		}
	}
}

// TestScatteredAnswerHasNoHoles: there is no answer with holes. Cleanup waits until the siblings
// of a shard that failed are withdrawn, and judges the five rules with each shard as an attempt.
func TestScatteredAnswerHasNoHoles(t *testing.T) {
	many := `{"model":"demo-embed","encoding_format":"%s","input":` + inputs(60, "pipe") + `}`
	refuse := `{"model":"demo-embed","encoding_format":"%s","input":[` + strings.Repeat(`"pipe",`, 40) + `"` + fakeengine.RejectMarker + `"]}`
	rejected := func(r reply) bool { return r.status == 400 && strings.Contains(r.body, "no engine takes") }
	bad := func(defect fakeengine.EmbeddingDefect, engines ...string) map[string]fakeengine.Fault {
		m := map[string]fakeengine.Fault{}
		for _, e := range engines {
			m[e] = fakeengine.Fault{EmbeddingDefect: defect}
		}
		return m
	}
	for _, c := range []struct {
		name   string
		faults map[string]fakeengine.Fault
		class  string
		body   string
		want   func(reply) bool
	}{
		{"one engine gives too few", bad(fakeengine.EmbeddingMissing, "e1"), "search", fmt.Sprintf(many, "float"), reply.served},
		{"one engine gives another length", bad(fakeengine.EmbeddingTooLong, "e1"), "search", fmt.Sprintf(many, "float"), reply.served},
		{"one engine gives infinities", bad(fakeengine.EmbeddingInfinite, "e1"), "search", fmt.Sprintf(many, "float"), reply.served},
		{"one engine gives bad base64", bad(fakeengine.EmbeddingInvalidBase64, "e1"), "search", fmt.Sprintf(many, "base64"), reply.served},
		{"all give too few", bad(fakeengine.EmbeddingMissing, "e1", "e2", "e3"), "search", fmt.Sprintf(many, "float"), reply.refused},
		{"all give too few, unsafe", bad(fakeengine.EmbeddingMissing, "e1", "e2", "e3"), "note", fmt.Sprintf(many, "float"), reply.failed},
		{"one part is refused for good", nil, "search", fmt.Sprintf(refuse, "float"), rejected},
		{"one engine answers nothing", map[string]fakeengine.Fault{"e1": {Hang: true}}, "search", fmt.Sprintf(many, "float"), reply.served},
		{"all are full, unsafe", map[string]fakeengine.Fault{"e1": {RejectAll: true}, "e2": {RejectAll: true}, "e3": {RejectAll: true}}, "note", fmt.Sprintf(many, "float"), reply.failed},
		{"all are full", map[string]fakeengine.Fault{"e1": {RejectAll: true}, "e2": {RejectAll: true}, "e3": {RejectAll: true}}, "search", fmt.Sprintf(many, "float"), reply.refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := start(t, embedders(3), "part_items = 64", "part_items = 10")
			for name, f := range c.faults {
				w.engine(name).SetFault(f)
			}
			r := w.post(context.Background(), "/v1/embeddings", c.class, c.body)
			if !c.want(r) {
				t.Error(r)
			}
			for name := range c.faults {
				w.engine(name).SetFault(fakeengine.Fault{})
			}
			if r := w.post(context.Background(), "/v1/embeddings", "search", `{"model":"demo-embed","input":"after"}`); !r.served() && !r.refused() {
				t.Errorf("after: %v", r)
			}
		})
	}
}

// TestScatteredRequestIsWithdrawnWhenItsClientLeaves: the client leaves
// while shards wait, or when half are done; a drain meets it.
func TestScatteredRequestIsWithdrawnWhenItsClientLeaves(t *testing.T) {
	w := start(t, embedders(3), "part_items = 64", "part_items = 10")
	for _, e := range w.FindEngines("pool:embeddings") {
		e.SetFault(fakeengine.Fault{PrefillDelay: 500 * ms})
	}
	w.engine("e1").SetFault(fakeengine.Fault{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan reply)
	body := `{"model":"demo-embed","input":` + inputs(160, "pipe") + `}`
	go func() { done <- w.post(ctx, "/v1/embeddings", "search", body) }()
	w.until("half done", func() bool { return w.engine("e1").Stats().Served > 0 && w.engine("e2").Stats().Waiting > 0 })
	cancel()
	<-done
	began := time.Now()
	w.settle()
	if took := time.Since(began); took > time.Second {
		t.Errorf("withdrawn after %v", took)
	}
	go func() { done <- w.post(context.Background(), "/v1/embeddings", "search", body) }()
	w.until("parts wait", func() bool { return w.engine("e2").Stats().Waiting > 0 })
	if err := w.SetState("draining", false, w.engine("e2")); err != nil {
		t.Fatal(err)
	}
	if r := <-done; !r.served() {
		t.Errorf("a drain met it: %v", r)
	}
}

// TestIdenticalRequestsAreCoalesced: identical requests at the same time are computed once, but not
// across tenants or for classes that are not idempotent; one with little time is answered by its
// own deadline and does not take the others with it; nor does one that leaves.
func TestIdenticalRequestsAreCoalesced(t *testing.T) {
	w := start(t, []fakeengine.Spec{embedder("e1")})
	e := w.engine("e1")
	body := `{"model":"demo-embed","input":"frozen pipe"}`
	done := make(chan reply, 64)
	send := func(ctx context.Context, class string, headers ...string) {
		go func() { done <- w.post(ctx, "/v1/embeddings", class, body, headers...) }()
	}
	waiting := func(n int) func() bool { return func() bool { return e.Stats().Waiting == n } }
	joined := func(n uint64) func() bool {
		return func() bool { s, _ := w.Service.Router.Stats(); return s.CoalescedInputs == n }
	}
	e.SetFault(fakeengine.Fault{PrefillDelay: 400 * ms})
	for range 20 {
		send(context.Background(), "search")
	}
	w.until("19 follow one", joined(19))
	send(context.Background(), "search", "X-Tenant", "other")
	send(context.Background(), "note")
	w.until("three are computed", waiting(3))
	texts := map[string]bool{}
	for range 22 {
		r := <-done
		if !r.served() {
			t.Error(r)
		}
		var v struct{ Data json.RawMessage }
		_ = json.Unmarshal([]byte(r.body), &v)
		texts[string(v.Data)] = true
	}
	if n := e.Stats().Served; n != 3 || len(texts) != 1 {
		t.Errorf("computed %d times, %d answers", n, len(texts))
	}

	// The leader has little time; a follower has less.
	send(context.Background(), "search", "X-Request-Deadline-Ms", "300")
	w.until("it leads", waiting(1))
	send(context.Background(), "search")
	send(context.Background(), "search", "X-Request-Deadline-Ms", "150")
	w.until("two follow", joined(21))
	refused, served := 0, 0
	for range 3 {
		if r := <-done; r.refused() {
			refused++
		} else if r.served() {
			served++
		}
	}
	if refused != 2 || served != 1 {
		t.Errorf("%d refused, %d served", refused, served)
	}

	ctx, cancel := context.WithCancel(context.Background())
	send(ctx, "search")
	w.until("it leads", waiting(1))
	send(context.Background(), "search")
	w.until("another follows", joined(22))
	cancel()
	for range 2 {
		if r := <-done; r.err == nil && !r.served() {
			t.Error(r)
		}
	}
}

// TestCrashingInputTakesNoMoreEnginesThanAttempts: an input that crashes each engine that meets it takes no more engines than
// its class has attempts, and its client is told not to repeat it.
func TestCrashingInputTakesNoMoreEnginesThanAttempts(t *testing.T) {
	w := start(t, embedders(5), "[class search]\n", "[class search]\nmax_attempts = 2\n")
	r := w.post(context.Background(), "/v1/embeddings", "search", `{"model":"demo-embed","input":["good","`+fakeengine.CrashMarker+`"]}`)
	alive := 0
	for _, e := range w.FindEngines("pool:embeddings") {
		if c, err := net.Dial("tcp", e.Addr().String()); err == nil {
			c.Close()
			alive++
		}
	}
	if !r.failed() || alive != 3 {
		t.Errorf("%d of 5 engines left, %v", alive, r)
	}
}

// TestRepeatedInputIsAnsweredFromTheCache: a repeated input is answered without an engine, not across tenants, not after the
// model's revision has changed nor while engines differ in it; a flood of other inputs
// does not take more than its bytes.
func TestRepeatedInputIsAnsweredFromTheCache(t *testing.T) {
	w := start(t, []fakeengine.Spec{embedder("e1"), embedder("e2")}, "models = demo-embed\n", "models = demo-embed\ncache_bytes = 50000\n")
	hit := func(n int, headers ...string) bool {
		r := w.post(context.Background(), "/v1/embeddings", "search", fmt.Sprintf(`{"model":"demo-embed","input":"pipe %d"}`, n), headers...)
		if !r.served() {
			t.Error(r)
		}
		return r.header.Get("X-Cache") == "hit"
	}
	if hit(0) || !hit(0) || hit(0, "X-Tenant", "other") || !hit(0, "X-Tenant", "other") {
		t.Error("a repeat of a tenant's own, and of another's")
	}
	nodes := filepath.Join(w.Dir(), "nodes.ini")
	text, err := os.ReadFile(nodes)
	if err != nil {
		t.Fatal(err)
	}
	for i, list := range []string{
		strings.ReplaceAll(string(text), "kind = embedder", "kind = embedder\nrevision = 2"),
		strings.Replace(string(text), "kind = embedder", "kind = embedder\nrevision = 2", 1),
	} {
		if err := os.WriteFile(nodes, []byte(list), 0o644); err != nil {
			t.Fatal(err)
		}
		w.until("a list that voids the answer", func() bool { return !hit(0) })
		if again := hit(0); again != (i == 0) {
			t.Errorf("list %d: hit again: %v", i, again)
		}
	}
	if err := os.WriteFile(nodes, text, 0o644); err != nil {
		t.Fatal(err)
	}
	w.until("one revision again", func() bool { return hit(0) })
	for n := range 1500 {
		hit(n + 1)
		if s, err := w.Service.Router.Stats(); err != nil || s.CacheBytes > 50_000 {
			t.Fatalf("%d bytes after %d inputs, %v", s.CacheBytes, n, err)
		}
	}
	if s, _ := w.Service.Router.Stats(); s.CacheBytes < 25_000 {
		t.Errorf("only %d bytes used", s.CacheBytes)
	}
}

// BenchmarkShards measures one request of 2,048 inputs, split and not, over 1 to 4 engines.
func BenchmarkShards(b *testing.B) {
	body := `{"model":"demo-embed","encoding_format":"base64","input":` + inputs(2048, "an outage note of a dozen words or so about a frozen pipe") + `}`
	for _, n := range []int{1, 2, 4} {
		for _, size := range []int{2048, 512, 128, 32} {
			b.Run(fmt.Sprintf("engines=%d/part=%d", n, size), func(b *testing.B) {
				settings := strings.Replace(fmt.Sprintf(demo.Settings, "127.0.0.1:0", 1, "error"), "part_items = 64\npart_tokens = 4000\nparts = 256\n", fmt.Sprintf("part_items = %d\nparts = 64\n", size), 1)
				specs := embedders(n)
				for i := range specs {
					specs[i].PrefillTokensPerSecond, specs[i].MaxWaiting = 400_000, 100
				}
				w, err := demo.Start(demo.Options{Specs: specs, Settings: settings, Log: io.Discard})
				if err != nil {
					b.Fatal(err)
				}
				defer w.Close()
				for b.Loop() {
					resp, err := http.Post("http://"+w.Service.Router.Addr()+"/v1/embeddings", "application/json", strings.NewReader(body))
					if err != nil || resp.StatusCode != 200 {
						b.Fatal(resp, err)
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				b.ReportMetric(2048/b.Elapsed().Seconds()*float64(b.N), "inputs/s")
			})
		}
	}
}

// TestPipelinedAnswersComeInOrderAndLargeBodiesAreRejected: a client that pipelines a hundred requests gets a hundred answers
// in order; 32 MB of content are rejected, told ahead or in chunks, and cost no memory.
func TestPipelinedAnswersComeInOrderAndLargeBodiesAreRejected(t *testing.T) {
	w := start(t, embedders(2))
	const n = 100
	var all strings.Builder
	for i := range n {
		body := fmt.Sprintf(`{"model":"demo-embed","dimensions":%d,"input":"pipe"}`, i+1)
		fmt.Fprintf(&all, "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	c, err := net.Dial("tcp", w.Service.Router.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, all.String()); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	for i := range n {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(i, err)
		}
		var v struct {
			Data []struct{ Embedding []float64 }
		}
		if err := json.NewDecoder(resp.Body).Decode(&v); err != nil || len(v.Data) != 1 || len(v.Data[0].Embedding) != i+1 {
			t.Fatalf("answer %d: %d, %v, %v", i, resp.StatusCode, v, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	for _, head := range []string{"Content-Length: 33554432\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n2000000\r\n"} {
		c, err := net.Dial("tcp", w.Service.Router.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\n"+head)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != 413 {
			t.Errorf("%q: %v, %v", head, resp, err)
		}
		c.Close()
	}
	if s, err := w.Service.Router.Stats(); err != nil || s.BufferedBytes > 0 {
		t.Errorf("%d bytes held, %v", s.BufferedBytes, err)
	}
}
