package openaiserver_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"martenlock/control"
	"martenlock/internal/demo"
	"martenlock/internal/fakeengine"
	"martenlock/internal/invariant"
	"martenlock/internal/openaiserver"
	"martenlock/internal/serve"
)

const ms = time.Millisecond

// harness runs a router with its own fake engines, and a client that records what it observes. When the test ends, the
// harness checks the recording with package invariant.
type harness struct {
	*demo.Cluster
	t            *testing.T
	recording    *invariant.Recording
	log          *logBuffer
	client       *http.Client
	requestCount atomic.Int64
}

// startHarness starts a router and its engines, which are stopped when the test ends. edits holds pairs of old and new
// text for editedSettings.
func startHarness(t *testing.T, specs []fakeengine.Spec, edits ...string) *harness {
	t.Helper()
	h := &harness{t: t, recording: invariant.NewRecording(1 << 20), log: &logBuffer{}, client: http.DefaultClient}
	options := demo.Options{Specs: specs, Settings: editedSettings(t, edits), Log: h.log, Recording: h.recording}
	var err error
	h.Cluster, err = demo.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		h.waitUntilIdle()
		h.checkInvariants()
		err := h.Close()
		if err != nil {
			t.Error(err)
		}
	})
	return h
}

// editedSettings returns the demo's settings after replacing one occurrence of each old text in edits, which holds pairs
// of old and new text. It fails the test if an old text is missing.
func editedSettings(t *testing.T, edits []string) string {
	t.Helper()
	settings := fmt.Sprintf(demo.Settings, "127.0.0.1:0", 1, "info")
	for i := 0; i < len(edits); i += 2 {
		if !strings.Contains(settings, edits[i]) {
			t.Fatalf("the demo's settings don't contain %q", edits[i])
		}
		settings = strings.Replace(settings, edits[i], edits[i+1], 1)
	}
	return settings
}

// checkInvariants fails the test if the recording violates an invariant or has lost events. It accepts a recording
// without requests.
func (h *harness) checkInvariants() {
	h.t.Helper()
	limits := demo.Limits
	limits.Skew = 200 * ms // allows for scheduling delays on a loaded machine
	report := invariant.Check(h.recording, limits, h.Clock())
	if !report.Kept() && report.Verdicts[0].Checked > 0 {
		h.t.Errorf("an invariant was violated or events were lost:\n%s", report)
	}
}

// waitUntil waits until a condition holds and fails the test after 20 s.
func waitUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after 20s waiting until: %s", condition)
		}
		time.Sleep(2 * ms)
	}
}

// waitUntil calls the function waitUntil with the harness's test.
func (h *harness) waitUntil(condition string, holds func() bool) {
	h.t.Helper()
	waitUntil(h.t, condition, holds)
}

// waitUntilIdle waits until the router has no open requests, buffered bytes or pending KV releases, and the engines
// have no requests and retain no KV state. It returns without an error if the router has stopped.
func (h *harness) waitUntilIdle() {
	h.t.Helper()
	h.waitUntil("router and engines are idle", func() bool {
		stats, err := h.Service.Router.Stats()
		if err != nil || stats.OpenRequests > 0 || stats.BufferedBytes > 0 || stats.PendingKVReleases > 0 {
			return err != nil
		}
		for _, engine := range h.FindEngines("zone:a") {
			engineStats := engine.Stats()
			if engineStats.Running+engineStats.Waiting+engineStats.RetainedStates > 0 {
				return false
			}
		}
		return true
	})
}

// expectIdleWithinASecond fails the test if the router and the engines are not idle after a second.
func (h *harness) expectIdleWithinASecond() {
	h.t.Helper()
	startedAt := time.Now()
	h.waitUntilIdle()
	elapsed := time.Since(startedAt)
	if elapsed > time.Second {
		h.t.Errorf("router and engines were idle after %v, want at most 1s", elapsed)
	}
}

// engine returns the engine with the given name. It panics if there is none.
func (h *harness) engine(name string) *fakeengine.Engine { return h.FindEngines(name)[0] }

// setFaults sets the faults of engines. The keys are the engines' names.
func (h *harness) setFaults(faults map[string]fakeengine.Fault) {
	for name, fault := range faults {
		h.engine(name).SetFault(fault)
	}
}

// clearFaults clears the faults of the engines that are the keys of faults.
func (h *harness) clearFaults(faults map[string]fakeengine.Fault) {
	for name := range faults {
		h.engine(name).SetFault(fakeengine.Fault{})
	}
}

// setEmbeddingFaults sets the fault of all engines of pool "embeddings".
func (h *harness) setEmbeddingFaults(fault fakeengine.Fault) {
	for _, engine := range h.FindEngines("pool:embeddings") {
		engine.SetFault(fault)
	}
}

// setState sets the state of the named engine in the endpoint list.
func (h *harness) setState(state demo.EndpointState, engine string) {
	h.t.Helper()
	err := h.SetState(state, h.engine(engine))
	if err != nil {
		h.t.Fatal(err)
	}
}

func (h *harness) stats() openaiserver.Stats {
	h.t.Helper()
	stats, err := h.Service.Router.Stats()
	if err != nil {
		h.t.Error(err)
	}
	return stats
}

func (h *harness) address() string { return h.Service.Router.Addr() }

// logBuffer collects the router's log. It may be read and written concurrently.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// engineSpec returns the spec of a fast engine of pool "chat".
func engineSpec(name string, role control.Role) fakeengine.Spec {
	kind := map[control.Role]string{control.RolePrefill: "reader", control.RoleDecode: "writer", control.RoleColocated: "mixed"}[role]
	return fakeengine.Spec{
		Name:                   name,
		Kind:                   kind,
		Pool:                   "chat",
		Zone:                   "a",
		Cell:                   "1",
		Role:                   role,
		PrefillTokensPerSecond: 1e6,
		TokenInterval:          2 * ms,
		DecodeSlots:            50,
		MaxWaiting:             50,
		AnswerTokens:           5,
	}
}

// prefillDecodeSpecs returns the specs of prefill engines p1, p2, … and decode engines d1, d2, … of pool "chat".
func prefillDecodeSpecs(prefill, decode int) (specs []fakeengine.Spec) {
	for i := range prefill {
		specs = append(specs, engineSpec(fmt.Sprintf("p%d", i+1), control.RolePrefill))
	}
	for i := range decode {
		specs = append(specs, engineSpec(fmt.Sprintf("d%d", i+1), control.RoleDecode))
	}
	return specs
}

// embeddingSpec returns the spec of an engine of pool "embeddings".
func embeddingSpec(name string) fakeengine.Spec {
	spec := engineSpec(name, control.RoleColocated)
	spec.Kind, spec.Pool, spec.Dimensions = "embedder", "embeddings", 8
	return spec
}

// embeddingAndRerankSpecs returns the specs of n engines e1, e2, … of pool "embeddings" and as many r1, r2, … of pool
// "rerank".
func embeddingAndRerankSpecs(n int) (specs []fakeengine.Spec) {
	for i := range n {
		rerank := embeddingSpec(fmt.Sprintf("r%d", i+1))
		rerank.Kind, rerank.Pool = "ranker", "rerank"
		specs = append(specs, embeddingSpec(fmt.Sprintf("e%d", i+1)), rerank)
	}
	return specs
}

// startServiceWithEngine starts a router with the demo's settings and one colocated engine, in the named pool. The router
// is stopped when the test ends, and the test fails if that returns an error.
func startServiceWithEngine(t *testing.T, pool string, engine netip.AddrPort) *serve.Service {
	t.Helper()
	dir := t.TempDir()
	configPath := filepath.Join(dir, "m.ini")
	writeFile(t, filepath.Join(dir, "nodes.ini"), fmt.Sprintf("[node a]\npool = %s\nkind = mixed\naddress = %s\n", pool, engine))
	writeFile(t, configPath, fmt.Sprintf(demo.Settings, "127.0.0.1:0", 1, "error"))
	service, err := serve.Start(configPath, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := service.Stop(); err != nil {
			t.Error(err)
		}
	})
	return service
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	err := os.WriteFile(path, []byte(text), 0o644)
	if err != nil {
		t.Fatal(err)
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// embeddingSpecs returns the specs of n engines e1, e2, … of pool "embeddings".
func embeddingSpecs(n int) (specs []fakeengine.Spec) {
	for i := range n {
		specs = append(specs, embeddingSpec(fmt.Sprintf("e%d", i+1)))
	}
	return specs
}

// countAliveEmbeddingEngines returns the number of engines of pool "embeddings" that accept connections.
func (h *harness) countAliveEmbeddingEngines() (alive int) {
	for _, engine := range h.FindEngines("pool:embeddings") {
		conn, err := net.Dial("tcp", engine.Addr().String())
		if err == nil {
			conn.Close()
			alive++
		}
	}
	return alive
}
