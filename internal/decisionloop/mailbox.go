// Package decisionloop runs the decision module (package control) on an event loop. Its Mailbox collects the events
// of one iteration, passes them to the module together, and executes the actions that the module returns. Servers
// implement the Exchange interface to execute the actions that concern a request's connections.
package decisionloop

import (
	"strconv"

	"github.com/rs/zerolog"

	"martenlock/control"
	"martenlock/internal/eventloop"
	"martenlock/internal/timerwheel"
)

// Exchange is a server's state of a request that was passed to the module. Each method executes the action of the same
// name.
type Exchange interface {
	// Forward starts an attempt.
	Forward(action control.Forward)
	// Reject tells the client that it may safely retry the request, and after how long.
	Reject(action control.Reject)
	// Fail tells the client that the request may have been executed.
	Fail(action control.Fail)
	// ReleaseKV asks engines to release the KV state that they may retain for the request.
	ReleaseKV(action control.ReleaseKV)
	// CancelAttempt ends an attempt, unless its response is being streamed to the client.
	CancelAttempt(number control.AttemptNumber)
}

// Mailbox collects events for a decision module. At the end of each iteration of the event loop it
// passes them to the module and executes the module's actions. All methods must be called on the
// loop. The owner sets the exported fields before the first call.
type Mailbox[X Exchange] struct {
	Loop      *eventloop.Loop
	Router    *control.Router
	Exchanges map[control.RequestID]X // owned by the server; actions for other requests are ignored
	Logger    zerolog.Logger          // for control.Log actions

	Now         func() control.Time         // returns the time on the module's clock
	CheckHealth func(id control.EndpointID) // starts a health check, which pushes a control.HealthCheckResult
	AfterPoll   func()                      // is called at the end of each poll

	// EndpointName returns an endpoint's name for log lines, or "" if the endpoint is unknown. If the
	// field is nil, log lines have no name.
	EndpointName func(id control.EndpointID) string

	events         []control.Event
	spare          []control.Event // an empty buffer that replaces events during a poll
	pollScheduled  bool            // Poll runs at the end of this iteration
	timersDisabled bool            // set by DisableTimers
}

// Len returns the number of events that wait for the next poll.
func (m *Mailbox[X]) Len() int { return len(m.events) }

// Push adds an event. The module gets it at the end of this iteration, together with the iteration's
// other events. An event that is pushed while actions are executed is handled in the next poll.
func (m *Mailbox[X]) Push(event control.Event) {
	m.events = append(m.events, event)
	m.SchedulePoll()
}

// SchedulePoll makes Poll run at the end of this iteration. Several calls in an iteration cause one poll.
func (m *Mailbox[X]) SchedulePoll() {
	if m.pollScheduled {
		return
	}
	m.pollScheduled = true
	m.Loop.Defer(m.Poll)
}

// DisableTimers makes the module's timers do nothing from now on. It is called when the module is no
// longer used, because its running timers are not stopped and would still push events.
func (m *Mailbox[X]) DisableTimers() { m.timersDisabled = true }

// Poll passes the collected events to the module, executes its actions, and then calls AfterPoll. If
// there are no events, it does not call the module. Servers call SchedulePoll instead; tests may call
// Poll directly.
func (m *Mailbox[X]) Poll() {
	m.pollScheduled = false
	events := m.takeEvents()
	if len(events) > 0 {
		for _, action := range m.Router.Handle(m.Now(), events) {
			m.execute(action)
		}
	}
	m.recycleBuffer(events)
	m.AfterPoll()
}

// takeEvents empties the mailbox. Events pushed from now on go to the spare buffer.
func (m *Mailbox[X]) takeEvents() []control.Event {
	events := m.events
	m.events = m.spare[:0]
	m.spare = nil
	return events
}

// recycleBuffer clears the buffer of handled events and keeps it as the spare buffer.
func (m *Mailbox[X]) recycleBuffer(events []control.Event) {
	clear(events)
	m.spare = events[:0]
}

// execute executes one action. It ignores an action for an exchange that no longer exists: the module may
// return one before it handles the event that ends the exchange. It also ignores
// control.SubscribeEndpoints, because servers push endpoint updates without being asked.
func (m *Mailbox[X]) execute(action control.Action) {
	switch action := action.(type) {
	case control.Forward:
		if exchange, isOpen := m.Exchanges[action.ID]; isOpen {
			exchange.Forward(action)
		}
	case control.Reject:
		if exchange, isOpen := m.Exchanges[action.ID]; isOpen {
			exchange.Reject(action)
		}
	case control.Fail:
		if exchange, isOpen := m.Exchanges[action.ID]; isOpen {
			exchange.Fail(action)
		}
	case control.ReleaseKV:
		if exchange, isOpen := m.Exchanges[action.ID]; isOpen {
			exchange.ReleaseKV(action)
		}
	case control.CancelAttempt:
		if exchange, isOpen := m.Exchanges[action.ID]; isOpen {
			exchange.CancelAttempt(action.Attempt)
		}
	case control.SetTimer:
		m.startTimer(action)
	case control.HealthCheck:
		m.CheckHealth(action.Endpoint)
	case control.Log:
		m.logDecision(action)
	}
}

// startTimer starts a timer that pushes a control.Timer event.
func (m *Mailbox[X]) startTimer(action control.SetTimer) {
	timer := &timerwheel.Timer{}
	timer.Fire = func() {
		if !m.timersDisabled {
			m.Push(control.Timer{Token: action.Token})
		}
	}
	m.Loop.StartTimer(timer, action.After)
}

func (m *Mailbox[X]) logDecision(entry control.Log) {
	line := m.Logger.Info().Str("endpoint", strconv.FormatUint(uint64(entry.Endpoint), 16))
	if m.EndpointName != nil {
		line = line.Str("endpoint_name", m.EndpointName(entry.Endpoint))
	}
	line.Stringer("reason", entry.Reason).Msg(entry.Kind.String())
}
