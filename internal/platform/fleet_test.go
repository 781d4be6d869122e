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
	prefillThenReset     = "prefill, then reset"      // retains the KV state and resets the connection in place of an answer
	decodeWithoutAnswer  = "decode without answer"    // takes the request and is silent
	decodeKVStateMissing = "decode, KV state missing" // rejects: it can't fetch the KV state
	prefillOnce          = "prefill once"             // is silent from the second prefill on
)

// engineEventKind is what an engine process did for a request.
type engineEventKind string

// What engine processes report.
const (
	kvRetained   engineEventKind = "retained"  // a prefill has ended, its KV state waits
	kvTaken      engineEventKind = "taken"     // a decode attempt has arrived whole
	kvReleased   engineEventKind = "released"  // a release call has arrived
	prefillTaken engineEventKind = "prefilled" // a prefill attempt has arrived whole
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
		s.report(prefillTaken, requestID)
		s.report(kvRetained, requestID)
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, `{"cached_tokens":12}`)
	case prefillOnce:
		s.report(prefillTaken, requestID)
		if s.prefills.Add(1) > 1 {
			<-r.Context().Done()
			return
		}
		s.report(kvRetained, requestID)
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, `{"cached_tokens":12}`)
	case prefillThenReset:
		s.report(prefillTaken, requestID)
		s.report(kvRetained, requestID)
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	case decodeBehavior:
		s.report(kvTaken, requestID)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, first)
		w.(http.Flusher).Flush()
		_, _ = io.WriteString(w, second+done)
	case decodeWithoutAnswer:
		s.report(kvTaken, requestID)
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

// stop has the process do nothing any more; its connections stay open, and new ones are established.
// It returns once the process has stopped.
func (e *engineProcess) stop(f *fleet) {
	f.Helper()
	if err := e.command.Process.Signal(syscall.SIGSTOP); err != nil {
		f.Fatal(err)
	}
	f.waitFor("the process is stopped", func() bool { return isStopped(f.T, e.command.Process.Pid) })
}

// resume has a stopped process go on.
func (e *engineProcess) resume(f *fleet) {
	f.Helper()
	if err := e.command.Process.Signal(syscall.SIGCONT); err != nil {
		f.Fatal(err)
	}
}

// isStopped tells whether all threads of a process are stopped (proc(5)).
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

// entry is the engine's entry in the endpoint list.
func (e *engineProcess) entry() string {
	address := e.address
	if e.proxy != nil {
		address = e.proxy.listener.Addr().String()
	}
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":%q,"cell":1,"phase":"in_service","size":1.0,"up_since_ms":0}`,
		e.name, address, e.flavor)
}

// silentProxy passes connections on to an engine until it is cut. Then it takes all bytes and
// passes none on, and nothing ends.
type silentProxy struct {
	listener net.Listener
	target   string
	closers  *closers
	mu       sync.Mutex
	clients  []net.Conn
	isCut    bool
}

// serve passes connections on until the listener is closed.
func (p *silentProxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.closers.add(client)
		p.mu.Lock()
		p.clients = append(p.clients, client)
		p.mu.Unlock()
		engine, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		p.closers.add(engine)
		go p.pass(client, engine)
		go p.pass(engine, client)
	}
}

// pass passes one direction on.
func (p *silentProxy) pass(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		isCut := p.isCut
		p.mu.Unlock()
		if !isCut && n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			if !isCut {
				to.Close()
			}
			return
		}
	}
}

// setCut has the proxy pass nothing on, or pass on again what comes from now on.
func (p *silentProxy) setCut(isCut bool) {
	p.mu.Lock()
	p.isCut = isCut
	p.mu.Unlock()
}

// reset resets the connections that clients have made so far.
func (p *silentProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, client := range p.clients {
		_ = client.(*net.TCPConn).SetLinger(0)
		client.Close()
	}
	p.clients = nil
}

// fleet is routers and engines in processes of their own, and a discovery of the test's.
type fleet struct {
	*testing.T
	closers  closers
	engines  []*engineProcess
	routers  []*routerProcess
	mu       sync.Mutex
	events   []engineEvent
	requests int
}

// routerProcess is a router in a process of its own.
type routerProcess struct {
	command *exec.Cmd
	address string
}

// signal sends the first router a signal.
func (f *fleet) signal(signal syscall.Signal) {
	f.Helper()
	if err := f.routers[0].command.Process.Signal(signal); err != nil {
		f.Fatal(err)
	}
}

// engineSpec describes an engine process to start.
type engineSpec struct {
	behavior string
	proxied  bool
}

// startFleet starts engines, and one router that knows them.
func startFleet(t *testing.T, specs ...engineSpec) *fleet {
	t.Helper()
	f := &fleet{T: t}
	t.Cleanup(func() {
		f.closers.mu.Lock()
		defer f.closers.mu.Unlock()
		for _, closer := range f.closers.list {
			closer.Close()
		}
	})
	for i, spec := range specs {
		f.startEngine(fmt.Sprintf("s-%d", i), spec)
	}
	f.startRouter()
	return f
}

// startProcess starts the test binary in another role and returns its standard output and error.
func (f *fleet) startProcess(variables ...string) (command *exec.Cmd, stdout, stderr *bufio.Reader) {
	f.Helper()
	executable, err := os.Executable()
	if err != nil {
		f.Fatal(err)
	}
	command = exec.Command(executable)
	command.Env = append(os.Environ(), variables...)
	output, err := command.StdoutPipe()
	if err != nil {
		f.Fatal(err)
	}
	errors, err := command.StderrPipe()
	if err != nil {
		f.Fatal(err)
	}
	if err := command.Start(); err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command, bufio.NewReader(output), bufio.NewReader(errors)
}

// startEngine starts an engine process.
func (f *fleet) startEngine(name string, spec engineSpec) {
	f.Helper()
	command, stdout, _ := f.startProcess(engineProcessVariable + "=" + spec.behavior)
	address, err := stdout.ReadString('\n')
	if err != nil {
		f.Fatal(err)
	}
	e := &engineProcess{command: command, name: name, flavor: "w1", address: strings.TrimSpace(address)}
	if strings.HasPrefix(spec.behavior, prefillBehavior) {
		e.flavor = "r1"
	}
	if spec.proxied {
		e.proxy = &silentProxy{listener: f.listen(), target: e.address, closers: &f.closers}
		go e.proxy.serve()
	}
	f.engines = append(f.engines, e)
	go f.recordEvents(e, stdout)
}

// listen opens a listener on loopback.
func (f *fleet) listen() net.Listener {
	f.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.closers.add(listener)
	return listener
}

// recordEvents keeps what an engine reports.
func (f *fleet) recordEvents(e *engineProcess, stdout *bufio.Reader) {
	decoder := json.NewDecoder(stdout)
	for {
		event := engineEvent{engine: e}
		if decoder.Decode(&event) != nil {
			return
		}
		f.mu.Lock()
		f.events = append(f.events, event)
		f.mu.Unlock()
	}
}

// list is the complete endpoint list.
func (f *fleet) list() string {
	var entries []string
	for _, e := range f.engines {
		entries = append(entries, e.entry())
	}
	return fmt.Sprintf(`{"revision":1,"complete":true,"members":[%s]}`, strings.Join(entries, ","))
}

// serveDiscovery answers watches with the list and heartbeats.
func (f *fleet) serveDiscovery() string {
	listener := f.listen()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, f.list()+"\n")
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-ticker.C:
				_, _ = io.WriteString(w, "\n")
			}
		}
	})
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// startRouter starts a router process, and waits until it serves.
func (f *fleet) startRouter() {
	f.Helper()
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": f.serveDiscovery(),
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 0.5, "memory_mb": 64, "sockets": 256},
		"known": json.RawMessage(f.list()), "settings": json.RawMessage(testSettings),
	})
	if err != nil {
		f.Fatal(err)
	}
	path := filepath.Join(f.TempDir(), "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		f.Fatal(err)
	}
	command, _, log := f.startProcess(routerProcessVariable+"=1", "PROXY_CONFIG="+path)
	var line struct{ Message, Listen string }
	for line.Message != "serving" {
		text, err := log.ReadBytes('\n')
		if err != nil {
			f.Fatal("the router does not serve: ", err)
		}
		_ = json.Unmarshal(text, &line)
	}
	f.routers = append(f.routers, &routerProcess{command: command, address: line.Listen})
	go f.copyLog(log)
}

// copyLog reads the router's log to its end, and shows it where the tests are verbose.
func (f *fleet) copyLog(log *bufio.Reader) {
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

// ask sends a request of a class to the routers in turn, on a new connection, and returns its id and the answer, which
// comes when the client has had it.
func (f *fleet) ask(class string, edits ...string) (requestID string, answered <-chan clientAnswer) {
	f.Helper()
	requestID, _, answered = f.askOn(class, edits...)
	return requestID, answered
}

// askOn is ask, and returns the connection too.
func (f *fleet) askOn(class string, edits ...string) (requestID string, conn net.Conn, answered <-chan clientAnswer) {
	f.Helper()
	f.requests++
	requestID = fmt.Sprintf("c%d", f.requests)
	request := (&harness{T: f.T, requestCount: f.requests - 1}).chat(class, edits...)
	router := f.routers[f.requests%len(f.routers)]
	conn, err := net.Dial("tcp", router.address)
	if err != nil {
		f.Fatal(err)
	}
	f.closers.add(conn)
	answer := make(chan clientAnswer, 1)
	go func() {
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = io.WriteString(conn, request)
		answer <- readAnswer(bufio.NewReader(conn))
	}()
	return requestID, conn, answer
}

// eventsOf returns what engines reported of a request, in order of time.
func (f *fleet) eventsOf(requestID string) (events []engineEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, event := range f.events {
		if event.RequestID == requestID {
			events = append(events, event)
		}
	}
	slices.SortStableFunc(events, func(a, b engineEvent) int { return a.At.Compare(b.At) })
	return events
}

// retainedFor returns how long the KV state of a request's latest prefill was neither taken nor
// released, up to now where it still is.
func (f *fleet) retainedFor(requestID string) time.Duration {
	var since, until time.Time
	for _, event := range f.eventsOf(requestID) {
		switch {
		case event.Kind == kvRetained:
			since = event.At
			until = time.Time{}
		case until.IsZero() && !since.IsZero() && (event.Kind == kvTaken || event.Kind == kvReleased):
			until = event.At
		}
	}
	if since.IsZero() {
		return 0
	}
	return cmp.Or(until, time.Now()).Sub(since)
}

// waitFor polls a condition until it holds.
func (f *fleet) waitFor(what string, ok func() bool) {
	f.Helper()
	(&harness{T: f.T}).waitFor(what, ok)
}
