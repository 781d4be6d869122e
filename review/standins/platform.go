package main

import (
	"bufio"
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

// world is the platform: its engines, what they hold for requests, and discovery.
type world struct {
	rec *recorder

	mu       sync.Mutex
	revision int
	engines  []*engine
	held     map[string]string // reader that holds a request's state, by X-Call-Id
	watches  map[*watch]bool
	listener net.Listener // of discovery
}

// watch is an open watch of discovery.
type watch struct {
	conn net.Conn
	mu   sync.Mutex
}

// send sends one piece of the body.
func (o *watch) send(text string) (open bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return write(o.conn, chunk(text))
}

func newWorld(rec *recorder) (*world, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, revision: 1, held: map[string]string{}, watches: map[*watch]bool{}, listener: listener}
	go w.serveDiscovery()
	return w, nil
}

// close ends discovery and the engines.
func (w *world) close() {
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		e.listener.Close()
	}
}

type entry struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMs int64   `json:"up_since_ms"`
}

type message struct {
	Revision int     `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []entry `json:"members"`
}

// list returns the whole list as discovery sends it. The caller holds w.mu.
func (w *world) list() message {
	list := message{Revision: w.revision, Complete: true, Members: []entry{}}
	for _, e := range w.engines {
		list.Members = append(list.Members, e.entry())
	}
	return list
}

func (w *world) serveDiscovery() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serveWatch(conn)
	}
}

// serveWatch answers one call with the whole list. The watch stays open, with an empty line every 2 s.
func (w *world) serveWatch(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	opened := &watch{conn: conn}
	w.mu.Lock()
	text, _ := json.Marshal(w.list())
	w.rec.logf("discovery: %s answered with revision %d", request.URL, w.revision)
	open := write(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n") && opened.send(string(text)+"\n")
	w.watches[opened] = true
	w.mu.Unlock()
	for open {
		time.Sleep(2 * time.Second)
		open = opened.send("\n")
	}
	w.mu.Lock()
	delete(w.watches, opened)
	w.mu.Unlock()
}

// setPhase changes the phase of engines and tells it on all watches.
func (w *world) setPhase(phase string, engines ...*engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	change := message{Revision: w.revision}
	for _, e := range engines {
		e.phase = phase
		change.Members = append(change.Members, e.entry())
		w.rec.logf("discovery: revision %d: %s is %s", w.revision, e.name, phase)
	}
	text, _ := json.Marshal(change)
	for opened := range w.watches {
		opened.send(string(text) + "\n")
	}
}

// handler answers an attempt whose last byte arrived at a time. It reports whether the connection stays open.
type handler func(e *engine, conn net.Conn, id string, arrived time.Time) (open bool)

// engine is one server of the platform. A reader answers 202 and holds the state; a writer takes it and streams.
type engine struct {
	world    *world
	name     string
	flavor   string // read, write or both
	cell     int
	phase    string
	address  string
	listener net.Listener

	handle handler

	mu        sync.Mutex
	conns     map[net.Conn]bool
	hangUntil time.Time
}

// hang makes the engine answer nothing for some time. What arrives meanwhile is handled afterwards.
func (e *engine) hang(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hangUntil = time.Now().Add(d)
	e.world.rec.logf("%s: hangs for %v", e.name, d)
}

// awaitHang returns once the engine does not hang.
func (e *engine) awaitHang() {
	e.mu.Lock()
	until := e.hangUntil
	e.mu.Unlock()
	time.Sleep(time.Until(until))
}

// resetConnections resets the open connections of the engine.
func (e *engine) resetConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	e.world.rec.logf("%s: %d connections reset", e.name, len(e.conns))
}

func (e *engine) entry() entry {
	return entry{ID: e.name, HostPort: e.address, Locality: "imanta", Flavor: e.flavor, Cell: e.cell, Phase: e.phase, Size: 1}
}

func (w *world) startEngine(name, flavor string, handle handler) (*engine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		world: w, name: name, flavor: flavor, cell: 1, phase: "in_service", address: listener.Addr().String(),
		listener: listener, handle: handle, conns: map[net.Conn]bool{},
	}
	w.mu.Lock()
	w.engines = append(w.engines, e)
	w.mu.Unlock()
	go e.serve()
	return e, nil
}

func (e *engine) serve() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serveConn(conn)
	}
}

func (e *engine) serveConn(conn net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		conn.Close()
	}()
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		arrived := time.Now()
		if request.Method == http.MethodPost {
			e.world.rec.logf("%s: attempt %s arrived, X-Budget %s", e.name, request.Header.Get("X-Call-Id"), request.Header.Get("X-Budget"))
		}
		e.awaitHang()
		switch {
		case request.Method == http.MethodDelete:
			id := strings.TrimPrefix(request.URL.Path, "/bootstrap/rooms/")
			e.world.mu.Lock()
			_, wasHeld := e.world.held[id]
			delete(e.world.held, id)
			e.world.mu.Unlock()
			e.world.rec.logf("%s: DELETE %s, held: %v", e.name, id, wasHeld)
			_, err = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
			if err != nil {
				return
			}
		case request.Method == http.MethodPost && request.URL.Path == "/v1/chat/completions":
			if !e.handle(e, conn, request.Header.Get("X-Call-Id"), arrived) {
				return
			}
		default:
			_, err = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			if err != nil {
				return
			}
		}
	}
}

// read is a reader's part: it computes the prompt and holds its state.
func read(e *engine, conn net.Conn, id string, duration time.Duration) bool {
	time.Sleep(duration)
	e.world.mu.Lock()
	e.world.held[id] = e.name
	e.world.mu.Unlock()
	e.world.rec.logf("%s: read %s, holds its state", e.name, id)
	return write(conn, "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}")
}

// takeState gives the state to a writer. Without one the writer answers 410.
func takeState(e *engine, conn net.Conn, id string) (taken, open bool) {
	e.world.mu.Lock()
	_, taken = e.world.held[id]
	delete(e.world.held, id)
	e.world.mu.Unlock()
	if taken {
		return true, true
	}
	e.world.rec.logf("%s: 410 %s", e.name, id)
	return false, write(conn, "HTTP/1.1 410 Gone\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// streamEvents are the events of the answer to the request with this id. Each names the id.
func streamEvents(id string) []string {
	events := []string{}
	for i := range 4 {
		events = append(events, fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s.%d \"},\"finish_reason\":null}]}\n\n", id, i))
	}
	return append(events,
		"data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}\n\n",
		"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":400,\"completion_tokens\":5,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n",
		"data: [DONE]\n\n")
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// stream writes the whole answer, an event every pause.
func stream(conn net.Conn, id string, pause time.Duration) bool {
	if !write(conn, streamHead) {
		return false
	}
	for _, event := range streamEvents(id) {
		if !write(conn, chunk(event)) {
			return false
		}
		time.Sleep(pause)
	}
	return write(conn, "0\r\n\r\n")
}

// class is a request class of the settings.
type class map[string]any

// Names of the classes in siteClasses, in their order.
const (
	shortQuestion = "isa-atbilde"
	longQuestion  = "dokumentu-jautajums"
)

// siteClasses returns the classes of the site, with its times and effects.
func siteClasses() []class {
	return []class{
		{
			"Name": shortQuestion, "AimUs": 800000, "DeadlineUs": 4000000, "Effect": "idempotent", "DedupScope": "all",
			"LateWorth": 0.3, "Streamed": true, "WindowUs": 5000000, "Worth": 1.0,
		},
		{
			"Name": longQuestion, "AimUs": 2000000, "DeadlineUs": 8000000, "Effect": "idempotent", "DedupScope": "all",
			"LateWorth": 0.2, "Streamed": true, "WindowUs": 5000000, "Worth": 3.0,
		},
	}
}

// settings returns the settings object of a small deployment. The figures are those of the pages' example, but for one
// router, one zone and no load reports, for which the protocol names no form.
func settings(classes []class) map[string]any {
	return map[string]any{
		"Accounts": []any{}, "Balancers": 1, "Callers": map[string]any{"MarksRetry": true}, "Family": "twostage",
		"FamilyInfo": map[string]any{
			"Ahead": true, "AimUsPer1000PromptTokens": []int{60000, 120000}, "CrossCellPrice": 0.03,
			"KindRole": []string{"read", "write", "both"}, "PinLimitUs": 1000000, "Resume": true,
			"TokenAimUs": []int{50000, 80000}, "TokensByKind": []int{187428, 204420, 260301}, "WritersRead": false,
		},
		"HostTypes": []string{"read", "write", "both"},
		"Limits": map[string]any{
			"AttemptsCap": 5, "Cancelling": true, "ConnIdleUs": 30000000, "ConnectTimeoutUs": 250000, "CpuUsPerRequest": 0.0,
			"CpuUsPerS": 571930, "MaxRetryAfterUs": 1000000, "MostHeld": 22877, "ParallelTries": false, "Peers": false,
			"Probes": false, "RetryAfter": false, "StreamsPerConn": 32,
		},
		"LoadReport": map[string]any{"Fields": []string{}, "How": "silent"}, "MembershipMode": "push", "Rank": 0,
		"RequestClasses": classes, "ResolutionUs": 2000,
		"Rules": map[string]any{
			"AskWithinUs": 10000000, "ColdFrom": 0.25, "ColdUs": 14000000, "DrainGraceUs": 250000, "FallMultiple": 2.5,
			"FallUs": 1500000, "GraceToAnswerUs": 8000,
		},
		"Stages": []string{"servers"}, "Tier": 0, "ValueBy": "work", "Weights": "silent", "Zone": 0, "Zones": []string{"imanta"},
	}
}

// startPlatformRouter starts a router by the line run of the deploy file.
func (w *world) startPlatformRouter(opts options, classes []class) (*router, error) {
	line, err := deployLine(opts.root, "run")
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	known := w.list()
	w.mu.Unlock()
	config := map[string]any{
		"name": "n1", "listen": listen, "discovery": w.listener.Addr().String(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 1024}, "known": known, "settings": settings(classes),
	}
	text, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(opts.temp, "config.json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return nil, err
	}
	return startRouter(opts, line, listen, "/healthz",
		"PROXY_NAME=n1", "PROXY_LISTEN="+listen, "PROXY_DISCOVERY="+w.listener.Addr().String(), "PROXY_CONFIG="+path)
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	err    error
}

// promptTokens is the length of each prompt. One token is four characters.
const promptTokens = 400

// callID returns an id that is new on each request.
func callID(n int) string { return fmt.Sprintf("9b1f%012x", n) }

// ask sends one request as a client of the platform does, and reads its whole answer.
func ask(transport *http.Transport, address, id, className, session string, budget time.Duration) answer {
	body := `{"model":"chat","stream":true,"max_tokens":80,"messages":[{"role":"user","content":"` + strings.Repeat("abcd", promptTokens) + `"}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = "api.internal"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Call-Id", id)
	request.Header.Set("X-Call-Class", className)
	request.Header.Set("X-Route-Hash", session)
	request.Header.Set("X-Budget", fmt.Sprintf("%dm", budget.Milliseconds()))
	request.Header.Set("X-Call-Info", fmt.Sprintf("prompt_len=%d,prefix_len=0,max_out=80", promptTokens))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(text), err: err}
}
