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
		announces      bool // Options.AnnouncesKeepAlive
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
			t.Errorf("handler got %q before the first response, want the first request only", h.calls)
		}
		h.respond(http.StatusOK, "first")
	})
	client.expectResponse(http.StatusOK, "first")
	client.expectResponse(http.StatusOK, "/next")
	client.expectResponse(http.StatusOK, "/last")
}

func TestClientThatClosesItsSendingHalfIsGone(t *testing.T) {
	s := startServer(t, longTimeouts())
	client, h := s.dial()
	client.sendAndServe(h, get("/later"))

	if err := client.CloseWrite(); err != nil {
		t.Fatal(err)
	}

	client.expectEnd()
	s.loop.Do(func() {
		if !h.has("client gone") || h.conn.State() != httpserver.Closed || s.conns.Len() != 0 {
			t.Errorf("handler got %q, state %v, %d open connections; want client gone, closed, 0", h.calls, h.conn.State(), s.conns.Len())
		}
	})
}

func TestConnectionClosesAfterMalformedRequest(t *testing.T) {
	s := startServer(t, longTimeouts())
	client, _ := s.dial()

	client.send(get("/a"), "nonsense\r\n\r\n", get("/b"))

	client.expectResponse(http.StatusOK, "/a")
	if answer := client.receive(http.MethodGet); answer.status != http.StatusBadRequest || !answer.closes {
		t.Errorf("got %+v, want status 400 with Connection: close", answer)
	}
	client.expectEnd()
}

func TestContinueIsSentBeforeTheBody(t *testing.T) {
	s := startServer(t, longTimeouts())
	client, _ := s.dial()

	client.send(postHead("/echo", "4\r\nExpect: 100-continue"))

	if answer := client.receive(http.MethodPost); answer.status != http.StatusContinue {
		t.Fatalf("got %+v, want status 100", answer)
	}
	client.send("body")
	client.expectResponse(http.StatusOK, "body")
}

func TestRequestTimeouts(t *testing.T) {
	const short = 50 * time.Millisecond
	for name, c := range map[string]struct {
		set   func(*httpserver.Options)
		sends string
		want  string // the handler's last call
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
					t.Errorf("handler got %q, want %q as the last call", h.calls, c.want)
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
	time.Sleep(options.FirstRequestTimeout + 100*time.Millisecond) // longer than a first request may take
	client.send("Host: x\r\n\r\n")

	client.expectResponse(http.StatusOK, "/b")
}

// longBody doesn't fit into the socket buffers if the client is from dialSmallBuffer and doesn't read.
var longBody = strings.Repeat("snow on the roof ", 16<<10)

// dialSmallBuffer is dial for a client with a small receive buffer, which holds at most a quarter of
// longBody.
func (s *server) dialSmallBuffer() (*client, *testHandler) {
	s.t.Helper()
	client, h := s.dial()
	if err := client.SetReadBuffer(32 << 10); err != nil {
		s.t.Fatal(err)
	}
	return client, h
}

func TestCloseWithUnreadInputDeliversTheResponse(t *testing.T) {
	for name, closeConn := range map[string]func(*httpserver.Conn){
		"Close during ResponseDeliveryTime": (*httpserver.Conn).Close,
		"CloseLingering":                    (*httpserver.Conn).CloseLingering,
	} {
		t.Run(name, func(t *testing.T) {
			options := longTimeouts()
			options.ResponseDeliveryTime = time.Minute
			s := startServer(t, options)
			client, h := s.dialSmallBuffer()
			client.sendAndServe(h, get("/later"))

			s.loop.Do(func() { // within one iteration, so that the second request is unread at the close
				client.send(get("/never"))
				h.respond(http.StatusOK, longBody)
				closeConn(&h.conn)
			})

			client.expectResponse(http.StatusOK, longBody)
			client.expectEnd()
			s.loop.Do(func() {
				if len(h.calls) != 1 {
					t.Errorf("handler got %q after the close, want no call", h.calls[1:])
				}
			})
		})
	}
}

func TestConnectionOfStalledClientIsAborted(t *testing.T) {
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
			t.Errorf("handler got %s, want write_stalled and client gone as the last calls", calls)
		}
	})
}

// writeUntilFull writes until the buffers of the sockets are full and more than longBody is unsent. The
// client must not read meanwhile.
func writeUntilFull(s *server, h *testHandler) {
	s.t.Helper()
	for range 1000 {
		isFull := false
		s.loop.DoIteration(func() {
			isFull = h.conn.State() != httpserver.Serving || h.conn.UnsentBytes() > len(longBody)
			if !isFull {
				h.conn.WriteBody([]byte(longBody))
			}
		})
		if isFull {
			return
		}
	}
	s.t.Fatal("the buffers of the sockets did not fill up")
}

func TestWritableIsCalledWhenClientReadsAgain(t *testing.T) {
	options := longTimeouts()
	options.WriteStallTimeout = 5 * time.Second
	s := startServer(t, options)
	client, h := s.dialSmallBuffer()
	client.sendAndServe(h, get("/later"))
	s.loop.Do(h.startBody)
	writeUntilFull(s, h)

	go client.reader.WriteTo(discardAll{}) //nolint:errcheck // the connection is closed when the test ends

	s.waitFor("the response can continue", func() bool { return h.has("writable") })
	s.loop.Do(func() {
		if h.conn.State() != httpserver.Serving {
			t.Errorf("state %v after the calls %q, want serving", h.conn.State(), h.calls)
		}
	})
}

// discardAll is io.Discard without ReadFrom, so that bufio.Reader uses its own buffer.
type discardAll struct{}

func (discardAll) Write(b []byte) (int, error) { return len(b), nil }

func TestClientSeesAbortAndResetAsError(t *testing.T) {
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
				return // the reset arrived before the head was read
			}
			defer response.Body.Close()
			for buffer := make([]byte, 64<<10); err == nil; {
				_, err = response.Body.Read(buffer)
			}
			if !isReset(err) {
				t.Errorf("client's read returned %v, want a reset", err)
			}
		})
	}
}

func isReset(err error) bool {
	return strings.Contains(err.Error(), syscall.ECONNRESET.Error())
}
