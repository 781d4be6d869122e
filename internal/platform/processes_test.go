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
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martenlock/internal/enginetest"
	"martenlock/internal/platform/platformtest"
)

// Environment variables that make a process of the test binary a router or an engine.
const (
	routerProcessVariable = "MARTENLOCK_TEST_SERVE"
	engineProcessVariable = "MARTENLOCK_TEST_ENGINE" // the engine's behavior
)

// The behaviors of an engine process.
const (
	prefillBehavior      = "prefill"
	decodeBehavior       = "decode"
	prefillThenReset     = "prefill, then reset"      // retains the KV state and resets the connection instead of answering
	decodeWithoutAnswer  = "decode without answer"    // receives the request and never answers
	decodeKVStateMissing = "decode, KV state missing" // rejects: it can't fetch the KV state
	prefillOnce          = "prefill once"             // never answers from the second prefill on
)

// engineEventKind is what an engine process did for a request.
type engineEventKind string

// What engine processes report.
const (
	kvRetained      engineEventKind = "retained"  // a prefill has ended and left KV state
	kvFetched       engineEventKind = "fetched"   // a decode attempt has arrived completely
	kvReleased      engineEventKind = "released"  // a release call has arrived
	prefillReceived engineEventKind = "prefilled" // a prefill attempt has arrived completely
)

// engineEvent is a line that an engine process writes to its standard output.
type engineEvent struct {
	Kind      engineEventKind
	RequestID string
	At        time.Time
	engine    *engineProcess
}

// runEngineProcess is the life of an engine process: it prints its address, then its events.
func runEngineProcess(behavior string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(listener.Addr())
	server := &engineServer{behavior: behavior, events: json.NewEncoder(os.Stdout)}
	fmt.Fprintln(os.Stderr, http.Serve(listener, server))
}

// engineServer answers the platform's protocol as an engine.
type engineServer struct {
	behavior string
	prefills atomic.Int64
	mu       sync.Mutex
	events   *json.Encoder
}

// report writes an event.
func (s *engineServer) report(kind engineEventKind, requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.events.Encode(engineEvent{Kind: kind, RequestID: requestID, At: time.Now()})
}

// ServeHTTP implements http.Handler.
func (s *engineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	requestID := r.Header.Get("X-Call-Id")
	if r.Method == http.MethodDelete {
		s.report(kvReleased, filepath.Base(r.URL.Path))
		w.WriteHeader(http.StatusNoContent)
		return
	}
	switch s.behavior {
	case prefillBehavior:
		s.report(prefillReceived, requestID)
		s.report(kvRetained, requestID)
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, `{"cached_tokens":12}`)
	case prefillOnce:
		s.report(prefillReceived, requestID)
		if s.prefills.Add(1) > 1 {
			<-r.Context().Done()
			return
		}
		s.report(kvRetained, requestID)
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, `{"cached_tokens":12}`)
	case prefillThenReset:
		s.report(prefillReceived, requestID)
		s.report(kvRetained, requestID)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			enginetest.Reset(conn)
		}
	case decodeBehavior:
		s.report(kvFetched, requestID)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, platformtest.FirstEvent)
		_ = http.NewResponseController(w).Flush() // the client's end shows at the next write
		_, _ = io.WriteString(w, platformtest.LastToken+platformtest.DoneEvent)
	case decodeWithoutAnswer:
		s.report(kvFetched, requestID)
		<-r.Context().Done()
	case decodeKVStateMissing:
		w.Header().Set("X-Rejected", "1")
		w.WriteHeader(http.StatusGone)
	}
}

// engineProcess is an engine in a process of its own.
type engineProcess struct {
	command *exec.Cmd
	name    string
	flavor  string
	address string // where it listens
	proxy   *silentProxy
}

// stop stops the process: its connections stay open, and new ones are established. It returns once the process has stopped.
func (e *engineProcess) stop(t *testing.T) {
	t.Helper()
	if err := e.command.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the process to stop", func() bool { return isStopped(t, e.command.Process.Pid) })
}

// resume continues a stopped process.
func (e *engineProcess) resume(t *testing.T) {
	t.Helper()
	if err := e.command.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
}

// isStopped reports whether all threads of a process are stopped (proc(5)).
func isStopped(t *testing.T, pid int) bool {
	t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		t.Fatal("no threads of ", pid, err)
	}
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		if err != nil {
			return false // the thread has ended meanwhile
		}
		_, afterName, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(afterName, "T") {
			return false
		}
	}
	return true
}

// listed returns the engine's entry in the endpoint list.
func (e *engineProcess) listed() platformtest.Entry {
	address := e.address
	if e.proxy != nil {
		address = e.proxy.listener.Addr().String()
	}
	return platformtest.Entry{ID: e.name, Address: address, Flavor: e.flavor}
}

// silentProxy forwards connections to an engine until it is cut. Then it accepts all bytes and
// forwards none, and no connection ends.
type silentProxy struct {
	listener *enginetest.Listener
	target   string

	mu       sync.Mutex
	clients  []*net.TCPConn
	engines  []net.Conn
	isCut    bool
	isClosed bool
}

// startSilentProxy starts a proxy in front of an engine's address.
func startSilentProxy(t *testing.T, target string) *silentProxy {
	t.Helper()
	p := &silentProxy{target: target}
	p.listener = enginetest.Listen(t, p.serve)
	t.Cleanup(p.closeEngineConns)
	return p
}

// serve forwards one connection in both directions.
func (p *silentProxy) serve(client *net.TCPConn) {
	engine, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.clients = append(p.clients, client)
	p.engines = append(p.engines, engine)
	if p.isClosed {
		engine.Close()
	}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(client, engine) })
	directions.Go(func() { p.forward(engine, client) })
	directions.Wait()
}

// forward forwards one direction.
func (p *silentProxy) forward(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		isCut := p.isCut
		p.mu.Unlock()
		if !isCut && n > 0 {
			_, _ = to.Write(buffer[:n]) // its end shows in the other direction
		}
		if err != nil {
			if !isCut {
				to.Close()
			}
			return
		}
	}
}

// setCut sets whether the proxy forwards nothing of what arrives from now on.
func (p *silentProxy) setCut(isCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = isCut
}

// reset resets the connections that clients have made so far.
func (p *silentProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, client := range p.clients {
		enginetest.Reset(client)
	}
	p.clients = nil
}

func (p *silentProxy) closeEngineConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, conn := range p.engines {
		conn.Close()
	}
}

// cluster is routers and engines in processes of their own, and discovery in the test's.
type cluster struct {
	*testing.T
	engines      []*engineProcess
	routers      []*routerProcess
	requestCount int

	mu     sync.Mutex
	events []engineEvent
}

// routerProcess is a router in a process of its own.
type routerProcess struct {
	command *exec.Cmd
	address string
}

// signal sends the first router a signal.
func (c *cluster) signal(signal syscall.Signal) {
	c.Helper()
	if err := c.routers[0].command.Process.Signal(signal); err != nil {
		c.Fatal(err)
	}
}

// engineSpec describes an engine process to start.
type engineSpec struct {
	behavior string
	proxied  bool
}

// startCluster starts engines, and one router that knows them.
func startCluster(t *testing.T, specs ...engineSpec) *cluster {
	t.Helper()
	c := &cluster{T: t}
	for i, spec := range specs {
		c.startEngine(fmt.Sprintf("s-%d", i), spec)
	}
	c.startRouter()
	return c
}

// startProcess starts the test binary in another role and returns its standard output and error.
func (c *cluster) startProcess(variables ...string) (command *exec.Cmd, stdout, stderr *bufio.Reader) {
	c.Helper()
	executable, err := os.Executable()
	if err != nil {
		c.Fatal(err)
	}
	command = exec.Command(executable)
	command.Env = append(os.Environ(), variables...)
	output, err := command.StdoutPipe()
	if err != nil {
		c.Fatal(err)
	}
	errors, err := command.StderrPipe()
	if err != nil {
		c.Fatal(err)
	}
	if err := command.Start(); err != nil {
		c.Fatal(err)
	}
	c.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command, bufio.NewReader(output), bufio.NewReader(errors)
}

// startEngine starts an engine process.
func (c *cluster) startEngine(name string, spec engineSpec) {
	c.Helper()
	command, stdout, _ := c.startProcess(engineProcessVariable + "=" + spec.behavior)
	address, err := stdout.ReadString('\n')
	if err != nil {
		c.Fatal(err)
	}
	e := &engineProcess{command: command, name: name, flavor: "w1", address: strings.TrimSpace(address)}
	if strings.HasPrefix(spec.behavior, prefillBehavior) {
		e.flavor = "r1"
	}
	if spec.proxied {
		e.proxy = startSilentProxy(c.T, e.address)
	}
	c.engines = append(c.engines, e)
	go c.recordEvents(e, stdout)
}

// recordEvents keeps what an engine reports.
func (c *cluster) recordEvents(e *engineProcess, stdout *bufio.Reader) {
	decoder := json.NewDecoder(stdout)
	for {
		event := engineEvent{engine: e}
		if decoder.Decode(&event) != nil {
			return
		}
		c.mu.Lock()
		c.events = append(c.events, event)
		c.mu.Unlock()
	}
}

// completeList returns the complete endpoint list.
func (c *cluster) completeList() string {
	var entries []platformtest.Entry
	for _, e := range c.engines {
		entries = append(entries, e.listed())
	}
	return platformtest.CompleteList(1, entries...)
}

// startRouter starts a router process, and waits until it serves.
func (c *cluster) startRouter() {
	c.Helper()
	discovery := platformtest.StartDiscovery(c.T, c.completeList())
	discovery.SendHeartbeats(c.T, time.Second)
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.Address(),
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 0.5, "memory_mb": 64, "sockets": 256},
		"known": json.RawMessage(c.completeList()), "settings": json.RawMessage(testSettings),
	})
	if err != nil {
		c.Fatal(err)
	}
	path := filepath.Join(c.TempDir(), "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		c.Fatal(err)
	}
	command, _, log := c.startProcess(routerProcessVariable+"=1", "PROXY_CONFIG="+path)
	var line struct{ Message, Listen string }
	for line.Message != "serving" {
		text, err := log.ReadBytes('\n')
		if err != nil {
			c.Fatal("the router does not serve: ", err)
		}
		_ = json.Unmarshal(text, &line)
	}
	c.routers = append(c.routers, &routerProcess{command: command, address: line.Listen})
	go c.copyLog(log)
}

// copyLog reads the router's log to its end, and shows it where the tests are verbose.
func (c *cluster) copyLog(log *bufio.Reader) {
	for {
		text, err := log.ReadString('\n')
		if err != nil {
			return
		}
		if testing.Verbose() {
			fmt.Print(text)
		}
	}
}

// sentRequest is a client's request on its way.
type sentRequest struct {
	id       string
	conn     net.Conn
	answered <-chan platformtest.Answer // has the answer once the client has received it
}

// send sends a request of a class to the routers in turn, on a new connection.
func (c *cluster) send(class string, edits ...string) sentRequest {
	c.Helper()
	c.requestCount++
	text := chatText(c.T, c.requestCount, class, "", edits...)
	router := c.routers[c.requestCount%len(c.routers)]
	conn, err := net.Dial("tcp", router.address)
	if err != nil {
		c.Fatal(err)
	}
	c.Cleanup(func() { conn.Close() })
	answered := make(chan platformtest.Answer, 1)
	go func() {
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(conn, text)
		answered <- readAnswer(conn)
	}()
	return sentRequest{id: fmt.Sprintf("c%d", c.requestCount), conn: conn, answered: answered}
}

// warmUp has this many requests served, one after another.
func (c *cluster) warmUp(class string, count int) {
	c.Helper()
	for range count {
		request := c.send(class)
		if answer := <-request.answered; answer.Code != http.StatusOK {
			c.Fatalf("warming up: %d", answer.Code)
		}
	}
}

// eventsOf returns what engines reported of a request, in order of time.
func (c *cluster) eventsOf(requestID string) (events []engineEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range c.events {
		if event.RequestID == requestID {
			events = append(events, event)
		}
	}
	slices.SortStableFunc(events, func(a, b engineEvent) int { return a.At.Compare(b.At) })
	return events
}

// retainedFor returns how long the KV state of a request's latest prefill was neither fetched nor
// released, up to now where it still is.
func (c *cluster) retainedFor(requestID string) time.Duration {
	var since, until time.Time
	for _, event := range c.eventsOf(requestID) {
		switch {
		case event.Kind == kvRetained:
			since = event.At
			until = time.Time{}
		case until.IsZero() && !since.IsZero() && (event.Kind == kvFetched || event.Kind == kvReleased):
			until = event.At
		}
	}
	if since.IsZero() {
		return 0
	}
	return cmp.Or(until, time.Now()).Sub(since)
}
