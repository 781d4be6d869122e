package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["slow-reader"] = playSlowReader
}

const slowReaderSettings = `[router]
listen = LISTEN
nodes = nodes.ini
log_level = debug

[kind gpu]
role = mixed

[class bulk]
aim = 20s
deadline = 60s
effect = safe

[pool embed]
apis = embeddings
class = bulk
`

const (
	bulkInputs     = 1000
	bulkDimensions = 1536
	readRate       = 4 << 20 // bytes a second, of a client on a link of 32 Mbit/s
)

// playSlowReader: the router is restarted by SIGTERM while a client waits for a large answer, which it reads at the
// speed of its link.
func playSlowReader(s *scene) {
	body := bulkAnswer()
	serve := func(_ *engine, w http.ResponseWriter, _ *http.Request, _ string) {
		time.Sleep(time.Second)
		writeJSON(w, body)
	}
	e := newEngine(s, "gpu1", serve).start()
	s.startRouter(slowReaderSettings, e.node("embed", "ready", ""))
	conn, err := net.Dial("tcp4", s.listen)
	s.must(err)
	defer conn.Close()
	s.must(conn.(*net.TCPConn).SetReadBuffer(256 << 10))
	inputs := make([]string, bulkInputs)
	for i := range inputs {
		inputs[i] = fmt.Sprintf("note %d", i)
	}
	text, _ := json.Marshal(map[string]any{"model": "m", "input": inputs})
	_, err = fmt.Fprintf(conn, "POST /v1/embeddings HTTP/1.1\r\nHost: router\r\nContent-Type: application/json\r\nx-client-request-id: bulk-1\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	s.must(err)
	s.note("client sends bulk-1, %d inputs", bulkInputs)
	time.Sleep(500 * time.Millisecond)
	if s.hasTrouble {
		s.note("SIGTERM")
		s.signal(syscall.SIGTERM)
	}
	sentAt := s.clock()
	reader := bufio.NewReader(&pacedReader{conn: conn, rate: readRate})
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		s.end(exitBroken, fmt.Sprintf("bulk-1 got no answer: %v", err))
	}
	s.note("bulk-1: %d, Content-Length %d, Connection %q", response.StatusCode, response.ContentLength, response.Header.Get("Connection"))
	received, err := io.Copy(io.Discard, response.Body)
	took := s.clock() - sentAt
	s.note("bulk-1: %d bytes of the body in %.1f s, %v", received, took.Seconds(), err)
	if response.StatusCode != http.StatusOK {
		s.end(exitNotRun, "bulk-1 was not served")
	}
	if err != nil {
		s.end(exitBroken, fmt.Sprintf("bulk-1 got %d of %d bytes of its answer, cut %.1f s after SIGTERM", received, response.ContentLength, took.Seconds()))
	}
	s.end(exitHeld, "bulk-1 got its whole answer")
}

// bulkAnswer returns an answer with an embedding for each input, about 17 MB.
func bulkAnswer() string {
	var out strings.Builder
	out.WriteString(`{"object":"list","data":[`)
	for i := range bulkInputs {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, `{"object":"embedding","index":%d,"embedding":[`, i)
		for j := range bulkDimensions {
			if j > 0 {
				out.WriteByte(',')
			}
			fmt.Fprintf(&out, "%.7f", float64(i*31+j*7%1000)/100000)
		}
		out.WriteString("]}")
	}
	fmt.Fprintf(&out, `],"model":"m","usage":{"prompt_tokens":%d,"total_tokens":%d}}`, 4*bulkInputs, 4*bulkInputs)
	return out.String()
}

// pacedReader reads steadily at a rate in bytes a second.
type pacedReader struct {
	conn net.Conn
	rate int
	next time.Time
}

// Read implements io.Reader.
func (r *pacedReader) Read(b []byte) (int, error) {
	if !r.next.IsZero() {
		time.Sleep(time.Until(r.next))
	}
	n, err := r.conn.Read(b[:min(len(b), 64<<10)])
	base := time.Now()
	if r.next.After(base.Add(-50 * time.Millisecond)) {
		base = r.next
	}
	r.next = base.Add(time.Duration(n) * time.Second / time.Duration(r.rate))
	return n, err
}
