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
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// rigDeadline bounds every wait of the rig. No scenario comes near it.
const rigDeadline = 20 * time.Second

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

// quoteLines shows bytes exactly, one quoted line for each line of them.
func quoteLines(text string) string {
	var out strings.Builder
	for line := range strings.SplitAfterSeq(text, "\n") {
		if line != "" {
			out.WriteString("  " + strconv.Quote(line) + "\n")
		}
	}
	return out.String()
}

// engineCall is one request that an engine received.
type engineCall struct {
	engine *recordedEngine
	conn   net.Conn
	reader *bufio.Reader
	raw    string
	method string
}

func (c *engineCall) write(text string) { io.WriteString(c.conn, text) }

// waitForEnd returns once the router has ended the connection.
func (c *engineCall) waitForEnd() {
	io.Copy(io.Discard, c.reader)
	c.engine.rig.connectionEnded(c.engine)
}

// reply answers a request and tells whether the connection goes on.
type reply func(c *engineCall) (keepOpen bool)

// writes replies with fixed bytes and keeps the connection open.
func writes(text string) reply {
	return func(c *engineCall) bool { c.write(text); return true }
}

// writesThenCloses replies with fixed bytes and closes the connection.
func writesThenCloses(text string) reply {
	return func(c *engineCall) bool { c.write(text); return false }
}

// writesThenWaits replies with fixed bytes and then nothing until the router gives up.
func writesThenWaits(text string) reply {
	return func(c *engineCall) bool { c.write(text); c.waitForEnd(); return false }
}

// resets ends the connection with a TCP reset and no answer.
func resets(c *engineCall) bool {
	c.conn.(*net.TCPConn).SetLinger(0)
	return false
}

// prefillDone is a prefill engine's normal answer.
var prefillDone = writes("HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\":12}")

// recordedEngine is an engine that records the exact bytes it receives.
type recordedEngine struct {
	rig      *goldenRig
	id       string
	flavor   string
	address  string // as discovery lists it
	listener net.Listener
}

func (e *recordedEngine) serve() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.rig.closeAtEnd(conn)
		go e.serveConn(conn)
	}
}

func (e *recordedEngine) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		raw, err := readRequest(reader)
		if err != nil {
			return
		}
		method, _, _ := strings.Cut(raw, " ")
		e.rig.record(e, quoteLines(raw))
		call := &engineCall{engine: e, conn: conn, reader: reader, raw: raw, method: method}
		if !e.rig.replyTo(call)(call) {
			return
		}
	}
}

var contentLength = regexp.MustCompile(`(?i)\r\ncontent-length: *(\d+)\r\n`)

// readRequest reads one request with its body and returns its bytes.
func readRequest(reader *bufio.Reader) (string, error) {
	var raw strings.Builder
	for !strings.HasSuffix(raw.String(), "\r\n\r\n") {
		line, err := reader.ReadString('\n')
		if err != nil {
			return "", err
		}
		raw.WriteString(line)
	}
	match := contentLength.FindStringSubmatch(raw.String())
	if match == nil {
		return raw.String(), nil
	}
	size, err := strconv.Atoi(match[1])
	if err != nil {
		return "", err
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(reader, body); err != nil {
		return "", err
	}
	return raw.String() + string(body), nil
}

// engineRecord is what an engine saw, in the order of all engines.
type engineRecord struct {
	engine *recordedEngine
	text   string
}

// goldenRig is one router between recorded clients, engines and a recorded discovery. It meets
// the router on sockets, and by the functions that start and stop it.
type goldenRig struct {
	t         *testing.T
	router    *Server
	finished  chan error
	engines   []*recordedEngine
	discovery net.Listener
	// watch serves the call of this number at discovery; nil sends the list and holds the call.
	watch   func(conn net.Conn, number int)
	arrived chan string   // the method of each request at an engine
	ended   chan struct{} // for each connection that the router ended in the middle of an answer
	zone    string        // of all engines
	// keepRetryAfter keeps the value of Retry-After in the transcript: it doesn't depend on the clock.
	keepRetryAfter bool

	mu       sync.Mutex
	closers  []io.Closer        // of the rig's own sockets
	dialed   []net.Conn         // by clients
	script   map[string][]reply // by engine flavor: replies to successive POSTs; then normal ones
	records  []engineRecord
	endings  []*recordedEngine
	watches  []string // request heads at discovery
	clients  strings.Builder
	requests int
}

// goldenSettings differ from testSettings in generous limits of time, so that a busy machine
// doesn't change what is recorded, and in a third kind of engine that does both.
var goldenSettings = strings.NewReplacer(
	`["r1","w1"]`, `["r1","w1","m1"]`, `["read","write"]`, `["read","write","both"]`, `[200000,200000]`, `[200000,200000,200000]`,
	`"PinLimitUs":500000`, `"PinLimitUs":8000000`, `"ConnectTimeoutUs":250000`, `"ConnectTimeoutUs":1000000`,
	`"AimUs":1000000,"DeadlineUs":4000000`, `"AimUs":8000000,"DeadlineUs":16000000`,
	`"AimUs":2500000,"DeadlineUs":12000000`, `"AimUs":8000000,"DeadlineUs":16000000`).Replace(testSettings)

// newGoldenRig makes a rig with an engine of each flavor. The router isn't started yet.
func newGoldenRig(t *testing.T, flavors ...string) *goldenRig {
	t.Helper()
	rig := &goldenRig{
		t: t, finished: make(chan error, 1), script: map[string][]reply{}, zone: "a",
		arrived: make(chan string, 1024), ended: make(chan struct{}, 1024),
	}
	rig.discovery = rig.listen()
	for i, flavor := range flavors {
		listener := rig.listen()
		engine := &recordedEngine{rig: rig, id: fmt.Sprintf("engine-%d", i), flavor: flavor, address: listener.Addr().String(), listener: listener}
		rig.engines = append(rig.engines, engine)
		go engine.serve()
	}
	return rig
}

func (rig *goldenRig) listen() net.Listener {
	rig.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		rig.t.Fatal(err)
	}
	rig.closeAtEnd(listener)
	return listener
}

func (rig *goldenRig) closeAtEnd(closer io.Closer) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	rig.closers = append(rig.closers, closer)
}

func (rig *goldenRig) record(engine *recordedEngine, text string) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	rig.records = append(rig.records, engineRecord{engine: engine, text: text})
}

// connectionEnded notes that the router ended a connection in the middle of an answer.
func (rig *goldenRig) connectionEnded(engine *recordedEngine) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	rig.endings = append(rig.endings, engine)
	rig.ended <- struct{}{}
}

// forgetRecords leaves what engines have received so far out of the transcript.
func (rig *goldenRig) forgetRecords() {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	rig.records = nil
}

// replyTo picks the scripted reply to a request.
func (rig *goldenRig) replyTo(call *engineCall) reply {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	rig.arrived <- call.method
	flavor := call.engine.flavor
	switch {
	case call.method == "DELETE":
		return writes("HTTP/1.1 204 No Content\r\n\r\n")
	case call.method == "GET":
		return writes(status(200, ""))
	case len(rig.script[flavor]) > 0:
		next := rig.script[flavor][0]
		rig.script[flavor] = rig.script[flavor][1:]
		return next
	case roleNames[flavor] == "prefill":
		return prefillDone
	}
	return writes(whole)
}

// members is discovery's list of all engines.
func (rig *goldenRig) members(revision int) string { return rig.list(revision, rig.engines) }

// list is discovery's list of these engines.
func (rig *goldenRig) list(revision int, engines []*recordedEngine) string {
	var entries []string
	for _, engine := range engines {
		entries = append(entries, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":1,"phase":"in_service","size":1.0,"up_since_ms":0}`,
			engine.id, engine.address, rig.zone, engine.flavor))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, revision, strings.Join(entries, ","))
}

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func (rig *goldenRig) serveDiscovery() {
	for number := 1; ; number++ {
		conn, err := rig.discovery.Accept()
		if err != nil {
			return
		}
		rig.closeAtEnd(conn)
		head, err := readRequest(bufio.NewReader(conn))
		if err != nil {
			conn.Close()
			continue
		}
		rig.mu.Lock()
		rig.watches = append(rig.watches, head)
		rig.mu.Unlock()
		if rig.watch != nil {
			rig.watch(conn, number)
			continue
		}
		io.WriteString(conn, watchHead+chunk(rig.members(1)+"\n"))
	}
}

// config is the router's configuration file.
func (rig *goldenRig) config(settings, known string) string {
	text := fmt.Sprintf(`{"name":"router-0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":0.5,"memory_mb":64,"sockets":256},"settings":%s`,
		rig.discovery.Addr(), settings)
	if known != "" {
		text += `,"known":` + known
	}
	return text + "}"
}

// start starts the router with the engines known from its configuration.
func (rig *goldenRig) start() *goldenRig {
	rig.t.Helper()
	return rig.startWith(rig.config(goldenSettings, rig.members(1)))
}

// startWith starts the router with a configuration file of this content.
func (rig *goldenRig) startWith(config string) *goldenRig {
	rig.t.Helper()
	go rig.serveDiscovery()
	cfg := loadGoldenConfig(rig.t, config)
	var err error
	if rig.router, err = New(cfg, zerolog.Nop()); err != nil {
		rig.t.Fatal(err)
	}
	go func() { rig.finished <- rig.router.Run() }()
	rig.t.Cleanup(rig.stop)
	return rig
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

// stop ends the router, which finishes what it owes and lets go of held state before, and then
// closes the sockets of the rig.
func (rig *goldenRig) stop() {
	if rig.router == nil {
		return
	}
	rig.mu.Lock()
	for _, conn := range rig.dialed { // an open one would hold up the end
		conn.Close()
	}
	rig.mu.Unlock()
	rig.router.Shutdown()
	select {
	case err := <-rig.finished:
		if err != nil {
			rig.t.Error(err)
		}
	case <-time.After(rigDeadline):
		rig.t.Error("the router does not end")
	}
	rig.router = nil
	rig.mu.Lock()
	defer rig.mu.Unlock()
	for _, closer := range rig.closers {
		closer.Close()
	}
}

// waitForEnding waits until the router has ended a connection in the middle of an answer.
func (rig *goldenRig) waitForEnding() {
	rig.t.Helper()
	select {
	case <-rig.ended:
	case <-time.After(rigDeadline):
		rig.t.Fatal("the router ends no connection")
	}
}

// probed tells whether an engine has received a probe.
func (rig *goldenRig) probed() bool {
	for {
		select {
		case method := <-rig.arrived:
			if method == "GET" {
				return true
			}
		default:
			return false
		}
	}
}

// chat is a request of a class, with an id of its own. edits are pairs of old and new text.
func (rig *goldenRig) chat(class string, edits ...string) string {
	rig.t.Helper()
	rig.requests++
	body := `{"model":"chat","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	text := fmt.Sprintf("POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: api.internal\r\nContent-Type: application/json\r\nX-Call-Id: call-%d\r\nX-Call-Class: %s\r\n"+
		"X-Route-Hash: 7f3a9c21e0b4d655\r\nX-Budget: 16000m\r\nX-Call-Info: prefix=5c0f6e1a2b3d4c59,prompt_len=512,prefix_len=204,max_out=80\r\nContent-Length: %d\r\n\r\n%s",
		rig.requests, class, len(body), body)
	for i := 0; i+1 < len(edits); i += 2 {
		if !strings.Contains(text, edits[i]) {
			rig.t.Fatalf("no %q in the request", edits[i])
		}
		text = strings.Replace(text, edits[i], edits[i+1], 1)
	}
	return text
}

// client is a recorded client's connection.
type client struct {
	rig    *goldenRig
	conn   net.Conn
	reader *bufio.Reader
	raw    strings.Builder // bytes received since the latest answer
	answer string          // the latest one, as the transcript shows it
}

func (rig *goldenRig) dial() *client {
	rig.t.Helper()
	conn, err := net.Dial("tcp", rig.router.Addr())
	if err != nil {
		rig.t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(rigDeadline))
	rig.mu.Lock()
	rig.dialed = append(rig.dialed, conn)
	rig.mu.Unlock()
	c := &client{rig: rig, conn: conn}
	c.reader = bufio.NewReader(io.TeeReader(conn, &c.raw))
	return c
}

// send writes bytes to the router. It may have ended the connection early, after an answer.
func (c *client) send(text string) *client {
	io.WriteString(c.conn, text)
	return c
}

// receive reads one answer to a request of a method, and what becomes of the connection then.
func (c *client) receive(method string) *client {
	var ending string
	request := &http.Request{Method: method}
	response, err := http.ReadResponse(c.reader, request)
	for err == nil && response.StatusCode < http.StatusOK { // an interim one
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

// note puts the latest answer into the transcript.
func (c *client) note() *client { c.rig.clients.WriteString(c.answer); return c }

// describeEnd tells how the router ended a connection.
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
func (rig *goldenRig) exchange(text string) {
	rig.t.Helper()
	method, _, _ := strings.Cut(text, " ")
	rig.dial().send(text).receive(method).note()
}

var (
	budgetField = regexp.MustCompile(`X-Budget: \d+([mu])`)
	retryField  = regexp.MustCompile(`Retry-After: \d+\.\d{3}\\r`)
)

// transcript stops the router and returns all that was recorded. Left out of it are the numbers
// that depend on the clock, the ports, and which of several equal engines was chosen: they are
// named by the order of their first use.
func (rig *goldenRig) transcript() string {
	rig.t.Helper()
	rig.stop()
	rig.mu.Lock()
	defer rig.mu.Unlock()
	answers := rig.clients.String()
	if !rig.keepRetryAfter {
		answers = retryField.ReplaceAllString(answers, `Retry-After: <seconds>\r`)
	}
	return "to the client:\n" + answers + rig.engineTranscript() + rig.discoveryTranscript()
}

// engineTranscript shows the requests in the order of their arrival at all engines, and then the
// connections that the router ended: their order among requests depends on the clock. Probes have
// a transcript of their own.
func (rig *goldenRig) engineTranscript() string {
	names := map[*recordedEngine]string{}
	used := map[string]int{}
	var out strings.Builder
	for _, record := range rig.records {
		if isProbe(record) {
			continue
		}
		role := roleNames[record.engine.flavor]
		if names[record.engine] == "" {
			used[role]++
			names[record.engine] = fmt.Sprintf("%s engine %d", role, used[role])
		}
		out.WriteString("to " + names[record.engine] + ":\n" + budgetField.ReplaceAllString(record.text, "X-Budget: <time>$1"))
	}
	for _, engine := range rig.endings {
		out.WriteString("the router ends a connection to " + names[engine] + "\n")
	}
	return out.String()
}

func isProbe(record engineRecord) bool { return strings.Contains(record.text, `"GET `) }

// probeTranscript shows each form of probe once: their number depends on the clock.
func (rig *goldenRig) probeTranscript() string {
	rig.t.Helper()
	rig.stop()
	rig.mu.Lock()
	defer rig.mu.Unlock()
	forms := map[string]bool{}
	for _, record := range rig.records {
		if isProbe(record) {
			forms["to an engine:\n"+record.text] = true
		}
	}
	return strings.Join(slices.Sorted(maps.Keys(forms)), "")
}

// discoveryTranscript shows the calls. A slow answer brings a second call like the first, which
// is left out.
func (rig *goldenRig) discoveryTranscript() string {
	var out strings.Builder
	for _, head := range slices.Compact(slices.Clone(rig.watches)) {
		out.WriteString("to discovery:\n" + quoteLines(strings.Replace(head, rig.discovery.Addr().String(), "<discovery>", 1)))
	}
	return out.String()
}

// roleNames name engines in transcripts, by their flavor.
var roleNames = map[string]string{
	"r1": "prefill", "w1": "decode", "m1": "mixed",
	"intake": "prefill", "speaker": "decode", "desk": "prefill", "reader-aloud": "decode",
}
