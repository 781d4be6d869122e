package httpserver_test

import (
	"net/http"
	"strings"
	"testing"

	"martenlock/internal/http1"
	"martenlock/internal/httpserver"
)

func TestHEADResponseHasLengthButNoBody(t *testing.T) {
	s := startServer(t, longTimeouts())
	for _, path := range []string{"/text", "/echo"} {
		client, _ := s.dial()

		client.send("HEAD "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello", get("/next"))

		answer := client.receive(http.MethodHead)
		if answer.status != http.StatusOK || answer.head.Get("Content-Length") != "5" {
			t.Errorf("%s: got %+v, want status 200 and Content-Length 5", path, answer)
		}
		client.expectResponse(http.StatusOK, "/next")
	}
}

func TestLongBodyIsWrittenCompletely(t *testing.T) {
	s := startServer(t, longTimeouts())
	client, _ := s.dial()

	client.send(postHead("/echo", "278528"), longBody, get("/next"))

	client.expectResponse(http.StatusOK, longBody)
	client.expectResponse(http.StatusOK, "/next")
	s.loop.Do(func() {
		if s.memory.used != 0 {
			t.Errorf("%d bytes still reserved after the response, want 0", s.memory.used)
		}
	})
}

func TestFramingOfBodyInPartsDependsOnVersion(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		want    string
		isOpen  bool
	}{
		"chunked for HTTP/1.1": {
			request: get("/later"),
			want:    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n10\r\nsixteen bytes...\r\n0\r\n\r\n",
			isOpen:  true,
		},
		"until the end for HTTP/1.0": {
			request: "GET /later HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
			want:    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nonesixteen bytes...",
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, longTimeouts())
			client, h := s.dial()
			client.sendAndServe(h, c.request)

			s.loop.DoIteration(func() {
				h.startBody()
				h.conn.WriteBody([]byte("one"))
				h.conn.WriteBody([]byte("sixteen bytes..."))
				h.conn.EndBody()
			})

			client.expectBytes(c.want)
			if !c.isOpen {
				client.expectEnd()
				return
			}
			client.send(get("/next"))
			client.expectResponse(http.StatusOK, "/next")
		})
	}
}

func TestBodyOfKnownLengthIsNotChunked(t *testing.T) {
	s := startServer(t, longTimeouts())
	client, h := s.dial()
	client.sendAndServe(h, get("/later"))

	s.loop.DoIteration(func() {
		if framing := h.conn.SelectFraming(true); framing != httpserver.ByLength {
			t.Errorf("framing %v, want by length", framing)
		}
		h.conn.WriteHead(append(h.head(http.StatusOK), "Content-Length: 6\r\n\r\n"...))
		h.conn.WriteBody([]byte("one"))
		h.conn.WriteBody([]byte("two"))
		h.conn.EndBody()
	})

	client.expectResponse(http.StatusOK, "onetwo")
}

// TestRequestAndChunkAllocateNothing calls the connection directly, so that only its own allocations
// count.
func TestRequestAndChunkAllocateNothing(t *testing.T) {
	s := startServer(t, longTimeouts())
	s.loop.Do(func() {
		s.newHandler = func(h *testHandler) httpserver.Handler { return &noAllocHandler{testHandler: h} }
	})
	_, h := s.dial()
	const runs = 50
	request := []byte(get("/a"))
	chunk := []byte(strings.Repeat("x", 64))

	var perRequest, perChunk float64
	s.loop.Do(func() {
		perRequest = testing.AllocsPerRun(runs, func() { h.conn.Data(nil, request) })
		h.conn.StartServing()
		h.conn.SelectFraming(false)
		perChunk = testing.AllocsPerRun(runs, func() { h.conn.WriteBody(chunk) })
		h.conn.EndBody()
	})

	if perRequest != 0 || perChunk != 0 {
		t.Errorf("%v allocations per request, %v per chunk; want 0", perRequest, perChunk)
	}
}

// noAllocHandler answers each request without allocations of its own.
type noAllocHandler struct {
	*testHandler
	head [256]byte
}

func (*noAllocHandler) HeadReceived(*http1.Head) {}

func (h *noAllocHandler) RequestReceived() {
	h.conn.WriteTextResponse(http1.AppendStatus(h.head[:0], http.StatusOK), "ok")
}
