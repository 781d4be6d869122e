package platform

import (
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"testing"
	"time"
)

// scenario is one scripted exchange with a router that has one prefill and two decode engines,
// where flavors doesn't say otherwise.
type scenario struct {
	name    string
	flavors []string
	class   string             // of the request; ask where it is empty
	edits   []string           // of the request
	script  map[string][]reply // replies to successive POSTs, by engine flavor
}

// decodeReplies scripts the first replies of the decode engines together.
func decodeReplies(replies ...reply) map[string][]reply { return map[string][]reply{"w1": replies} }

// prefillReplies scripts the first replies of the prefill engine.
func prefillReplies(replies ...reply) map[string][]reply { return map[string][]reply{"r1": replies} }

const rejected = "X-Rejected: 1\r\n"

// brokenStream is an answer up to its first event.
var brokenStream = chunkedHead + chunk(first)

// outcomeScenarios follow the table of outcomes in docs/platform-design.md. The class ask may be
// repeated, the class note may not.
var outcomeScenarios = []scenario{
	{name: "silence-after-first-event", script: decodeReplies(writesThenWaits(brokenStream))}, // the slowest begins first
	{name: "whole-stream"},
	{name: "whole-stream-at-most-once", class: "note"},
	{name: "stream-from-mixed", flavors: []string{"m1"}},
	{name: "stream-client-closes", edits: []string{"Host: api.internal\r\n", "Host: api.internal\r\nConnection: close\r\n"}},
	{name: "stream-after-interim-answers", script: decodeReplies(writes("HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 Y\r\nLink: z\r\n\r\n" + whole))},

	{name: "200-without-chunks", script: decodeReplies(writes("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi\n"))},
	{name: "200-without-chunks-at-most-once", class: "note", script: decodeReplies(writes("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi\n"))},
	{name: "200-from-prefill", script: prefillReplies(writes(whole))},
	{name: "200-without-events", script: decodeReplies(writes(chunkedHead + lastChunk))},
	{name: "200-without-events-at-most-once", class: "note", script: decodeReplies(writes(chunkedHead + lastChunk))},

	{name: "202-from-prefill-without-tokens", script: prefillReplies(writes("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"))},
	{name: "202-from-mixed", flavors: []string{"m1"}, script: map[string][]reply{"m1": {prefillDone}}},
	{name: "202-from-decode", script: decodeReplies(prefillDone)},
	{name: "202-from-decode-at-most-once", class: "note", script: decodeReplies(prefillDone)},

	{name: "410-rejected", script: decodeReplies(writes(status(410, rejected)))},
	{name: "410-rejected-at-most-once", class: "note", script: decodeReplies(writes(status(410, rejected)))},
	{name: "410", script: decodeReplies(writes(status(410, "")))},
	{name: "410-at-most-once", class: "note", script: decodeReplies(writes(status(410, "")))},
	{name: "503-rejected", script: decodeReplies(writes(status(503, rejected)))},
	{name: "503-rejected-at-most-once", class: "note", script: decodeReplies(writes(status(503, rejected)))},
	{name: "504-rejected-at-most-once", class: "note", script: decodeReplies(writes(status(504, rejected)))},
	{name: "503-rejected-by-prefill", class: "note", flavors: []string{"r1", "r1", "w1"}, script: prefillReplies(writes(status(503, rejected)))},

	{name: "408", script: decodeReplies(writes(status(408, "")))},
	{name: "408-at-most-once", class: "note", script: decodeReplies(writes(status(408, "")))},
	{name: "429-rejected-at-most-once", class: "note", script: decodeReplies(writes(status(429, rejected)))},
	{name: "500", script: decodeReplies(writes(status(500, "")))},
	{name: "500-at-most-once", class: "note", script: decodeReplies(writes(status(500, "")))},
	{name: "500-from-prefill-at-most-once", class: "note", flavors: []string{"r1", "r1", "w1"}, script: prefillReplies(writes(status(500, "")))},
	{name: "503-at-most-once", class: "note", script: decodeReplies(writes(status(503, "")))},
	{name: "504-at-most-once", class: "note", script: decodeReplies(writes(status(504, "")))},
	{name: "302", script: decodeReplies(writes(status(302, "Location: /x\r\n")))},
	{name: "302-at-most-once", class: "note", script: decodeReplies(writes(status(302, "Location: /x\r\n")))},
	{name: "400", script: decodeReplies(writes(status(400, "")))},
	{name: "400-from-prefill", script: prefillReplies(writes(status(400, "")))},
	{name: "404-at-most-once", class: "note", script: decodeReplies(writes(status(404, "")))},

	{name: "closed-without-answer", script: decodeReplies(writesThenCloses(""))},
	{name: "closed-without-answer-at-most-once", class: "note", script: decodeReplies(writesThenCloses(""))},
	{name: "reset", script: decodeReplies(resets)},
	{name: "reset-at-most-once", class: "note", script: decodeReplies(resets)},
	{name: "closed-by-prefill-at-most-once", class: "note", flavors: []string{"r1", "r1", "w1"}, script: prefillReplies(writesThenCloses(""))},

	{name: "unreadable-head", script: decodeReplies(writes("\x01\x02\r\n\r\n"))},
	{name: "unreadable-head-at-most-once", class: "note", script: decodeReplies(writes("\x01\x02\r\n\r\n"))},
	{name: "unreadable-chunk-at-most-once", class: "note", script: decodeReplies(writes(chunkedHead + "zz\r\n"))},
	{name: "unreadable-event", script: decodeReplies(writes(chunkedHead + chunk("\x00\xff noise \n\n")))},
	{name: "unreadable-event-at-most-once", class: "note", script: decodeReplies(writes(chunkedHead + chunk("\x00\xff noise \n\n")))},

	{name: "no-answer-in-time-at-most-once", class: "note", edits: []string{"16000m", "400m"}, script: decodeReplies(writesThenWaits(""), writesThenWaits(""))},
	{name: "no-event-in-time-at-most-once", class: "note", edits: []string{"16000m", "400m"}, script: decodeReplies(writesThenWaits(chunkedHead), writesThenWaits(chunkedHead))},

	{name: "closed-after-first-event", script: decodeReplies(writesThenCloses(brokenStream))},
	{name: "noise-after-first-event", script: decodeReplies(writes(brokenStream + "zz\r\n"))},
}

// TestGoldenOutcomes pins the bytes of one exchange for each outcome of an attempt.
func TestGoldenOutcomes(t *testing.T) {
	t.Parallel()
	for _, s := range outcomeScenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			flavors, class := s.flavors, s.class
			if flavors == nil {
				flavors = []string{"r1", "w1", "w1"}
			}
			if class == "" {
				class = "ask"
			}
			rig := newGoldenRig(t, flavors...)
			for flavor, replies := range s.script {
				rig.script[flavor] = append([]reply(nil), replies...)
			}
			rig.start()
			rig.exchange(rig.chat(class, s.edits...))
			compareGolden(t, "outcome-"+s.name, rig.transcript())
		})
	}
}

// TestGoldenUnreachable pins the exchanges in which a request reaches no decode engine.
func TestGoldenUnreachable(t *testing.T) {
	t.Parallel()
	t.Run("refused", func(t *testing.T) {
		t.Parallel()
		rig := newGoldenRig(t, "r1", "w1")
		rig.engines[1].listener.Close()
		rig.start()
		rig.exchange(rig.chat("note", "16000m", "400m"))
		compareGolden(t, "unreachable-refused", rig.transcript())
	})
	t.Run("no-handshake", func(t *testing.T) {
		t.Parallel()
		rig := newGoldenRig(t, "r1", "w1")
		rig.engines[1].address = unreachable(t)
		rig.start()
		rig.exchange(rig.chat("note", "16000m", "400m"))
		compareGolden(t, "unreachable-no-handshake", rig.transcript())
	})
	t.Run("no-decode-engine", func(t *testing.T) {
		t.Parallel()
		rig := newGoldenRig(t, "r1")
		rig.start()
		rig.exchange(rig.chat("ask", "16000m", "400m"))
		compareGolden(t, "unreachable-no-decode-engine", rig.transcript())
	})
}

// TestGoldenClientLimit pins what becomes of a client beyond the router's share of sockets, where
// none of the others is idle.
func TestGoldenClientLimit(t *testing.T) {
	t.Parallel()
	const mostClients = 12 // of 64 sockets
	rig := newGoldenRig(t, "r1", "w1")
	waiting, release := make(chan struct{}, mostClients), make(chan struct{})
	for range mostClients {
		rig.script["w1"] = append(rig.script["w1"], func(c *engineCall) bool {
			waiting <- struct{}{}
			<-release
			c.write(whole)
			return true
		})
	}
	rig.startWith(strings.Replace(rig.config(goldenSettings, rig.members(1)), `"sockets":256`, `"sockets":64`, 1))
	var held []*client
	for range mostClients {
		held = append(held, rig.dial().send(rig.chat("note")))
		<-waiting
	}
	rig.forgetRecords()
	beyond := rig.dial()
	beyond.receive("POST").note()
	close(release)
	for _, c := range held {
		c.receive("POST")
	}
	compareGolden(t, "client-limit", rig.transcript())
}

// TestGoldenKeptConnection pins a request that is lost with a connection that carried one before.
func TestGoldenKeptConnection(t *testing.T) {
	t.Parallel()
	rig := newGoldenRig(t, "r1", "w1")
	rig.script["w1"] = []reply{writes(whole), writesThenCloses("")}
	rig.start()
	c := rig.dial()
	c.send(rig.chat("ask")).receive("POST").note()
	c.send(rig.chat("ask")).receive("POST").note()
	compareGolden(t, "outcome-kept-connection-lost", rig.transcript())
}

// TestGoldenClientGone pins what engines see of a client that leaves, before and after the first
// event.
func TestGoldenClientGone(t *testing.T) {
	t.Parallel()
	for name, sent := range map[string]string{"before-first-event": "", "after-first-event": brokenStream} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rig := newGoldenRig(t, "r1", "w1")
			waiting := make(chan struct{})
			rig.script["w1"] = []reply{func(c *engineCall) bool {
				c.write(sent)
				close(waiting)
				c.waitForEnd()
				return false
			}}
			rig.start()
			c := rig.dial().send(rig.chat("note"))
			<-waiting
			if sent != "" {
				if _, err := c.reader.ReadString('\n'); err != nil {
					t.Fatal(err)
				}
			}
			c.conn.Close()
			rig.waitForEnding()
			compareGolden(t, "outcome-client-gone-"+name, rig.transcript())
		})
	}
}

// TestGoldenProbe pins a probe of an engine that failed.
func TestGoldenProbe(t *testing.T) {
	t.Parallel()
	rig := newGoldenRig(t, "r1", "w1")
	rig.script["w1"] = []reply{resets, resets, resets, resets, resets, resets}
	settings := strings.Replace(goldenSettings, `"Probes":false`, `"Probes":true`, 1)
	rig.startWith(rig.config(settings, rig.members(1)))
	const mostRequests = 50
	for range mostRequests {
		rig.exchange(rig.chat("note"))
		if rig.probed() {
			break
		}
	}
	compareGolden(t, "probe", rig.probeTranscript())
}

// unusableRequests can't be used as they are. Each is answered by the router itself.
func unusableRequests(rig *goldenRig) map[string]string {
	const post, get = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n", "GET /healthz HTTP/1.1\r\nHost: x\r\n"
	return map[string]string{
		"400-noise":              "\x00\x01\x02\xff\r\n\r\n",
		"400-no-id":              rig.chat("ask", "X-Call-Id: ", "X-Other: "),
		"400-two-ids":            rig.chat("ask", "X-Call-Id:", "X-Call-Id: other\r\nX-Call-Id:"),
		"400-bad-id":             rig.chat("ask", "X-Call-Id: ", "X-Call-Id: ../../"),
		"400-no-class":           rig.chat("ask", "X-Call-Class: ask\r\n", ""),
		"400-unknown-class":      rig.chat("poem"),
		"400-no-budget":          rig.chat("ask", "X-Budget: 16000m\r\n", ""),
		"400-budget-unit":        rig.chat("ask", "16000m", "16000"),
		"400-budget-zero":        rig.chat("ask", "16000m", "0m"),
		"400-prompt-length":      rig.chat("ask", "prompt_len=512", "prompt_len=-512"),
		"400-prefix-over-prompt": rig.chat("ask", "prefix_len=204", "prefix_len=2040"),
		"400-negative-length":    post + "Content-Length: -5\r\n\r\n",
		"400-two-lengths":        rig.chat("ask", "Content-Length:", "Transfer-Encoding: chunked\r\nContent-Length:"),
		"404":                    "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n",
		"404-head":               "HEAD /v1/models HTTP/1.1\r\nHost: x\r\n\r\n",
		"405-chat":               "GET /v1/chat/completions HTTP/1.1\r\nHost: x\r\n\r\n",
		"405-healthz":            "POST /healthz HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
		"413":                    post + "Content-Length: 60000000\r\n\r\n",
		"414":                    "GET /" + strings.Repeat("y", 9<<10) + " HTTP/1.1\r\nHost: x\r\n\r\n",
		"417":                    rig.chat("ask", "Content-Length:", "Expect: miracle\r\nContent-Length:"),
		"431":                    get + "A: " + strings.Repeat("y", 17<<10) + "\r\n\r\n",
		"501":                    rig.chat("ask", "Content-Length:", "Transfer-Encoding: gzip\r\nX-Length:"),
		"505-stream-to-1.0":      rig.chat("ask", "HTTP/1.1", "HTTP/1.0"),
		"505-version":            "GET /healthz HTTP/2.0\r\nHost: x\r\n\r\n",
		"healthz":                get + "\r\n",
		"healthz-head":           "HEAD /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
		"healthz-close":          get + "Connection: close\r\n\r\n",
	}
}

// TestGoldenUnusable pins the answers that the router gives itself. No engine hears of any.
func TestGoldenUnusable(t *testing.T) {
	t.Parallel()
	rig := newGoldenRig(t, "r1", "w1").start()
	requests := unusableRequests(rig)
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		t.Run(name, func(t *testing.T) {
			method, _, _ := strings.Cut(requests[name], " ")
			c := rig.dial().send(requests[name]).receive(method)
			compareGolden(t, "answer-"+name, c.answer)
		})
	}
	compareGolden(t, "answer-without-engines", rig.transcript())
}

// TestGoldenSlowRequest pins the answers to requests that don't come whole in time.
func TestGoldenSlowRequest(t *testing.T) {
	t.Parallel()
	rig := newGoldenRig(t, "r1", "w1").start()
	head := rig.dial().send("POST /v1/chat/comp")
	body := rig.dial().send(strings.TrimSuffix(rig.chat("ask"), `"hello"}]}`))
	head.receive("POST").note()
	body.receive("POST").note()
	compareGolden(t, "answer-408", rig.transcript())
}

// TestGoldenContinue pins the interim answer to a client that waits for one.
func TestGoldenContinue(t *testing.T) {
	t.Parallel()
	rig := newGoldenRig(t, "r1", "w1").start()
	rig.exchange(rig.chat("ask", "Content-Length:", "Expect: 100-continue\r\nContent-Length:"))
	compareGolden(t, "answer-100-continue", rig.transcript())
}

// TestGoldenSameID pins the answer to a request whose id is that of an open one.
func TestGoldenSameID(t *testing.T) {
	t.Parallel()
	rig := newGoldenRig(t, "r1", "w1")
	release, waiting := make(chan struct{}), make(chan struct{})
	rig.script["w1"] = []reply{func(c *engineCall) bool {
		close(waiting)
		<-release
		c.write(whole)
		return true
	}}
	rig.start()
	text := rig.chat("note")
	open := rig.dial().send(text)
	<-waiting
	rig.exchange(text)
	close(release)
	open.receive("POST").note()
	compareGolden(t, "answer-400-same-id", rig.transcript())
}

// TestGoldenTooMany pins the refusal of a request beyond the most that a router may hold.
func TestGoldenTooMany(t *testing.T) {
	t.Parallel()
	rig := newGoldenRig(t, "r1", "w1")
	release, waiting := make(chan struct{}), make(chan struct{})
	rig.script["w1"] = []reply{func(c *engineCall) bool {
		close(waiting)
		<-release
		c.write(whole)
		return true
	}}
	settings := strings.Replace(goldenSettings, `"MostHeld":1000`, `"MostHeld":1`, 1)
	rig.keepRetryAfter = true
	rig.startWith(rig.config(settings, rig.members(1)))
	held := rig.dial().send(rig.chat("note"))
	<-waiting
	rig.exchange(rig.chat("note"))
	close(release)
	held.receive("POST").note()
	compareGolden(t, "answer-503-too-many", rig.transcript())
}

// TestGoldenHealthz pins the states in which a router isn't ready: without engines, and stopping.
func TestGoldenHealthz(t *testing.T) {
	t.Parallel()
	const get = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	t.Run("no-engines", func(t *testing.T) {
		t.Parallel()
		rig := newGoldenRig(t)
		rig.watch = func(net.Conn, int) {}
		rig.startWith(rig.config(goldenSettings, ""))
		rig.exchange(get)
		compareGolden(t, "healthz-no-engines", rig.transcript())
	})
	t.Run("stopping", func(t *testing.T) {
		t.Parallel()
		rig := newGoldenRig(t, "r1", "w1")
		rig.start()
		c := rig.dial().send(get).receive("GET").note()
		ready := c.answer
		rig.router.Shutdown()
		for c.answer == ready { // until the loop has seen it
			c.send(get).receive("GET")
		}
		c.note()
		compareGolden(t, "healthz-stopping", rig.transcript())
	})
}

// TestGoldenStopping pins the refusal of a request that is whole only after a router that stops
// has closed its listener.
func TestGoldenStopping(t *testing.T) {
	t.Parallel()
	rig := newGoldenRig(t, "r1", "w1")
	rig.keepRetryAfter = true
	rig.start()
	address := rig.router.Addr()
	text := rig.chat("note")
	half := len(text) / 2
	c := rig.dial().send(text[:half])
	rig.router.Shutdown()
	for { // until it is closed
		conn, err := net.Dial("tcp", address)
		if err != nil {
			break
		}
		conn.Close()
		time.Sleep(10 * time.Millisecond)
	}
	c.send(text[half:]).receive("POST").note()
	compareGolden(t, "answer-503-stopping", rig.transcript())
}

// TestGoldenDiscovery pins the calls of a router whose watches end: the next one begins from the
// revision that it holds.
func TestGoldenDiscovery(t *testing.T) {
	t.Parallel()
	list := func(rig *goldenRig) string { return watchHead + chunk(rig.members(7)+"\n") }
	for name, answer := range map[string]func(rig *goldenRig) string{
		"watch-ends":   func(rig *goldenRig) string { return list(rig) + lastChunk },
		"watch-breaks": list,
		"unreadable":   func(rig *goldenRig) string { return list(rig) + chunk("noise\n") },
		"status":       func(*goldenRig) string { return status(500, "") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rig := newGoldenRig(t, "r1", "w1")
			second := make(chan struct{})
			rig.watch = func(conn net.Conn, number int) {
				switch number {
				case 1:
					io.WriteString(conn, answer(rig))
					conn.Close()
				case 2:
					io.WriteString(conn, list(rig))
					close(second)
				}
			}
			rig.start()
			<-second
			rig.exchange(rig.chat("ask"))
			compareGolden(t, "discovery-"+name, rig.transcript())
		})
	}
}
