package decisionloop

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"martenlock/control"
	"martenlock/internal/eventloop/eventlooptest"
	"martenlock/internal/timerwheel"
)

// recordedExchange records actions in the mailbox instead of executing them.
type recordedExchange struct {
	id      control.RequestID
	mailbox *testMailbox
}

func (e *recordedExchange) Forward(action control.Forward) {
	e.mailbox.record(action)
	if e.mailbox.onForward != nil {
		e.mailbox.onForward(action)
	}
}

func (e *recordedExchange) Reject(action control.Reject)       { e.mailbox.record(action) }
func (e *recordedExchange) Fail(action control.Fail)           { e.mailbox.record(action) }
func (e *recordedExchange) ReleaseKV(action control.ReleaseKV) { e.mailbox.record(action) }
func (e *recordedExchange) CancelAttempt(number control.AttemptNumber) {
	e.mailbox.record(control.CancelAttempt{ID: e.id, Attempt: number})
}

// testMailbox is a mailbox that records the executed actions. The module's timers are disabled.
type testMailbox struct {
	Mailbox[*recordedExchange]
	loop        eventlooptest.Loop
	actions     []control.Action
	polls       int // calls of AfterPoll
	moduleCalls int // calls of the module
	onForward   func(control.Forward)
}

func (m *testMailbox) record(action control.Action) { m.actions = append(m.actions, action) }

// moduleStart is the time on the module's clock in all tests.
const moduleStart = control.Time(1e6)

// newRouter returns a decision module for colocated engines and one class.
func newRouter() *control.Router {
	return control.New(control.Settings{
		Identity: control.RouterIdentity{Routers: 1},
		Engines:  control.EngineSettings{Kinds: []control.EngineKind{{Role: control.RoleColocated}}},
		Limits:   control.Limits{MaxAttempts: 3},
		Classes:  []control.Class{{TTFTObjective: time.Second, Deadline: time.Minute, PriorityWeight: 1}},
	}, moduleStart)
}

// newTestMailbox returns a mailbox with an exchange for each of the given requests.
func newTestMailbox(t *testing.T, ids ...control.RequestID) *testMailbox {
	t.Helper()
	loop := eventlooptest.Start(t)
	m := &testMailbox{loop: loop}
	m.Mailbox = Mailbox[*recordedExchange]{
		Loop:        loop.Loop,
		Router:      newRouter(),
		Exchanges:   map[control.RequestID]*recordedExchange{},
		Logger:      zerolog.Nop(),
		Now:         func() control.Time { m.moduleCalls++; return moduleStart },
		CheckHealth: func(id control.EndpointID) { m.record(control.HealthCheck{Endpoint: id}) },
		AfterPoll:   func() { m.polls++ },
	}
	m.DisableTimers()
	for _, id := range ids {
		m.Exchanges[id] = &recordedExchange{id: id, mailbox: m}
	}
	return m
}

// oneEngine returns an endpoint list with one engine.
func oneEngine() control.EndpointUpdate {
	return control.EndpointUpdate{Full: true, Endpoints: []control.Endpoint{{ID: 1, State: control.Ready, Weight: 1}}}
}

// newRequest returns a request that is small enough for the engine of oneEngine.
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

// expectForwarded checks which requests were forwarded, in order, and clears the recorded actions.
func (m *testMailbox) expectForwarded(t *testing.T, want ...control.RequestID) {
	t.Helper()
	if got := m.forwardedIDs(); !slices.Equal(got, want) {
		t.Errorf("requests %v were forwarded, want %v", got, want)
	}
	m.actions = nil
}

// TestEventsOfOneIterationReachModuleTogetherInOrder: the events of one iteration are passed to the
// module in one call and in the order of Push. The expected actions are those of a second module that
// gets the events directly. Another order of the events would change the actions: the engine is listed
// before the requests arrive, and a client leaves after its request.
func TestEventsOfOneIterationReachModuleTogetherInOrder(t *testing.T) {
	m := newTestMailbox(t, 1, 2, 3, 4)
	events := []control.Event{
		oneEngine(), newRequest(1), newRequest(2), newRequest(3), control.ClientGone{ID: 2}, newRequest(4),
	}
	m.loop.DoIteration(func() {
		for _, event := range events {
			m.Push(event)
		}
		if m.Len() != len(events) || m.moduleCalls != 0 {
			t.Errorf("%d events wait and the module was called %d times before the iteration's end, want %d and 0", m.Len(), m.moduleCalls, len(events))
		}
	})
	if m.moduleCalls != 1 || m.polls != 1 || m.Len() != 0 {
		t.Errorf("module called %d times, %d polls, %d events left; want 1, 1, 0", m.moduleCalls, m.polls, m.Len())
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

// TestPollWithoutEventsDoesNotCallModule: without events, a poll calls only AfterPoll. Several calls of
// SchedulePoll in one iteration cause one poll.
func TestPollWithoutEventsDoesNotCallModule(t *testing.T) {
	m := newTestMailbox(t)
	for range 2 {
		m.loop.DoIteration(func() {
			m.SchedulePoll()
			m.SchedulePoll()
		})
	}
	if m.moduleCalls != 0 || m.polls != 2 {
		t.Errorf("module called %d times in %d polls; want 0 in 2", m.moduleCalls, m.polls)
	}
}

// TestEventPushedByActionWaitsForNextPoll: an event that is pushed while actions are executed is passed
// to the module in the next poll, not in the same one, and is not lost.
func TestEventPushedByActionWaitsForNextPoll(t *testing.T) {
	m := newTestMailbox(t, 1, 2)
	var lenAfterPush int
	m.onForward = func(action control.Forward) {
		if action.ID == 1 {
			m.Push(newRequest(2))
			lenAfterPush = m.Len()
		}
	}
	m.loop.DoIteration(func() {
		m.Push(oneEngine())
		m.Push(newRequest(1))
	})
	m.expectForwarded(t, 1, 2)
	if lenAfterPush != 1 || m.moduleCalls != 2 || m.polls != 2 {
		t.Errorf("%d events waited, module called %d times in %d polls; want 1, 2, 2", lenAfterPush, m.moduleCalls, m.polls)
	}
}

// TestBuffersReusedWithoutOldEvents: polls alternate between two buffers, which keep no handled event.
func TestBuffersReusedWithoutOldEvents(t *testing.T) {
	m := newTestMailbox(t, 1, 2, 3)
	m.loop.Do(func() {
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
				t.Errorf("poll %d: events are not collected in the expected buffer", i)
			}
			for _, event := range batch {
				m.Push(event)
			}
			if m.Len() != len(batch) {
				t.Errorf("poll %d: %d events wait, want %d", i, m.Len(), len(batch))
			}
			m.Poll()
			if kept := slices.ContainsFunc(slices.Concat(buffers...), func(e control.Event) bool { return e != nil }); kept {
				t.Errorf("poll %d: a buffer keeps handled events", i)
			}
		}
	})
	m.expectForwarded(t, 1, 2, 3)
}

// TestActionReachesItsExchangeUnlessEnded: each action is passed unchanged to the exchange with its ID.
// An action for an exchange that no longer exists is ignored.
func TestActionReachesItsExchangeUnlessEnded(t *testing.T) {
	for _, action := range []control.Action{
		control.Forward{ID: 1, Endpoint: 5, Timeout: time.Second},
		control.Reject{ID: 1, RetryAfter: 3 * time.Second, Reason: control.FinishedAtDeadline},
		control.Fail{ID: 1, Reason: control.FinishedNotRepeatable},
		control.ReleaseKV{ID: 1, Reason: control.ReleasedAtFinish},
		control.CancelAttempt{ID: 1, Attempt: 2},
	} {
		t.Run(strings.TrimPrefix(fmt.Sprintf("%T", action), "control."), func(t *testing.T) {
			m := newTestMailbox(t, 1)
			m.loop.Do(func() { m.execute(action) })
			if want := []control.Action{action}; !slices.Equal(m.actions, want) {
				t.Errorf("executed %v, want %v", m.actions, want)
			}
			m.actions = nil
			m.loop.Do(func() {
				delete(m.Exchanges, 1)
				m.execute(action) // a call on a nil exchange would panic
			})
			if len(m.actions) != 0 {
				t.Errorf("executed %v for an exchange that has ended", m.actions)
			}
		})
	}
}

// TestHealthCheckAndLogNeedNoExchange: health check and log actions concern an endpoint, not a request.
func TestHealthCheckAndLogNeedNoExchange(t *testing.T) {
	m := newTestMailbox(t)
	var lines bytes.Buffer
	m.Logger = zerolog.New(&lines)
	m.loop.Do(func() {
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

// TestTimerPushesItsTokenUnlessDisabled: a timer of the module pushes an event with its token, unless
// DisableTimers was called. A later timer of the test reads the pushed events.
func TestTimerPushesItsTokenUnlessDisabled(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		m := newTestMailbox(t)
		m.timersDisabled = false
		pushed := make(chan []control.Event, 1)
		m.loop.Do(func() {
			m.pollScheduled = true // prevents a poll, which would take the event out of the mailbox
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
