package platform

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"martenlock/internal/httpserver"
	"martenlock/internal/platform/platformtest"
)

// writeForNextIteration sends bytes. If it is called on the loop, the loop reads them in its next iteration.
func writeForNextIteration(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Error(err)
	}
}

// longStream returns a stream that exceeds the socket buffers of a client that doesn't read, and the
// size of its events. end is the last chunk, or invalid bytes that truncate the stream.
func longStream(end string) (text string, size int) {
	event := `data: {"a":"` + strings.Repeat("x", 4000) + "\"}\n\n"
	return platformtest.StreamHead + strings.Repeat(platformtest.Chunk(event), 40) + end, 40 * len(event)
}

// TestCloseOverUnreadBytesKeepsAnswer: closing a socket with unread bytes causes a reset. The reset
// must not discard what was written before: the answer, if the connection is idle, or the events of
// a truncated stream. The unread request is not forwarded.
func TestCloseOverUnreadBytesKeepsAnswer(t *testing.T) {
	for _, test := range []struct {
		end        string
		isComplete bool
	}{{platformtest.LastChunk, true}, {"nonsense\r\n", false}} {
		h := startHarness(t, "r1", "w1")
		text, size := longStream(test.end)
		released := make(chan struct{})
		h.engines[1].SetScript(func(r *platformtest.Request) bool {
			<-released
			return platformtest.Respond(text)(r)
		})
		client := h.dialWithReadBuffer(4096)
		io.WriteString(client, h.chat("ask"))
		h.waitForAttempts(1, h.engines[1])
		conn := h.onlyClientConn()

		if test.isComplete {
			close(released)
			h.waitOnLoop("the answer", func() bool { return conn.HasAnswered() })
			h.runOnLoop(func() { // in one iteration
				writeForNextIteration(t, client, h.chat("note"))
				conn.Close()
			})
		} else {
			h.runOnLoop(func() { writeForNextIteration(t, client, h.chat("note")) }) // stays unread while the stream is sent
			close(released)
		}
		h.waitOnLoop("the connection to be closed", func() bool { return conn.State() == httpserver.Closed })

		answer := readAnswer(client)
		if answer.Code != http.StatusOK || answer.IsComplete != test.isComplete || len(answer.Body) != size {
			t.Errorf("engine's stream complete %v: client got status %d, complete %v, %d of %d bytes", test.isComplete, answer.Code, answer.IsComplete, len(answer.Body), size)
		}
		if n := h.engines[0].Attempts(); n != 1 {
			t.Errorf("%d prefill attempts, want 1", n)
		}
	}
}

// dialWithReadBuffer connects a client whose socket receive buffer has size bytes.
func (h *harness) dialWithReadBuffer(size int) net.Conn {
	h.Helper()
	conn := h.dial()
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		h.Fatalf("dialed a %T", conn)
	}
	if err := tcp.SetReadBuffer(size); err != nil {
		h.Fatal(err)
	}
	return conn
}

// onlyClientConn returns the server's end of the only client connection.
func (h *harness) onlyClientConn() (conn *httpserver.Conn) {
	h.Helper()
	h.runOnLoop(func() {
		if n := h.server.clients.Len(); n != 1 {
			h.Errorf("%d client connections", n)
		}
		for c := range h.server.clients.All() {
			conn = c
		}
	})
	return conn
}
