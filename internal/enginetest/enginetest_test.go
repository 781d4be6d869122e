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

// A dial to a refusing address fails with ECONNREFUSED. A dial to an unreachable address fails only when its timeout ends.
func TestDialOfRefusingAndUnreachableAddressesFails(t *testing.T) {
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
		t.Errorf("dial of refusing address: got %v, want ECONNREFUSED", refused)
	}
	var netErr net.Error
	if !errors.As(unreachable, &netErr) || !netErr.Timeout() {
		t.Errorf("dial of unreachable address: got %v, want a timeout", unreachable)
	}
}

// The engine records each request with its exact bytes, runs the script that is set when the request arrives, and closes the
// connection when the script says so.
func TestEngineRecordsRequestsAndRunsCurrentScript(t *testing.T) {
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
		t.Errorf("got statuses %d and %d, then read error %v; want 201 and 202, then EOF", first, second, end)
	}
	if engine.Accepted() != 1 || engine.CountRequests(http.MethodPost) != 2 || engine.CountRequests(http.MethodGet) != 0 {
		t.Errorf("got %d connections, %d POST and %d GET requests; want 1, 2 and 0",
			engine.Accepted(), engine.CountRequests(http.MethodPost), engine.CountRequests(http.MethodGet))
	}
	got := engine.Requests()[0]
	if got.Raw != request || got.Body != "body" || got.Target != "/p?q=1" || got.Header.Get("X-Odd") != "two" {
		t.Errorf("recorded request %+v, want raw bytes %q", got, request)
	}
}

// When its test ends, a listener closes its connections and waits for the goroutines that serve them.
func TestListenerClosesConnectionsWhenTestEnds(t *testing.T) {
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
		t.Error("serve has not returned at the end of the test")
	}
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("client read: got %v, want EOF or ECONNRESET", err)
	}
}
