package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"martenlock/internal/enginetest"
)

// recordedBody is a recordedResponse that also collects the content. onComplete, if set, is called on the
// loop at the end of a complete response.
type recordedBody struct {
	*recordedResponse
	body       []byte
	onComplete func()
}

func newRecordedBody() *recordedBody { return &recordedBody{recordedResponse: newRecordedResponse()} }

func (r *recordedBody) Data(b []byte) { r.body = append(r.body, b...) }

func (r *recordedBody) Complete() {
	if r.onComplete != nil {
		r.onComplete()
	}
	r.recordedResponse.Complete()
}

// response returns a complete response with this content.
func response(content string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
}

// listenNumbered starts an engine that passes each request to respond with its number on the connection,
// from 1.
func listenNumbered(t *testing.T, respond func(conn net.Conn, number int)) *enginetest.Listener {
	t.Helper()
	return enginetest.Listen(t, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for number := 1; ; number++ {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			respond(conn, number)
		}
	})
}

// TestStrayResponseInTheSameReadIsNotTakenForTheNextOne guards against a second response that arrives in one
// read with the first, and is taken for the response to a request that Complete starts.
func TestStrayResponseInTheSameReadIsNotTakenForTheNextOne(t *testing.T) {
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 4})
	engine := listenNumbered(t, func(conn net.Conn, number int) {
		text := response("own")
		if number == 1 {
			text += response("stray")
		}
		io.WriteString(conn, text)
	})
	pool := f.newPool(engine.Addr())
	first, second := newRecordedBody(), newRecordedBody()
	start := func(handler ResponseHandler) {
		if _, err := pool.Start(handler, getRequest, nil, false); err != nil {
			t.Error(err)
		}
	}
	first.onComplete = func() { start(second) }

	f.loop.Do(func() { start(first) })

	f.expectComplete(first.recordedResponse)
	f.expectComplete(second.recordedResponse)
	if string(first.body) != "own" {
		t.Errorf("the first request got %q", first.body)
	}
	// The second connection answers its first request with a stray response as well, which nobody waits for.
	if string(second.body) != "own" {
		t.Errorf("the second request got %q, want its own response", second.body)
	}
	if engine.Accepted() != 2 {
		t.Errorf("%d connections, want 2: the first one has carried a stray response", engine.Accepted())
	}
}
