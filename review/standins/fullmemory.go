package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["full-memory"] = fullMemory }

// Figures of the case full-memory. The router's pages bound the bytes of bodies and buffered answers at 1 GiB, and a
// body at 16 MiB.
const (
	uploads     = 64
	uploadBytes = 16 << 20
	uploadRest  = 256 // bytes that each upload still owes
	uploadWait  = 3 * time.Second
	unsafeCalls = 20
	unsafePause = 100 * time.Millisecond
	answerWords = 6000
)

const serveSettings = `[router]
listen = %s
nodes = nodes.ini
zone = a
seed = 7

[limits]
receive = 60s

[kind mixed]
role = mixed
memory_tokens = 60000

[class note]
aim = 1500ms
deadline = 6s
effect = unsafe

[pool chat]
apis = chat
models = demo-chat
class = note
`

// fullMemory plays clients and three engines behind OpenAI's API. Other clients send large bodies and stop before their
// end. A request of an unsafe class must run once at most, and not at all if its answer says that nothing was done.
func fullMemory(opts options, rec *recorder) (broken bool, err error) {
	var mu sync.Mutex
	runs := map[string]int{} // by x-client-request-id
	nodes := ""
	for i := range 3 {
		name := fmt.Sprintf("mixed%d", i)
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		nodes += fmt.Sprintf("[node %s]\npool = chat\naddress = %s\nkind = mixed\nzone = a\ncell = c1\n\n", name, listener.Addr())
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			if request.URL.Path != "/v1/chat/completions" {
				w.WriteHeader(http.StatusOK) // health checks and releases
				return
			}
			id := request.Header.Get("x-client-request-id")
			mu.Lock()
			runs[id]++
			rec.logf("%s: runs %s (X-Request-Id %s), for the %d. time", name, id, request.Header.Get("X-Request-Id"), runs[id])
			mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			text, _ := json.Marshal(strings.Repeat("word ", answerWords))
			fmt.Fprintf(w, `{"id":"chatcmpl-1","object":"chat.completion","created":1,"model":"demo-chat","choices":[{"index":0,"message":{"role":"assistant","content":%s},"finish_reason":"stop"}],"usage":{"prompt_tokens":9,"completion_tokens":%d,"total_tokens":%d}}`,
				text, answerWords, answerWords+9)
		})}
		go server.Serve(listener)
		defer server.Close()
	}
	address, err := freeAddress()
	if err != nil {
		return false, err
	}
	path := filepath.Join(opts.temp, "martenlock.ini")
	if err := os.WriteFile(path, []byte(fmt.Sprintf(serveSettings, address)), 0o644); err != nil {
		return false, err
	}
	if err := os.WriteFile(filepath.Join(opts.temp, "nodes.ini"), []byte(nodes), 0o644); err != nil {
		return false, err
	}
	r, err := startRouter(opts, "exec bin/martenlock serve -c "+path, address, "/health")
	if err != nil {
		return false, err
	}
	defer r.kill()

	if opts.trouble {
		conns, err := startUploads(address)
		if err != nil {
			return false, err
		}
		for _, conn := range conns {
			defer conn.Close()
		}
		rec.say("%d clients have sent all but %d bytes of bodies of %d bytes, and stopped", uploads, uploadRest, uploadBytes)
	}
	transport := &http.Transport{}
	served, rejectedAfterRun := 0, 0
	for n := range unsafeCalls {
		time.Sleep(unsafePause)
		id := fmt.Sprintf("note-%d", n)
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions",
			strings.NewReader(`{"model":"demo-chat","messages":[{"role":"user","content":"Book the visit."}]}`))
		if err != nil {
			return false, err
		}
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("x-client-request-id", id)
		rec.logf("client: %s sent, class note (unsafe)", id)
		response, err := transport.RoundTrip(request)
		if err != nil {
			rec.logf("client: %s: %v", id, err)
			continue
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		mu.Lock()
		count := runs[id]
		mu.Unlock()
		rec.logf("client: %s answered %d, Retry-After %q: %.160s", id, response.StatusCode, response.Header.Get("Retry-After"), text)
		isRejected := response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable
		switch {
		case response.StatusCode == http.StatusOK:
			served++
		case isRejected && count > 0:
			rejectedAfterRun++
		}
	}
	if r.hasExited() {
		return false, fmt.Errorf("the router ended")
	}
	mu.Lock()
	defer mu.Unlock()
	twice, most := 0, 0
	for _, count := range runs {
		if count > 1 {
			twice++
		}
		most = max(most, count)
	}
	rec.say("%d unsafe requests: %d served, %d ran more than once (at most %d times), %d answered 'nothing was done' after a run",
		unsafeCalls, served, twice, most, rejectedAfterRun)
	if len(runs) == 0 {
		return false, fmt.Errorf("no request reached an engine")
	}
	return twice > 0 || rejectedAfterRun > 0, nil
}

// startUploads opens the connections of clients that send nearly all of a large body and then stop.
func startUploads(address string) ([]net.Conn, error) {
	piece := []byte(strings.Repeat("x", 1<<20))
	conns := make([]net.Conn, uploads)
	failures := make(chan error, uploads)
	var wait sync.WaitGroup
	for i := range conns {
		wait.Go(func() {
			conn, err := net.Dial("tcp4", address)
			if err != nil {
				failures <- err
				return
			}
			conns[i] = conn
			_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", uploadBytes)
			for sent := 0; err == nil && sent < uploadBytes-uploadRest; {
				n := min(len(piece), uploadBytes-uploadRest-sent)
				_, err = conn.Write(piece[:n])
				sent += n
			}
			if err != nil {
				failures <- err
			}
		})
	}
	wait.Wait()
	time.Sleep(uploadWait) // until the router has read what the kernel holds
	select {
	case err := <-failures:
		return conns, fmt.Errorf("upload: %w", err)
	default:
		return conns, nil
	}
}
