package openaiserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"martenlock/internal/demo"
	"martenlock/internal/fakeengine"
)

// smallShards are edits of the settings: embeddings requests are scattered in shards of 10 inputs.
var smallShards = []string{"part_items = 64", "part_items = 10"}

// TestScatteredAnswerEqualsTheWholeOne: a scattered request has the same answer as one that is not scattered, whatever
// form its items have, and several engines compute it.
func TestScatteredAnswerEqualsTheWholeOne(t *testing.T) {
	scattering := startHarness(t, embeddingAndRerankSpecs(3), smallShards...)
	notScattering := startHarness(t, embeddingAndRerankSpecs(1),
		"part_items = 64\npart_tokens = 4000\nparts = 256\n", "parts = 1\n",
		"part_items = 100\npart_tokens = 4000\nparts = 256\n", "parts = 1\n")
	for _, test := range []struct{ path, body string }{
		{embeddingsPath, `{"model":"demo-embed","input":` + inputList(95, "float") + `}`},
		{embeddingsPath, `{"model":"demo-embed","encoding_format":"base64","dimensions":5,"input":` + inputList(21, "base") + `}`},
		{embeddingsPath, `{"model":"demo-embed","input":[` + strings.Repeat("[1,2,3],", 40) + `[9]]}`},
		{embeddingsPath, `{"model":"demo-embed","input":[1,2,3]}`},
		{rerankPath, `{"model":"demo-rerank","query":"frozen 17","top_n":7,"return_documents":true,"documents":` + inputList(250, "a frozen pipe") + `}`},
		{"/v2/rerank", `{"model":"demo-rerank","query":"pipe 3","documents":[` + strings.Repeat(`{"text":"pipe"},`, 150) + `"pipe 3"]}`},
	} {
		r := request{path: test.path, class: "search", body: test.body}

		scattered := scattering.sendForAnswer(r)
		whole := notScattering.sendForAnswer(r)

		scattered.usage.expectRoundedDownFrom(t, whole.usage)
		if !reflect.DeepEqual(scattered.otherMembers, whole.otherMembers) {
			t.Errorf("%s %.80s:\nscattered %.400v\nwhole     %.400v", test.path, test.body, scattered.otherMembers, whole.otherMembers)
		}
	}
	for _, pool := range []string{"pool:embeddings", "pool:rerank"} {
		used := 0
		for _, engine := range scattering.FindEngines(pool) {
			if engine.Stats().Served > 0 {
				used++
			}
		}
		if used < 2 {
			t.Errorf("%s: %d engines used", pool, used)
		}
	}
}

// tokenUsage is the usage of an answer: the number of tokens by member.
type tokenUsage map[string]float64

// expectRoundedDownFrom fails the test unless the usage equals that of the whole request, but for prompt tokens that were
// rounded down in each shard.
func (u tokenUsage) expectRoundedDownFrom(t *testing.T, whole tokenUsage) {
	t.Helper()
	if len(u) == 0 || len(u) != len(whole) {
		t.Errorf("usage %v, want the members of %v", u, whole)
	}
	for member, want := range whole {
		got, isThere := u[member]
		isRoundedDown := (member == "prompt_tokens" || member == "total_tokens") && got <= want && got > want-20
		if !isThere || got != want && !isRoundedDown {
			t.Errorf("%s: %v, want %v", member, got, want)
		}
	}
}

// parsedAnswer is an answer with its usage apart.
type parsedAnswer struct {
	usage        tokenUsage
	otherMembers map[string]any // without id, which differs in each answer
}

// sendForAnswer sends a request and returns its answer.
func (h *harness) sendForAnswer(r request) parsedAnswer {
	h.t.Helper()
	received := h.send(r)
	if !received.served() {
		h.t.Fatalf("%s %.80s: %v", r.path, r.body, received)
	}
	var withUsage struct{ Usage tokenUsage }
	err := json.Unmarshal([]byte(received.body), &withUsage)
	if err != nil {
		h.t.Fatalf("%s %.80s: %v", r.path, r.body, err)
	}
	answer := parsedAnswer{usage: withUsage.Usage}
	err = json.Unmarshal([]byte(received.body), &answer.otherMembers)
	if err != nil {
		h.t.Fatalf("%s %.80s: %v", r.path, r.body, err)
	}
	delete(answer.otherMembers, "id")
	delete(answer.otherMembers, "usage")
	return answer
}

// TestScatteredAnswerHasNoHoles: if a shard is not served, neither is the request. The harness waits until the other
// shards are cancelled, and checks the five rules with each shard as an attempt.
func TestScatteredAnswerHasNoHoles(t *testing.T) {
	type faults = map[string]fakeengine.Fault
	floats := `{"model":"demo-embed","encoding_format":"float","input":` + inputList(60, "pipe") + `}`
	base64 := `{"model":"demo-embed","encoding_format":"base64","input":` + inputList(60, "pipe") + `}`
	invalid := `{"model":"demo-embed","encoding_format":"float","input":[` + strings.Repeat(`"pipe",`, 40) + `"` + fakeengine.RejectMarker + `"]}`
	invalidRequest := func(r response) bool {
		return r.status == http.StatusBadRequest && strings.Contains(r.body, "no engine takes")
	}
	malformed := func(defect fakeengine.EmbeddingDefect, engines ...string) faults {
		list := faults{}
		for _, engine := range engines {
			list[engine] = fakeengine.Fault{EmbeddingDefect: defect}
		}
		return list
	}
	rejecting := faults{"e1": {RejectAll: true}, "e2": {RejectAll: true}, "e3": {RejectAll: true}}
	for _, test := range []struct {
		name   string
		faults faults
		class  string
		body   string
		holds  func(response) bool
	}{
		{"one engine answers too few embeddings", malformed(fakeengine.EmbeddingMissing, "e1"), "search", floats, response.served},
		{"one engine answers other lengths", malformed(fakeengine.EmbeddingTooLong, "e1"), "search", floats, response.served},
		{"one engine answers infinite numbers", malformed(fakeengine.EmbeddingInfinite, "e1"), "search", floats, response.served},
		{"one engine answers invalid base64", malformed(fakeengine.EmbeddingInvalidBase64, "e1"), "search", base64, response.served},
		{"all engines answer too few embeddings", malformed(fakeengine.EmbeddingMissing, "e1", "e2", "e3"), "search", floats, response.rejected},
		{"all engines answer too few embeddings, not idempotent", malformed(fakeengine.EmbeddingMissing, "e1", "e2", "e3"), "note", floats, response.failed},
		{"one shard is invalid", nil, "search", invalid, invalidRequest},
		{"one engine hangs", faults{"e1": {Hang: true}}, "search", floats, response.served},
		{"all engines reject, not idempotent", rejecting, "note", floats, response.failed},
		{"all engines reject", rejecting, "search", floats, response.rejected},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := startHarness(t, embeddingAndRerankSpecs(3), smallShards...)
			h.setFaults(test.faults)

			received := h.send(request{path: embeddingsPath, class: test.class, body: test.body})

			if !test.holds(received) {
				t.Error(received)
			}
			h.clearFaults(test.faults)
			received = h.sendEmbeddings(`{"model":"demo-embed","input":"after"}`)
			if !received.served() && !received.rejected() {
				t.Errorf("next request: %v", received)
			}
		})
	}
}

// TestScatteredRequestIsCancelledWhenItsClientLeaves: the client leaves when some shards are computed and others wait.
// The next request is served though an engine starts to drain.
func TestScatteredRequestIsCancelledWhenItsClientLeaves(t *testing.T) {
	h := startHarness(t, embeddingAndRerankSpecs(3), smallShards...)
	h.setEmbeddingFaults(fakeengine.Fault{PrefillDelay: 500 * ms})
	h.engine("e1").SetFault(fakeengine.Fault{})
	r := request{path: embeddingsPath, class: "search", body: `{"model":"demo-embed","input":` + inputList(160, "pipe") + `}`}
	responses := make(chan response)

	ctx, cancel := context.WithCancel(t.Context())
	abandoned := r
	abandoned.ctx = ctx
	go func() { responses <- h.send(abandoned) }()
	h.waitUntil("some shards are computed", func() bool { return h.engine("e1").Stats().Served > 0 && h.engine("e2").Stats().Waiting > 0 })
	cancel()
	<-responses
	h.expectIdleWithinASecond()

	go func() { responses <- h.send(r) }()
	h.waitUntil("shards wait", func() bool { return h.engine("e2").Stats().Waiting > 0 })
	h.setState("draining", "e2")
	received := <-responses
	if !received.served() {
		t.Errorf("request during a drain: %v", received)
	}
}

// TestShardOutOfTimeEndsTheRequestEarly: if a shard would miss the deadline, the request is rejected before it. The
// shards of a request whose client has left are cancelled soon.
func TestShardOutOfTimeEndsTheRequestEarly(t *testing.T) {
	h := startHarness(t, embeddingAndRerankSpecs(2), smallShards...)
	h.setEmbeddingFaults(fakeengine.Fault{Hang: true})

	received := h.send(request{path: embeddingsPath, class: "search", deadline: 800 * ms, body: `{"model":"demo-embed","input":` + inputList(60, "pipe") + `}`})

	if !received.rejected() || received.elapsed > 850*ms {
		t.Error(received)
	}
	h.setEmbeddingFaults(fakeengine.Fault{})

	ctx, cancel := context.WithCancel(t.Context())
	h.engine("r1").SetFault(fakeengine.Fault{PrefillDelay: 500 * ms})
	responses := make(chan response)
	go func() {
		responses <- h.send(request{ctx: ctx, path: rerankPath, class: "search", body: `{"model":"demo-rerank","query":"pipe","documents":` + inputList(900, "a frozen pipe") + `}`})
	}()
	h.waitUntil("some shards of the rerank are computed", func() bool { return h.engine("r2").Stats().Served > 0 && h.engine("r1").Stats().Waiting > 0 })
	cancel()
	<-responses
	h.expectIdleWithinASecond()

	received = h.sendEmbeddings(`{"model":"nobody","input":"x"}`)
	if received.status != http.StatusNotFound || !strings.Contains(received.body, "model_not_found") {
		t.Error(received)
	}
}

// BenchmarkShards measures one request of 2,048 inputs for 1 to 4 engines and several sizes of shards, of which the
// largest does not scatter it.
func BenchmarkShards(b *testing.B) {
	const inputs = 2048
	body := `{"model":"demo-embed","encoding_format":"base64","input":` + inputList(inputs, "an outage note of a dozen words or so about a frozen pipe") + `}`
	for _, engines := range []int{1, 2, 4} {
		for _, shardInputs := range []int{2048, 512, 128, 32} {
			b.Run(fmt.Sprintf("engines=%d/part=%d", engines, shardInputs), func(b *testing.B) {
				cluster := startBenchmarkCluster(b, engines, shardInputs)
				for b.Loop() {
					httpResponse, err := http.Post("http://"+cluster.Service.Router.Addr()+embeddingsPath, "application/json", strings.NewReader(body))
					if err != nil || httpResponse.StatusCode != http.StatusOK {
						b.Fatal(httpResponse, err)
					}
					_, _ = io.Copy(io.Discard, httpResponse.Body)
					httpResponse.Body.Close()
				}
				b.ReportMetric(inputs/b.Elapsed().Seconds()*float64(b.N), "inputs/s")
			})
		}
	}
}

// startBenchmarkCluster starts a router with so many engines for embeddings and so many inputs in a shard. It ends with
// the benchmark.
func startBenchmarkCluster(b *testing.B, engines, shardInputs int) *demo.Cluster {
	b.Helper()
	settings := strings.Replace(fmt.Sprintf(demo.Settings, "127.0.0.1:0", 1, "error"),
		"part_items = 64\npart_tokens = 4000\nparts = 256\n", fmt.Sprintf("part_items = %d\nparts = 64\n", shardInputs), 1)
	specs := embeddingAndRerankSpecs(engines)
	for i := range specs {
		specs[i].PrefillTokensPerSecond, specs[i].MaxWaiting = 400_000, 100
	}
	cluster, err := demo.Start(demo.Options{Specs: specs, Settings: settings, Log: io.Discard})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		err := cluster.Close()
		if err != nil {
			b.Error(err)
		}
	})
	return cluster
}
