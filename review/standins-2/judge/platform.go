package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// member is an engine's entry in discovery's list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// memberList is a message of discovery.
type memberList struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is the platform's agent on the router's machine.
type discovery struct {
	scene *scene
	addr  string
	wait  time.Duration // time before the answer to a call begins

	mu    sync.Mutex
	list  memberList
	calls int
}

// startDiscovery starts the agent. Each watch begins with the whole list; an empty line follows every 2 s.
func startDiscovery(s *scene, list memberList, wait time.Duration) *discovery {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	s.must(err)
	d := &discovery{scene: s, addr: listener.Addr().String(), list: list, wait: wait}
	server := &http.Server{Handler: http.HandlerFunc(d.handle)}
	go func() { _ = server.Serve(listener) }()
	return d
}

func (d *discovery) handle(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	text, _ := json.Marshal(d.list)
	d.calls++
	call := d.calls
	d.mu.Unlock()
	d.scene.note("discovery: call %d, %s", call, r.URL.RequestURI())
	select {
	case <-r.Context().Done():
		d.scene.note("discovery: the router has ended call %d, which was not answered yet", call)
		return
	case <-time.After(d.wait):
	}
	_, _ = w.Write(append(text, '\n'))
	w.(http.Flusher).Flush()
	d.scene.note("discovery: call %d is answered with the whole list", call)
	for r.URL.Query().Get("follow") == "1" {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			_, _ = io.WriteString(w, "\n")
			w.(http.Flusher).Flush()
		}
	}
}

// startPlatformRouter starts the router by the command of the deploy file, as the platform does, and returns when it is
// ready.
func (s *scene) startPlatformRouter(config map[string]any) {
	s.listen = freeAddress(s)
	config["listen"] = s.listen
	text, err := json.Marshal(config)
	s.must(err)
	s.write("config.json", string(text))
	log, err := os.Create(filepath.Join(s.dir, "router.log"))
	s.must(err)
	cmd := exec.Command("/bin/sh", "-c", "exec bin/martenlock platform")
	cmd.Env = append(os.Environ(),
		"PROXY_NAME=n1", "PROXY_LISTEN="+s.listen, fmt.Sprintf("PROXY_DISCOVERY=%v", config["discovery"]),
		"PROXY_CONFIG="+filepath.Join(s.dir, "config.json"), "TMPDIR="+s.dir)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.must(cmd.Start())
	exited := make(chan struct{})
	s.mu.Lock()
	s.router, s.exited = cmd, exited
	s.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		s.mu.Lock()
		ended := s.hasEnd
		s.mu.Unlock()
		if !ended {
			s.note("the router has ended by itself, %v", cmd.ProcessState)
		}
		close(exited)
	}()
	for range 200 {
		response, err := http.Get("http://" + s.listen + "/healthz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.note("the router is ready")
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.must(errors.New("the router did not become ready"))
}

// signal sends a signal to the router.
func (s *scene) signal(sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.router != nil {
		_ = s.router.Process.Signal(sig)
	}
}

// call sends a client's request as the protocol page has it.
func (s *scene) call(id, class string, budget time.Duration) answer {
	body := `{"model":"chat","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"` + strings.Repeat("word ", 100) + `"}]}`
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: budget + 5*time.Second}
	request, err := http.NewRequest(http.MethodPost, "http://"+s.listen+"/v1/chat/completions", strings.NewReader(body))
	s.must(err)
	for name, value := range map[string]string{
		"Host": "api.internal", "X-Call-Id": id, "X-Call-Class": class, "X-Route-Hash": id,
		"X-Budget": fmt.Sprintf("%dm", budget.Milliseconds()), "X-Call-Info": "prompt_len=125,max_out=50",
		"Content-Type": "application/json",
	} {
		request.Header.Set(name, value)
	}
	sentAt := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err, took: time.Since(sentAt)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(text), err: err, took: time.Since(sentAt)}
}

// platformEngine answers as the protocol page has it. A read takes 50 ms, an answer 0.8 s.
func platformEngine(flavor string, onRequest func(id string)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodDelete {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		if r.Method != http.MethodPost || r.Header.Get("X-Call-Id") == "" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		onRequest(r.Header.Get("X-Call-Id"))
		if flavor == "r1" {
			time.Sleep(50 * time.Millisecond)
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusAccepted)
			_, _ = io.WriteString(w, `{"cached_tokens":0}`)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for _, event := range []string{
			`{"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}`,
			`{"choices":[{"index":0,"delta":{"content":"..."},"finish_reason":"stop"}]}`,
			`{"choices":[],"usage":{"prompt_tokens":125,"completion_tokens":8,"prompt_tokens_details":{"cached_tokens":0}}}`,
			`[DONE]`,
		} {
			_, _ = io.WriteString(w, "data: "+event+"\n\n")
			w.(http.Flusher).Flush()
			time.Sleep(200 * time.Millisecond)
		}
	})
}
