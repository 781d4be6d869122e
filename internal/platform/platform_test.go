package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"martenlock/control"
	"martenlock/internal/upstream"
)

const events = first + second + done

// TestRequestAndEventsPassUnchanged: a request goes to a prefill engine and then to a decode
// engine as it came, and the client gets the events as they came, on a connection that stays
// open.
func TestRequestAndEventsPassUnchanged(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	if a := w.roundTrip("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); a.code != 200 {
		t.Fatal(a)
	}
	c := w.dial()
	b := bufio.NewReader(c)
	for i := range 3 {
		text := w.chat([]string{"ask", "note"}[i/2]) // a note may take a connection of its own
		io.WriteString(c, text)
		if a := readAnswer(b); a.code != 200 || a.body != events || !a.whole {
			t.Fatal(a)
		}
		_, sent, _ := strings.Cut(text, "\r\n\r\n")
		for _, e := range w.engines {
			e.mu.Lock()
			r := e.requests[len(e.requests)-1]
			e.mu.Unlock()
			if r.target != "/v1/chat/completions?x=1" || r.id != fmt.Sprint("c", w.requestCount) || r.body != sent || !strings.HasSuffix(r.budget, "m") {
				t.Errorf("%s got %+v", e.flavor, r)
			}
		}
	}
	for _, e := range w.engines {
		if e.mu.Lock(); e.connCount > 2 || e.connCount > 1 && e.flavor == "r1" {
			t.Errorf("%d connections to %s for requests one after another", e.connCount, e.flavor)
		}
		e.mu.Unlock()
	}
}

// TestOutcomes is the table of outcomes in docs/platform-design.md.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		role     control.Role
		status   int
		rejected bool
		want     responseOutcome
	}{
		{control.RolePrefill, 202, false, responseOutcome{result: control.PrefillDone}},
		{control.RoleColocated, 202, false, responseOutcome{result: control.PrefillDone}},
		{control.RoleDecode, 202, false, responseOutcome{result: control.Failed}},
		{control.RoleDecode, 410, true, responseOutcome{result: control.Rejected, kvMissing: true}},
		{control.RoleDecode, 410, false, responseOutcome{result: control.Failed}},
		{control.RoleDecode, 503, true, responseOutcome{result: control.Rejected}},
		{control.RolePrefill, 504, true, responseOutcome{result: control.Rejected}},
		{control.RoleDecode, 503, false, responseOutcome{result: control.Failed}},
		{control.RoleDecode, 504, false, responseOutcome{result: control.Failed}},
		{control.RoleDecode, 429, true, responseOutcome{result: control.Failed}},
		{control.RoleDecode, 500, false, responseOutcome{result: control.Failed}},
		{control.RoleDecode, 302, false, responseOutcome{result: control.Failed}},
		{control.RoleDecode, 400, false, responseOutcome{result: control.NotSent, final: true}},
		{control.RolePrefill, 404, false, responseOutcome{result: control.NotSent, final: true}},
	} {
		if got := classifyResponse(c.role, c.status, c.rejected); got != c.want {
			t.Errorf("%d (rejected %v) from role %d: %+v, want %+v", c.status, c.rejected, c.role, got, c.want)
		}
	}
	for _, c := range []struct {
		dialed, written bool
		reason          string
		want            control.Result
	}{{false, false, "", control.ConnectFailed}, {true, false, "", control.ConnectFailed}, {true, true, "", control.Reset}, {true, true, "noise", control.Failed}} {
		if got := classifyConnError(upstream.ConnError{Established: c.dialed, RequestWritten: c.written, Malformed: c.reason}); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// TestRetryFollowsClassAndEngineResponse: what an engine answers, and the class of the request,
// decide whether it is retried at another engine, and what its client gets.
func TestRetryFollowsClassAndEngineResponse(t *testing.T) {
	turnedAway, miss := status(503, "X-Rejected: 1\r\n"), status(410, "X-Rejected: 1\r\n")
	noise := chunkedHead + chunk("\x00\xff\x13 noise \n\n")
	for _, c := range []struct {
		name      string
		script    func(*recordedRequest) bool
		ask, note int // the client's status
	}{
		{"well", wellBehaved, 200, 200},
		{"error", repliesToPosts(status(500, "")), 200, 502},
		{"503 without the mark", repliesToPosts(status(503, "")), 200, 502},
		{"turned away", repliesToPosts(turnedAway), 200, 200},
		{"state gone", repliesToPosts(miss), 200, 200},
		{"reset", func(r *recordedRequest) bool { return r.method != "POST" && wellBehaved(r) }, 200, 502},
		{"noise", repliesToPosts(noise), 200, 502},
		{"no head", repliesToPosts("\x01\x02\r\n\r\n"), 200, 502},
		{"endless head", repliesToPosts("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 64<<10)), 200, 502},
		{"bad chunk", repliesToPosts(chunkedHead + "zz\r\n"), 200, 502},
		{"enormous chunk", repliesToPosts(chunkedHead + "c0000000\r\n" + first), 200, 502},
		{"stream of nothing", repliesToPosts(chunkedHead + lastChunk), 200, 502},
		{"no stream", repliesToPosts("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi\n"), 200, 502},
		{"1xx ahead", repliesToPosts("HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 Y\r\nLink: z\r\n\r\n" + whole), 200, 200},
		{"report that can't be read", repliesToPosts(strings.Replace(whole, "\r\n", "\r\nX-Load-Report: {{,\x01\x7f\r\n", 1)), 200, 200},
		{"a second answer behind", repliesToPosts(whole + whole), 200, 200},
		{"at fault", repliesToPosts(status(400, "")), 400, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i, class := range []string{"ask", "note"} {
				w := startHarness(t, "r1", "w1", "w1")
				want, before, asked := []int{c.ask, c.note}[i], w.postCounts(), false
				for range 20 { // the module may choose either writer first
					w.engines[1].setScript(c.script)
					a := w.roundTrip(w.chat(class))
					if a.code != 200 && a.code != want || a.code == 200 && (a.body != events || !a.whole) {
						t.Fatalf("%s: %d %q", class, a.code, a.body)
					}
					if asked = w.postCounts()[1] > before[1]; asked { // this is its answer
						if a.code != want {
							t.Errorf("%s: %d, want %d", class, a.code, want)
						}
						break
					}
				}
				if !asked {
					t.Errorf("%s: not asked", class)
				}
				w.waitOnLoop("all is let go of", func() bool {
					return len(w.server.exchanges.byID) == 0 && w.server.kvReleases.scheduler.Len() == 0 && w.server.bufferedBytes == 0
				})
			}
		})
	}
}

// TestTruncatedStreamEndsConnectionAndIsNotRetried: a stream that breaks after its first event
// ends its client's connection without the last chunk, and the request is not sent again.
func TestTruncatedStreamEndsConnectionAndIsNotRetried(t *testing.T) {
	for name, tail := range map[string]string{"cut": "", "bad chunk": "zz\r\n", "does not fit": "5\r\nabcdefgh\r\n", "enormous": "c0000000\r\nxxx"} {
		w := startHarness(t, "r1", "w1", "w1")
		script := func(r *recordedRequest) bool {
			if r.method != "POST" {
				return wellBehaved(r)
			}
			r.write(chunkedHead + chunk(first) + tail)
			return tail != ""
		}
		w.engines[1].setScript(script)
		w.engines[2].setScript(script)
		a := w.roundTrip(w.chat("ask"))
		if a.code != 200 || a.whole || !strings.HasPrefix(a.body, first) {
			t.Errorf("%s: %+v", name, a)
		}
		if n := w.postCounts(); n[1]+n[2] != 1 {
			t.Errorf("%s: sent %v", name, n)
		}
	}
}

// TestMalformedRequestsNeverReachEngines: a malformed or incomplete request is answered with an
// error or a close within 3 s, no engine gets any of it, and other clients are served.
func TestMalformedRequestsNeverReachEngines(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	hidden := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"noise":              "\x00\x01\x02\xff\r\n\r\n",
		"no id":              w.chat("ask", "X-Call-Id: c1\r\n", ""),
		"two ids":            w.chat("ask", "X-Call-Id:", "X-Call-Id: other\r\nX-Call-Id:"),
		"id with a slash":    w.chat("ask", "X-Call-Id: ", "X-Call-Id: ../../x"),
		"no class":           w.chat("ask", "X-Call-Class: ask\r\n", ""),
		"unknown class":      w.chat("poem"),
		"no budget":          w.chat("ask", "X-Budget: 4000m\r\n", ""),
		"budget in words":    w.chat("ask", "4000m", "soon"),
		"budget without":     w.chat("ask", "4000m", "4000"),
		"negative budget":    w.chat("ask", "4000m", "-4000m"),
		"budget of nothing":  w.chat("ask", "4000m", "0m"),
		"budget NaN":         w.chat("ask", "4000m", "NaNm"),
		"huge budget":        w.chat("ask", "4000m", "1"+strings.Repeat("0", 30)+"m"),
		"negative prompt":    w.chat("ask", "prompt_len=512", "prompt_len=-512"),
		"prefix over prompt": w.chat("ask", "prefix_len=204", "prefix_len=2040"),
		"negative length":    "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
		"huge length":        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999999\r\n\r\n",
		"too long":           "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n" + strings.Repeat("x", 3<<20),
		"endless head":       "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("y", 1<<20),
		"two lengths":        w.chat("ask", "Content-Length:", "Transfer-Encoding: chunked\r\nContent-Length:") + hidden,
		"1.0":                w.chat("ask", "HTTP/1.1", "HTTP/1.0"),
		"nothing":            "",
		"half a head":        "POST /v1/chat/comp",
		"half a body":        w.chat("ask", "hello", "")[:300],
	} {
		since := time.Now()
		a := w.roundTrip(text)
		if took := time.Since(since); took > 3*time.Second || a.code != 0 && (a.code < 400 || a.code == 429 || a.code == 503) {
			t.Errorf("%s: %+v after %v", name, a, took)
		}
	}
	if n := w.postCounts(); n[0]+n[1] != 0 {
		t.Errorf("engines got %v", n)
	}
	if a := w.roundTrip(w.chat("ask")); a.code != 200 || a.body != events {
		t.Error(a)
	}
	w.waitOnLoop("nothing is left", func() bool { return len(w.server.exchanges.byID) == 0 && w.server.bufferedBytes == 0 })
}

// TestIDOfOpenRequestRejected: a second request with the id of an open one is rejected, and the
// open one goes on.
func TestIDOfOpenRequestRejected(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	hold := make(chan struct{})
	w.engines[1].setScript(func(r *recordedRequest) bool { <-hold; return wellBehaved(r) })
	text := w.chat("note")
	c := w.dial()
	io.WriteString(c, text)
	w.waitFor("it is written", func() bool { return w.postCounts()[1] == 1 })
	if a := w.roundTrip(text); a.code != 400 {
		t.Error(a)
	}
	close(hold)
	if a := readAnswer(bufio.NewReader(c)); a.code != 200 || a.body != events {
		t.Error(a)
	}
	if n := w.postCounts(); !slices.Equal(n, []int{1, 1}) {
		t.Error(n)
	}
}

// TestClientCancelEndsAttemptAndReleasesKV: when a client leaves, its engine's connection ends
// and its KV state is released, also when the first engine asked to release it stays silent.
func TestClientCancelEndsAttemptAndReleasesKV(t *testing.T) {
	w := startHarness(t, "r1", "r1", "w1")
	ended := make(chan struct{}, 4)
	for _, e := range w.engines[:2] {
		e.setScript(func(r *recordedRequest) bool {
			if r.method == "POST" {
				io.Copy(io.Discard, r.conn) // until the router ends it
				ended <- struct{}{}
				return false
			}
			return r.method == "DELETE" // no answer
		})
	}
	c := w.dial()
	io.WriteString(c, w.chat("ask"))
	w.waitFor("it is read", func() bool { n := w.postCounts(); return n[0]+n[1] == 1 })
	since := time.Now()
	c.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the engine's connection stands")
	}
	w.waitFor("it is let go of", func() bool { return w.isKVReleased("c1") })
	w.waitOnLoop("one has answered", func() bool { return w.server.kvReleases.scheduler.Len() == 0 })
	if took := time.Since(since); took > 500*time.Millisecond {
		t.Errorf("after %v", took)
	}
	if w.server.kvReleases.scheduler.Dropped() > 0 {
		t.Error("given up")
	}
}

// TestSlowClientPausesOnlyItsOwnEngine: a client that takes nothing of its stream pauses its own
// engine alone, and little is buffered for it.
func TestSlowClientPausesOnlyItsOwnEngine(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	big := `data: {"a":"` + strings.Repeat("x", 8000) + "\"}\n\n"
	sent := make(chan int, 1)
	w.engines[1].setScript(func(r *recordedRequest) bool {
		if r.id != "c1" {
			return wellBehaved(r)
		}
		r.write(chunkedHead)
		n := 0
		for ; n < 450; n++ {
			if !r.write(chunk(big)) {
				break
			}
		}
		sent <- n
		return r.write(lastChunk)
	})
	c := w.dial()
	io.WriteString(c, w.chat("ask"))
	most := 0
	for range 40 {
		w.runOnLoop(func() {
			for f := range w.server.clients.conns {
				most = max(most, f.conn.UnsentBytes())
			}
		})
		if a := w.roundTrip(w.chat("ask")); a.code != 200 {
			t.Fatal(a)
		}
	}
	if most > 256<<10 {
		t.Errorf("%d bytes wait for one client", most)
	}
	if a := readAnswer(bufio.NewReader(c)); a.code != 200 || !a.whole || len(a.body) != 450*len(big) {
		t.Errorf("%d bytes of %d, whole %v", len(a.body), 450*len(big), a.whole)
	}
}

// TestEndpointChangesApplyInTheIterationOfTheirArrival: changes apply in the iteration in which
// they arrive, however they are cut; outdated lists change nothing; noise and silence lead to a
// new watch from the last revision.
func TestEndpointChangesApplyInTheIterationOfTheirArrival(t *testing.T) {
	w := startHarness(t, "r1", "w1", "w1")
	state := func(i int, want control.EndpointState) func() bool {
		return func() bool {
			got, _ := w.server.membership.Get((&endpointEntry{ID: w.engines[i].id}).endpointID())
			return got.State == want
		}
	}
	w.revision = 5
	message := w.message(false, w.engines[1].entry("terminating", 0)) + "\n\n"
	w.discovery.send(message[:40])
	w.discovery.send(message[40:])
	w.waitOnLoop("it drains", state(1, control.Draining))
	for range 8 {
		if a := w.roundTrip(w.chat("ask")); a.code != 200 {
			t.Fatal(a)
		}
	}
	if n := w.postCounts(); n[1] != 0 {
		t.Errorf("%d sent to one that drains", n[1])
	}
	w.discovery.send(strings.Replace(w.list(), `"revision":5`, `"revision":2`, 1) + "\n") // out of date
	w.discovery.send(`{"revision":6,"complete":false,"members":[{"id":"s-9","host_port":"nowhere","flavor":"w1","phase":"in_service"},{"id":"s-8","host_port":"127.0.0.1:1","flavor":"odd","phase":"in_service"}]}` + "\n")
	w.waitOnLoop("the revision is taken", func() bool { return w.server.membership.Revision() == 6 })
	w.waitOnLoop("it drains yet", state(1, control.Draining))
	w.waitOnLoop("three engines", func() bool { return w.server.membership.Len() == 3 })
	w.discovery.send("%%% noise\n")
	w.waitFor("a new watch", func() bool { return w.discovery.watchCount() == 2 })
	w.discovery.mu.Lock()
	if w.discovery.sinceParameters[1] != "6" {
		t.Errorf("since %s", w.discovery.sinceParameters[1])
	}
	w.discovery.watches[1].Close()
	w.discovery.mu.Unlock()
	w.waitFor("another watch", func() bool { return w.discovery.watchCount() == 3 })
	w.revision = 7
	w.discovery.send(w.message(false, w.engines[1].entry("terminated", 0), w.engines[2].entry("terminated", 0)) + "\n")
	w.waitOnLoop("they are gone", func() bool { return w.server.membership.Len() == 1 && len(w.server.endpoints.byID) == 1 })
	w.revision = 8
	w.discovery.send(w.message(false, w.engines[2].entry("in_service", time.Now().UnixMilli())) + "\n")
	w.waitOnLoop("it is back", state(2, control.Ready))
}

// TestReloadRetriesTornFile: a torn file changes nothing and is read again; the whole one moves
// discovery, and open requests go on.
func TestReloadRetriesTornFile(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	hold := make(chan struct{})
	w.engines[1].setScript(func(r *recordedRequest) bool { <-hold; return wellBehaved(r) })
	c := w.dial()
	io.WriteString(c, w.chat("ask"))
	w.waitFor("it is written", func() bool { return w.postCounts()[1] == 1 })
	old := w.discovery
	next := startHarness(t, "r1").discovery // of another harness
	next.mu.Lock()
	next.firstMessage = w.list()
	before := len(next.watches)
	next.mu.Unlock()
	text, err := os.ReadFile(w.configPath)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(w.configPath, text[:len(text)/2], 0o644); err != nil {
		t.Fatal(err)
	}
	w.server.Reload(w.getenv)
	time.Sleep(3 * reloadRetryDelay / 2)
	if next.watchCount() != before || old.watchCount() != 1 {
		t.Error("a torn file was taken")
	}
	w.config["discovery"] = next.ln.Addr().String()
	w.saveConfig()
	w.waitFor("discovery has moved", func() bool { return next.watchCount() > before })
	close(hold)
	if a := readAnswer(bufio.NewReader(c)); a.code != 200 || a.body != events {
		t.Error(a)
	}
}

// TestShutdownAnswersRequestsOfTheAcceptWindow: requests accepted before SIGTERM and in the
// accept window are answered, then Run returns.
func TestShutdownAnswersRequestsOfTheAcceptWindow(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	hold := make(chan struct{})
	w.engines[1].setScript(func(r *recordedRequest) bool { <-hold; return wellBehaved(r) })
	c := w.dial()
	io.WriteString(c, w.chat("ask"))
	w.waitFor("it is written", func() bool { return w.postCounts()[1] == 1 })
	w.server.Shutdown()
	w.waitOnLoop("it stops", func() bool { return w.server.shutdown.inProgress() })
	late := w.dial()
	io.WriteString(late, w.chat("note"))
	if a := w.roundTrip("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); a.code != 503 {
		t.Error(a)
	}
	w.waitFor("the late one is written", func() bool { return w.postCounts()[1] == 2 })
	close(hold)
	for _, c := range []io.Reader{c, late} {
		if a := readAnswer(bufio.NewReader(c)); a.code != 200 || a.body != events {
			t.Error(a)
		}
	}
	select {
	case err := <-w.finished:
		w.finished <- err
	case <-time.After(5 * time.Second):
		t.Error("it does not end")
	}
}

// TestRejectedWithRetryAfterWithoutPrefillEngine: a request that no engine can take is rejected
// at once, with a Retry-After.
func TestRejectedWithRetryAfterWithoutPrefillEngine(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	w.notifyChange(w.engines[0].entry("terminating", 0))
	w.waitOnLoop("no reader is left", func() bool { return w.server.membership.Revision() == 2 })
	since := time.Now()
	a := w.roundTrip(w.chat("ask"))
	if took := time.Since(since); a.code != 503 && a.code != 429 || a.head.Get("Retry-After") == "" || took > 3*time.Second {
		t.Errorf("%+v after %v", a, took)
	}
}

// TestIdleConnectionFloodIsEvicted: silent connections beyond the clients' share of descriptors
// are closed, and others are served.
func TestIdleConnectionFloodIsEvicted(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	for range w.server.limits.maxClientConns + 40 {
		w.dial()
	}
	if a := w.roundTrip(w.chat("ask")); a.code != 200 {
		t.Fatal(a)
	}
	w.waitOnLoop("they are within bounds", func() bool {
		return w.server.clients.listener.Open() <= w.server.limits.maxClientConns && w.server.clients.listener.MaxOpen < w.server.config.Limits.Sockets-w.server.limits.maxEngineConns
	})
	w.waitOnLoop("and are closed in time", func() bool { return len(w.server.clients.conns) == 0 })
}

// TestLargeIncompleteUploadsAreEvicted: clients that send most of a large body and then nothing
// more don't take the memory for bodies from small requests, and are closed in time.
func TestLargeIncompleteUploadsAreEvicted(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	room := w.server.limits.maxBufferedBytes
	for range room/(200<<10) + 10 {
		c := w.dial()
		text := w.chat("ask", "Content-Length: ", "Content-Length: 2620")
		go io.WriteString(c, text+strings.Repeat("x", 200<<10))
	}
	w.waitOnLoop("the room is taken", func() bool { return w.server.bufferedBytes > room-300<<10 })
	w.messageContent = strings.Repeat("a", 150<<10)
	for range 20 {
		if a := w.roundTrip(w.chat("ask")); a.code != 200 {
			t.Fatal(a)
		}
	}
	w.waitOnLoop("they are ended", func() bool { return w.server.bufferedBytes == 0 && len(w.server.clients.conns) == 0 })
}

// TestStartErrorsNameFileAndKey: each mistake in the configuration is reported with the file and
// the key.
func TestStartErrorsNameFileAndKey(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	if _, err := LoadConfig(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "PROXY_CONFIG") {
		t.Error(err)
	}
	for key, value := range map[string]any{
		"listen": "nowhere", "discovery": "x:y", "seed": "xyz", "settings": map[string]any{"RequestClasses": 3},
		"limits": map[string]any{"cores": 0.5, "memory_mb": 1, "sockets": 256},
	} {
		was := w.config[key]
		w.config[key] = value
		w.saveConfig()
		if _, err := LoadConfig(w.getenv); err == nil || !strings.Contains(err.Error(), key) || !strings.Contains(err.Error(), w.configPath) {
			t.Errorf("%s: %v", key, err)
		}
		w.config[key] = was
	}
	w.config["listen"] = w.server.Addr() // in use
	w.saveConfig()
	if cfg, err := LoadConfig(w.getenv); err != nil {
		t.Error(err)
	} else {
		_, err := New(cfg, zerolog.Nop())
		if err == nil || !strings.Contains(err.Error(), "listen") || !strings.Contains(err.Error(), w.configPath) {
			t.Error(err)
		}
		var configError *ConfigError
		if !errors.As(err, &configError) || configError.File != w.configPath || configError.Key != "listen" || !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("%#v", err)
		}
	}
	w.config["settings"] = map[string]any{"FamilyInfo": map[string]any{"KindRole": []string{"paint"}}}
	w.saveConfig()
	if _, err := LoadConfig(w.getenv); err == nil || !strings.Contains(err.Error(), "KindRole") {
		t.Error(err)
	}
}

// FuzzFirstEvent: whatever an engine sends, a verdict on a part is never taken back.
func FuzzFirstEvent(f *testing.F) {
	f.Add([]byte(first), 5)
	f.Add([]byte("data: {}\r\n\r\n"), 9)
	f.Add([]byte("data: x\n\n"), 7)
	f.Fuzz(func(t *testing.T, b []byte, n int) {
		if n < 0 || n > len(b) {
			return
		}
		if part, all := scanFirstEvent(b[:n]), scanFirstEvent(b); part != firstEventIncomplete && part != all {
			t.Errorf("%q is %v, its first %d bytes are %v", b, all, n, part)
		}
	})
}

// TestKVReleasedWhileNoDecodeEngineIsReachable: KV state is released in time though no
// connection to any decode engine comes up, whatever the request's idempotency.
func TestKVReleasedWhileNoDecodeEngineIsReachable(t *testing.T) {
	for i, class := range []string{"ask", "note", "ask"} {
		w := startHarness(t, "r1", "w1", "w1", "w1", "w1")
		if i == 2 { // also where a connection may take longer than a state may be held
			w.runOnLoop(func() { w.server.endpoints.connOptions.ConnectTimeout = 5 * time.Second })
		}
		var entries []string
		for _, e := range w.engines[1:] {
			e.listedAddress = unreachable(t)
			entries = append(entries, e.entry("in_service", 0))
		}
		w.notifyChange(entries...)
		w.waitOnLoop("the list is taken", func() bool { return w.server.membership.Revision() == uint64(w.revision) })
		a := w.roundTrip(w.chat(class))
		if a.code != 503 {
			t.Errorf("%s: %d %s", class, a.code, a.body)
		}
		w.waitFor("let go", func() bool { return w.isKVReleased("c1") })
		w.mu.Lock()
		read, freed := w.requests[0], w.requests[len(w.requests)-1]
		w.mu.Unlock()
		if took := freed.at.Sub(read.at); read.method != "POST" || freed.method != "DELETE" || took > 800*time.Millisecond {
			t.Errorf("%s: held for %v", class, took)
		}
	}
}

// TestPendingSendEndsWithDrainGrace: a request whose connection has not come up when its
// engine's drain grace ends is never sent there.
func TestPendingSendEndsWithDrainGrace(t *testing.T) {
	w := startHarness(t, "r1", "w1", "w1")
	w.engines[1].listedAddress = unreachable(t)
	w.runOnLoop(func() {
		w.server.endpoints.connOptions.ConnectTimeout, w.server.config.Settings.Control.Limits.DrainGrace = 5*time.Second, 100*time.Millisecond
		w.server.mailbox.Router = control.New(func() control.Settings {
			s := w.server.config.Settings.Control
			s.Limits.KVRetentionLimit = 10 * time.Second
			return s
		}(), w.server.now())
	})
	w.notifyChange(w.engines[0].entry("in_service", 0), w.engines[1].entry("in_service", 0), w.engines[2].entry("terminating", 0))
	w.waitOnLoop("one writer is left", func() bool { return w.server.membership.Revision() == 2 })
	c := w.dial()
	io.WriteString(c, w.chat("note"))
	out := func() (n int) {
		for _, e := range w.server.endpoints.byID {
			if e.address == w.engines[1].listedAddress {
				n = len(e.attempts)
			}
		}
		return n
	}
	w.waitOnLoop("it connects", func() bool { return out() == 1 })
	w.notifyChange(w.engines[1].entry("terminating", 0), w.engines[2].entry("in_service", 0))
	w.waitOnLoop("it is ended", func() bool { return out() == 0 })
	if a := readAnswer(bufio.NewReader(c)); a.code != 200 || w.postCounts()[2] != 1 { // by the other one
		t.Error(a.code, w.postCounts())
	}
}

// TestForwardedBudgetNeverExceedsRemainingTime: no attempt tells its engine more time than its
// client has left, whatever preceded it.
func TestForwardedBudgetNeverExceedsRemainingTime(t *testing.T) {
	for _, c := range []struct {
		left time.Duration
		want string
	}{{2500 * time.Microsecond, "2m"}, {time.Second, "1000m"}, {999 * time.Microsecond, "999u"}, {0, "1u"}, {-time.Second, "1u"}} {
		if got := string(appendTimeBudget(nil, c.left)); got != "X-Budget: "+c.want+"\r\n" {
			t.Errorf("%v: %q", c.left, got)
		}
	}
	w := startHarness(t, "r1", "w1", "w1")
	const late = 150 * time.Millisecond
	w.engines[0].setScript(func(r *recordedRequest) bool { time.Sleep(late); return wellBehaved(r) })
	for _, e := range w.engines[1:] {
		e.setScript(func(r *recordedRequest) bool { time.Sleep(late); return r.write(status(503, "X-Rejected: 1\r\n")) })
	}
	since := time.Now()
	w.roundTrip(w.chat("ask"))
	w.mu.Lock()
	defer w.mu.Unlock()
	posts := 0
	for _, r := range w.requests {
		if r.method != "POST" {
			continue
		}
		told, err := time.ParseDuration(r.budget + "s") // 3849m: milliseconds
		if err != nil {
			t.Fatal(r.budget, err)
		}
		if left := 4*time.Second - time.Duration(posts)*late; told > left || told < 3*time.Second || r.at.Sub(since) < time.Duration(posts)*late {
			t.Errorf("attempt %d told %v, %v are left", posts, told, left)
		}
		posts++
	}
	if posts < 3 {
		t.Errorf("%d attempts", posts)
	}
}
