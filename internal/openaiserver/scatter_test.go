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

// smallShards is an edit for startHarness: embeddings requests are scattered in shards of up to 10 inputs.
var smallShards = []string{"part_items = 64", "part_items = 10"}

// TestScatteredAnswerEqualsUnscatteredAnswer: a scattered request is computed by several engines and gets the same
// answer as a request that is not scattered, whatever the form of its items.
func TestScatteredAnswerEqualsUnscatteredAnswer(t *testing.T) {
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
		unscattered := notScattering.sendForAnswer(r)

		scattered.usage.expectRoundedDownFrom(t, unscattered.usage)
		if !reflect.DeepEqual(scattered.otherMembers, unscattered.otherMembers) {
			t.Errorf("%s %.80s:\nscattered   %.400v\nunscattered %.400v", test.path, test.body, scattered.otherMembers, unscattered.otherMembers)
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
			t.Errorf("%s: %d engines used, want at least 2", pool, used)
		}
	}
}

// tokenUsage is the usage member of an answer: numbers of tokens by name.
type tokenUsage map[string]float64

// expectRoundedDownFrom fails the test unless the usage equals that of an unscattered request. Prompt tokens may be
// fewer, because they are rounded down for each shard.
func (u tokenUsage) expectRoundedDownFrom(t *testing.T, unscattered tokenUsage) {
	t.Helper()
	if len(u) == 0 || len(u) != len(unscattered) {
		t.Errorf("usage %v, want the members of %v", u, unscattered)
	}
	for member, want := range unscattered {
		got, isPresent := u[member]
		isRoundedDown := (member == "prompt_tokens" || member == "total_tokens") && got <= want && got > want-20
		if !isPresent || got != want && !isRoundedDown {
			t.Errorf("%s: %v, want %v", member, got, want)
		}
	}
}

type parsedAnswer struct {
	usage        tokenUsage
	otherMembers map[string]any // all members except usage and id, which differs in each answer
}

// sendForAnswer sends a request and returns its answer. It fails the test if the request is not served.
func (h *harness) sendForAnswer(r request) parsedAnswer {
	h.t.Helper()
	received := h.send(r)
	if !received.served() {
		h.t.Fatalf("%s %.80s was not served: %v", r.path, r.body, received)
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

// TestScatteredRequestIsServedOnlyIfAllShardsAre: if a shard is not served, neither is the request. The harness waits
// until the other shards are cancelled, and checks the invariants with each shard as an attempt.
func TestScatteredRequestIsServedOnlyIfAllShardsAre(t *testing.T) {
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
		{"one engine answers one embedding that is too long", malformed(fakeengine.EmbeddingTooLong, "e1"), "search", floats, response.served},
		{"one engine answers infinite numbers", malformed(fakeengine.EmbeddingInfinite, "e1"), "search", floats, response.served},
		{"one engine answers invalid base64", malformed(fakeengine.EmbeddingInvalidBase64, "e1"), "search", base64, response.served},
		{"all engines answer too few embeddings", malformed(fakeengine.EmbeddingMissing, "e1", "e2", "e3"), "search", floats, response.rejected},
		{"all engines answer too few embeddings, not idempotent", malformed(fakeengine.EmbeddingMissing, "e1", "e2", "e3"), "note", floats, response.failed},
		{"one shard is invalid", nil, "search", invalid, invalidRequest},
		{"one engine hangs", faults{"e1": {Hang: true}}, "search", floats, response.served},
		{"all engines reject, not idempotent", rejecting, "note", floats, response.failed},
		{"all engines reject", rejecting, "search", floats, response.rejected},
		{"all engines reject, with a key that may be forgotten", rejecting, "job", floats, response.failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := startHarness(t, embeddingAndRerankSpecs(3), smallShards...)
			h.setFaults(test.faults)

			received := h.send(request{path: embeddingsPath, class: test.class, body: test.body})

			if !test.holds(received) {
				t.Errorf("unexpected response %v", received)
			}
			h.clearFaults(test.faults)
			received = h.sendEmbeddings(`{"model":"demo-embed","input":"after"}`)
			if !received.served() && !received.rejected() {
				t.Errorf("request after the fault was neither served nor rejected: %v", received)
			}
		})
	}
}

// TestScatteredRequestIsCancelledWhenItsClientDisconnects: the client disconnects when some shards are computed and
// others wait. The next request is served although an engine starts to drain.
func TestScatteredRequestIsCancelledWhenItsClientDisconnects(t *testing.T) {
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
		t.Errorf("request during a drain was not served: %v", received)
	}
}

// TestExpiredShardEndsTheWholeRequest: if engines hang, a scattered request is rejected by its deadline. If the client
// of a scattered rerank request disconnects, its shards are cancelled within a second.
func TestExpiredShardEndsTheWholeRequest(t *testing.T) {
	h := startHarness(t, embeddingAndRerankSpecs(2), smallShards...)
	h.setEmbeddingFaults(fakeengine.Fault{Hang: true})

	received := h.send(request{path: embeddingsPath, class: "search", deadline: 800 * ms, body: `{"model":"demo-embed","input":` + inputList(60, "pipe") + `}`})

	if !received.rejected() || received.elapsed > 850*ms {
		t.Errorf("request to hanging engines: %v; want a rejection within 850ms", received)
	}
	h.setEmbeddingFaults(fakeengine.Fault{})

	ctx, cancel := context.WithCancel(t.Context())
	h.engine("r1").SetFault(fakeengine.Fault{PrefillDelay: 500 * ms})
	responses := make(chan response)
	go func() {
		responses <- h.send(request{ctx: ctx, path: rerankPath, class: "search", body: `{"model":"demo-rerank","query":"pipe","documents":` + inputList(900, "a frozen pipe") + `}`})
	}()
	h.waitUntil("some shards of the rerank request are computed", func() bool { return h.engine("r2").Stats().Served > 0 && h.engine("r1").Stats().Waiting > 0 })
	cancel()
	<-responses
	h.expectIdleWithinASecond()

	received = h.sendEmbeddings(`{"model":"nobody","input":"x"}`)
	if received.status != http.StatusNotFound || !strings.Contains(received.body, "model_not_found") {
		t.Errorf("request for an unknown model: %v; want error model_not_found", received)
	}
}

// BenchmarkShards measures a request of 2,048 inputs with several numbers of engines and sizes of shards. With the
// largest size, the request is not scattered.
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

// startBenchmarkCluster starts a router with the given numbers of embeddings engines and of inputs in a shard. It is
// stopped when the benchmark ends.
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
