package platform

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"martenlock/control"
	"martenlock/control/connreuse"
	"martenlock/internal/platform/platformtest"
)

// harness is a server under test with scripted engines and a scripted discovery service.
type harness struct {
	*testing.T
	engines        []*platformtest.Engine
	discovery      *platformtest.Discovery
	server         *Server
	configPath     string
	config         map[string]any
	finished       chan error // the result of Run
	revision       int        // of the latest endpoint list
	requestCount   int
	messageContent string // of requests; "hello" if empty
	log            logBuffer

	mu       sync.Mutex
	requests []*platformtest.Request // at all engines, in order of arrival
}

// logBuffer collects the log of a server.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// lines returns the decoded lines that have this message.
func (b *logBuffer) lines(message string) (found []map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.text.String()) {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil && fields["message"] == message {
			found = append(found, fields)
		}
	}
	return found
}

// testSettings are the settings of servers under test: the class ask is idempotent, the class note is not.
const testSettings = `{"Balancers":1,"Rank":0,"Zone":0,"Zones":["a","b"],"HostTypes":["r1","w1"],"Family":"twostage",
"FamilyInfo":{"KindRole":["read","write"],"TokensByKind":[200000,200000],"PinLimitUs":500000,"AimUsPer1000PromptTokens":[60000,120000],"TokenAimUs":[50000,80000],"Resume":true},
"Limits":{"AttemptsCap":5,"Cancelling":true,"ConnIdleUs":15000000,"ConnectTimeoutUs":250000,"MaxRetryAfterUs":1000000,"MostHeld":1000,"Probes":false,"RetryAfter":true},
"LoadReport":{"Fields":[],"How":"silent"},"MembershipMode":"push",
"RequestClasses":[{"Name":"ask","AimUs":1000000,"DeadlineUs":4000000,"Effect":"idempotent","LateWorth":0.3,"Worth":1,"Streamed":true},
{"Name":"note","AimUs":2500000,"DeadlineUs":12000000,"Effect":"at_most_once","LateWorth":0.2,"Worth":3,"Streamed":true}],
"Rules":{"ColdFrom":0.4,"ColdUs":5000000,"DrainGraceUs":2000000,"FallMultiple":2.5,"FallUs":3000000,"GraceToAnswerUs":8000}}`

// startHarness runs a server with engines of these flavors: r1 for prefill, w1 for decode.
func startHarness(t *testing.T, flavors ...string) *harness {
	t.Helper()
	return startHarnessWith(t, testSettings, flavors...)
}

// startHarnessWith is startHarness with other settings, whose first host type is for prefill and whose
// second one is for decode.
func startHarnessWith(t *testing.T, settings string, flavors ...string) *harness {
	t.Helper()
	h := &harness{T: t, revision: 1, finished: make(chan error, 1)}
	h.engines = platformtest.StartEngines(t, "s", flavors...)
	for _, e := range h.engines {
		e.Observe(h.record, nil)
	}
	h.discovery = platformtest.StartDiscovery(t, h.completeList())
	h.configPath = filepath.Join(t.TempDir(), "config.json")
	h.config = map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": h.discovery.Address(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 0.5, "memory_mb": 64, "sockets": 256},
		"known":  json.RawMessage(h.completeList()), "settings": json.RawMessage(settings),
	}
	h.saveConfig()
	cfg, err := LoadConfig(h.getenv)
	if err != nil {
		t.Fatal(err)
	}
	if h.server, err = New(cfg, zerolog.New(&h.log)); err != nil {
		t.Fatal(err)
	}
	go func() { h.finished <- h.server.Run() }()
	t.Cleanup(h.stop)
	h.waitOnLoop("the watch to be established", func() bool { return h.server.discovery.watch != nil })
	h.waitFor("all calls to discovery but the watch to be closed", func() bool { return h.discovery.OpenCalls() == 1 })
	return h
}

// stop stops the server's loop, and fails the test if Run returned an error, a handler panicked, or a
// connection to an engine was reused too soon.
func (h *harness) stop() {
	h.Helper()
	h.server.loop.Post(h.server.loop.Stop)
	h.expectFinished()
	h.expectConnectionsRested()
	if h.server.counters.panics > 0 {
		h.Errorf("%d panics", h.server.counters.panics)
	}
}

// expectConnectionsRested fails the test if an engine received a request on a connection within
// connreuse.MinIdleTime after it had written a response on it.
func (h *harness) expectConnectionsRested() {
	h.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.requests {
		if r.Pause > 0 && r.Pause < connreuse.MinIdleTime {
			h.Errorf("%s %s %s: the connection was reused after %v", r.Engine.ID, r.Method, r.ID, r.Pause)
		}
	}
}

// expectFinished waits until Run has returned, and fails the test if it returned an error.
func (h *harness) expectFinished() {
	h.Helper()
	select {
	case err := <-h.finished:
		h.finished <- err // for the next caller
		if err != nil {
			h.Error(err)
		}
	case <-time.After(10 * time.Second):
		h.Error("the server's loop did not stop within 10 s")
	}
}

// record records a request that an engine received.
func (h *harness) record(r *platformtest.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

func (h *harness) saveConfig() {
	h.Helper()
	text, err := json.Marshal(h.config)
	if err != nil {
		h.Fatal(err)
	}
	if err := os.WriteFile(h.configPath, text, 0o644); err != nil {
		h.Fatal(err)
	}
}

// getenv looks up a variable in the server's environment, which has only PROXY_CONFIG.
func (h *harness) getenv(name string) string {
	if name == "PROXY_CONFIG" {
		return h.configPath
	}
	return ""
}

// completeList returns a complete endpoint list of all engines.
func (h *harness) completeList() string {
	var entries []platformtest.Entry
	for _, e := range h.engines {
		entries = append(entries, e.Entry())
	}
	return platformtest.CompleteList(h.revision, entries...)
}

// notifyChange sends an incremental endpoint list of the next revision.
func (h *harness) notifyChange(entries ...platformtest.Entry) {
	h.revision++
	h.discovery.Send(platformtest.IncrementalList(h.revision, entries...) + "\n")
}

// notifyTerminating sends an endpoint list in which an engine is terminating: the server drains it.
func (h *harness) notifyTerminating(e *platformtest.Engine) {
	h.notifyChange(e.EntryInPhase(platformtest.Terminating))
}

// waitUntilListApplied waits until the server has applied the latest endpoint list.
func (h *harness) waitUntilListApplied() {
	h.Helper()
	h.waitOnLoop("the endpoint list to be applied", func() bool { return h.server.membership.Revision() == uint64(h.revision) })
}

// listAt lists these engines at another address, and waits until the server has applied the list.
func (h *harness) listAt(address string, engines ...*platformtest.Engine) {
	h.Helper()
	var entries []platformtest.Entry
	for _, e := range engines {
		e.ListedAddress = address
		entries = append(entries, e.Entry())
	}
	h.notifyChange(entries...)
	h.waitUntilListApplied()
}

// endpointID returns the id by which the server knows an engine.
func endpointID(e *platformtest.Engine) control.EndpointID {
	return (&endpointEntry{ID: e.ID}).endpointID()
}

// stateOf returns the state of an engine in the server's endpoint list. It runs on the loop.
func (h *harness) stateOf(e *platformtest.Engine) control.EndpointState {
	member, _ := h.server.membership.Get(endpointID(e))
	return member.State
}

// runOnLoop runs a function on the server's loop and waits until it returns.
func (h *harness) runOnLoop(fn func()) {
	h.Helper()
	ran := make(chan struct{})
	h.server.loop.Post(func() { fn(); close(ran) })
	select {
	case <-ran:
	case <-time.After(10 * time.Second):
		h.Fatal("the loop did not run a posted function within 10 s")
	}
}

// runInOneIteration runs fn on the loop, so that the loop handles all events that fn causes in its next
// iteration, in order of arrival. It returns after their handlers have run.
func (h *harness) runInOneIteration(fn func()) {
	h.Helper()
	h.runOnLoop(fn)
	h.runOnLoop(func() {})
}

// waitFor polls a condition until it holds, and fails the test after about 10 s.
func waitFor(t *testing.T, what string, isMet func() bool) {
	t.Helper()
	for range 2000 {
		if isMet() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("timed out waiting for ", what)
}

// waitFor calls the function waitFor with the harness's test.
func (h *harness) waitFor(what string, isMet func() bool) {
	h.Helper()
	waitFor(h.T, what, isMet)
}

// waitOnLoop is waitFor with a condition that is evaluated on the loop, which owns the server's state.
func (h *harness) waitOnLoop(what string, isMet func() bool) {
	h.Helper()
	h.waitFor(what, func() (met bool) { h.runOnLoop(func() { met = isMet() }); return met })
}

// waitUntilNothingOpen waits until no request is open, no KV release pending and nothing buffered.
func (h *harness) waitUntilNothingOpen() {
	h.Helper()
	h.waitOnLoop("requests and KV releases to end", func() bool {
		return len(h.server.exchanges.ByID) == 0 && len(h.server.exchanges.byCallID) == 0 &&
			h.server.kvReleases.scheduler.Len() == 0 && h.server.bufferedBytes == 0
	})
}

// waitForAttempts waits until these engines have received this many attempts in total.
func (h *harness) waitForAttempts(count int, engines ...*platformtest.Engine) {
	h.Helper()
	h.waitFor(fmt.Sprintf("%d attempts", count), func() bool { return attemptsAt(engines...) == count })
}

// shutDown begins a graceful shutdown and returns once it is in progress.
func (h *harness) shutDown() {
	h.Helper()
	h.server.Shutdown()
	h.waitOnLoop("the shutdown to begin", func() bool { return h.server.shutdown.inProgress() })
}

// dial connects a client.
func (h *harness) dial() net.Conn {
	h.Helper()
	conn, err := net.Dial("tcp", h.server.Addr())
	if err != nil {
		h.Fatal(err)
	}
	h.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

// chat returns the bytes of a request with a unique id and a class: ask is idempotent, note is not.
// edits are pairs of old and new text.
func (h *harness) chat(class string, edits ...string) string {
	h.Helper()
	h.requestCount++
	return chatText(h.T, h.requestCount, class, h.messageContent, edits...)
}

// chatText returns the bytes of a request whose id has this number. The message is "hello" if content
// is empty.
func chatText(tb testing.TB, number int, class, content string, edits ...string) string {
	tb.Helper()
	return platformtest.ChatRequest{
		ID: fmt.Sprintf("c%d", number), Class: class, TimeBudget: "4000m",
		Body: `{"model":"chat","stream":true,"max_tokens":800,"messages":[{"role":"user","content":"` + cmp.Or(content, "hello") + `"}]}`,
	}.Text(tb, edits...)
}

// healthCheck is the platform's health check.
const healthCheck = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"

// send sends bytes on a new connection.
func (h *harness) send(text string) net.Conn {
	h.Helper()
	conn := h.dial()
	io.WriteString(conn, text)
	return conn
}

// readAnswer reads the first answer on a connection.
func readAnswer(conn io.Reader) platformtest.Answer {
	return platformtest.ReadAnswer(bufio.NewReader(conn))
}

// roundTrip sends bytes on a new connection and reads one answer.
func (h *harness) roundTrip(text string) platformtest.Answer {
	h.Helper()
	conn := h.send(text)
	defer conn.Close()
	return readAnswer(conn)
}

// expectServed fails the test unless the answer is the complete stream of a well-behaved engine.
func (h *harness) expectServed(answer platformtest.Answer) {
	h.Helper()
	if !answer.IsCompleteStream() {
		h.Errorf("not a complete stream: %+v", answer)
	}
}

// attemptCounts returns how many attempts each engine has received.
func (h *harness) attemptCounts() (counts []int) {
	for _, e := range h.engines {
		counts = append(counts, e.Attempts())
	}
	return counts
}

// attemptsAt returns how many attempts these engines have received in total.
func attemptsAt(engines ...*platformtest.Engine) (count int) {
	for _, e := range engines {
		count += e.Attempts()
	}
	return count
}

// expectAttempts fails the test unless each engine has received this many attempts.
func (h *harness) expectAttempts(want ...int) {
	h.Helper()
	if got := h.attemptCounts(); !slices.Equal(got, want) {
		h.Errorf("engines received %v attempts, want %v", got, want)
	}
}

// isKVReleased reports whether any engine was asked to release the KV state of the first request.
func (h *harness) isKVReleased() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.requests, func(r *platformtest.Request) bool {
		return r.Method == http.MethodDelete && r.Target == "/bootstrap/rooms/c1"
	})
}
