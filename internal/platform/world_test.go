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
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// recordedRequest is a request that a scripted engine received.
type recordedRequest struct {
	engine                           *scriptedEngine
	conn                             net.Conn
	method, target, id, budget, body string
	at                               time.Time
}

// scriptedEngine is an engine on a loopback socket that answers as its script says.
type scriptedEngine struct {
	harness       *harness
	ln            net.Listener
	id, flavor    string
	listedAddress string // the address in the endpoint list, where it is not the listener's
	mu            sync.Mutex
	script        func(*recordedRequest) (keepOpen bool)
	requests      []*recordedRequest
	connCount     int
}

// serve answers connections until the listener is closed.
func (e *scriptedEngine) serve() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.connCount++
		e.mu.Unlock()
		e.harness.closers.add(c)
		go func() {
			defer c.Close()
			b := bufio.NewReader(c)
			for {
				h, err := http.ReadRequest(b)
				if err != nil {
					return
				}
				body, err := io.ReadAll(h.Body)
				if err != nil {
					return
				}
				r := &recordedRequest{e, c, h.Method, h.RequestURI, h.Header.Get("X-Call-Id"), h.Header.Get("X-Budget"), string(body), time.Now()}
				e.mu.Lock()
				e.requests = append(e.requests, r)
				script := e.script
				e.mu.Unlock()
				e.harness.record(r)
				if !script(r) {
					return
				}
			}
		}()
	}
}

// unreachable returns a loopback address to which no connection is ever established: its
// listener accepts nothing, and the backlog is full.
func unreachable(t *testing.T) string {
	t.Helper()
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	must(err)
	t.Cleanup(func() { unix.Close(fd) })
	must(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must(unix.Listen(fd, 0))
	sa, err := unix.Getsockname(fd)
	must(err)
	for range 2 {
		c, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		must(err)
		t.Cleanup(func() { unix.Close(c) })
		if err := unix.Connect(c, sa); err != unix.EINPROGRESS {
			must(err)
		}
	}
	return fmt.Sprintf("127.0.0.1:%d", sa.(*unix.SockaddrInet4).Port)
}

// setScript sets how the requests from now on are answered.
func (e *scriptedEngine) setScript(script func(*recordedRequest) bool) {
	e.mu.Lock()
	e.script = script
	e.mu.Unlock()
}

// write writes bytes of the response; false where the connection has ended.
func (r *recordedRequest) write(text string) bool {
	_, err := io.WriteString(r.conn, text)
	return err == nil
}

const (
	chunkedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	first       = `data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}` + "\n\n"
	second      = `data: {"choices":[{"index":0,"delta":{"content":"x"},"finish_reason":"stop"}]}` + "\n\n"
	done        = "data: [DONE]\n\n"
	lastChunk   = "0\r\n\r\n"
)

// chunk frames text as one chunk of a response.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// whole is a complete streamed response.
var whole = chunkedHead + chunk(first) + chunk(second) + chunk(done) + lastChunk

// status is a response without a body; fields are header fields, each with its line end.
func status(code int, fields string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", code, fields)
}

// wellBehaved is the script of a healthy engine.
func wellBehaved(r *recordedRequest) bool {
	switch {
	case r.method == "DELETE":
		return r.write("HTTP/1.1 204 No Content\r\n\r\n")
	case r.method == "GET":
		return r.write(status(200, ""))
	case r.engine.flavor == "r1" || r.engine.flavor == "x9":
		return r.write("HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\":12}")
	}
	return r.write(whole)
}

// repliesToPosts is the script of an engine that answers every POST with the same bytes, and is
// otherwise well behaved.
func repliesToPosts(text string) func(*recordedRequest) bool {
	return func(r *recordedRequest) bool {
		if r.method != "POST" {
			return wellBehaved(r)
		}
		return r.write(text)
	}
}

// closers are what is closed at the end of a test.
type closers struct {
	mu   sync.Mutex
	list []io.Closer
}

// add takes in a connection or a listener.
func (c *closers) add(closer io.Closer) {
	c.mu.Lock()
	c.list = append(c.list, closer)
	c.mu.Unlock()
}

// scriptedDiscovery is discovery on a loopback socket that answers as its script says.
type scriptedDiscovery struct {
	ln              net.Listener
	mu              sync.Mutex
	watches         []net.Conn
	sinceParameters []string
	firstMessage    string                                   // the body's first piece on each watch
	script          func(c net.Conn, call int) (answer bool) // nil, or whether the call becomes a watch
	callTimes       []time.Time
}

// serve answers calls until the listener is closed.
func (a *scriptedDiscovery) serve(w *harness) {
	for {
		c, err := a.ln.Accept()
		if err != nil {
			return
		}
		w.closers.add(c)
		go func() {
			h, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				c.Close()
				return
			}
			a.mu.Lock()
			a.watches = append(a.watches, c)
			a.sinceParameters = append(a.sinceParameters, h.URL.Query().Get("since"))
			a.callTimes = append(a.callTimes, time.Now())
			if a.script != nil && !a.script(c, len(a.watches)) {
				a.mu.Unlock()
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(a.firstMessage+"\n"))
			a.mu.Unlock()
		}()
	}
}

// send writes a message to the latest watch.
func (a *scriptedDiscovery) send(text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	io.WriteString(a.watches[len(a.watches)-1], chunk(text))
}

// watchCount returns how many watches were opened.
func (a *scriptedDiscovery) watchCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.watches)
}

// harness is a server under test beside scripted engines and a scripted discovery.
type harness struct {
	*testing.T
	closers        closers
	engines        []*scriptedEngine
	discovery      *scriptedDiscovery
	server         *Server
	configPath     string
	config         map[string]any
	finished       chan error
	mu             sync.Mutex
	requests       []*recordedRequest
	revision       int
	requestCount   int
	messageContent string // of a message, in the place of hello
	log            logBuffer
}

// logBuffer keeps what a server logs.
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

// lines returns the lines so far with a message, decoded.
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

// record takes note of a request in the order of arrival over all engines.
func (w *harness) record(r *recordedRequest) {
	w.mu.Lock()
	w.requests = append(w.requests, r)
	w.mu.Unlock()
}

const testSettings = `{"Balancers":1,"Rank":0,"Zone":0,"Zones":["a","b"],"HostTypes":["r1","w1"],"Family":"twostage",
"FamilyInfo":{"KindRole":["read","write"],"TokensByKind":[200000,200000],"PinLimitUs":500000,"AimUsPer1000PromptTokens":[60000,120000],"TokenAimUs":[50000,80000],"Resume":true},
"Limits":{"AttemptsCap":5,"Cancelling":true,"ConnIdleUs":15000000,"ConnectTimeoutUs":250000,"MaxRetryAfterUs":1000000,"MostHeld":1000,"Probes":false,"RetryAfter":true},
"LoadReport":{"Fields":[],"How":"silent"},"MembershipMode":"push",
"RequestClasses":[{"Name":"ask","AimUs":1000000,"DeadlineUs":4000000,"Effect":"idempotent","LateWorth":0.3,"Worth":1,"Streamed":true},
{"Name":"note","AimUs":2500000,"DeadlineUs":12000000,"Effect":"at_most_once","LateWorth":0.2,"Worth":3,"Streamed":true}],
"Rules":{"ColdFrom":0.4,"ColdUs":5000000,"DrainGraceUs":2000000,"FallMultiple":2.5,"FallUs":3000000,"GraceToAnswerUs":8000}}`

// startHarness runs a server beside engines of these flavors: r1 for prefill, w1 for decode.
func startHarness(t *testing.T, flavors ...string) *harness {
	t.Helper()
	return startHarnessWith(t, testSettings, flavors...)
}

// startHarnessWith is startHarness with other settings, whose first host type is for prefill.
func startHarnessWith(t *testing.T, settings string, flavors ...string) *harness {
	t.Helper()
	w := &harness{T: t, discovery: &scriptedDiscovery{}, revision: 1, finished: make(chan error, 1)}
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		w.closers.add(ln)
		return ln
	}
	for i, f := range flavors {
		e := &scriptedEngine{harness: w, ln: listen(), id: fmt.Sprintf("s-%d", i), flavor: f, script: wellBehaved}
		w.engines = append(w.engines, e)
		go e.serve()
	}
	w.discovery.ln = listen()
	w.discovery.firstMessage = w.list()
	go w.discovery.serve(w)
	w.configPath = filepath.Join(t.TempDir(), "config.json")
	w.config = map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": w.discovery.ln.Addr().String(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 0.5, "memory_mb": 64, "sockets": 256},
		"known":  json.RawMessage(w.list()), "settings": json.RawMessage(settings),
	}
	w.saveConfig()
	cfg, err := LoadConfig(w.getenv)
	if err != nil {
		t.Fatal(err)
	}
	if w.server, err = New(cfg, zerolog.New(&w.log)); err != nil {
		t.Fatal(err)
	}
	go func() { w.finished <- w.server.Run() }()
	t.Cleanup(func() {
		w.server.loop.Post(w.server.loop.Stop)
		w.closers.mu.Lock()
		for _, c := range w.closers.list {
			c.Close()
		}
		w.closers.mu.Unlock()
		select {
		case err := <-w.finished:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(10 * time.Second):
			t.Error("the loop does not end")
		}
		if w.server.counters.panics > 0 {
			t.Errorf("%d faults", w.server.counters.panics)
		}
	})
	w.waitFor("the watch stands", func() bool { return w.discovery.watchCount() > 0 })
	return w
}

// saveConfig writes the configuration file.
func (w *harness) saveConfig() {
	text, err := json.Marshal(w.config)
	if err != nil {
		w.Fatal(err)
	}
	if err := os.WriteFile(w.configPath, text, 0o644); err != nil {
		w.Fatal(err)
	}
}

// getenv is the server's environment.
func (w *harness) getenv(name string) string {
	if name == "PROXY_CONFIG" {
		return w.configPath
	}
	return ""
}

// entry is the engine's entry in the endpoint list.
func (e *scriptedEngine) entry(phase string, since int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":%q,"cell":1,"phase":%q,"size":1.0,"up_since_ms":%d}`,
		e.id, cmp.Or(e.listedAddress, e.ln.Addr().String()), e.flavor, phase, since)
}

// list is a complete endpoint list of all engines.
func (w *harness) list() string {
	var all []string
	for _, e := range w.engines {
		all = append(all, e.entry("in_service", 0))
	}
	return w.message(true, all...)
}

// message is a message of discovery.
func (w *harness) message(complete bool, entries ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, w.revision, complete, strings.Join(entries, ","))
}

// notifyChange sends an incremental endpoint list.
func (w *harness) notifyChange(entries ...string) {
	w.revision++
	w.discovery.send(w.message(false, entries...) + "\n")
}

// runOnLoop runs a function on the server's loop and waits for its end.
func (w *harness) runOnLoop(fn func()) {
	ran := make(chan struct{})
	w.server.loop.Post(func() { fn(); close(ran) })
	select {
	case <-ran:
	case <-time.After(10 * time.Second):
		w.Fatal("the loop does not turn")
	}
}

// waitFor polls a condition until it holds.
func (w *harness) waitFor(what string, ok func() bool) {
	w.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.Fatal("in vain: ", what)
}

// waitOnLoop is waitFor with a condition on the server's state, which belongs to the loop.
func (w *harness) waitOnLoop(what string, ok func() bool) {
	w.Helper()
	w.waitFor(what, func() (yes bool) { w.runOnLoop(func() { yes = ok() }); return yes })
}

// dial connects a client.
func (w *harness) dial() net.Conn {
	w.Helper()
	c, err := net.Dial("tcp", w.server.Addr())
	if err != nil {
		w.Fatal(err)
	}
	w.closers.add(c)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// chat is a request's bytes, each with an id of its own. edits are pairs of old and new text.
func (w *harness) chat(class string, edits ...string) string {
	w.requestCount++
	body := `{"model":"chat","stream":true,"max_tokens":800,"messages":[{"role":"user","content":"` + cmp.Or(w.messageContent, "hello") + `"}]}`
	text := fmt.Sprintf("POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: api.internal\r\nContent-Type: application/json\r\nX-Call-Id: c%d\r\nX-Call-Class: %s\r\n"+
		"X-Route-Hash: 7f3a9c21e0b4d655\r\nX-Budget: 4000m\r\nX-Call-Info: prefix=5c0f6e1a2b3d4c59,prompt_len=512,prefix_len=204,max_out=80\r\nContent-Length: %d\r\n\r\n%s",
		w.requestCount, class, len(body), body)
	for i := 0; i+1 < len(edits); i += 2 {
		if !strings.Contains(text, edits[i]) {
			w.Fatalf("no %q to edit", edits[i])
		}
		text = strings.Replace(text, edits[i], edits[i+1], 1)
	}
	return text
}

// clientAnswer is a response as a client received it.
type clientAnswer struct {
	code  int
	head  http.Header
	body  string
	whole bool // to its last chunk
	ended bool // its connection
}

// readAnswer reads one answer.
func readAnswer(b *bufio.Reader) (a clientAnswer) {
	r, err := http.ReadResponse(b, nil)
	if err != nil {
		a.ended = true
		return a
	}
	body, err := io.ReadAll(r.Body)
	a.code, a.head, a.body, a.whole, a.ended = r.StatusCode, r.Header, string(body), err == nil, err != nil
	return a
}

// roundTrip sends bytes on a new connection and reads one answer.
func (w *harness) roundTrip(text string) clientAnswer {
	w.Helper()
	c := w.dial()
	defer c.Close()
	io.WriteString(c, text)
	return readAnswer(bufio.NewReader(c))
}

// postCounts returns how many requests each engine has received, without releases and checks.
func (w *harness) postCounts() (n []int) {
	for _, e := range w.engines {
		e.mu.Lock()
		k := 0
		for _, r := range e.requests {
			if r.method == "POST" {
				k++
			}
		}
		e.mu.Unlock()
		n = append(n, k)
	}
	return n
}

// isKVReleased tells whether any engine was asked to release a request's KV state.
func (w *harness) isKVReleased(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.requests {
		if r.method == "DELETE" && r.target == "/bootstrap/rooms/"+id {
			return true
		}
	}
	return false
}
