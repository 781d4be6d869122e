package control_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"martenlock/control"
	"martenlock/control/kvrelease"
	"martenlock/control/membership"
	"martenlock/internal/proptest"
)

func init() { proptest.SetDefault("rapid.checks", "1500") }

const (
	listedEngines = 8 // initially; their roles alternate
	tick          = 50 * time.Millisecond
	maxCalls      = 24 // limit of kvrelease for calls in flight
)

// stateMachine passes random events to control, membership and kvrelease, and checks the resulting actions
// against a model of the requests and the engines.
type stateMachine struct {
	t        *rapid.T
	now      control.Time
	settings control.Settings
	router   *control.Router
	view     membership.View
	releases *kvrelease.Scheduler
	calls    []kvrelease.Call // in flight
	revision uint64
	lastID   control.RequestID
	listed   map[control.EndpointID]membership.Endpoint   // current endpoint list of service discovery
	notified map[control.EndpointID]control.EndpointState // latest states that were passed to the router
	requests map[control.RequestID]*modelRequest
}

// newStateMachine returns a stateMachine with random settings. Its router knows all engines.
func newStateMachine(t *rapid.T) *stateMachine {
	t.Helper()
	m := &stateMachine{
		t:        t,
		now:      control.Time(time.Hour.Microseconds()),
		settings: drawSettings(t),
		listed:   map[control.EndpointID]membership.Endpoint{},
		notified: map[control.EndpointID]control.EndpointState{},
		requests: map[control.RequestID]*modelRequest{},
	}
	m.router = control.New(m.settings, m.now)
	m.releases = kvrelease.NewScheduler(m.settings.Limits.KVRetentionLimit)
	for id := control.EndpointID(1); id <= listedEngines; id++ {
		m.listed[id] = m.listEntry(id)
	}
	m.revision = 1
	m.apply(membership.Update{Revision: m.revision, Full: true, Endpoints: m.listedEndpoints()})
	return m
}

// handle passes events to the router, and checks and carries out its actions.
func (m *stateMachine) handle(events ...control.Event) {
	for _, action := range m.router.Handle(m.now, events) {
		switch action := action.(type) {
		case control.Forward:
			m.forward(action)
		case control.Reject:
			request := m.finish(action.ID)
			if !request.mayBeRejected(action, m.now) {
				m.t.Fatalf("request %d rejected though it may have been executed and a repeat may be too late", action.ID)
			}
		case control.Fail:
			m.finish(action.ID)
		case control.ReleaseKV:
			m.releaseKV(action)
		case control.CancelAttempt:
			m.cancelAttempt(action)
		}
	}
}

// finish records a final answer. It checks that the request needs one and that the answer is not late.
func (m *stateMachine) finish(id control.RequestID) *modelRequest {
	request := m.requests[id]
	if request == nil || request.answered || request.clientGone || request.attemptInFlight {
		m.t.Fatalf("unexpected final answer for request %d: %+v", id, request)
	}
	if m.now > request.Deadline.Add(m.settings.Limits.AnswerGrace+tick) {
		m.t.Fatalf("final answer for request %d comes %v after its deadline", id, m.now.Sub(request.Deadline))
	}
	request.answered = true
	return request
}

// forward records an attempt and checks that it is allowed.
func (m *stateMachine) forward(action control.Forward) {
	request := m.requests[action.ID]
	role := m.role(action.Endpoint)
	switch {
	case request == nil || request.needsNoAttempt():
		m.t.Fatalf("request %d forwarded although it needs no attempt: %+v", action.ID, request)
	case request.attemptInFlight:
		m.t.Fatalf("request %d has two attempts in flight", action.ID)
	case m.notified[action.Endpoint] != control.Ready:
		m.t.Fatalf("request %d forwarded to endpoint %d, which is not ready", action.ID, action.Endpoint)
	case request.attempts >= m.settings.Limits.MaxAttempts:
		m.t.Fatalf("request %d forwarded after all %d permitted attempts", action.ID, request.attempts)
	case m.now >= request.Deadline:
		m.t.Fatalf("request %d forwarded after its deadline", action.ID)
	}
	target, _ := m.view.Get(action.Endpoint)
	if role != control.RolePrefill && !request.mayRepeatAt(target.Endpoint, m.now) {
		m.t.Fatalf("request %d may be executed twice, its class is %v", action.ID, request.class.Idempotency)
	}
	request.attemptInFlight, request.endpoint, request.sentAt = true, action.Endpoint, m.now
	if role == control.RoleDecode && m.releases.Withdraw(fmt.Sprint(action.ID)) {
		request.retained = true
		request.releaseAskedAt = 0
	}
	// If a release is pending, the attempt waits for it. The model does not send such an attempt later, so it
	// never arrives.
	isDeferred := m.releases.IsPending(fmt.Sprint(action.ID))
	request.arrived = !isDeferred && rapid.IntRange(0, 3).Draw(m.t, "arrives") > 0
	request.attempts++
}

// releaseKV enqueues a release if an engine may retain KV state.
func (m *stateMachine) releaseKV(action control.ReleaseKV) {
	request := m.requests[action.ID]
	if request == nil || !request.retained {
		return
	}
	m.releases.Enqueue(m.now, fmt.Sprint(action.ID))
	if request.hasUnusedKV() && request.releaseAskedAt == 0 {
		request.releaseAskedAt = m.now
	}
}

// cancelAttempt ends an attempt, unless its answer has begun.
func (m *stateMachine) cancelAttempt(action control.CancelAttempt) {
	request := m.requests[action.ID]
	if request.attemptInFlight && !request.hasFirstToken && request.latestAttempt() == action.Attempt {
		m.endAttempt(request, control.Cancelled)
	}
}

// endAttempt ends an attempt and reports its outcome to the router.
func (m *stateMachine) endAttempt(request *modelRequest, drawn control.Result) {
	role := m.role(request.endpoint)
	result := request.possibleResult(drawn, role)
	isFinal := request.hasFirstToken || request.clientGone || result == control.OK
	request.endAttempt(result, role, m.listed[request.endpoint].Endpoint, m.now)
	m.handle(control.Outcome{
		ID: request.ID, Attempt: request.latestAttempt(), Endpoint: request.endpoint,
		Result: result, Elapsed: m.now.Sub(request.sentAt), Final: isFinal,
	})
	if isFinal && request.retained {
		m.releases.Enqueue(m.now, fmt.Sprint(request.ID))
	}
}

// endAllAttempts ends every attempt in flight as if its connection was lost.
func (m *stateMachine) endAllAttempts() {
	for _, id := range m.requestIDs() {
		if request := m.requests[id]; request.attemptInFlight {
			m.endAttempt(request, control.Reset)
		}
	}
}

// startAnswer reports to the router that the answer of an attempt has begun.
func (m *stateMachine) startAnswer(request *modelRequest) {
	request.hasFirstToken = true
	m.handle(control.AnswerStarted{
		ID: request.ID, Endpoint: request.endpoint, Attempt: request.latestAttempt(), Elapsed: m.now.Sub(request.sentAt),
	})
}

// checkRetention checks that each unused KV state was released within the retention limit.
func (m *stateMachine) checkRetention() {
	limit := m.settings.Limits.KVRetentionLimit
	if !m.settings.Caller.ReleaseSparesAttempts || limit <= 0 {
		return
	}
	for _, id := range m.requestIDs() {
		request := m.requests[id]
		if age := m.now.Sub(request.unusedSince); request.hasUnusedKV() && request.releaseAskedAt == 0 && age > limit {
			m.t.Fatalf("request %d: KV state retained for %v without a ReleaseKV: %+v", id, age, request)
		}
	}
}

// apply applies a service discovery message and passes the change to the router.
func (m *stateMachine) apply(update membership.Update) {
	change, err := m.view.Apply(m.now, update)
	if err != nil {
		m.t.Fatal(err)
	}
	m.notify(change)
}

// notify passes a change of the endpoint list to the router and the release scheduler.
func (m *stateMachine) notify(change membership.Change) {
	if change.IsEmpty() {
		return
	}
	update := change.EndpointUpdate
	listed := map[control.EndpointID]bool{}
	for _, entry := range update.Endpoints {
		m.notified[entry.ID], listed[entry.ID] = entry.State, true
	}
	for id := range m.notified {
		if update.Full && !listed[id] {
			m.notified[id] = control.Gone
		}
	}
	m.handle(update)
	var ready []control.EndpointID
	for id, state := range m.notified {
		if state == control.Ready {
			ready = append(ready, id)
		}
	}
	m.releases.SetEndpoints(ready)
}

// advance advances the clock by a duration, in steps of at most a tick.
func (m *stateMachine) advance(duration time.Duration) {
	for ; duration > tick; duration -= tick {
		m.step(tick)
	}
	m.step(duration)
}

// step advances the clock, times out attempts and passes a Timer event to the router.
func (m *stateMachine) step(duration time.Duration) {
	m.now = m.now.Add(duration)
	m.notify(m.view.Poll(m.now))
	for _, id := range m.requestIDs() {
		if request := m.requests[id]; request.attemptInFlight && !request.hasFirstToken && m.now >= request.Deadline {
			m.endAttempt(request, control.TimedOut)
		}
	}
	m.handle(control.Timer{})
	m.checkRetention()
	m.calls = append(m.calls, m.releases.Poll(m.now)...)
}

// completeCalls completes all calls in flight.
func (m *stateMachine) completeCalls() {
	for _, call := range m.calls {
		m.releases.Complete(m.now, call, true)
	}
	m.calls = nil
}

// arrive passes a new request of a class to the router. timeout is the time until its deadline.
func (m *stateMachine) arrive(class int, timeout time.Duration) {
	m.lastID++
	request := &modelRequest{class: &m.settings.Classes[class], arrivedAt: m.now, Request: control.Request{
		ID: m.lastID, Class: class, Deadline: m.now.Add(timeout), PromptTokens: 1000, MaxTokens: 100,
		SessionID:  uint64(rapid.IntRange(0, 5).Draw(m.t, "session")),
		PrefixHash: uint64(rapid.IntRange(0, 3).Draw(m.t, "prefix")),
	}}
	m.requests[request.ID] = request
	m.handle(request.Request)
}

// drawRequest draws one of the requests that match. If there is none, it skips the event.
func (m *stateMachine) drawRequest(matches func(*modelRequest) bool) *modelRequest {
	ids := slices.DeleteFunc(m.requestIDs(), func(id control.RequestID) bool { return !matches(m.requests[id]) })
	if len(ids) == 0 {
		m.t.Skip("none")
	}
	return m.requests[rapid.SampledFrom(ids).Draw(m.t, "request")]
}

// requestIDs returns the ids of all requests in ascending order.
func (m *stateMachine) requestIDs() []control.RequestID { return slices.Sorted(maps.Keys(m.requests)) }

// role returns the role of a listed engine.
func (m *stateMachine) role(id control.EndpointID) control.Role {
	return m.settings.Engines.Kinds[m.listed[id].Kind].Role
}

// drawEntry returns the endpoint list entry of a random engine.
func (m *stateMachine) drawEntry() membership.Endpoint {
	return m.listEntry(control.EndpointID(rapid.IntRange(1, listedEngines).Draw(m.t, "endpoint")))
}

// listEntry returns the endpoint list entry of an engine. An engine that is not listed yet is ready.
func (m *stateMachine) listEntry(id control.EndpointID) membership.Endpoint {
	state, startedAt := control.Ready, control.Time(0)
	if listed, ok := m.listed[id]; ok {
		state, startedAt = listed.State, listed.StartedAt
	}
	return membership.Endpoint{Addr: engineAddr, Endpoint: control.Endpoint{
		ID: id, Kind: int(id) % 3, Cell: uint16(id % 2), Zone: uint16(id % 4 / 2), Weight: 1, StartedAt: startedAt, State: state,
	}}
}

// engineAddr is the address of every engine. The test never connects to it.
var engineAddr = netip.MustParseAddrPort("127.0.0.1:80")

// listedEndpoints returns the engines that are listed and not gone.
func (m *stateMachine) listedEndpoints() (list []membership.Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(m.listed)) {
		if m.listed[id].State != control.Gone {
			list = append(list, m.listed[id])
		}
	}
	return list
}

// changeEndpoint sends an update of a random engine, whose state changes and which may have restarted.
func (m *stateMachine) changeEndpoint() {
	entry := m.drawEntry()
	entry.State = control.EndpointState(rapid.IntRange(0, 2).Draw(m.t, "state"))
	if entry.State == control.Ready && rapid.Bool().Draw(m.t, "started anew") {
		entry.StartedAt = m.now
	}
	m.listed[entry.ID] = entry
	m.revision++
	m.apply(membership.Update{Revision: m.revision, Endpoints: []membership.Endpoint{entry}})
}

// replayOldUpdate sends a service discovery message with an old revision.
func (m *stateMachine) replayOldUpdate() {
	age := uint64(rapid.IntRange(1, 3).Draw(m.t, "revisions back"))
	m.apply(membership.Update{
		Revision:  m.revision - min(m.revision, age),
		Full:      rapid.Bool().Draw(m.t, "full"),
		Endpoints: []membership.Endpoint{m.drawEntry()},
	})
}

// TestUnusedKVStateIsReleasedWithinTheLimit: the router releases each unused KV state within the retention
// limit, although attempts end at random times with random results. Many never reach an engine, and the
// router can't observe this.
func TestUnusedKVStateIsReleasedWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(t)
		for range rapid.IntRange(1, 4).Draw(t, "requests") {
			m.arrive(rapid.IntRange(0, 4).Draw(t, "class"), 3*time.Second)
		}
		for range 60 {
			m.step(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			for _, id := range m.requestIDs() {
				request := m.requests[id]
				isPrefill := request.attemptInFlight && m.role(request.endpoint) == control.RolePrefill
				isDue := rapid.IntRange(0, 9).Draw(t, "due") == 0 || isPrefill && rapid.Bool().Draw(t, "prefill is due")
				if !request.attemptInFlight || !isDue {
					continue
				}
				result := control.PrefillDone
				if !isPrefill || rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
					result = drawResult(t)
				}
				m.endAttempt(request, result)
			}
		}
	})
}

// TestInvariantsHoldForRandomEvents passes random events to the modules, whose actions the stateMachine
// checks. At the end every request must have exactly one final answer or have lost its client, and every
// table must be empty.
func TestInvariantsHoldForRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"change endpoint": func(*rapid.T) { m.changeEndpoint() },
			"client leaves": func(*rapid.T) {
				request := m.drawRequest(func(request *modelRequest) bool { return !request.answered && !request.clientGone })
				request.clientGone = true
				m.handle(control.ClientGone{ID: request.ID})
			},
			"complete a release": func(t *rapid.T) {
				if len(m.calls) == 0 {
					t.Skip("none")
				}
				call := m.calls[0]
				m.calls = m.calls[1:]
				m.releases.Complete(m.now, call, rapid.Bool().Draw(t, "ok"))
			},
			"old update": func(*rapid.T) { m.replayOldUpdate() },
			"outcome": func(t *rapid.T) {
				request := m.drawRequest(func(request *modelRequest) bool { return request.attemptInFlight })
				result := drawResult(t)
				if request.hasFirstToken && result != control.OK {
					result = control.Reset
				}
				m.endAttempt(request, result)
			},
			"request": func(t *rapid.T) {
				class := rapid.IntRange(0, 4).Draw(t, "class")
				m.arrive(class, time.Duration(rapid.IntRange(20, 3000).Draw(t, "timeout ms"))*time.Millisecond)
			},
			"start of an answer": func(*rapid.T) {
				m.startAnswer(m.drawRequest(func(request *modelRequest) bool {
					waits := request.attemptInFlight && !request.hasFirstToken && !request.clientGone
					return waits && request.arrived && m.role(request.endpoint) != control.RolePrefill
				}))
			},
			"time": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"whole list": func(*rapid.T) {
				m.revision++
				m.apply(membership.Update{Revision: m.revision, Full: true, Endpoints: m.listedEndpoints()})
			},
			"": func(t *rapid.T) {
				if n := len(m.calls); n > maxCalls {
					t.Fatalf("%d release calls in flight, want at most %d", n, maxCalls)
				}
			},
		})
		m.checkDrained()
	})
}

// checkDrained ends all attempts and release calls in flight. It then checks that every request has its final
// answer or lost its client, and that no module keeps an entry.
func (m *stateMachine) checkDrained() {
	m.endAllAttempts()
	for range 80 {
		m.advance(tick)
		m.endAllAttempts()
	}
	for _, request := range m.requests {
		if !request.answered && !request.clientGone {
			m.t.Fatalf("request %d has no final answer", request.ID)
		}
	}
	only := membership.Endpoint{Addr: engineAddr, Endpoint: control.Endpoint{ID: 9, State: control.Ready, Weight: 1}}
	m.apply(membership.Update{Revision: m.revision + 1, Full: true, Endpoints: []membership.Endpoint{only}})
	for range 70 {
		m.advance(time.Second)
		m.completeCalls()
	}
	if n := m.router.EntryCount(); n != 0 || m.releases.Len() != 0 {
		m.t.Fatalf("%d router entries and %d KV releases remain", n, m.releases.Len())
	}
}
