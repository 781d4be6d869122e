package platform

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"martenlock/internal/platform/platformtest"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// goldenTimeout bounds every wait for the server.
const goldenTimeout = 20 * time.Second

// compareGolden compares a text with testdata/NAME.golden, or writes that file under -update.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs\n--- got\n%s--- want\n%s", path, got, want)
	}
}

// quoteLines returns a text with each line indented and quoted, so that all its bytes are visible.
func quoteLines(text string) string {
	var out strings.Builder
	for line := range strings.SplitAfterSeq(text, "\n") {
		if line != "" {
			out.WriteString("  " + strconv.Quote(line) + "\n")
		}
	}
	return out.String()
}

// engineRecord is a request that an engine received.
type engineRecord struct {
	engine *platformtest.Engine
	text   string
}

// goldenHarness is a server under test with clients, engines and discovery that record what they
// receive. It uses the server only through sockets, except to start and stop it.
type goldenHarness struct {
	t         *testing.T
	server    *Server
	finished  chan error
	engines   []*platformtest.Engine
	discovery *platformtest.Discovery
	arrived   chan string   // the method of each request at an engine
	aborted   chan struct{} // one value for each entry of aborts
	zone      string        // of all engines
	// keepRetryAfter keeps the value of Retry-After in the transcript. Set it if the value doesn't
	// depend on the clock.
	keepRetryAfter bool

	mu           sync.Mutex
	dialed       []net.Conn                       // clients' ends of connections
	script       map[string][]platformtest.Script // by engine flavor, for its first attempts; later ones are served
	records      []engineRecord                   // of all engines, in order of arrival
	aborts       []*platformtest.Engine           // of connections that the server closed before the response was complete
	answers      strings.Builder                  // to clients, as the transcript shows them
	requestCount int
}

// goldenSettings are testSettings with longer time limits, so that a slow machine doesn't change what
// is recorded, and with a third kind of engine that does both prefill and decode.
var goldenSettings = strings.NewReplacer(
	`["r1","w1"]`, `["r1","w1","m1"]`, `["read","write"]`, `["read","write","both"]`, `[200000,200000]`, `[200000,200000,200000]`,
	`"PinLimitUs":500000`, `"PinLimitUs":8000000`, `"ConnectTimeoutUs":250000`, `"ConnectTimeoutUs":1000000`,
	`"AimUs":1000000,"DeadlineUs":4000000`, `"AimUs":8000000,"DeadlineUs":16000000`,
	`"AimUs":2500000,"DeadlineUs":12000000`, `"AimUs":8000000,"DeadlineUs":16000000`).Replace(testSettings)

// newGoldenHarness returns a harness with an engine of each flavor. The server isn't started yet.
func newGoldenHarness(t *testing.T, flavors ...string) *goldenHarness {
	t.Helper()
	g := &goldenHarness{
		t: t, finished: make(chan error, 1), script: map[string][]platformtest.Script{}, zone: "a",
		arrived: make(chan string, 1024), aborted: make(chan struct{}, 1024),
	}
	g.engines = platformtest.StartEngines(t, "engine", flavors...)
	for _, e := range g.engines {
		e.Observe(g.recordRequest, g.recordAbort)
		e.SetScript(g.respond)
	}
	g.discovery = platformtest.StartDiscovery(t, g.list(1))
	return g
}

func (g *goldenHarness) recordRequest(r *platformtest.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records = append(g.records, engineRecord{engine: r.Engine, text: quoteLines(r.Raw)})
	g.arrived <- r.Method
}

// recordAbort records that the server closed a connection before the engine's response was complete.
func (g *goldenHarness) recordAbort(r *platformtest.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.aborts = append(g.aborts, r.Engine)
	g.aborted <- struct{}{}
}

// discardRecords discards the record of requests that engines have received so far.
func (g *goldenHarness) discardRecords() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records = nil
}

// respond answers an attempt with the next script of the engine's flavor. If no script is left, and for
// other requests, the engine is well behaved.
func (g *goldenHarness) respond(r *platformtest.Request) bool {
	script := platformtest.WellBehaved
	if r.Method == http.MethodPost {
		script = g.nextScript(r.Engine.Flavor)
	}
	return script(r)
}

func (g *goldenHarness) nextScript(flavor string) platformtest.Script {
	g.mu.Lock()
	defer g.mu.Unlock()
	scripts := g.script[flavor]
	if len(scripts) == 0 {
		return platformtest.WellBehaved
	}
	g.script[flavor] = scripts[1:]
	return scripts[0]
}

// list returns a complete endpoint list of all engines.
func (g *goldenHarness) list(revision int) string {
	var entries []platformtest.Entry
	for _, e := range g.engines {
		entry := e.Entry()
		entry.Zone = g.zone
		entries = append(entries, entry)
	}
	return platformtest.CompleteList(revision, entries...)
}

// config returns the content of a configuration file. known is the endpoint list in the file; if it is
// empty, the file has none.
func (g *goldenHarness) config(settings, known string) string {
	text := fmt.Sprintf(`{"name":"router-0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":0.5,"memory_mb":64,"sockets":256},"settings":%s`,
		g.discovery.Address(), settings)
	if known != "" {
		text += `,"known":` + known
	}
	return text + "}"
}

// start starts the server with a configuration that lists all engines.
func (g *goldenHarness) start() *goldenHarness {
	g.t.Helper()
	return g.startWith(g.config(goldenSettings, g.list(1)))
}

// startWith starts the server with this content of the configuration file.
func (g *goldenHarness) startWith(config string) *goldenHarness {
	g.t.Helper()
	g.discovery.SetFirstMessage(g.list(1))
	cfg := loadGoldenConfig(g.t, config)
	var err error
	if g.server, err = New(cfg, zerolog.Nop()); err != nil {
		g.t.Fatal(err)
	}
	go func() { g.finished <- g.server.Run() }()
	g.t.Cleanup(g.stop)
	return g
}

func loadGoldenConfig(t *testing.T, config string) *Config {
	t.Helper()
	path := filepath.Join(t.TempDir(), "router.json")
	if err := os.WriteFile(path, []byte(config), 0o644); err != nil {
		t.Fatal(err)
	}
	cfg, err := LoadConfig(func(name string) string { return map[string]string{"PROXY_CONFIG": path}[name] })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// stop closes the clients' connections and shuts the server down gracefully. Pending KV releases are
// completed first.
func (g *goldenHarness) stop() {
	if g.server == nil {
		return
	}
	g.mu.Lock()
	for _, conn := range g.dialed { // an open connection would delay the shutdown
		conn.Close()
	}
	g.mu.Unlock()
	g.server.Shutdown()
	select {
	case err := <-g.finished:
		if err != nil {
			g.t.Error(err)
		}
	case <-time.After(goldenTimeout):
		g.t.Errorf("the server did not stop within %v", goldenTimeout)
	}
	g.server = nil
}

// waitForAbort waits until the server has closed a connection before the engine's response was complete.
func (g *goldenHarness) waitForAbort() {
	g.t.Helper()
	select {
	case <-g.aborted:
	case <-time.After(goldenTimeout):
		g.t.Fatalf("the server closed no connection to an engine within %v", goldenTimeout)
	}
}

// isHealthChecked reports whether an engine has received a health check since the last call.
func (g *goldenHarness) isHealthChecked() bool {
	for {
		select {
		case method := <-g.arrived:
			if method == http.MethodGet {
				return true
			}
		default:
			return false
		}
	}
}

// chat returns the bytes of a request of a class, with a unique id. edits are pairs of old and new text.
func (g *goldenHarness) chat(class string, edits ...string) string {
	g.t.Helper()
	g.requestCount++
	return platformtest.ChatRequest{
		ID: fmt.Sprintf("call-%d", g.requestCount), Class: class, TimeBudget: "16000m",
		Body: `{"model":"chat","stream":true,"messages":[{"role":"user","content":"hello"}]}`,
	}.Text(g.t, edits...)
}

// recordedClient is a client's connection whose answers are recorded.
type recordedClient struct {
	harness *goldenHarness
	conn    net.Conn
	reader  *bufio.Reader
	raw     strings.Builder // bytes received since the latest answer
	answer  string          // the latest answer, as the transcript shows it
}

func (g *goldenHarness) dial() *recordedClient {
	g.t.Helper()
	conn, err := net.Dial("tcp", g.server.Addr())
	if err != nil {
		g.t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(goldenTimeout))
	g.mu.Lock()
	g.dialed = append(g.dialed, conn)
	g.mu.Unlock()
	c := &recordedClient{harness: g, conn: conn}
	c.reader = bufio.NewReader(io.TeeReader(conn, &c.raw))
	return c
}

// send writes bytes to the server. It ignores errors: the server may already have answered and closed
// the connection.
func (c *recordedClient) send(text string) *recordedClient {
	io.WriteString(c.conn, text)
	return c
}

// receive reads the answer to a request of this method, and the end of the connection if the server
// closes it.
func (c *recordedClient) receive(method string) *recordedClient {
	var ending string
	request := &http.Request{Method: method}
	response, err := http.ReadResponse(c.reader, request)
	for err == nil && response.StatusCode < http.StatusOK { // an interim response
		response, err = http.ReadResponse(c.reader, request)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	switch {
	case err == nil && !response.Close:
		ending = "the connection stays open"
	default:
		_, end := io.Copy(io.Discard, c.reader)
		ending = describeEnd(end)
	}
	c.answer = quoteLines(c.raw.String()) + ending + "\n"
	c.raw.Reset()
	return c
}

// record puts the latest answer into the transcript.
func (c *recordedClient) record() *recordedClient {
	c.harness.answers.WriteString(c.answer)
	return c
}

// describeEnd describes how a connection ended, in the words of the golden files. err is the result of
// reading to its end.
func describeEnd(err error) string {
	var timeout net.Error
	switch {
	case err == nil:
		return "the router closes the connection"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "the router leaves the connection without an answer"
	}
	return "the router resets the connection"
}

// exchange sends a request on a new connection and records the answer.
func (g *goldenHarness) exchange(text string) {
	g.t.Helper()
	method, _, _ := strings.Cut(text, " ")
	g.dial().send(text).receive(method).record()
}

var (
	budgetField = regexp.MustCompile(`X-Budget: \d+([mu])`)
	retryField  = regexp.MustCompile(`Retry-After: \d+\.\d{3}\\r`)
)

// transcript stops the server and returns all records. It replaces the address of discovery, time budgets
// and, unless keepRetryAfter is set, the values of Retry-After. Engines are numbered in order of their
// first use, so that the transcript does not depend on the router's choice among them.
func (g *goldenHarness) transcript() string {
	g.t.Helper()
	g.stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	answers := g.answers.String()
	if !g.keepRetryAfter {
		answers = retryField.ReplaceAllString(answers, `Retry-After: <seconds>\r`)
	}
	return "to the client:\n" + answers + g.engineTranscript() + g.discoveryTranscript()
}

// engineTranscript returns the requests that engines received, in order of arrival. The connections that
// the server closed come last, because their order among the requests depends on the clock. Health
// checks are omitted; healthCheckTranscript returns them.
func (g *goldenHarness) engineTranscript() string {
	names := map[*platformtest.Engine]string{}
	engineCount := map[string]int{} // by role
	var out strings.Builder
	for _, record := range g.records {
		if record.isHealthCheck() {
			continue
		}
		role := record.engine.Role()
		if names[record.engine] == "" {
			engineCount[role]++
			names[record.engine] = fmt.Sprintf("%s engine %d", role, engineCount[role])
		}
		out.WriteString("to " + names[record.engine] + ":\n" + budgetField.ReplaceAllString(record.text, "X-Budget: <time>$1"))
	}
	for _, engine := range g.aborts {
		out.WriteString("the router ends a connection to " + names[engine] + "\n")
	}
	return out.String()
}

func (r engineRecord) isHealthCheck() bool { return strings.Contains(r.text, `"GET `) }

// healthCheckTranscript stops the server and returns each distinct health check once, because their
// number depends on the clock.
func (g *goldenHarness) healthCheckTranscript() string {
	g.t.Helper()
	g.stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	forms := map[string]bool{}
	for _, record := range g.records {
		if record.isHealthCheck() {
			forms["to an engine:\n"+record.text] = true
		}
	}
	return strings.Join(slices.Sorted(maps.Keys(forms)), "")
}

// discoveryTranscript returns the calls to discovery. It omits repeated equal calls, which the server
// makes when an answer is slow.
func (g *goldenHarness) discoveryTranscript() string {
	var out strings.Builder
	for _, head := range slices.Compact(g.discovery.RequestHeads()) {
		out.WriteString("to discovery:\n" + quoteLines(strings.Replace(head, g.discovery.Address(), "<discovery>", 1)))
	}
	return out.String()
}
