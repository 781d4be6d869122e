package platform

import (
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"martenlock/internal/enginetest"
	"martenlock/internal/platform/platformtest"
)

// scenario is one scripted exchange with a router.
type scenario struct {
	name    string
	flavors []string                         // of the engines; one prefill and two decode engines if nil
	class   string                           // of the request; "ask" if empty
	edits   []string                         // of the request
	script  map[string][]platformtest.Script // for successive attempts, by engine flavor
}

// decodeResponds scripts the first responses of the decode engines, in order of arrival at any of them.
func decodeResponds(scripts ...platformtest.Script) map[string][]platformtest.Script {
	return map[string][]platformtest.Script{"w1": scripts}
}

// prefillResponds scripts the first responses of the prefill engines, in order of arrival at any of them.
func prefillResponds(scripts ...platformtest.Script) map[string][]platformtest.Script {
	return map[string][]platformtest.Script{"r1": scripts}
}

const rejected = platformtest.RejectedHeader

// prefillDone responds to each attempt with a completed prefill.
var prefillDone = platformtest.Respond(platformtest.PrefillResponse)

// outcomeScenarios follow the table of outcomes in docs/platform-design.md. The class ask is idempotent,
// the class note is not.
var outcomeScenarios = []scenario{
	{name: "silence-after-first-event", script: decodeResponds(platformtest.RespondAndStall(platformtest.TruncatedStream()))}, // first, because it takes longest
	{name: "whole-stream"},
	{name: "whole-stream-at-most-once", class: "note"},
	{name: "stream-from-mixed", flavors: []string{"m1"}},
	{name: "stream-client-closes", edits: []string{"Host: api.internal\r\n", "Host: api.internal\r\nConnection: close\r\n"}},
	{name: "stream-after-interim-answers", script: decodeResponds(platformtest.Respond("HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 Y\r\nLink: z\r\n\r\n" + platformtest.Stream()))},

	{name: "200-without-chunks", script: decodeResponds(platformtest.Respond("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi\n"))},
	{name: "200-without-chunks-at-most-once", class: "note", script: decodeResponds(platformtest.Respond("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi\n"))},
	{name: "200-from-prefill", script: prefillResponds(platformtest.Respond(platformtest.Stream()))},
	{name: "200-without-events", script: decodeResponds(platformtest.Respond(platformtest.StreamHead + platformtest.LastChunk))},
	{name: "200-without-events-at-most-once", class: "note", script: decodeResponds(platformtest.Respond(platformtest.StreamHead + platformtest.LastChunk))},

	{name: "202-from-prefill-without-tokens", script: prefillResponds(platformtest.Respond("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"))},
	{name: "202-from-mixed", flavors: []string{"m1"}, script: map[string][]platformtest.Script{"m1": {prefillDone}}},
	{name: "202-from-decode", script: decodeResponds(prefillDone)},
	{name: "202-from-decode-at-most-once", class: "note", script: decodeResponds(prefillDone)},

	{name: "410-rejected", script: decodeResponds(platformtest.Respond(platformtest.Status(410, rejected)))},
	{name: "410-rejected-at-most-once", class: "note", script: decodeResponds(platformtest.Respond(platformtest.Status(410, rejected)))},
	{name: "410", script: decodeResponds(platformtest.Respond(platformtest.Status(410, "")))},
	{name: "410-at-most-once", class: "note", script: decodeResponds(platformtest.Respond(platformtest.Status(410, "")))},
	{name: "503-rejected", script: decodeResponds(platformtest.Respond(platformtest.Status(503, rejected)))},
	{name: "503-rejected-at-most-once", class: "note", script: decodeResponds(platformtest.Respond(platformtest.Status(503, rejected)))},
	{name: "504-rejected-at-most-once", class: "note", script: decodeResponds(platformtest.Respond(platformtest.Status(504, rejected)))},
	{name: "503-rejected-by-prefill", class: "note", flavors: []string{"r1", "r1", "w1"}, script: prefillResponds(platformtest.Respond(platformtest.Status(503, rejected)))},

	{name: "408", script: decodeResponds(platformtest.Respond(platformtest.Status(408, "")))},
	{name: "408-at-most-once", class: "note", script: decodeResponds(platformtest.Respond(platformtest.Status(408, "")))},
	{name: "429-rejected-at-most-once", class: "note", script: decodeResponds(platformtest.Respond(platformtest.Status(429, rejected)))},
	{name: "500", script: decodeResponds(platformtest.Respond(platformtest.Status(500, "")))},
	{name: "500-at-most-once", class: "note", script: decodeResponds(platformtest.Respond(platformtest.Status(500, "")))},
	{name: "500-from-prefill-at-most-once", class: "note", flavors: []string{"r1", "r1", "w1"}, script: prefillResponds(platformtest.Respond(platformtest.Status(500, "")))},
	{name: "503-at-most-once", class: "note", script: decodeResponds(platformtest.Respond(platformtest.Status(503, "")))},
	{name: "504-at-most-once", class: "note", script: decodeResponds(platformtest.Respond(platformtest.Status(504, "")))},
	{name: "302", script: decodeResponds(platformtest.Respond(platformtest.Status(302, "Location: /x\r\n")))},
	{name: "302-at-most-once", class: "note", script: decodeResponds(platformtest.Respond(platformtest.Status(302, "Location: /x\r\n")))},
	{name: "400", script: decodeResponds(platformtest.Respond(platformtest.Status(400, "")))},
	{name: "400-from-prefill", script: prefillResponds(platformtest.Respond(platformtest.Status(400, "")))},
	{name: "404-at-most-once", class: "note", script: decodeResponds(platformtest.Respond(platformtest.Status(404, "")))},

	{name: "closed-without-answer", script: decodeResponds(platformtest.RespondAndClose(""))},
	{name: "closed-without-answer-at-most-once", class: "note", script: decodeResponds(platformtest.RespondAndClose(""))},
	{name: "reset", script: decodeResponds(platformtest.ResetAttempts)},
	{name: "reset-at-most-once", class: "note", script: decodeResponds(platformtest.ResetAttempts)},
	{name: "closed-by-prefill-at-most-once", class: "note", flavors: []string{"r1", "r1", "w1"}, script: prefillResponds(platformtest.RespondAndClose(""))},

	{name: "unreadable-head", script: decodeResponds(platformtest.Respond("\x01\x02\r\n\r\n"))},
	{name: "unreadable-head-at-most-once", class: "note", script: decodeResponds(platformtest.Respond("\x01\x02\r\n\r\n"))},
	{name: "unreadable-chunk-at-most-once", class: "note", script: decodeResponds(platformtest.Respond(platformtest.StreamHead + "zz\r\n"))},
	{name: "unreadable-event", script: decodeResponds(platformtest.Respond(platformtest.StreamHead + platformtest.Chunk("\x00\xff noise \n\n")))},
	{name: "unreadable-event-at-most-once", class: "note", script: decodeResponds(platformtest.Respond(platformtest.StreamHead + platformtest.Chunk("\x00\xff noise \n\n")))},

	{name: "no-answer-in-time-at-most-once", class: "note", edits: []string{"16000m", "400m"}, script: decodeResponds(platformtest.RespondAndStall(""), platformtest.RespondAndStall(""))},
	{name: "no-event-in-time-at-most-once", class: "note", edits: []string{"16000m", "400m"}, script: decodeResponds(platformtest.RespondAndStall(platformtest.StreamHead), platformtest.RespondAndStall(platformtest.StreamHead))},

	{name: "closed-after-first-event", script: decodeResponds(platformtest.RespondAndClose(platformtest.TruncatedStream()))},
	{name: "noise-after-first-event", script: decodeResponds(platformtest.Respond(platformtest.TruncatedStream() + "zz\r\n"))},
}

// TestGoldenOutcomes compares the bytes of one exchange for each outcome of an attempt with golden
// files.
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
			g := newGoldenHarness(t, flavors...)
			for flavor, scripts := range s.script {
				g.script[flavor] = slices.Clone(scripts)
			}
			g.start()

			g.exchange(g.chat(class, s.edits...))

			compareGolden(t, "outcome-"+s.name, g.transcript())
		})
	}
}

// TestGoldenUnreachable checks exchanges of requests that reach no decode engine against golden files.
func TestGoldenUnreachable(t *testing.T) {
	t.Parallel()
	t.Run("refused", func(t *testing.T) {
		t.Parallel()
		g := newGoldenHarness(t, "r1", "w1")
		g.engines[1].Close()
		g.start()

		g.exchange(g.chat("note", "16000m", "400m"))

		compareGolden(t, "unreachable-refused", g.transcript())
	})
	t.Run("no-handshake", func(t *testing.T) {
		t.Parallel()
		g := newGoldenHarness(t, "r1", "w1")
		g.engines[1].ListedAddress = enginetest.UnreachableAddress(t).String()
		g.start()

		g.exchange(g.chat("note", "16000m", "400m"))

		compareGolden(t, "unreachable-no-handshake", g.transcript())
	})
	t.Run("no-decode-engine", func(t *testing.T) {
		t.Parallel()
		g := newGoldenHarness(t, "r1")
		g.start()

		g.exchange(g.chat("ask", "16000m", "400m"))

		compareGolden(t, "unreachable-no-decode-engine", g.transcript())
	})
}

// deferDecode makes the decode engines answer their first count attempts only once release is closed.
// waiting receives a value for each of these attempts when it arrives.
func (g *goldenHarness) deferDecode(count int) (waiting <-chan struct{}, release chan<- struct{}) {
	arrived, released := make(chan struct{}, count), make(chan struct{})
	for range count {
		g.script["w1"] = append(g.script["w1"], func(r *platformtest.Request) bool {
			arrived <- struct{}{}
			<-released
			r.Write(platformtest.Stream())
			return true
		})
	}
	return arrived, released
}

// TestGoldenClientLimit checks the transcript of a client connection beyond the router's limit against a
// golden file. No other connection is idle.
func TestGoldenClientLimit(t *testing.T) {
	t.Parallel()
	const maxClients = 12 // the router's limit of client connections with 64 sockets
	g := newGoldenHarness(t, "r1", "w1")
	waiting, release := g.deferDecode(maxClients)
	g.startWith(strings.Replace(g.config(goldenSettings, g.list(1)), `"sockets":256`, `"sockets":64`, 1))

	var clients []*recordedClient
	for range maxClients {
		clients = append(clients, g.dial().send(g.chat("note")))
		<-waiting
	}
	g.discardRecords()
	surplus := g.dial()
	surplus.receive("POST").record()
	close(release)
	for _, c := range clients {
		c.receive("POST")
	}
	compareGolden(t, "client-limit", g.transcript())
}

// TestGoldenReusedConnectionLost checks exchanges against a golden file. The engine closes a reused
// connection without responding.
func TestGoldenReusedConnectionLost(t *testing.T) {
	t.Parallel()
	g := newGoldenHarness(t, "r1", "w1")
	g.script["w1"] = []platformtest.Script{platformtest.Respond(platformtest.Stream()), platformtest.RespondAndClose("")}
	g.start()

	c := g.dial()
	c.send(g.chat("ask")).receive("POST").record()
	c.send(g.chat("ask")).receive("POST").record()

	compareGolden(t, "outcome-kept-connection-lost", g.transcript())
}

// TestGoldenClientGone checks against golden files what engines receive if the client leaves before or
// after the first event.
func TestGoldenClientGone(t *testing.T) {
	t.Parallel()
	for name, sent := range map[string]string{"before-first-event": "", "after-first-event": platformtest.TruncatedStream()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGoldenHarness(t, "r1", "w1")
			waiting := make(chan struct{})
			g.script["w1"] = []platformtest.Script{func(r *platformtest.Request) bool {
				r.Write(sent)
				close(waiting)
				r.AwaitClose()
				return false
			}}
			g.start()

			c := g.dial().send(g.chat("note"))
			<-waiting
			if sent != "" {
				if _, err := c.reader.ReadString('\n'); err != nil {
					t.Fatal(err)
				}
			}
			c.conn.Close()
			g.waitForAbort()

			compareGolden(t, "outcome-client-gone-"+name, g.transcript())
		})
	}
}

// TestGoldenHealthCheck checks the health check that the router sends to a failed engine against a golden
// file.
func TestGoldenHealthCheck(t *testing.T) {
	t.Parallel()
	g := newGoldenHarness(t, "r1", "w1")
	g.script["w1"] = []platformtest.Script{platformtest.ResetAttempts, platformtest.ResetAttempts, platformtest.ResetAttempts, platformtest.ResetAttempts, platformtest.ResetAttempts, platformtest.ResetAttempts}
	settings := strings.Replace(goldenSettings, `"Probes":false`, `"Probes":true`, 1)
	g.startWith(g.config(settings, g.list(1)))

	const maxRequests = 50
	for range maxRequests {
		g.exchange(g.chat("note"))
		if g.isHealthChecked() {
			break
		}
	}
	compareGolden(t, "probe", g.healthCheckTranscript())
}

// unusableRequests returns requests that the server answers itself. The keys are the names of their
// golden files.
func unusableRequests(g *goldenHarness) map[string]string {
	const post, get = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n", "GET /healthz HTTP/1.1\r\nHost: x\r\n"
	return map[string]string{
		"400-noise":              "\x00\x01\x02\xff\r\n\r\n",
		"400-no-id":              g.chat("ask", "X-Call-Id: ", "X-Other: "),
		"400-two-ids":            g.chat("ask", "X-Call-Id:", "X-Call-Id: other\r\nX-Call-Id:"),
		"400-bad-id":             g.chat("ask", "X-Call-Id: ", "X-Call-Id: ../../"),
		"400-no-class":           g.chat("ask", "X-Call-Class: ask\r\n", ""),
		"400-unknown-class":      g.chat("poem"),
		"400-no-budget":          g.chat("ask", "X-Budget: 16000m\r\n", ""),
		"400-budget-unit":        g.chat("ask", "16000m", "16000"),
		"400-budget-zero":        g.chat("ask", "16000m", "0m"),
		"400-prompt-length":      g.chat("ask", "prompt_len=512", "prompt_len=-512"),
		"400-prefix-over-prompt": g.chat("ask", "prefix_len=204", "prefix_len=2040"),
		"400-negative-length":    post + "Content-Length: -5\r\n\r\n",
		"400-two-lengths":        g.chat("ask", "Content-Length:", "Transfer-Encoding: chunked\r\nContent-Length:"),
		"404":                    "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n",
		"404-head":               "HEAD /v1/models HTTP/1.1\r\nHost: x\r\n\r\n",
		"405-chat":               "GET /v1/chat/completions HTTP/1.1\r\nHost: x\r\n\r\n",
		"405-healthz":            "POST /healthz HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
		"413":                    post + "Content-Length: 60000000\r\n\r\n",
		"414":                    "GET /" + strings.Repeat("y", 9<<10) + " HTTP/1.1\r\nHost: x\r\n\r\n",
		"417":                    g.chat("ask", "Content-Length:", "Expect: miracle\r\nContent-Length:"),
		"431":                    get + "A: " + strings.Repeat("y", 17<<10) + "\r\n\r\n",
		"501":                    g.chat("ask", "Content-Length:", "Transfer-Encoding: gzip\r\nX-Length:"),
		"505-stream-to-1.0":      g.chat("ask", "HTTP/1.1", "HTTP/1.0"),
		"505-version":            "GET /healthz HTTP/2.0\r\nHost: x\r\n\r\n",
		"healthz":                get + "\r\n",
		"healthz-head":           "HEAD /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
		"healthz-close":          get + "Connection: close\r\n\r\n",
	}
}

// TestGoldenAnswersWithoutEngine checks answers that the server gives itself against golden files. No
// engine receives any of these requests.
func TestGoldenAnswersWithoutEngine(t *testing.T) {
	t.Parallel()
	g := newGoldenHarness(t, "r1", "w1").start()
	requests := unusableRequests(g)
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		t.Run(name, func(t *testing.T) {
			method, _, _ := strings.Cut(requests[name], " ")
			c := g.dial().send(requests[name]).receive(method)

			compareGolden(t, "answer-"+name, c.answer)
		})
	}
	compareGolden(t, "answer-without-engines", g.transcript())
}

// TestGoldenSlowRequest checks the answers to requests that don't arrive completely in time against a
// golden file.
func TestGoldenSlowRequest(t *testing.T) {
	t.Parallel()
	g := newGoldenHarness(t, "r1", "w1").start()
	head := g.dial().send("POST /v1/chat/comp")
	body := g.dial().send(strings.TrimSuffix(g.chat("ask"), `"hello"}]}`))
	head.receive("POST").record()
	body.receive("POST").record()

	compareGolden(t, "answer-408", g.transcript())
}

// TestGoldenContinue checks the exchange of a client that waits for 100 Continue against a golden file.
func TestGoldenContinue(t *testing.T) {
	t.Parallel()
	g := newGoldenHarness(t, "r1", "w1").start()
	g.exchange(g.chat("ask", "Content-Length:", "Expect: 100-continue\r\nContent-Length:"))

	compareGolden(t, "answer-100-continue", g.transcript())
}

// TestGoldenIDOfOpenRequest checks the answer to a request that reuses the id of an open request against a
// golden file.
func TestGoldenIDOfOpenRequest(t *testing.T) {
	t.Parallel()
	g := newGoldenHarness(t, "r1", "w1")
	waiting, release := g.deferDecode(1)
	g.start()

	text := g.chat("note")
	open := g.dial().send(text)
	<-waiting
	g.exchange(text)
	close(release)
	open.receive("POST").record()

	compareGolden(t, "answer-400-same-id", g.transcript())
}

// TestGoldenLimitOfOpenRequests checks the rejection of a request beyond the limit of open requests
// against a golden file.
func TestGoldenLimitOfOpenRequests(t *testing.T) {
	t.Parallel()
	g := newGoldenHarness(t, "r1", "w1")
	waiting, release := g.deferDecode(1)
	settings := strings.Replace(goldenSettings, `"MostHeld":1000`, `"MostHeld":1`, 1)
	g.keepRetryAfter = true
	g.startWith(g.config(settings, g.list(1)))

	open := g.dial().send(g.chat("note"))
	<-waiting
	g.exchange(g.chat("note"))
	close(release)
	open.receive("POST").record()

	compareGolden(t, "answer-503-too-many", g.transcript())
}

// TestGoldenHealthz checks health check answers of a router that has no engines or is shutting down
// against golden files.
func TestGoldenHealthz(t *testing.T) {
	t.Parallel()
	const get = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	t.Run("no-engines", func(t *testing.T) {
		t.Parallel()
		g := newGoldenHarness(t)
		g.discovery.SetScript(func(net.Conn, int) bool { return true }) // discovery never answers
		g.startWith(g.config(goldenSettings, ""))

		g.exchange(get)

		compareGolden(t, "healthz-no-engines", g.transcript())
	})
	t.Run("stopping", func(t *testing.T) {
		t.Parallel()
		g := newGoldenHarness(t, "r1", "w1")
		g.start()

		c := g.dial().send(get).receive("GET").record()
		ready := c.answer
		g.server.Shutdown()
		for c.answer == ready { // until the loop has handled the shutdown
			c.send(get).receive("GET")
		}
		c.record()

		compareGolden(t, "healthz-stopping", g.transcript())
	})
}

// TestGoldenRequestAfterShutdown checks the rejection of a request against a golden file. The last byte of
// the request arrives after a shutdown has closed the listener.
func TestGoldenRequestAfterShutdown(t *testing.T) {
	t.Parallel()
	g := newGoldenHarness(t, "r1", "w1")
	g.keepRetryAfter = true
	g.start()

	address := g.server.Addr()
	text := g.chat("note")
	half := len(text) / 2
	c := g.dial().send(text[:half])
	g.server.Shutdown()
	for { // until the listener is closed
		conn, err := net.Dial("tcp", address)
		if err != nil {
			break
		}
		conn.Close()
		time.Sleep(10 * time.Millisecond)
	}
	c.send(text[half:]).receive("POST").record()

	compareGolden(t, "answer-503-stopping", g.transcript())
}

// TestGoldenDiscovery checks against golden files the calls that a router makes to discovery when its
// watch ends. The next call requests the changes since the router's revision.
func TestGoldenDiscovery(t *testing.T) {
	t.Parallel()
	list := func(g *goldenHarness) string { return platformtest.WatchHead + platformtest.Chunk(g.list(7)+"\n") }
	for name, answer := range map[string]func(g *goldenHarness) string{
		"watch-ends":   func(g *goldenHarness) string { return list(g) + platformtest.LastChunk },
		"watch-breaks": list,
		"unreadable":   func(g *goldenHarness) string { return list(g) + platformtest.Chunk("noise\n") },
		"status":       func(*goldenHarness) string { return platformtest.Status(500, "") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGoldenHarness(t, "r1", "w1")
			second := make(chan struct{})
			g.discovery.SetScript(func(conn net.Conn, call int) (isAnswered bool) {
				switch call {
				case 1:
					io.WriteString(conn, answer(g))
					conn.Close()
				case 2:
					io.WriteString(conn, list(g))
					close(second)
				}
				return true
			})
			g.start()

			<-second
			g.exchange(g.chat("ask"))

			compareGolden(t, "discovery-"+name, g.transcript())
		})
	}
}
