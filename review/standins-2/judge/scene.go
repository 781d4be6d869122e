package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// scene is the place of one case: a temporary folder, the router's process and the record.
type scene struct {
	hasTrouble bool
	startedAt  time.Time
	dir        string
	listen     string // the router's address

	mu     sync.Mutex
	record *os.File
	router *exec.Cmd
	exited chan struct{} // closed when the router has ended
	hasEnd bool
}

func newScene(folder string, hasTrouble bool) (*scene, error) {
	record, err := os.Create(filepath.Join(folder, recordFile))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &scene{hasTrouble: hasTrouble, startedAt: time.Now(), dir: dir, record: record}
	s.note("disruption: %v", hasTrouble)
	return s, nil
}

func (s *scene) clock() time.Duration { return time.Since(s.startedAt) }

// note writes a line to the record.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", s.clock().Seconds(), fmt.Sprintf(format, args...))
}

// write writes a file of the scene as an operator does who replaces it: whole, by a rename.
func (s *scene) write(name, text string) {
	path := filepath.Join(s.dir, name)
	s.must(os.WriteFile(path+".new", []byte(text), 0o644))
	s.must(os.Rename(path+".new", path))
}

// must ends the case as not run if there is an error.
func (s *scene) must(err error) {
	if err != nil {
		s.end(exitNotRun, err.Error())
	}
}

// startRouter writes the settings, in which LISTEN stands for the router's address, and the node list, and starts the
// router. It returns when the router is healthy.
func (s *scene) startRouter(settings, nodes string) {
	s.listen = freeAddress(s)
	s.write("martenlock.ini", strings.ReplaceAll(settings, "LISTEN", s.listen))
	s.write("nodes.ini", nodes)
	log, err := os.Create(filepath.Join(s.dir, "router.log"))
	s.must(err)
	cmd := exec.Command("bin/martenlock", "serve", "-c", filepath.Join(s.dir, "martenlock.ini"))
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
	for range 100 {
		response, err := http.Get("http://" + s.listen + "/health")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.note("the router is healthy")
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.must(errors.New("the router did not become healthy"))
}

// freeAddress returns a loopback address with a free port.
func freeAddress(s *scene) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	s.must(err)
	defer listener.Close()
	return listener.Addr().String()
}

// end ends the router, writes the verdict and exits.
func (s *scene) end(code int, verdict string) {
	s.mu.Lock()
	if s.hasEnd { // another goroutine is ending the case
		s.mu.Unlock()
		runtime.Goexit()
	}
	s.hasEnd = true
	router, exited := s.router, s.exited
	s.mu.Unlock()
	if router != nil {
		s.notePeakMemory(router.Process.Pid)
		_ = router.Process.Signal(syscall.SIGKILL)
		<-exited
	}
	s.copyLog()
	s.note("verdict: exit %d: %s", code, verdict)
	_ = os.RemoveAll(s.dir)
	fmt.Println(verdict)
	os.Exit(code)
}

// notePeakMemory records the router's peak memory.
func (s *scene) notePeakMemory(pid int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "VmHWM:") {
			s.note("the router's peak memory: %s", strings.TrimSpace(strings.TrimPrefix(line, "VmHWM:")))
		}
	}
}

// copyLog copies the end of the router's log to the record.
func (s *scene) copyLog() {
	text, err := os.ReadFile(filepath.Join(s.dir, "router.log"))
	if err != nil {
		return
	}
	var lines []string
	for line := range strings.Lines(string(text)) {
		if !strings.Contains(line, `"engine connection closed"`) || !strings.Contains(line, `"evicted"`) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	for i, line := range lines {
		if i >= 15 && i < len(lines)-15 {
			continue
		}
		s.note("router log: %s", strings.ReplaceAll(line, s.dir, "DIR"))
	}
}

// answer is what a client got.
type answer struct {
	status int // 0 if there was no whole answer
	header http.Header
	body   string
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no whole answer after %.3f s: %v", a.took.Seconds(), a.err)
	}
	text := a.body
	if len(text) > 160 {
		text = text[:160] + "..."
	}
	return fmt.Sprintf("%d after %.3f s, Retry-After %q, x-cache %q: %s", a.status, a.took.Seconds(), a.header.Get("Retry-After"), a.header.Get("x-cache"), strings.TrimSpace(text))
}

// ask sends a request on a connection of its own and waits for the answer. id is the client's own id of the request.
func (s *scene) ask(path, id, body string, wait time.Duration) answer {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: wait}
	request, err := http.NewRequest(http.MethodPost, "http://"+s.listen+path, strings.NewReader(body))
	s.must(err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("x-client-request-id", id)
	sentAt := time.Now()
	s.note("client sends %s", id)
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err, took: time.Since(sentAt)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(text), err: err, took: time.Since(sentAt)}
}
