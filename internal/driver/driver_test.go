package driver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"martenlock/control"
	"martenlock/internal/eventloop"
	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
	"martenlock/internal/upstream"
)

// never is a time-out that no test reaches.
const never = time.Hour

// testLoop is an event loop that runs until the test ends.
type testLoop struct{ *eventloop.Loop }

func startLoop(t *testing.T) testLoop {
	t.Helper()
	loop, err := eventloop.New(eventloop.Options{})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- loop.Run() }()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return testLoop{loop}
}

// runIteration runs a function on the loop and waits for the end of its iteration.
func (l testLoop) runIteration(fn func()) {
	l.run(fn)
	l.run(func() {}) // runs in a later iteration, as the first one was waited for
}

// run runs a function on the loop and waits until it has returned.
func (l testLoop) run(fn func()) {
	done := make(chan struct{})
	l.Post(func() {
		defer close(done)
		fn()
	})
	<-done
}

// recordedExchange records the actions that reach it.
type recordedExchange struct {
	id      control.RequestID
	mailbox *testMailbox
}

func (x *recordedExchange) Forward(action control.Forward) {
	x.mailbox.record(action)
	if x.mailbox.onForward != nil {
		x.mailbox.onForward(action)
	}
}

func (x *recordedExchange) Reject(action control.Reject)       { x.mailbox.record(action) }
func (x *recordedExchange) Fail(action control.Fail)           { x.mailbox.record(action) }
func (x *recordedExchange) ReleaseKV(action control.ReleaseKV) { x.mailbox.record(action) }
func (x *recordedExchange) CancelAttempt(number int) {
	x.mailbox.record(control.CancelAttempt{ID: x.id, Attempt: number})
}

// testMailbox is a mailbox that records the actions executed. Timers of the module are disabled.
type testMailbox struct {
	Mailbox[*recordedExchange]
	loop      testLoop
	actions   []control.Action
	polls     int // how often AfterPoll was called
	handled   int // how often the module was asked
	onForward func(control.Forward)
}

func (m *testMailbox) record(action control.Action) { m.actions = append(m.actions, action) }

// moduleStart is the time on the module's clock in all tests.
const moduleStart = control.Time(1e6)

// newRouter returns a module with one class, for engines that do both stages.
func newRouter() *control.Router {
	return control.New(control.Settings{
		Routers:            1,
		RoleByKind:         []control.Role{control.RoleColocated},
		MemoryTokensByKind: []float64{0},
		MaxAttempts:        3,
		Classes:            []control.Class{{TTFTObjective: time.Second, Deadline: time.Minute, PriorityWeight: 1}},
	}, moduleStart)
}

// newTestMailbox returns a mailbox with exchanges of these ids.
func newTestMailbox(t *testing.T, ids ...control.RequestID) *testMailbox {
	t.Helper()
	loop := startLoop(t)
	m := &testMailbox{loop: loop}
	m.Mailbox = Mailbox[*recordedExchange]{
		Loop:        loop.Loop,
		Router:      newRouter(),
		Exchanges:   map[control.RequestID]*recordedExchange{},
		Logger:      zerolog.Nop(),
		Now:         func() control.Time { m.handled++; return moduleStart },
		CheckHealth: func(id control.EndpointID) { m.record(control.HealthCheck{Endpoint: id}) },
		AfterPoll:   func() { m.polls++ },
	}
	m.DisableTimers()
	for _, id := range ids {
		m.Exchanges[id] = &recordedExchange{id: id, mailbox: m}
	}
	return m
}

// oneEngine lists one engine.
func oneEngine() control.EndpointUpdate {
	return control.EndpointUpdate{Full: true, Endpoints: []control.Endpoint{{ID: 1, State: control.Ready, Weight: 1}}}
}

func newRequest(id control.RequestID) control.Request {
	return control.Request{ID: id, PromptTokens: 100, MaxTokens: 10, Deadline: moduleStart.Add(time.Minute)}
}

// forwardedIDs returns the requests of the Forward actions, in order.
func (m *testMailbox) forwardedIDs() (ids []control.RequestID) {
	for _, action := range m.actions {
		if forward, isForward := action.(control.Forward); isForward {
			ids = append(ids, forward.ID)
		}
	}
	return ids
}

// expectForwarded checks which requests were forwarded, in order, and forgets them.
func (m *testMailbox) expectForwarded(t *testing.T, want ...control.RequestID) {
	t.Helper()
	if got := m.forwardedIDs(); !slices.Equal(got, want) {
		t.Errorf("requests %v were forwarded, want %v", got, want)
	}
	m.actions = nil
}

// TestEventsOfOneIterationReachModuleTogetherInOrder pushes events whose order matters: the engine
// is listed before the requests come, and a client leaves after its request. A second module that
// gets the same events in one call tells which actions must follow, in which order.
func TestEventsOfOneIterationReachModuleTogetherInOrder(t *testing.T) {
	m := newTestMailbox(t, 1, 2, 3, 4)
	events := []control.Event{
		oneEngine(), newRequest(1), newRequest(2), newRequest(3), control.ClientGone{ID: 2}, newRequest(4),
	}
	m.loop.runIteration(func() {
		for _, event := range events {
			m.Push(event)
		}
		if m.Len() != len(events) || m.handled != 0 {
			t.Errorf("%d events wait, and the module was asked %d times before the iteration's end", m.Len(), m.handled)
		}
	})
	if m.handled != 1 || m.polls != 1 || m.Len() != 0 {
		t.Errorf("module asked %d times, %d polls, %d events left; want 1, 1, 0", m.handled, m.polls, m.Len())
	}
	var want []control.Action
	for _, action := range newRouter().Handle(moduleStart, events) {
		if forward, isForward := action.(control.Forward); isForward {
			want = append(want, forward)
		}
	}
	if len(want) != 3 {
		t.Fatalf("the second module forwards %d requests, want 3", len(want))
	}
	if !slices.Equal(m.actions, want) {
		t.Errorf("executed %v, want %v", m.actions, want)
	}
}

// TestPollWithoutEventsLeavesModuleAlone: only AfterPoll is called, once an iteration.
func TestPollWithoutEventsLeavesModuleAlone(t *testing.T) {
	m := newTestMailbox(t)
	for range 2 {
		m.loop.runIteration(func() {
			m.SchedulePoll()
			m.SchedulePoll()
		})
	}
	if m.handled != 0 || m.polls != 2 {
		t.Errorf("module asked %d times in %d polls; want 0 in 2", m.handled, m.polls)
	}
}

// TestEventPushedByActionWaitsForNextPoll: an action's own event is neither lost nor handed over
// in the call that caused it.
func TestEventPushedByActionWaitsForNextPoll(t *testing.T) {
	m := newTestMailbox(t, 1, 2)
	var lenAfterPush int
	m.onForward = func(action control.Forward) {
		if action.ID == 1 {
			m.Push(newRequest(2))
			lenAfterPush = m.Len()
		}
	}
	m.loop.runIteration(func() {
		m.Push(oneEngine())
		m.Push(newRequest(1))
	})
	m.expectForwarded(t, 1, 2)
	if lenAfterPush != 1 || m.handled != 2 || m.polls != 2 {
		t.Errorf("%d events waited, module asked %d times in %d polls; want 1, 2, 2", lenAfterPush, m.handled, m.polls)
	}
}

// TestBuffersReusedWithoutOldEvents: two buffers take turns, and hold no event that was handled.
func TestBuffersReusedWithoutOldEvents(t *testing.T) {
	m := newTestMailbox(t, 1, 2, 3)
	m.loop.run(func() {
		m.events = make([]control.Event, 0, 8)
		m.spare = make([]control.Event, 0, 8)
		buffers := [][]control.Event{m.events[:8], m.spare[:8]}
		batches := [][]control.Event{
			{oneEngine(), newRequest(1), newRequest(2)},
			{newRequest(3)},
			{control.ClientGone{ID: 3}},
			{},
		}
		for i, batch := range batches {
			if cap(m.events) == 0 || &m.events[:1][0] != &buffers[i%2][0] {
				t.Errorf("poll %d: events are gathered in another buffer", i)
			}
			for _, event := range batch {
				m.Push(event)
			}
			if m.Len() != len(batch) {
				t.Errorf("poll %d: %d events wait, want %d", i, m.Len(), len(batch))
			}
			m.Poll()
			if kept := slices.ContainsFunc(slices.Concat(buffers...), func(e control.Event) bool { return e != nil }); kept {
				t.Errorf("poll %d: a buffer keeps events that were handled", i)
			}
		}
	})
	m.expectForwarded(t, 1, 2, 3)
}

// TestActionReachesItsExchangeUnlessGone: each action comes to the exchange that it names with its
// values; one for an exchange that is gone is ignored.
func TestActionReachesItsExchangeUnlessGone(t *testing.T) {
	for _, open := range []control.Action{
		control.Forward{ID: 1, Endpoint: 5, Timeout: time.Second},
		control.Reject{ID: 1, RetryAfter: 3 * time.Second, Reason: control.FinishedAtDeadline},
		control.Fail{ID: 1, Reason: control.FinishedNotRepeatable},
		control.ReleaseKV{ID: 1, Reason: control.ReleasedAtFinish},
		control.CancelAttempt{ID: 1, Attempt: 2},
	} {
		t.Run(strings.TrimPrefix(fmt.Sprintf("%T", open), "control."), func(t *testing.T) {
			m := newTestMailbox(t, 1)
			m.loop.run(func() { m.execute(open) })
			if want := []control.Action{open}; !slices.Equal(m.actions, want) {
				t.Errorf("executed %v, want %v", m.actions, want)
			}
			m.actions = nil
			m.loop.run(func() {
				delete(m.Exchanges, 1)
				m.execute(open) // panics where it calls a method of a nil exchange
			})
			if len(m.actions) != 0 {
				t.Errorf("executed %v for an exchange that is gone", m.actions)
			}
		})
	}
}

// TestHealthCheckAndLogNeedNoExchange: these actions concern an endpoint.
func TestHealthCheckAndLogNeedNoExchange(t *testing.T) {
	m := newTestMailbox(t)
	var lines bytes.Buffer
	m.Logger = zerolog.New(&lines)
	m.loop.run(func() {
		m.execute(control.HealthCheck{Endpoint: 0xab})
		m.execute(control.Log{Kind: control.EndpointEjected, Endpoint: 0xab, Reason: control.EjectedAsSlow})
	})
	if want := []control.Action{control.HealthCheck{Endpoint: 0xab}}; !slices.Equal(m.actions, want) {
		t.Errorf("executed %v, want %v", m.actions, want)
	}
	wantLine := fmt.Sprintf(`{"level":"info","endpoint":"ab","reason":%q,"message":%q}`+"\n",
		control.EjectedAsSlow.String(), control.EndpointEjected.String())
	if lines.String() != wantLine {
		t.Errorf("logged %q, want %q", lines.String(), wantLine)
	}
}

// TestTimerPushesItsTokenUnlessDisabled: the module's timer becomes an event with its token, but
// not after DisableTimers. A timer of the test's own that fires later sees what has been pushed.
func TestTimerPushesItsTokenUnlessDisabled(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		m := newTestMailbox(t)
		m.timersDisabled = false
		pushed := make(chan []control.Event, 1)
		m.loop.run(func() {
			m.pollScheduled = true // no poll takes the event from the test
			m.execute(control.SetTimer{Token: 7, After: time.Millisecond})
			if disabled {
				m.DisableTimers()
			}
			later := &timerwheel.Timer{Fire: func() { pushed <- slices.Clone(m.events) }}
			m.Loop.StartTimer(later, 3*time.Millisecond)
		})
		var want []control.Event
		if !disabled {
			want = []control.Event{control.Timer{Token: 7}}
		}
		if got := <-pushed; !slices.Equal(got, want) {
			t.Errorf("disabled %v: pushed %v, want %v", disabled, got, want)
		}
	}
}

// callFixture is a pool of connections on a loop, to an engine that the test plays.
type callFixture struct {
	t       *testing.T
	loop    testLoop
	pool    *upstream.Pool
	results chan CallResult // buffered beyond what a test may get
}

// newCallFixture returns a pool whose connections go to addr.
func newCallFixture(t *testing.T, addr netip.AddrPort) *callFixture {
	t.Helper()
	loop := startLoop(t)
	options := &upstream.Options{
		Limits:         http1.Limits{Line: 1000, Headers: 4000, Fields: 20, Body: 1 << 20},
		ConnectTimeout: never,
		IdleTimeout:    never,
		MaxPerEngine:   1,
	}
	pool := &upstream.Pool{Loop: loop.Loop, Options: options, Budget: &upstream.Budget{}, Addr: addr}
	return &callFixture{t: t, loop: loop, pool: pool, results: make(chan CallResult, 10)}
}

// startEngine listens on loopback and hands the first connection to serve.
func startEngine(t *testing.T, serve func(*net.TCPConn)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		if conn, err := listener.Accept(); err == nil {
			serve(conn.(*net.TCPConn))
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		<-served
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// refusingAddress returns an address of this machine that refuses connections until the test ends.
func refusingAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	loopback := [4]byte{127, 0, 0, 1}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: loopback}); err != nil { // bound, so no one else listens there
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(loopback), uint16(name.(*unix.SockaddrInet4).Port))
}

// call makes a call and returns its result, having checked that no second one came with it.
func (f *callFixture) call(timeout time.Duration, body []byte) CallResult {
	f.t.Helper()
	head := http1.AppendField(http1.AppendRequest(nil, http.MethodPost, "/"), "Host", "engine")
	call := Call{
		Head:    http1.AppendContentLength(head, len(body)),
		Body:    body,
		Timeout: timeout,
		OnDone:  func(result CallResult) { f.results <- result },
	}
	f.loop.run(func() { call.Start(f.pool) })
	result := <-f.results
	f.loop.runIteration(func() {})
	if len(f.results) != 0 {
		f.t.Errorf("the call ended again: %+v", <-f.results)
	}
	return result
}

// expectLeft checks which connections and timers are left.
func (f *callFixture) expectLeft(open, idle, timers int) {
	f.t.Helper()
	f.loop.run(func() {
		if f.pool.Open() != open || f.pool.Idle() != idle || f.loop.RunningTimers() != timers {
			f.t.Errorf("left are %d connections, %d of them idle, and %d timers; want %d, %d, %d",
				f.pool.Open(), f.pool.Idle(), f.loop.RunningTimers(), open, idle, timers)
		}
	})
}

// readRequest reads a request with its body.
func readRequest(t *testing.T, reader *bufio.Reader) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		t.Error(err)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		t.Error(err)
	}
}

// unsendableBody returns more bytes than the system takes for a peer that does not read.
func unsendableBody() []byte { return make([]byte, 64<<20) }

// TestCallEndsWithWholeResponse: the status comes with the result, the head with OnHead, and the
// connection is kept for the next call.
func TestCallEndsWithWholeResponse(t *testing.T) {
	f := newCallFixture(t, startEngine(t, func(conn *net.TCPConn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for range 2 {
			readRequest(t, reader)
			io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nLoad: 3\r\nContent-Length: 4\r\n\r\nbusy")
		}
		io.Copy(io.Discard, conn) // until the test ends the connection
	}))
	want := CallResult{Outcome: CallResponded, Status: http.StatusServiceUnavailable}
	if got := f.call(never, []byte("ids")); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	f.expectLeft(1, 1, 1) // the timer closes the idle connection
	var load string
	f.loop.run(func() {
		Call{
			Head:    []byte("GET / HTTP/1.1\r\nHost: engine\r\n\r\n"),
			Timeout: never,
			OnHead:  func(head *http1.Head) { load = string(head.Get("load")) },
			OnDone:  func(result CallResult) { f.results <- result },
		}.Start(f.pool)
	})
	if got := <-f.results; got != want || load != "3" {
		t.Errorf("%+v with load %q, want %+v with 3", got, load, want)
	}
	f.loop.run(func() {
		if f.pool.ConnsMade() != 1 {
			t.Errorf("%d connections were made, want 1", f.pool.ConnsMade())
		}
	})
}

// TestCallEndsWithBreak: a break is told with how far the call had come, and leaves nothing.
func TestCallEndsWithBreak(t *testing.T) {
	for _, c := range []struct {
		name   string
		body   []byte
		engine func(*net.TCPConn) // nil refuses connections
		want   CallResult
	}{
		{
			name: "connection refused",
			want: CallResult{Outcome: CallBroken},
		},
		{
			name: "reset before it was written",
			body: unsendableBody(),
			engine: func(conn *net.TCPConn) {
				if _, err := conn.Read(make([]byte, 1)); err != nil {
					t.Error(err)
				}
				conn.SetLinger(0)
				conn.Close()
			},
			want: CallResult{Outcome: CallBroken, Break: upstream.Break{Established: true}},
		},
		{
			name: "closed after it was written",
			engine: func(conn *net.TCPConn) {
				readRequest(t, bufio.NewReader(conn))
				conn.Close()
			},
			want: CallResult{Outcome: CallBroken, Break: upstream.Break{Established: true, Written: true}},
		},
		{
			name: "closed within the response",
			engine: func(conn *net.TCPConn) {
				readRequest(t, bufio.NewReader(conn))
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok")
				conn.Close()
			},
			want: CallResult{
				Outcome: CallBroken,
				Status:  http.StatusOK,
				Break:   upstream.Break{Established: true, Written: true},
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := refusingAddress(t)
			if c.engine != nil {
				addr = startEngine(t, c.engine)
			}
			f := newCallFixture(t, addr)
			if got := f.call(never, c.body); got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
			f.expectLeft(0, 0, 0)
		})
	}
}

// TestCallTimesOutBeforeItWasWritten: the engine reads nothing, so the body's end never leaves.
func TestCallTimesOutBeforeItWasWritten(t *testing.T) {
	testEnds := make(chan struct{})
	addr := startEngine(t, func(conn *net.TCPConn) {
		<-testEnds
		conn.Close()
	})
	defer close(testEnds)
	f := newCallFixture(t, addr)
	want := CallResult{Outcome: CallTimedOut}
	if got := f.call(time.Millisecond, unsendableBody()); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	f.expectLeft(0, 0, 0)
}

// TestCallTimesOutAfterItWasWritten: on a connection from an earlier call, the request leaves in
// the iteration that starts the timer, so that the time-out comes after it on any machine.
func TestCallTimesOutAfterItWasWritten(t *testing.T) {
	f := newCallFixture(t, startEngine(t, func(conn *net.TCPConn) {
		defer conn.Close()
		readRequest(t, bufio.NewReader(conn))
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		io.Copy(io.Discard, conn) // the next request, without a response
	}))
	want := CallResult{Outcome: CallResponded, Status: http.StatusOK}
	if got := f.call(never, nil); got != want {
		t.Fatalf("%+v, want %+v", got, want)
	}
	want = CallResult{Outcome: CallTimedOut, WrittenBeforeTimeout: true}
	if got := f.call(time.Millisecond, []byte("ids")); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	f.expectLeft(0, 0, 0)
}

// TestCallWithoutConnectionEndsWithinStart: the pool may make none.
func TestCallWithoutConnectionEndsWithinStart(t *testing.T) {
	f := newCallFixture(t, refusingAddress(t))
	f.pool.Options.MaxPerEngine = 0
	f.loop.run(func() {
		Call{Timeout: never, OnDone: func(result CallResult) { f.results <- result }}.Start(f.pool)
		if len(f.results) != 1 {
			t.Errorf("%d results when Start has returned, want 1", len(f.results))
		}
	})
	if got := <-f.results; got != (CallResult{Outcome: CallNoConnection}) {
		t.Errorf("%+v, want CallNoConnection", got)
	}
	f.expectLeft(0, 0, 0)
}

// TestCallEndsOnceWhateverFollows: after its first end, a call tells no other.
func TestCallEndsOnceWhateverFollows(t *testing.T) {
	ends := map[string]func(*runningCall){
		"response": (*runningCall).End,
		"break":    func(c *runningCall) { c.Broken(upstream.Break{}) },
		"time-out": (*runningCall).handleTimeout,
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			f := newCallFixture(t, refusingAddress(t))
			f.loop.run(func() {
				call := &runningCall{pool: f.pool}
				call.OnDone = func(result CallResult) { f.results <- result }
				end(call)
				for _, again := range ends {
					again(call)
				}
			})
			if len(f.results) != 1 {
				t.Errorf("%d results, want 1", len(f.results))
			}
		})
	}
}
