package httpserver_test

import (
	"bufio"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"martenlock/internal/httpserver"
)

func TestKeepAliveFollowsVersionAndConnectionField(t *testing.T) {
	const (
		closes    = "Connection: close\r\n"
		keepAlive = "Connection: keep-alive\r\n"
	)
	for name, c := range map[string]struct {
		version, field string
		announces      bool
		wantField      string
		wantOpen       bool
	}{
		"HTTP/1.1":                       {version: "1.1", wantOpen: true},
		"HTTP/1.1, announced":            {version: "1.1", announces: true, wantOpen: true},
		"HTTP/1.1 close":                 {version: "1.1", field: closes, wantField: closes},
		"HTTP/1.0":                       {version: "1.0", wantField: closes},
		"HTTP/1.0 keep-alive":            {version: "1.0", field: keepAlive, wantOpen: true},
		"HTTP/1.0 keep-alive, announced": {version: "1.0", field: keepAlive, announces: true, wantField: keepAlive, wantOpen: true},
	} {
		t.Run(name, func(t *testing.T) {
			options := longTimeouts()
			options.AnnouncesKeepAlive = c.announces
			s := startServer(t, options)
			client, _ := s.dial()

			client.send("GET /a HTTP/" + c.version + "\r\nHost: x\r\n" + c.field + "\r\n")

			client.expectBytes("HTTP/1.1 200 OK\r\n" + c.wantField + "Content-Length: 2\r\n\r\n/a")
			if !c.wantOpen {
				client.expectEnd()
				return
			}
			client.send(get("/b"))
			client.expectResponse(http.StatusOK, "/b")
		})
	}
}

func TestPipelinedRequestsWaitUnreadUntilResponse(t *testing.T) {
	s := startServer(t, longTimeouts())
	client, h := s.dial()

	client.sendAndServe(h, get("/later"), get("/next"), get("/last"))

	s.loop.DoIteration(func() {
		if len(h.calls) != 1 {
			t.Errorf("received %q before the first response", h.calls)
		}
		h.respond(http.StatusOK, "first")
	})
	client.expectResponse(http.StatusOK, "first")
	client.expectResponse(http.StatusOK, "/next")
	client.expectResponse(http.StatusOK, "/last")
}

func TestClientThatEndsItsSideIsGone(t *testing.T) {
	s := startServer(t, longTimeouts())
	client, h := s.dial()
	client.sendAndServe(h, get("/later"))

	if err := client.CloseWrite(); err != nil {
		t.Fatal(err)
	}

	client.expectEnd()
	s.loop.Do(func() {
		if !h.has("client gone") || h.conn.State() != httpserver.Closed || s.conns.Len() != 0 {
			t.Errorf("%q, %v, %d connections", h.calls, h.conn.State(), s.conns.Len())
		}
	})
}

func TestMalformedRequestIsTheLastOne(t *testing.T) {
	s := startServer(t, longTimeouts())
	client, _ := s.dial()

	client.send(get("/a"), "nonsense\r\n\r\n", get("/b"))

	client.expectResponse(http.StatusOK, "/a")
	if answer := client.receive(http.MethodGet); answer.status != http.StatusBadRequest || !answer.closes {
		t.Errorf("%+v", answer)
	}
	client.expectEnd()
}

func TestContinueIsSentBeforeTheBody(t *testing.T) {
	s := startServer(t, longTimeouts())
	client, _ := s.dial()

	client.send(postHead("/echo", "4\r\nExpect: 100-continue"))

	if answer := client.receive(http.MethodPost); answer.status != http.StatusContinue {
		t.Fatalf("%+v", answer)
	}
	client.send("body")
	client.expectResponse(http.StatusOK, "body")
}

func TestTimeoutsOfRequests(t *testing.T) {
	const short = 50 * time.Millisecond
	for name, c := range map[string]struct {
		set   func(*httpserver.Options)
		sends string
		want  string // the handler's call
	}{
		"idle from the accept": {
			set:  func(o *httpserver.Options) { o.IdleTimeout = short },
			want: "idle_timeout",
		},
		"idle after a response": {
			set:   func(o *httpserver.Options) { o.IdleTimeout = short },
			sends: get("/a"),
			want:  "idle_timeout",
		},
		"request from its first byte": {
			set:   func(o *httpserver.Options) { o.RequestTimeout = short },
			sends: "G",
			want:  "request timed out",
		},
		"first request, nothing sent": {
			set:  func(o *httpserver.Options) { o.FirstRequestTimeout = short },
			want: "idle_timeout",
		},
		"first request, part of it": {
			set:   func(o *httpserver.Options) { o.FirstRequestTimeout = short },
			sends: "G",
			want:  "request timed out",
		},
		"later request after a first one in time": {
			set: func(o *httpserver.Options) {
				o.FirstRequestTimeout = time.Minute
				o.RequestTimeout = short
			},
			sends: get("/a") + "G",
			want:  "request timed out",
		},
	} {
		t.Run(name, func(t *testing.T) {
			options := longTimeouts()
			c.set(&options)
			s := startServer(t, options)
			client, h := s.dial()

			client.send(c.sends)

			s.waitFor("the connection is closed", func() bool { return h.conn.State() == httpserver.Closed })
			s.loop.Do(func() {
				if last := h.calls[len(h.calls)-1]; last != c.want {
					t.Errorf("%q, want %q last", h.calls, c.want)
				}
			})
			if strings.HasPrefix(c.sends, "GET") {
				client.expectResponse(http.StatusOK, "/a")
			}
			if c.want == "request timed out" {
				client.expectResponse(http.StatusRequestTimeout, "request timed out")
			}
			client.expectEnd()
		})
	}
}

func TestLaterRequestHasNoFirstRequestTimeout(t *testing.T) {
	options := longTimeouts()
	options.FirstRequestTimeout = 300 * time.Millisecond
	s := startServer(t, options)
	client, _ := s.dial()
	client.send(get("/a"))
	client.expectResponse(http.StatusOK, "/a")

	client.send("GET /b HTTP/1.1\r\n")
	time.Sleep(options.FirstRequestTimeout + 100*time.Millisecond) // beyond the first request's time
	client.send("Host: x\r\n\r\n")

	client.expectResponse(http.StatusOK, "/b")
}

// longBody is more than the sockets' buffers take if the client doesn't read.
var longBody = strings.Repeat("snow on the roof ", 16<<10)

// dialSmallBuffer is dial for a client whose system takes a quarter of longBody, or less, before
// the client reads.
func (s *server) dialSmallBuffer() (*client, *testHandler) {
	s.t.Helper()
	client, h := s.dial()
	if err := client.SetReadBuffer(32 << 10); err != nil {
		s.t.Fatal(err)
	}
	return client, h
}

func TestCloseOverUnreadBytesDeliversTheResponse(t *testing.T) {
	for name, closeConn := range map[string]func(*httpserver.Conn){
		"Close in the delivery time": (*httpserver.Conn).Close,
		"CloseLingering":             (*httpserver.Conn).CloseLingering,
	} {
		t.Run(name, func(t *testing.T) {
			options := longTimeouts()
			options.ResponseDeliveryTime = time.Minute
			s := startServer(t, options)
			client, h := s.dialSmallBuffer()
			client.sendAndServe(h, get("/later"))

			s.loop.Do(func() { // within one iteration, so that the client's bytes lie unread
				client.send(get("/never"))
				h.respond(http.StatusOK, longBody)
				closeConn(&h.conn)
			})

			client.expectResponse(http.StatusOK, longBody)
			client.expectEnd()
			s.loop.Do(func() {
				if len(h.calls) != 1 {
					t.Errorf("%q after the close", h.calls[1:])
				}
			})
		})
	}
}

func TestClientThatTakesNothingIsAborted(t *testing.T) {
	options := longTimeouts()
	options.WriteStallTimeout = 50 * time.Millisecond
	s := startServer(t, options)
	client, h := s.dialSmallBuffer()
	client.sendAndServe(h, get("/later"))

	s.loop.Do(h.startBody)
	writeUntilFull(s, h)

	s.waitFor("the connection is closed", func() bool { return h.conn.State() == httpserver.Closed })
	s.loop.Do(func() {
		if calls := strings.Join(h.calls, ", "); !strings.HasSuffix(calls, ", write_stalled, client gone") {
			t.Error(calls)
		}
	})
}

// writeUntilFull writes pieces until the client's side and the system take no more, for a client
// that does not read.
func writeUntilFull(s *server, h *testHandler) {
	s.t.Helper()
	for range 1000 {
		isStuck := false
		s.loop.DoIteration(func() {
			isStuck = h.conn.State() != httpserver.Serving || h.conn.UnsentBytes() > len(longBody)
			if !isStuck {
				h.conn.WriteBody([]byte(longBody))
			}
		})
		if isStuck {
			return
		}
	}
	s.t.Fatal("the client's system takes everything")
}

func TestClientThatReadsAgainIsWritable(t *testing.T) {
	options := longTimeouts()
	options.WriteStallTimeout = 5 * time.Second
	s := startServer(t, options)
	client, h := s.dialSmallBuffer()
	client.sendAndServe(h, get("/later"))
	s.loop.Do(h.startBody)
	writeUntilFull(s, h)

	go client.reader.WriteTo(discardAll{}) //nolint:errcheck // the test's end closes the connection

	s.waitFor("the response can go on", func() bool { return h.has("writable") })
	s.loop.Do(func() {
		if h.conn.State() != httpserver.Serving {
			t.Errorf("%v, %q", h.conn.State(), h.calls)
		}
	})
}

// discardAll is io.Discard without ReadFrom, so that the reader's own buffer is used.
type discardAll struct{}

func (discardAll) Write(b []byte) (int, error) { return len(b), nil }

func TestAbortAndResetAreNoEndOfAResponse(t *testing.T) {
	for name, closeConn := range map[string]func(*httpserver.Conn){
		"Abort": (*httpserver.Conn).Abort,
		"Reset": (*httpserver.Conn).Reset,
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, longTimeouts())
			client, h := s.dialSmallBuffer()
			client.sendAndServe(h, "GET /later HTTP/1.0\r\n\r\n")
			s.loop.Do(h.startBody)
			writeUntilFull(s, h)

			s.loop.Do(func() { closeConn(&h.conn) })

			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				return // the reset has overtaken the head
			}
			defer response.Body.Close()
			for buffer := make([]byte, 64<<10); err == nil; {
				_, err = response.Body.Read(buffer)
			}
			if !isReset(err) {
				t.Errorf("the client reads %v, want a reset", err)
			}
		})
	}
}

func isReset(err error) bool {
	return strings.Contains(err.Error(), syscall.ECONNRESET.Error())
}
