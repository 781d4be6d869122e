package enginetest

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// TestAddressesOutOfReach: a refusing address refuses connections at once, and an unreachable one never establishes any.
func TestAddressesOutOfReach(t *testing.T) {
	const timeout = 200 * time.Millisecond
	dial := func(address string) error {
		conn, err := net.DialTimeout("tcp", address, timeout)
		if err == nil {
			conn.Close()
		}
		return err
	}

	refused := dial(RefusingAddress(t).String())
	unreachable := dial(UnreachableAddress(t).String())

	if !errors.Is(refused, syscall.ECONNREFUSED) {
		t.Errorf("refusing address: %v", refused)
	}
	var netErr net.Error
	if !errors.As(unreachable, &netErr) || !netErr.Timeout() {
		t.Errorf("unreachable address: %v", unreachable)
	}
}

// TestEngineAnswersByItsLatestScript: each request is recorded with its exact bytes and answered by the script of that time,
// on a connection that stays open for as long as the script says.
func TestEngineAnswersByItsLatestScript(t *testing.T) {
	const request = "POST /p?q=1 HTTP/1.1\r\nhost: x\r\nX-Odd:  two  \r\ncontent-length: 4\r\n\r\nbody"
	respond := func(status string, keepOpen bool) Script {
		return func(r *Request) bool {
			r.Write("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n")
			return keepOpen
		}
	}
	engine := Start(t, respond("201", true))
	conn, err := net.Dial("tcp", engine.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	exchange := func() int {
		t.Helper()
		io.WriteString(conn, request)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode
	}

	first := exchange()
	engine.SetScript(respond("202", false))
	second := exchange()
	_, end := reader.ReadByte()

	if first != http.StatusCreated || second != http.StatusAccepted || !errors.Is(end, io.EOF) {
		t.Errorf("answered %d and %d, then %v", first, second, end)
	}
	if engine.Accepted() != 1 || engine.CountRequests(http.MethodPost) != 2 || engine.CountRequests(http.MethodGet) != 0 {
		t.Errorf("%d connections, %d requests", engine.Accepted(), len(engine.Requests()))
	}
	got := engine.Requests()[0]
	if got.Raw != request || got.Body != "body" || got.Target != "/p?q=1" || got.Header.Get("X-Odd") != "two" {
		t.Errorf("recorded %+v", got)
	}
}

// TestListenerClosesConnectionsAtTheEndOfItsTest: its clients see the end, and the goroutines that serve them have returned.
func TestListenerClosesConnectionsAtTheEndOfItsTest(t *testing.T) {
	var conn net.Conn
	served := make(chan struct{})
	t.Run("listen", func(t *testing.T) {
		accepted := make(chan struct{})
		listener := Listen(t, func(conn *net.TCPConn) {
			defer close(served)
			close(accepted)
			AwaitClose(conn)
		})
		var err error
		if conn, err = net.Dial("tcp", listener.Addr().String()); err != nil {
			t.Fatal(err)
		}
		<-accepted
	})
	defer conn.Close()

	select {
	case <-served:
	default:
		t.Error("the connection is still being served")
	}
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the client sees %v", err)
	}
}
