package platform

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"martenlock/internal/platform/platformtest"
)

// Environment variables that make a process of the test binary run as a router or an engine.
const (
	routerProcessVariable = "MARTENLOCK_TEST_SERVE"  // any value
	engineProcessVariable = "MARTENLOCK_TEST_ENGINE" // the engine's behavior
)

// cluster is a set of routers and engines, each in its own process. Discovery runs in the test's process.
type cluster struct {
	*testing.T
	engines      []*engineProcess
	routers      []*routerProcess
	requestCount int

	mu     sync.Mutex
	events []engineEvent
}

// routerProcess is a router in a process of its own.
type routerProcess struct {
	command *exec.Cmd
	address string // listening address
}

// signal sends a signal to the first router.
func (c *cluster) signal(signal syscall.Signal) {
	c.Helper()
	if err := c.routers[0].command.Process.Signal(signal); err != nil {
		c.Fatal(err)
	}
}

// engineSpec describes an engine process to start.
type engineSpec struct {
	behavior string
	proxied  bool // connections go through a silentProxy
}

// startCluster starts engines, and one router that has them in its endpoint list.
func startCluster(t *testing.T, specs ...engineSpec) *cluster {
	t.Helper()
	c := &cluster{T: t}
	for i, spec := range specs {
		c.startEngine(fmt.Sprintf("s-%d", i), spec)
	}
	c.startRouter()
	return c
}

// startProcess starts the test binary as a router or an engine, depending on variables. It returns the command with
// readers of its standard output and error. The process is killed when the test ends.
func (c *cluster) startProcess(variables ...string) (command *exec.Cmd, stdout, stderr *bufio.Reader) {
	c.Helper()
	executable, err := os.Executable()
	if err != nil {
		c.Fatal(err)
	}
	command = exec.Command(executable)
	command.Env = append(os.Environ(), variables...)
	stdoutPipe, err := command.StdoutPipe()
	if err != nil {
		c.Fatal(err)
	}
	stderrPipe, err := command.StderrPipe()
	if err != nil {
		c.Fatal(err)
	}
	if err := command.Start(); err != nil {
		c.Fatal(err)
	}
	c.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command, bufio.NewReader(stdoutPipe), bufio.NewReader(stderrPipe)
}

// startEngine starts an engine process, which the next endpoint list includes, and records its events.
func (c *cluster) startEngine(name string, spec engineSpec) {
	c.Helper()
	command, stdout, _ := c.startProcess(engineProcessVariable + "=" + spec.behavior)
	address, err := stdout.ReadString('\n')
	if err != nil {
		c.Fatal(err)
	}
	e := &engineProcess{command: command, name: name, flavor: "w1", address: strings.TrimSpace(address)}
	if strings.HasPrefix(spec.behavior, prefillBehavior) {
		e.flavor = "r1"
	}
	if spec.proxied {
		e.proxy = startSilentProxy(c.T, e.address)
	}
	c.engines = append(c.engines, e)
	go c.recordEvents(name, stdout)
}

// recordEvents records the events that an engine writes to stdout, until the process ends.
func (c *cluster) recordEvents(engineName string, stdout *bufio.Reader) {
	decoder := json.NewDecoder(stdout)
	for {
		event := engineEvent{engine: engineName}
		if decoder.Decode(&event) != nil {
			return
		}
		c.mu.Lock()
		c.events = append(c.events, event)
		c.mu.Unlock()
	}
}

// completeList returns a complete endpoint list of all engines.
func (c *cluster) completeList() string {
	var entries []platformtest.Entry
	for _, e := range c.engines {
		entries = append(entries, e.listed())
	}
	return platformtest.CompleteList(1, entries...)
}

// startRouter starts a router process and waits until it serves.
func (c *cluster) startRouter() {
	c.Helper()
	discovery := platformtest.StartDiscovery(c.T, c.completeList())
	discovery.SendHeartbeats(c.T, time.Second)
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.Address(),
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 0.5, "memory_mb": 64, "sockets": 256},
		"known": json.RawMessage(c.completeList()), "settings": json.RawMessage(testSettings),
	})
	if err != nil {
		c.Fatal(err)
	}
	path := filepath.Join(c.TempDir(), "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		c.Fatal(err)
	}
	command, _, log := c.startProcess(routerProcessVariable+"=1", "PROXY_CONFIG="+path)
	var line struct{ Message, Listen string }
	for line.Message != "serving" {
		text, err := log.ReadBytes('\n')
		if err != nil {
			c.Fatal("the log ended before the router was serving: ", err)
		}
		_ = json.Unmarshal(text, &line)
	}
	c.routers = append(c.routers, &routerProcess{command: command, address: line.Listen})
	go c.copyLog(log)
}

// copyLog reads the router's log to its end, and prints it if the tests are verbose.
func (c *cluster) copyLog(log *bufio.Reader) {
	for {
		text, err := log.ReadString('\n')
		if err != nil {
			return
		}
		if testing.Verbose() {
			fmt.Print(text)
		}
	}
}

// sentRequest is a client's request that may not have been answered yet.
type sentRequest struct {
	id       string
	conn     net.Conn
	answered <-chan platformtest.Answer // gets the answer once it has ended
}

// send sends a request of a class on a new connection. The routers take turns.
func (c *cluster) send(class string, edits ...string) sentRequest {
	c.Helper()
	c.requestCount++
	text := chatText(c.T, c.requestCount, class, "", edits...)
	router := c.routers[c.requestCount%len(c.routers)]
	conn, err := net.Dial("tcp", router.address)
	if err != nil {
		c.Fatal(err)
	}
	c.Cleanup(func() { conn.Close() })
	answered := make(chan platformtest.Answer, 1)
	go func() {
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(conn, text)
		answered <- readAnswer(conn)
	}()
	return sentRequest{id: fmt.Sprintf("c%d", c.requestCount), conn: conn, answered: answered}
}

// warmUp sends this many requests, one after another, and fails the test if one is not served.
func (c *cluster) warmUp(class string, count int) {
	c.Helper()
	for range count {
		request := c.send(class)
		if answer := <-request.answered; answer.Code != http.StatusOK {
			c.Fatalf("warm-up request answered %d, want 200", answer.Code)
		}
	}
}

// eventsOf returns the engines' events about a request, in order of time.
func (c *cluster) eventsOf(requestID string) (events []engineEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range c.events {
		if event.RequestID == requestID {
			events = append(events, event)
		}
	}
	slices.SortStableFunc(events, func(a, b engineEvent) int { return a.At.Compare(b.At) })
	return events
}

// retainedFor returns the time from the end of a request's latest prefill until its KV state was fetched or
// released, or until now if it was neither. It returns 0 if no prefill has ended.
func (c *cluster) retainedFor(requestID string) time.Duration {
	var since, until time.Time
	for _, event := range c.eventsOf(requestID) {
		switch {
		case event.Kind == kvRetained:
			since = event.At
			until = time.Time{}
		case until.IsZero() && !since.IsZero() && (event.Kind == kvFetched || event.Kind == kvReleased):
			until = event.At
		}
	}
	if since.IsZero() {
		return 0
	}
	return cmp.Or(until, time.Now()).Sub(since)
}
