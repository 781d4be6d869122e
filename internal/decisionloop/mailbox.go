// Package decisionloop runs the decision module (package control) on an event loop. Its Mailbox collects the events
// of one iteration, passes them to the module together, and executes the actions that it returns. What an action
// needs on connections is up to the server, through the Exchange interface.
package decisionloop

import (
	"strconv"

	"github.com/rs/zerolog"

	"martenlock/control"
	"martenlock/internal/eventloop"
	"martenlock/internal/timerwheel"
)

// Exchange is a server's side of a request that the module knows. Each method executes the action of the same name.
type Exchange interface {
	// Forward starts an attempt.
	Forward(action control.Forward)
	// Reject answers that a retry is harmless, and when it makes sense.
	Reject(action control.Reject)
	// Fail answers that the request may have been executed.
	Fail(action control.Fail)
	// ReleaseKV makes engines release the KV state that they may retain for the request.
	ReleaseKV(action control.ReleaseKV)
	// CancelAttempt ends an attempt, unless its answer is being streamed.
	CancelAttempt(number control.AttemptNumber)
}

// Mailbox collects events for a decision module, passes those of one iteration of the event loop to
// it at the iteration's end, and executes its actions. All methods must be called on the loop. The
// owner sets the exported fields before the first call.
type Mailbox[X Exchange] struct {
	Loop      *eventloop.Loop
	Router    *control.Router
	Exchanges map[control.RequestID]X // owned by the server; actions for other requests are ignored
	Logger    zerolog.Logger          // for the decisions that the module logs

	Now         func() control.Time         // returns the time on the module's clock
	CheckHealth func(id control.EndpointID) // starts a health check, which pushes a control.HealthCheckResult
	AfterPoll   func()                      // is called at the end of each poll

	// EndpointName returns an endpoint's name for the log, or "" if the endpoint is unknown. If it is
	// nil, log lines have no name.
	EndpointName func(id control.EndpointID) string

	events         []control.Event
	spare          []control.Event // an empty buffer that replaces events while those are handled
	pollScheduled  bool            // Poll runs at the end of this iteration
	timersDisabled bool
}

// Len returns the number of events that wait for the next poll.
func (m *Mailbox[X]) Len() int { return len(m.events) }

// Push adds an event. The module gets it at the end of this iteration, with all others of the
// iteration. An event pushed while actions are executed belongs to the next poll.
func (m *Mailbox[X]) Push(event control.Event) {
	m.events = append(m.events, event)
	m.SchedulePoll()
}

// SchedulePoll makes Poll run at the end of this iteration, once.
func (m *Mailbox[X]) SchedulePoll() {
	if m.pollScheduled {
		return
	}
	m.pollScheduled = true
	m.Loop.Defer(m.Poll)
}

// DisableTimers makes the module's timers do nothing from now on. It is for a module that is no longer
// used.
func (m *Mailbox[X]) DisableTimers() { m.timersDisabled = true }

// Poll passes the collected events to the module and executes its actions, then calls AfterPoll.
// Without events the module is not called. Servers call SchedulePoll, and tests Poll itself.
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

// takeEvents empties the mailbox. Events pushed from now on go to the other buffer.
func (m *Mailbox[X]) takeEvents() []control.Event {
	events := m.events
	m.events = m.spare[:0]
	m.spare = nil
	return events
}

// recycleBuffer keeps the buffer of handled events for a later poll, without the events.
func (m *Mailbox[X]) recycleBuffer(events []control.Event) {
	clear(events)
	m.spare = events[:0]
}

// execute executes one action. An action for an exchange that has ended is ignored: the module
// may not know of the end yet.
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

// startTimer starts a timer that pushes control.Timer.
func (m *Mailbox[X]) startTimer(action control.SetTimer) {
	timer := &timerwheel.Timer{}
	timer.Fire = func() {
		if !m.timersDisabled {
			m.Push(control.Timer{Token: action.Token})
		}
	}
	m.Loop.StartTimer(timer, action.After)
}

// logDecision logs a decision of the module.
func (m *Mailbox[X]) logDecision(entry control.Log) {
	line := m.Logger.Info().Str("endpoint", strconv.FormatUint(uint64(entry.Endpoint), 16))
	if m.EndpointName != nil {
		line = line.Str("endpoint_name", m.EndpointName(entry.Endpoint))
	}
	line.Stringer("reason", entry.Reason).Msg(entry.Kind.String())
}
