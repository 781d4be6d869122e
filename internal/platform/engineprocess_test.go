package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martenlock/internal/enginetest"
	"martenlock/internal/platform/platformtest"
)

// Behaviors of an engine process.
const (
	prefillBehavior      = "prefill"
	decodeBehavior       = "decode"
	prefillThenReset     = "prefill, then reset"      // retains the KV state and resets the connection instead of answering
	decodeWithoutAnswer  = "decode without answer"    // receives the request and never answers
	decodeKVStateMissing = "decode, KV state missing" // rejects the request because it can't fetch the KV state
	prefillOnce          = "prefill once"             // answers only the first prefill
)

type engineEventKind string

// Kinds of events that engine processes report.
const (
	kvRetained      engineEventKind = "retained"  // a prefill has ended and left KV state
	kvFetched       engineEventKind = "fetched"   // a decode attempt has arrived completely
	kvReleased      engineEventKind = "released"  // a release call has arrived
	prefillReceived engineEventKind = "prefilled" // a prefill attempt has arrived completely
)

// engineEvent is an event at an engine process, which writes it as a line to its standard output.
type engineEvent struct {
	Kind      engineEventKind
	RequestID string
	At        time.Time
	engine    string // name of the engine; set by the reader
}

// runEngineProcess runs an engine process. It prints the engine's address, then its events.
func runEngineProcess(behavior string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(listener.Addr())
	server := &engineServer{behavior: behavior, events: json.NewEncoder(os.Stdout)}
	fmt.Fprintln(os.Stderr, http.Serve(listener, server))
}

// engineServer answers the platform's protocol as an engine.
type engineServer struct {
	behavior string
	prefills atomic.Int64
	mu       sync.Mutex
	events   *json.Encoder
}

// report writes an event to standard output.
func (s *engineServer) report(kind engineEventKind, requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.events.Encode(engineEvent{Kind: kind, RequestID: requestID, At: time.Now()})
}

// ServeHTTP implements http.Handler.
func (s *engineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	requestID := r.Header.Get("X-Call-Id")
	if r.Method == http.MethodDelete {
		s.report(kvReleased, filepath.Base(r.URL.Path))
		w.WriteHeader(http.StatusNoContent)
		return
	}
	switch s.behavior {
	case prefillBehavior:
		s.report(prefillReceived, requestID)
		s.report(kvRetained, requestID)
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, `{"cached_tokens":12}`)
	case prefillOnce:
		s.report(prefillReceived, requestID)
		if s.prefills.Add(1) > 1 {
			<-r.Context().Done()
			return
		}
		s.report(kvRetained, requestID)
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, `{"cached_tokens":12}`)
	case prefillThenReset:
		s.report(prefillReceived, requestID)
		s.report(kvRetained, requestID)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			enginetest.Reset(conn)
		}
	case decodeBehavior:
		s.report(kvFetched, requestID)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, platformtest.FirstEvent)
		_ = http.NewResponseController(w).Flush() // if the client has left, the next write fails
		_, _ = io.WriteString(w, platformtest.LastToken+platformtest.DoneEvent)
	case decodeWithoutAnswer:
		s.report(kvFetched, requestID)
		<-r.Context().Done()
	case decodeKVStateMissing:
		w.Header().Set("X-Rejected", "1")
		w.WriteHeader(http.StatusGone)
	}
}

// engineProcess is an engine in a process of its own.
type engineProcess struct {
	command *exec.Cmd
	name    string
	flavor  string
	address string       // listening address
	proxy   *silentProxy // nil if the engine is listed with its own address
}

// stop suspends the process with SIGSTOP and waits until it is suspended. Its connections stay open, and the kernel still
// establishes new ones.
func (e *engineProcess) stop(t *testing.T) {
	t.Helper()
	if err := e.command.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the engine process to be suspended", func() bool { return isStopped(t, e.command.Process.Pid) })
}

// resume continues the suspended process.
func (e *engineProcess) resume(t *testing.T) {
	t.Helper()
	if err := e.command.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
}

// isStopped reports whether all threads of a process are in state T (stopped); see proc_pid_stat(5).
func isStopped(t *testing.T, pid int) bool {
	t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		t.Fatalf("no threads of process %d found: %v", pid, err)
	}
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		if err != nil {
			return false // the thread has ended since Glob
		}
		_, afterName, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(afterName, "T") {
			return false
		}
	}
	return true
}

// listed returns the engine's entry in the endpoint list, with the proxy's address if there is one.
func (e *engineProcess) listed() platformtest.Entry {
	address := e.address
	if e.proxy != nil {
		address = e.proxy.listener.Addr().String()
	}
	return platformtest.Entry{ID: e.name, Address: address, Flavor: e.flavor}
}
