package openaiserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"martenlock/internal/fakeengine"
)

// vectors reads an embeddings answer; it is nil where indexes or lengths are wrong.
func vectors(body string) (list [][]float64, usage int) {
	var v struct {
		Data []struct {
			Index     int
			Embedding []float64
		}
		Usage struct {
			Prompt int `json:"prompt_tokens"`
			Total  int `json:"total_tokens"`
		}
	}
	if json.Unmarshal([]byte(body), &v) != nil || v.Usage.Prompt != v.Usage.Total {
		return nil, 0
	}
	for i, d := range v.Data {
		if d.Index != i || len(d.Embedding) == 0 {
			return nil, 0
		}
		list = append(list, d.Embedding)
	}
	return list, v.Usage.Prompt
}

// crowd sends bodies at once while the engine's first call is out, so that they wait for
// each other, and returns their answers in order. Tenants take turns.
func (w *world) crowd(class string, bodies []string, tenants ...string) []reply {
	w.t.Helper()
	e := w.engine("e1")
	e.SetFault(fakeengine.Fault{PrefillDelay: 150 * ms})
	defer e.SetFault(fakeengine.Fault{})
	first := make(chan reply)
	go func() {
		first <- w.post(context.Background(), "/v1/embeddings", class, `{"model":"demo-embed","dimensions":4,"input":"first"}`)
	}()
	w.until("one is out", func() bool { return e.Stats().Waiting > 0 })
	out := make([]reply, len(bodies))
	var wait sync.WaitGroup
	for i, b := range bodies {
		var header []string
		if len(tenants) > 0 {
			header = []string{"X-Tenant", tenants[i%len(tenants)]}
		}
		wait.Go(func() { out[i] = w.post(context.Background(), "/v1/embeddings", class, b, header...) })
	}
	wait.Wait()
	if r := <-first; !r.served() {
		w.t.Error(r)
	}
	return out
}

const patient = "join_wait = 1s"

// TestSmallRequestsShareABatchAndGetTheirOwnAnswers: small requests that wait anyway share a batch; each gets its own vectors and
// its share of the usage. Other forms, tenants and classes are not mixed in.
func TestSmallRequestsShareABatchAndGetTheirOwnAnswers(t *testing.T) {
	w := start(t, []fakeengine.Spec{embedder("e1")}, "join_wait = 5ms", patient)
	want := map[string][]float64{}
	var bodies []string
	for i := range 40 {
		text := fmt.Sprintf("pipe %d", i)
		r := w.post(context.Background(), "/v1/embeddings", "search", fmt.Sprintf(`{"model":"demo-embed","dimensions":4,"input":[%q]}`, text))
		v, _ := vectors(r.body)
		if len(v) != 1 {
			t.Fatal(r)
		}
		want[text] = v[0]
		if i%4 == 0 { // some of two inputs
			bodies = append(bodies, fmt.Sprintf(`{"model":"demo-embed","user":"u%d","dimensions":4,"input":[%q,"pipe 0"]}`, i, text))
		} else {
			bodies = append(bodies, fmt.Sprintf(`{"model":"demo-embed","dimensions":4,"input":%q}`, text))
		}
	}
	bodies = append(bodies, `{"model":"demo-embed","dimensions":4,"input":[7,8,9]}`, `{"model":"demo-embed","dimensions":5,"input":"pipe 1"}`)
	before := w.engine("e1").Stats().Served
	for i, r := range w.crowd("search", bodies) {
		v, usage := vectors(r.body)
		switch {
		case !r.served() || usage < 0 || len(v) == 0:
			t.Errorf("%d: %v", i, r)
		case i < 40 && (fmt.Sprint(v[0]) != fmt.Sprint(want[fmt.Sprintf("pipe %d", i)]) || i%4 == 0 && fmt.Sprint(v[1]) != fmt.Sprint(want["pipe 0"])):
			t.Errorf("%d: got another's vectors: %v", i, r)
		}
	}
	if s, _ := w.Service.Router.Stats(); s.BatchedRequests < 20 || w.engine("e1").Stats().Served-before > 25 {
		t.Errorf("%d of 42 shared a call, %d calls", s.BatchedRequests, w.engine("e1").Stats().Served-before)
	}
	shared := func() uint64 { s, _ := w.Service.Router.Stats(); return s.BatchedRequests }
	was := shared()
	for _, class := range []string{"note", "job", "search"} {
		if r := w.crowd(class, []string{bodies[1], bodies[2]}, "one", "other"); !r[0].served() || !r[1].served() {
			t.Errorf("%s: %v", class, r)
		}
		if shared() != was {
			t.Errorf("%s: requests of two tenants, or that must not run twice, shared a call", class)
		}
	}
	for _, class := range []string{"note", "job"} {
		if r := w.crowd(class, []string{bodies[1], bodies[2]}); !r[0].served() || !r[1].served() || shared() != was {
			t.Errorf("%s: %v", class, r)
		}
	}
}

// TestBatchMembersCostEachOtherNothingButTime: what one member of a batch does wrong, or suffers, costs the others
// nothing but time.
func TestBatchMembersCostEachOtherNothingButTime(t *testing.T) {
	good := func(i int) string {
		return fmt.Sprintf(`{"model":"demo-embed","dimensions":4,"input":"good %d"}`, i)
	}
	bad := func(what string) string {
		return fmt.Sprintf(`{"model":"demo-embed","dimensions":4,"input":"%s"}`, what)
	}
	t.Run("refused for good", func(t *testing.T) {
		w := start(t, []fakeengine.Spec{embedder("e1")}, "join_wait = 5ms", patient)
		out := w.crowd("search", []string{good(1), bad(fakeengine.RejectMarker), good(2)})
		if !out[0].served() || !out[2].served() || out[1].status != 400 {
			t.Error(out)
		}
	})
	t.Run("poison", func(t *testing.T) {
		w := start(t, []fakeengine.Spec{embedder("e1"), embedder("e2"), embedder("e3"), embedder("e4"), embedder("e5")}, "join_wait = 5ms", patient, "[class search]\n", "[class search]\nmax_attempts = 2\n")
		for _, e := range w.FindEngines("pool:embeddings") {
			e.SetFault(fakeengine.Fault{PrefillDelay: 500 * ms})
		}
		var wait sync.WaitGroup
		waiting := func() (n int) {
			for _, e := range w.FindEngines("pool:embeddings") {
				n += e.Stats().Waiting
			}
			return n
		}
		for i := range 5 { // as many calls as engines, which end one after another: what comes then shares a call
			wait.Go(func() { w.post(context.Background(), "/v1/embeddings", "search", bad(fmt.Sprint("first ", i))) })
			w.until("one more is out", func() bool { return waiting() > i })
			time.Sleep(20 * ms)
		}
		out := make([]reply, 4)
		for i := range out {
			body := good(i)
			if i == 1 {
				body = bad(fakeengine.CrashMarker)
			}
			wait.Go(func() { out[i] = w.post(context.Background(), "/v1/embeddings", "search", body) })
		}
		wait.Wait()
		alive := 0
		for _, e := range w.FindEngines("pool:embeddings") {
			if c, err := net.Dial("tcp", e.Addr().String()); err == nil {
				c.Close()
				alive++
			}
		}
		if alive != 3 || !out[1].failed() {
			t.Errorf("%d of 5 engines left, the poison's answer: %v", alive, out[1])
		}
		for i, r := range out {
			if i != 1 && !r.served() && !r.refused() {
				t.Errorf("beside it: %v", r)
			}
		}
	})
	t.Run("little time, and left", func(t *testing.T) {
		w := start(t, []fakeengine.Spec{embedder("e1")}, "join_wait = 5ms", "join_wait = 20ms")
		w.engine("e1").SetFault(fakeengine.Fault{PrefillDelay: 600 * ms})
		ctx, cancel := context.WithCancel(context.Background())
		out := make(chan reply, 4)
		for i, h := range [][]string{nil, nil, {"X-Request-Deadline-Ms", "300"}, nil} {
			c := context.Background()
			if i == 3 {
				c = ctx
			}
			go func() { out <- w.post(c, "/v1/embeddings", "search", good(i), h...) }()
			if i == 0 {
				w.until("one is out", func() bool { return w.engine("e1").Stats().Waiting > 0 })
			}
		}
		w.until("they share a call", func() bool { return w.engine("e1").Stats().Waiting == 2 })
		cancel()
		served, refused, left := 0, 0, 0
		for range 4 {
			switch r := <-out; {
			case r.err != nil:
				left++
			case r.served():
				served++
			case r.refused() && r.took < 400*ms:
				refused++
			}
		}
		if served != 2 || refused != 1 || left != 1 {
			t.Errorf("%d served, %d refused, %d left", served, refused, left)
		}
	})
	t.Run("an engine answers nothing, another drains", func(t *testing.T) {
		w := start(t, embedders(3), "join_wait = 5ms", "join_wait = 50ms")
		w.engine("e1").SetFault(fakeengine.Fault{Hang: true})
		var wait sync.WaitGroup
		for i := range 60 {
			wait.Go(func() {
				if r := w.post(context.Background(), "/v1/embeddings", "search", good(i)); !r.served() {
					t.Error(r)
				}
			})
			if i == 30 {
				if err := w.SetState("draining", false, w.engine("e2")); err != nil {
					t.Fatal(err)
				}
			}
		}
		wait.Wait()
		w.engine("e1").SetFault(fakeengine.Fault{})
	})
}

// TestEachInputIsComputedOnce: an input is computed once though it stands in many requests, twice in
// one, or is cached; a request that fails takes nobody with it.
func TestEachInputIsComputedOnce(t *testing.T) {
	w := start(t, []fakeengine.Spec{embedder("e1")}, "models = demo-embed\n", "models = demo-embed\ncache_bytes = 1000000\n")
	e := w.engine("e1")
	ask := func(class, input string) reply {
		return w.post(context.Background(), "/v1/embeddings", class, `{"model":"demo-embed","dimensions":4,"input":`+input+`}`)
	}
	one, _ := vectors(ask("search", `"a"`).body)
	r := ask("search", `["b","a","b","c"]`)
	v, _ := vectors(r.body)
	if len(v) != 4 || fmt.Sprint(v[1]) != fmt.Sprint(one[0]) || fmt.Sprint(v[0]) != fmt.Sprint(v[2]) || fmt.Sprint(v[0]) == fmt.Sprint(v[3]) || r.header.Get("X-Cache") != "partial" {
		t.Error(r)
	}
	served := e.Stats().Served
	r = ask("search", `["c","b","a"]`)
	if again, _ := vectors(r.body); len(again) != 3 || fmt.Sprint(again[2]) != fmt.Sprint(one[0]) || fmt.Sprint(again[0]) != fmt.Sprint(v[3]) || r.header.Get("X-Cache") != "hit" || e.Stats().Served != served {
		t.Error(r)
	}

	// Two overlap; the first is refused for good by another input: the second computes.
	e.SetFault(fakeengine.Fault{Hang: true})
	out := make(chan reply, 2)
	go func() { out <- ask("search", `["x","`+fakeengine.RejectMarker+`","y"]`) }()
	w.until("it leads", func() bool { s, _ := w.Service.Router.Stats(); return s.OpenRequests == 1 })
	go func() { out <- ask("search", `["y","p","q"]`) }()
	w.until("both are out", func() bool { s, _ := w.Service.Router.Stats(); return s.OpenRequests == 2 })
	e.SetFault(fakeengine.Fault{})
	good, bad := 0, 0
	for range 2 {
		r := <-out
		if v, _ := vectors(r.body); r.served() && len(v) == 3 {
			good++
		} else if r.status == 400 {
			bad++
		}
	}
	if good != 1 || bad != 1 {
		t.Errorf("%d served, %d refused for good", good, bad)
	}
	if r := ask("search", `["x","z"]`); !r.served() {
		t.Error(r)
	}
}

// TestBulkDoesNotKeepASearchFromEngines: bulk of one client, and then of many, does not keep a search from the
// engines that it has filled; bulk that can't end in time is rejected before it has work done.
func TestBulkDoesNotKeepASearchFromEngines(t *testing.T) {
	specs := []fakeengine.Spec{embedder("e1"), embedder("e2")}
	for i := range specs {
		specs[i].PrefillTokensPerSecond, specs[i].MaxWaiting = 40_000, 10_000
	}
	w := start(t, specs, "join_wait = 5ms", "join_wait = 0s")
	bulk := `{"model":"demo-embed","dimensions":1,"input":` + inputs(1024, strings.Repeat("ice ", 40)) + `}` // 42,000 tokens: 0.5 s
	var wait sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for i := range 12 {
		wait.Go(func() {
			r := w.post(context.Background(), "/v1/embeddings", "search", strings.ReplaceAll(bulk, `"ice `, fmt.Sprintf(`"%d `, i)))
			mu.Lock()
			defer mu.Unlock()
			if v, _ := vectors(r.body); r.served() && len(v) == 1024 {
				counts["served"]++
			} else if r.refused() {
				counts["refused"]++
			} else {
				t.Error(r)
			}
		})
	}
	w.until("bulk is out", func() bool { return w.engine("e1").Stats().Waiting > 0 })
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan reply)
	go func() {
		left <- w.post(ctx, "/v1/embeddings", "search", strings.Replace(bulk, `"input":[`, `"input":["waits",`, 1))
	}()
	time.AfterFunc(100*ms, cancel) // while it waits at the gate, or a little before or after
	most := 0
	for i := range 30 {
		for _, e := range w.FindEngines("pool:embeddings") {
			most = max(most, e.Stats().Waiting)
		}
		if r := w.post(context.Background(), "/v1/embeddings", "search", fmt.Sprintf(`{"model":"demo-embed","input":"search %d"}`, i)); !r.served() || r.took > time.Second {
			t.Errorf("search %d: %v", i, r)
		}
	}
	wait.Wait()
	if r := <-left; r.err == nil && !r.refused() {
		t.Error(r)
	}
	if counts["served"] == 0 || counts["refused"] == 0 || counts["served"]+counts["refused"] != 12 || most > 12 {
		t.Errorf("bulk: %v; %d units waited at one engine", counts, most)
	}
}

// TestShardOutOfTimeEndsTheRequestEarly: a shard that can't end in time ends the request early, and
// its siblings are withdrawn within the KV retention limit.
func TestShardOutOfTimeEndsTheRequestEarly(t *testing.T) {
	w := start(t, embedders(2), "part_items = 64", "part_items = 10")
	for _, e := range w.FindEngines("pool:embeddings") {
		e.SetFault(fakeengine.Fault{Hang: true})
	}
	r := w.post(context.Background(), "/v1/embeddings", "search", `{"model":"demo-embed","input":`+inputs(60, "pipe")+`}`, "X-Request-Deadline-Ms", "800")
	if !r.refused() || r.took > 850*ms {
		t.Error(r)
	}
	for _, e := range w.FindEngines("pool:embeddings") {
		e.SetFault(fakeengine.Fault{})
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.engine("k1").SetFault(fakeengine.Fault{PrefillDelay: 500 * ms})
	done := make(chan reply)
	go func() {
		done <- w.post(ctx, "/v1/rerank", "search", `{"model":"demo-rerank","query":"pipe","documents":`+inputs(900, "a frozen pipe")+`}`)
	}()
	w.until("the rerank is half done", func() bool { return w.engine("k2").Stats().Served > 0 && w.engine("k1").Stats().Waiting > 0 })
	cancel()
	<-done
	began := time.Now()
	w.settle()
	if took := time.Since(began); took > time.Second {
		t.Errorf("withdrawn after %v", took)
	}
	if r := w.post(context.Background(), "/v1/embeddings", "search", `{"model":"nobody","input":"x"}`); r.status != 404 || !strings.Contains(r.body, "model_not_found") {
		t.Error(r)
	}
}

// TestFiveRulesHoldForMixedRequestsUnderAllFaults: 5,000 mixed requests meet every fault above at once. Cleanup judges the
// five rules from the sockets: one answer each, in time, nothing twice or overlapping.
func TestFiveRulesHoldForMixedRequestsUnderAllFaults(t *testing.T) {
	w := start(t, embedders(5), "part_items = 64", "part_items = 20", "part_tokens = 4000", "part_tokens = 500",
		"[class search]\n", "[class search]\nmax_attempts = 3\n", "models = demo-embed\n", "models = demo-embed\ncache_bytes = 100000\n")
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 256
	rng := rand.New(rand.NewPCG(1, 2))
	var wait, faults sync.WaitGroup
	var mu sync.Mutex
	results := map[string]int{}
	stop := make(chan struct{})
	faults.Go(func() {
		for i, names := 0, []string{"e1", "k1", "e2", "k2", "e3", "k3"}; ; i++ {
			f := []fakeengine.Fault{{Hang: true}, {ErrorRate: 0.5}, {EmbeddingDefect: fakeengine.EmbeddingMissing}, {EmbeddingDefect: fakeengine.EmbeddingInfinite}, {ResetBefore: true}, {RejectAll: true}, {SlowdownFactor: 10}, {AnswersLost: true}, {PrefillDelay: 300 * ms}}[i%9]
			e := w.engine(names[i%len(names)])
			e.SetFault(f)
			select {
			case <-stop:
				e.SetFault(fakeengine.Fault{})
				return
			case <-time.After(150 * ms):
			}
			e.SetFault(fakeengine.Fault{})
			if i%10 == 9 {
				if err := w.SetState("draining", false, w.engine("e5")); err != nil {
					t.Error(err)
				}
			} else if i%10 == 4 {
				if err := w.SetState("ready", false, w.engine("e5")); err != nil {
					t.Error(err)
				}
			}
			for _, e := range w.FindEngines("zone:a") { // what a poison killed comes back
				if err := e.Restart(); err != nil {
					t.Error(err)
				}
			}
		}
	})
	begin := time.Now()
	for i := range 5000 {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * 8 * time.Second / 5000)))
		ctx, cancel := context.WithCancel(context.Background())
		class := []string{"search", "search", "search", "job", "note"}[rng.IntN(5)]
		path, body := "/v1/embeddings", fmt.Sprintf(`{"model":"demo-embed","input":"pipe %d"}`, rng.IntN(500))
		switch k := rng.IntN(100); {
		case k < 5:
			body = `{"model":"demo-embed","input":` + inputs(100+rng.IntN(200), fmt.Sprint(i)) + `}`
		case k < 10:
			path, body = "/v1/rerank", `{"model":"demo-rerank","query":"pipe","top_n":3,"documents":`+inputs(1+rng.IntN(200), "doc")+`}`
		case k < 25:
			path, body = "/v1/rerank", fmt.Sprintf(`{"model":"demo-rerank","query":"pipe %d","documents":["a pipe","a boiler"]}`, i)
		case k < 26:
			body = `{"model":"demo-embed","input":["x","` + fakeengine.RejectMarker + `"]}`
		case i == 3500 || i == 4500: // each fells three of five engines, which come back cold and take little
			body = fmt.Sprintf(`{"model":"demo-embed","input":["%s %d"]}`, fakeengine.CrashMarker, i)
		case k < 30:
			body = `{"model":"nobody","input":"x"}`
		case k < 33:
			time.AfterFunc(time.Duration(rng.IntN(100))*ms, cancel)
		}
		wait.Go(func() {
			defer cancel()
			r := w.post(ctx, path, class, body)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.err != nil:
				results["left"]++
			case r.served():
				results["served"]++
			case r.refused():
				results["refused"]++
			case r.failed():
				results["failed"]++
			case r.status == 400 || r.status == 404:
				results["not valid"]++
			default:
				t.Error(r)
			}
		})
	}
	wait.Wait()
	close(stop)
	faults.Wait()
	s, err := w.Service.Router.Stats()
	t.Logf("%v; %d inputs of others, %d known, %d requests in shared calls, %d refused at the gate, %v", results, s.CoalescedInputs, s.CacheHits, s.BatchedRequests, s.AdmissionRejected, err)
	if results["served"] < 2000 || s.BatchedRequests == 0 || s.CoalescedInputs == 0 || s.CacheHits == 0 {
		t.Error("the faults met too little, or nothing was shared")
	}
}
