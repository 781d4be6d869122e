package platform

import (
	"bufio"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"martenlock/control"
	"martenlock/control/connlimit"
	"martenlock/control/membership"
)

// attemptsAt returns the attempts in flight at engine i. It runs on the loop.
func (w *harness) attemptsAt(i int) (list []*attempt) {
	for at := range w.server.endpoints.byID[(&endpointEntry{ID: w.engines[i].id}).endpointID()].attempts {
		list = append(list, at)
	}
	return list
}

// TestRetryNeverOvertakesCancellation: an attempt that is given up has ended for its engine
// before another attempt or an answer follows, for each result of a cancelled attempt and each
// idempotency.
func TestRetryNeverOvertakesCancellation(t *testing.T) {
	for _, class := range []string{"ask", "note"} {
		for _, c := range []struct {
			result control.Result
			code   int
		}{{control.Cancelled, 200}, {control.TimedOut, 200}, {control.Failed, 200}} {
			w := startHarness(t, "r1", "r1", "w1")
			hold := make(chan struct{})
			for _, e := range w.engines[:2] {
				e.setScript(func(r *recordedRequest) bool {
					if r.method == "POST" {
						<-hold
					}
					return wellBehaved(r)
				})
			}
			client := w.dial()
			io.WriteString(client, w.chat(class))
			w.waitFor("it is read", func() bool { n := w.postCounts(); return n[0]+n[1] == 1 })
			first := 0
			if w.postCounts()[1] == 1 {
				first = 1
			}
			var ended time.Duration
			w.runOnLoop(func() {
				ended = w.server.loop.Now()
				w.attemptsAt(first)[0].finish(c.result, false)
				if w.server.mailbox.Len() != 0 {
					t.Errorf("the module heard of %v at once", c.result)
				}
			})
			w.waitFor("it is read again", func() bool { return w.postCounts()[1-first] == 1 })
			w.runOnLoop(func() {
				if at := w.attemptsAt(1 - first); len(at) != 1 || at[0].startedAt-ended < connlimit.CancelPropagationDelay {
					t.Errorf("%d out, %v after the end of the first", len(at), at[0].startedAt-ended)
				}
			})
			close(hold)
			if a := readAnswer(bufio.NewReader(client)); a.code != c.code {
				t.Errorf("%s: %d %s", class, a.code, a.body)
			}
		}
	}
}

// TestExchangeKeptUntilCancellationHasPropagated: an exchange whose client leaves while a
// cancellation propagates is kept until the module has heard of the attempt's end; then its KV
// state is released and it is forgotten.
func TestExchangeKeptUntilCancellationHasPropagated(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	hold := make(chan struct{})
	defer close(hold)
	w.engines[0].setScript(func(r *recordedRequest) bool {
		if r.method == "POST" {
			<-hold
		}
		return wellBehaved(r)
	})
	client := w.dial()
	io.WriteString(client, w.chat("ask"))
	w.waitFor("it is read", func() bool { return w.postCounts()[0] == 1 })
	w.runOnLoop(func() {
		x := w.attemptsAt(0)[0].exchange
		w.attemptsAt(0)[0].finish(control.TimedOut, false)
		x.client.EOF(x.client.conn)
		w.server.mailbox.Poll()
		if w.server.exchanges.byID[x.id] != x {
			t.Error("forgotten before the module has heard of the attempt's end")
		}
	})
	w.waitOnLoop("nothing is left", func() bool {
		return len(w.server.exchanges.byID) == 0 && len(w.server.exchanges.byClientID) == 0 && w.server.kvReleases.scheduler.Len() == 0
	})
	if !w.isKVReleased("c1") {
		t.Error("what it may have left is held")
	}
}

// writeUnseen sends bytes that the loop can't see before its next iteration, where it is called on
// the loop.
func writeUnseen(t *testing.T, c net.Conn, text string) {
	if _, err := io.WriteString(c, text); err != nil {
		t.Error(err)
	}
}

// TestBacklogIsAnsweredAtShutdown: connections in the kernel's backlog when the listener closes
// get an answer, and none of their requests is forwarded.
func TestBacklogIsAnsweredAtShutdown(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	w.server.Shutdown()
	w.waitOnLoop("it stops", func() bool { return w.server.shutdown.inProgress() })
	var clients []net.Conn
	w.runOnLoop(func() {
		w.server.loop.StopTimer(&w.server.shutdown.timer)
		for range 5 {
			c := w.dial()
			writeUnseen(t, c, w.chat("note"))
			clients = append(clients, c)
		}
		w.server.shutdown.timer.Fire()
	})
	for i, c := range clients {
		if a := readAnswer(bufio.NewReader(c)); a.code != 503 || a.head.Get("Retry-After") == "" {
			t.Errorf("client %d: %+v", i, a)
		}
	}
	if n := w.postCounts(); n[0]+n[1] != 0 {
		t.Errorf("%v sent on after the end", n)
	}
	select {
	case err := <-w.finished:
		w.finished <- err
	case <-time.After(5 * time.Second):
		t.Error("it does not end")
	}
}

// longStream is a stream too long for a client's small buffers: the rest stays in the server's.
func longStream(end string) (text string, size int) {
	event := `data: {"a":"` + strings.Repeat("x", 4000) + "\"}\n\n"
	return chunkedHead + strings.Repeat(chunk(event), 40) + end, 40 * len(event)
}

// TestCloseOverUnreadBytesKeepsAnswer: a request that arrives as its connection is closed is not
// forwarded, and the reset that unread bytes cause does not destroy what was written before:
// neither an answer, when an idle connection is closed, nor the events of a truncated stream.
func TestCloseOverUnreadBytesKeepsAnswer(t *testing.T) {
	for _, c := range []struct {
		end   string
		whole bool
	}{{lastChunk, true}, {"nonsense\r\n", false}} {
		w := startHarness(t, "r1", "w1")
		text, size := longStream(c.end)
		got := make(chan struct{})
		w.engines[1].setScript(func(r *recordedRequest) bool { <-got; return repliesToPosts(text)(r) })
		client := w.dial()
		if err := client.(*net.TCPConn).SetReadBuffer(4096); err != nil {
			t.Fatal(err)
		}
		io.WriteString(client, w.chat("ask"))
		w.waitFor("it is written", func() bool { return w.postCounts()[1] == 1 })
		var f *clientConn
		w.runOnLoop(func() {
			for f = range w.server.clients.conns {
			}
			if !c.whole {
				writeUnseen(t, client, w.chat("note")) // lies unread from now on
			}
		})
		close(got)
		if c.whole {
			w.waitOnLoop("it is answered", func() bool { return f.hasAnswered })
			w.runOnLoop(func() { // in one turn
				writeUnseen(t, client, w.chat("note"))
				f.closeGracefully()
			})
		}
		w.waitOnLoop("it is closed", func() bool { return f.state == clientClosed })
		a := readAnswer(bufio.NewReader(client))
		if a.code != 200 || a.whole != c.whole || len(a.body) != size {
			t.Errorf("whole %v: %d, whole %v, %d bytes of %d", c.whole, a.code, a.whole, len(a.body), size)
		}
		if n := w.postCounts(); n[0] != 1 {
			t.Errorf("%d sent on", n[0])
		}
	}
}

// TestLatestReloadWins: of two reloads the later one wins, though the earlier one reads its file
// for longer.
func TestLatestReloadWins(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	one, two := startHarness(t, "r1"), startHarness(t, "r1")
	old := w.configPath
	file := func(name string, of *harness) func(string) string {
		w.configPath = filepath.Join(t.TempDir(), name)
		w.config["discovery"] = of.discovery.ln.Addr().String()
		w.saveConfig()
		path := w.configPath
		return func(string) string { return path }
	}
	first, second := file("first", one), file("second", two)
	w.configPath = old
	reading, goOn, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		w.server.Reload(func(name string) string {
			if name == "PROXY_CONFIG" {
				close(reading)
				<-goOn
			}
			return first(name)
		})
		close(done)
	}()
	<-reading
	w.server.Reload(second)
	want := two.discovery.ln.Addr().String()
	w.waitOnLoop("the later one holds", func() bool { return w.server.discovery.address.String() == want })
	close(goOn)
	<-done
	w.runOnLoop(func() {})
	w.runOnLoop(func() {
		if got := w.server.discovery.address.String(); got != want {
			t.Errorf("discovery at %s, which came first", got)
		}
	})
}

// TestIdleConnectionFloodLeavesDescriptorsForOthers: idle clients fill their share of the
// descriptors while discovery is down: engines, the watch and a reload still get theirs, and new
// clients are served.
func TestIdleConnectionFloodLeavesDescriptorsForOthers(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	other := startHarness(t, "r1")
	w.discovery.ln.Close()
	w.discovery.mu.Lock()
	for _, c := range w.discovery.watches {
		c.Close()
	}
	w.discovery.mu.Unlock()
	for range w.server.limits.maxClientConns + 60 {
		w.dial()
	}
	if a := w.roundTrip(w.chat("ask")); a.code != 200 {
		t.Fatal(a)
	}
	w.runOnLoop(func() {
		const own = 19 // control/conns says which
		if most := w.server.clients.listener.MaxOpen + w.server.limits.maxEngineConns + own; most > w.server.config.Limits.Sockets || w.server.clients.listener.Open() > w.server.clients.listener.MaxOpen {
			t.Errorf("%d descriptors of %d; %d clients, %d at most", most, w.server.config.Limits.Sockets, w.server.clients.listener.Open(), w.server.clients.listener.MaxOpen)
		}
		if n := len(w.server.discovery.pending); n > 4 {
			t.Errorf("%d calls at discovery", n)
		}
	})
	other.discovery.mu.Lock()
	w.revision = 7
	other.discovery.firstMessage = w.list()
	other.discovery.mu.Unlock()
	w.config["discovery"] = other.discovery.ln.Addr().String()
	w.saveConfig()
	w.server.Reload(w.getenv)
	w.waitOnLoop("the list is here", func() bool { return w.server.membership.Revision() == 7 })
}

// TestServesConfiguredEndpointsWithoutDiscovery: a server is ready with the endpoint list in its
// configuration, and serves, while discovery is silent.
func TestServesConfiguredEndpointsWithoutDiscovery(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	w.config["discovery"] = unreachable(t)
	w.saveConfig()
	cfg, err := LoadConfig(w.getenv)
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(cfg, w.server.log)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- r.Run() }()
	one := &harness{T: t, server: r, discovery: w.discovery}
	if a := one.roundTrip("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); a.code != 200 {
		t.Error(a)
	}
	made := map[*watchCall]bool{}
	one.waitOnLoop("calls have made room for later ones", func() bool {
		for _, c := range r.discovery.pending {
			made[c] = true
		}
		if n := len(r.discovery.pending); n > membership.MaxConcurrentCalls {
			t.Fatalf("%d calls at once", n)
		}
		return len(made) > membership.MaxConcurrentCalls+2
	})
	one.requestCount = 100
	if a := one.roundTrip(one.chat("note")); a.code != 200 {
		t.Error(a)
	}
	one.closers.mu.Lock()
	for _, c := range one.closers.list {
		c.Close()
	}
	one.closers.mu.Unlock()
	r.Shutdown()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// otherSettings differ from testSettings in names, idempotencies, deadlines and limits.
func otherSettings(t *testing.T) string {
	set := testSettings
	for _, edit := range [][2]string{
		{`"ask"`, `"tide"`},
		{`"note"`, `"wave"`},
		{`"r1"`, `"x9"`},
		{`"w1"`, `"y9"`},
		{`"Zones":["a","b"]`, `"Zones":["q"]`},
		{`"DeadlineUs":4000000,"Effect":"idempotent"`, `"DeadlineUs":900000,"Effect":"at_most_once"`},
		{`"Effect":"at_most_once","LateWorth":0.2`, `"Effect":"idempotent","LateWorth":0.2`},
		{`"PinLimitUs":500000`, `"PinLimitUs":200000`},
		{`"AttemptsCap":5`, `"AttemptsCap":2`},
		{`"MostHeld":1000`, `"MostHeld":1`},
	} {
		if !strings.Contains(set, edit[0]) {
			t.Fatal(edit)
		}
		set = strings.Replace(set, edit[0], edit[1], 1)
	}
	return set
}

// TestServersInOneProcessActByTheirOwnSettings: servers in one process, with other names,
// idempotencies, deadlines and limits, each act by their own settings at the same time.
func TestServersInOneProcessActByTheirOwnSettings(t *testing.T) {
	for _, c := range []struct {
		other bool
		class string
		code  int // where each attempt at a writer breaks off: safe ones may come again, others not
		sent  int // to writers
	}{{false, "ask", 503, 4}, {false, "note", 502, 1}, {true, "tide", 502, 1}, {true, "wave", 503, 1}, {false, "tide", 400, 0}, {true, "ask", 400, 0}} {
		t.Run(c.class, func(t *testing.T) {
			t.Parallel()
			w := startHarness(t, "r1", "w1", "w1", "w1", "w1")
			if c.other {
				w = startHarnessWith(t, otherSettings(t), "x9", "y9", "y9", "y9", "y9")
			}
			for _, e := range w.engines[1:] {
				e.setScript(func(r *recordedRequest) bool { return r.method != "POST" && wellBehaved(r) }) // an end that may have run
			}
			a := w.roundTrip(w.chat(c.class))
			sent := 0
			for _, n := range w.postCounts()[1:] {
				sent += n
			}
			if a.code != c.code || sent != c.sent {
				t.Errorf("%d %s, %d at writers", a.code, a.body, sent)
			}
		})
	}
	t.Run("held", func(t *testing.T) { // how many a router may hold
		for most, w := range map[int]*harness{1000: startHarness(t, "r1", "w1"), 1: startHarnessWith(t, otherSettings(t), "x9", "y9")} {
			hold := make(chan struct{})
			w.engines[0].setScript(func(r *recordedRequest) bool {
				if r.method == "POST" {
					<-hold
				}
				return wellBehaved(r)
			})
			class := map[int]string{1000: "ask", 1: "wave"}[most]
			client, second := w.dial(), w.dial()
			io.WriteString(client, w.chat(class))
			w.waitFor("it is read", func() bool { return w.postCounts()[0] == 1 })
			io.WriteString(second, w.chat(class))
			if most == 1 {
				if a := readAnswer(bufio.NewReader(second)); a.code != 503 {
					t.Errorf("a second one where one may be held: %d", a.code)
				}
			} else {
				w.waitOnLoop("both are held", func() bool { return len(w.server.exchanges.byID) == 2 })
			}
			close(hold)
			if a := readAnswer(bufio.NewReader(client)); a.code != 200 {
				t.Errorf("%s: %d %s", class, a.code, a.body)
			}
		}
	})
}

// runInOneIteration lets the loop see all that fn causes in one iteration, in order of arrival.
func (w *harness) runInOneIteration(fn func()) { w.Helper(); w.runOnLoop(fn); w.runOnLoop(func() {}) }

// TestDrainingEndpointGetsNoRequestOfTheSameIteration: an engine that starts to drain in the
// iteration in which a request arrives gets nothing of it, whichever event came first.
func TestDrainingEndpointGetsNoRequestOfTheSameIteration(t *testing.T) {
	for _, drainFirst := range []bool{true, false} {
		w := startHarness(t, "r1", "w1")
		client := w.dial()
		w.waitOnLoop("it is here", func() bool { return len(w.server.clients.conns) == 1 })
		w.runInOneIteration(func() {
			if drainFirst {
				w.notifyChange(w.engines[0].entry("terminating", 0))
			}
			writeUnseen(t, client, w.chat("ask"))
			if !drainFirst {
				w.notifyChange(w.engines[0].entry("terminating", 0))
			}
		})
		if a := readAnswer(bufio.NewReader(client)); a.code != 503 || w.postCounts()[0] != 0 {
			t.Errorf("drain first %v: %d, %d sent", drainFirst, a.code, w.postCounts()[0])
		}
	}
}

// TestRetryNotForwardedAfterClientCancel: a client that leaves in the iteration in which its
// request arrives, or an engine rejects it, fails, completes its prefill or resets the
// connection, gets no further attempt.
func TestRetryNotForwardedAfterClientCancel(t *testing.T) {
	for _, answer := range []string{"", status(503, "X-Rejected: 1\r\n"), status(500, ""), "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", "reset"} {
		for _, leaveFirst := range []bool{true, false} {
			if answer == "" && leaveFirst {
				continue
			}
			w := startHarness(t, "r1", "r1", "w1")
			var conn net.Conn
			got := make(chan net.Conn, 4)
			for _, e := range w.engines[:2] {
				e.setScript(func(r *recordedRequest) bool {
					if r.method == "POST" {
						got <- r.conn
						select {} // the test answers
					}
					return wellBehaved(r)
				})
			}
			client := w.dial()
			if answer != "" {
				io.WriteString(client, w.chat("ask"))
				conn = <-got
			} else {
				w.waitOnLoop("it is here", func() bool { return len(w.server.clients.conns) == 1 })
			}
			w.runInOneIteration(func() {
				if leaveFirst {
					client.Close()
				}
				switch answer {
				case "":
					writeUnseen(t, client, w.chat("ask"))
				case "reset":
					conn.(*net.TCPConn).SetLinger(0)
					conn.Close()
				default:
					writeUnseen(t, conn, answer)
				}
				if !leaveFirst {
					client.Close()
				}
			})
			w.waitOnLoop("it is over", func() bool { return len(w.server.exchanges.byID) == 0 && w.server.kvReleases.scheduler.Len() == 0 })
			n, want := w.postCounts(), 1
			if answer == "" {
				want = 0
			}
			if n[0]+n[1] > want || n[2] != 0 {
				t.Errorf("%q, left first %v: %v sent", answer, leaveFirst, n)
			}
		}
	}
}

// TestAnswerPrecedesTimeoutOfTheSameIteration: an answer that begins before the loop sees that
// its time is up goes to the client.
func TestAnswerPrecedesTimeoutOfTheSameIteration(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	got := make(chan net.Conn, 1)
	w.engines[1].setScript(func(r *recordedRequest) bool {
		if r.method == "POST" {
			got <- r.conn
			select {}
		}
		return wellBehaved(r)
	})
	client := w.dial()
	io.WriteString(client, w.chat("note", "4000m", "600m"))
	conn := <-got
	w.runInOneIteration(func() {
		time.Sleep(700 * time.Millisecond) // a loop held up beyond the deadline
		writeUnseen(t, conn, whole)
	})
	if a := readAnswer(bufio.NewReader(client)); a.code != 200 || !a.whole {
		t.Errorf("%d %s", a.code, a.body)
	}
}

// TestNotIdempotentRequestNeverResentAfterConnectionLoss: a request that is not idempotent,
// whose connection ends after any number of its bytes was read, is neither sent again nor
// rejected once its last byte has left.
func TestNotIdempotentRequestNeverResentAfterConnectionLoss(t *testing.T) {
	for n := 1; n < 240; n += 13 { // of some 247
		w := startHarness(t, "r1", "w1", "w1")
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		w.closers.add(ln)
		posts := make(chan struct{}, 10)
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				b := make([]byte, n)
				if _, err := io.ReadFull(c, b[:1]); err == nil && b[0] == 'P' {
					posts <- struct{}{}
					io.ReadFull(c, b[1:])
				}
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
		}()
		var entries []string
		for _, e := range w.engines[1:] {
			e.listedAddress = ln.Addr().String()
			entries = append(entries, e.entry("in_service", 0))
		}
		w.notifyChange(entries...)
		w.waitOnLoop("the list is taken", func() bool { return w.server.membership.Revision() == 2 })
		if a := w.roundTrip(w.chat("note")); a.code != 502 || len(posts) != 1 {
			t.Errorf("after %d bytes: %d, sent %d times", n, a.code, len(posts))
		}
	}
}

// TestShutdownFinishesStreamsAndRejectsLateRequests: at SIGTERM a stream is forwarded to its
// end, and a request pipelined behind it is rejected unsent; one that is half received is served
// where the rest arrives within the accept window, and rejected unsent where it arrives later.
func TestShutdownFinishesStreamsAndRejectsLateRequests(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	hold := make(chan struct{})
	w.engines[1].setScript(func(r *recordedRequest) bool {
		if r.method != "POST" || r.id != "c1" {
			return wellBehaved(r)
		}
		r.write(chunkedHead + chunk(first))
		<-hold
		return r.write(chunk(second) + chunk(done) + lastChunk)
	})
	streaming, early, late := w.dial(), w.dial(), w.dial()
	io.WriteString(streaming, w.chat("note")+w.chat("note"))
	texts := []string{w.chat("note"), w.chat("note")}
	for i, c := range []net.Conn{early, late} {
		io.WriteString(c, texts[i][:len(texts[i])-10])
	}
	w.waitFor("it is written", func() bool { return w.postCounts()[1] == 1 })
	w.waitOnLoop("all have begun", func() bool {
		n := 0
		for f := range w.server.clients.conns {
			if f.state != clientIdle {
				n++
			}
		}
		return n == 3
	})
	w.server.Shutdown()
	w.waitOnLoop("it stops", func() bool { return w.server.shutdown.inProgress() })
	io.WriteString(early, texts[0][len(texts[0])-10:])
	if a := readAnswer(bufio.NewReader(early)); a.code != 200 {
		t.Errorf("in the grace: %d %s", a.code, a.body)
	}
	w.runOnLoop(func() {
		w.server.loop.StopTimer(&w.server.shutdown.timer)
		w.server.shutdown.timer.Fire()
	})
	io.WriteString(late, texts[1][len(texts[1])-10:])
	if a := readAnswer(bufio.NewReader(late)); a.code != 503 {
		t.Errorf("after the grace: %d %s", a.code, a.body)
	}
	close(hold)
	b := bufio.NewReader(streaming)
	if a := readAnswer(b); a.code != 200 || !a.whole || a.body != events {
		t.Errorf("the stream: %+v", a)
	}
	if a := readAnswer(b); a.code != 503 { // its stream's head had told that the connection stays
		t.Errorf("what lay behind it: %+v", a)
	}
	if n := w.postCounts(); n[0] != 2 || n[1] != 2 {
		t.Errorf("%v sent", n)
	}
	select {
	case err := <-w.finished:
		w.finished <- err
	case <-time.After(5 * time.Second):
		t.Error("it does not end")
	}
}

// TestEventsAreForwardedSinglyAndAtOnce: each event reaches its client by itself and at once,
// while another client takes nothing and further ones keep the server busy.
func TestEventsAreForwardedSinglyAndAtOnce(t *testing.T) {
	const most = 300 * time.Millisecond
	w := startHarness(t, "r1", "w1")
	big := `data: {"a":"` + strings.Repeat("x", 8000) + "\"}\n\n"
	wrote := make(chan time.Time, 20)
	took := make(chan struct{})
	w.engines[1].setScript(func(r *recordedRequest) bool {
		switch {
		case r.method == "POST" && r.id == "c1": // whose client has stopped
			r.write(chunkedHead)
			for range 200 {
				r.write(chunk(big))
			}
			return r.write(lastChunk)
		case r.method == "POST" && r.id == "c2":
			r.write(chunkedHead)
			for range 10 {
				wrote <- time.Now()
				if !r.write(chunk(first)) {
					return false
				}
				<-took // the next one only when this one is there
			}
			return r.write(lastChunk)
		}
		return wellBehaved(r)
	})
	stopped, client := w.dial(), w.dial()
	io.WriteString(stopped, w.chat("ask"))
	w.waitFor("its stream is under way", func() bool { return w.postCounts()[1] == 1 })
	io.WriteString(client, w.chat("note"))
	b := bufio.NewReader(client)
	for seen := 0; seen < 10; {
		line, err := b.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(line, "data:") {
			if late := time.Since(<-wrote); late > most {
				t.Errorf("event %d came after %v", seen, late)
			}
			seen++
			if a := w.roundTrip(w.chat("ask")); a.code != 200 {
				t.Error(a.code)
			}
			took <- struct{}{}
		}
	}
}

// TestStreamIsTheSameWhereverItIsCut: a client gets the same stream wherever its engine's bytes
// are cut, the head and the first event included.
func TestStreamIsTheSameWhereverItIsCut(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	at, over := make(chan int, 1), make(chan struct{})
	defer close(over)
	w.engines[1].setScript(func(r *recordedRequest) bool {
		if r.method != "POST" {
			return wellBehaved(r)
		}
		n := <-at
		r.write(whole[:n])
		for range 2 { // the loop has seen the first piece before it can see the second
			turned := make(chan struct{})
			w.server.loop.Post(func() { close(turned) })
			select {
			case <-turned:
			case <-over: // the client has all, and the loop has ended
			}
		}
		return r.write(whole[n:])
	})
	for n := range len(whole) + 1 {
		at <- n
		if a := w.roundTrip(w.chat("note")); a.code != 200 || !a.whole || a.body != events {
			t.Fatalf("cut at %d: %+v", n, a)
		}
	}
}

// TestParkedRequestIsAnsweredAtShutdown: a request that waits for capacity at a shutdown gets
// its answer.
func TestParkedRequestIsAnsweredAtShutdown(t *testing.T) {
	w := startHarness(t, "r1", "w1")
	hold := make(chan struct{})
	w.engines[1].setScript(func(r *recordedRequest) bool {
		if r.method == "POST" && r.id == "c1" {
			<-hold
		}
		return wellBehaved(r)
	})
	w.runOnLoop(func() { // room for one request
		set := w.server.config.Settings.Control
		set.Engines.Kinds = []control.EngineKind{{Role: control.RolePrefill}, {Role: control.RoleDecode, MemoryTokens: 700}}
		w.server.mailbox.Router = control.New(set, w.server.now())
		ev := control.EndpointUpdate{Full: true}
		for _, e := range w.engines {
			s, _ := w.server.membership.Get((&endpointEntry{ID: e.id}).endpointID())
			ev.Endpoints = append(ev.Endpoints, s.Endpoint)
		}
		w.server.push(ev)
	})
	one, two := w.dial(), w.dial()
	io.WriteString(one, w.chat("note"))
	w.waitFor("it is written", func() bool { return w.postCounts()[1] == 1 })
	io.WriteString(two, w.chat("note"))
	w.waitOnLoop("it is held", func() bool { return len(w.server.exchanges.byID) == 2 })
	if n := w.postCounts(); n[0] != 1 {
		t.Fatalf("%v sent: it is not held", n)
	}
	w.server.Shutdown()
	w.waitOnLoop("it stops", func() bool { return w.server.shutdown.inProgress() })
	w.runOnLoop(func() {
		w.server.loop.StopTimer(&w.server.shutdown.timer)
		w.server.shutdown.timer.Fire()
	})
	close(hold)
	if a := readAnswer(bufio.NewReader(one)); a.code != 200 {
		t.Errorf("the one at work: %d %s", a.code, a.body)
	}
	if a := readAnswer(bufio.NewReader(two)); a.code != 200 && a.code != 503 {
		t.Errorf("the one held: %+v", a)
	}
	select {
	case err := <-w.finished:
		w.finished <- err
	case <-time.After(5 * time.Second):
		t.Error("it does not end")
	}
}

// TestKVMissingNotRetriedAfterClientCancel: a decode engine that reports missing KV state in the
// iteration in which the client leaves, in either order, causes no further prefill, and KV state
// is released.
func TestKVMissingNotRetriedAfterClientCancel(t *testing.T) {
	for _, leaveFirst := range []bool{true, false} {
		w := startHarness(t, "r1", "w1", "w1")
		got := make(chan net.Conn, 4)
		for _, e := range w.engines[1:] {
			e.setScript(func(r *recordedRequest) bool {
				if r.method == "POST" {
					got <- r.conn
					select {}
				}
				return wellBehaved(r)
			})
		}
		client := w.dial()
		io.WriteString(client, w.chat("note"))
		conn := <-got
		w.runInOneIteration(func() {
			if leaveFirst {
				client.Close()
			}
			writeUnseen(t, conn, status(410, "X-Rejected: 1\r\n"))
			if !leaveFirst {
				client.Close()
			}
		})
		w.waitOnLoop("it is over", func() bool { return len(w.server.exchanges.byID) == 0 && w.server.kvReleases.scheduler.Len() == 0 })
		if n := w.postCounts(); n[0] != 1 || n[1]+n[2] != 1 || !w.isKVReleased("c1") {
			t.Errorf("left first %v: %v sent, let go of %v", leaveFirst, n, w.isKVReleased("c1"))
		}
	}
}
