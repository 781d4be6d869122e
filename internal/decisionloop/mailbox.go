// Package decisionloop runs the decision module on an event loop. Its Mailbox gathers the module's events of one
// iteration, hands them over together, and executes the actions that come back. Each server decides what an action
// needs on its own connections.
package decisionloop

import (
	"strconv"

	"github.com/rs/zerolog"

	"martenlock/control"
	"martenlock/internal/eventloop"
	"martenlock/internal/timerwheel"
)

// Exchange is a request that the module was told of, as the module's actions address it.
type Exchange interface {
	// Forward starts the attempt that the module wants.
	Forward(action control.Forward)
	// Reject tells the client that a retry is harmless, and after which time.
	Reject(action control.Reject)
	// Fail tells the client that the request may have been executed.
	Fail(action control.Fail)
	// ReleaseKV has engines release whatever KV state they may retain for the request.
	ReleaseKV(action control.ReleaseKV)
	// CancelAttempt ends the attempt of a number, unless its answer has begun.
	CancelAttempt(number control.AttemptNumber)
}

// Mailbox gathers the events of one iteration of the event loop for a decision module, hands them
// over together at the iteration's end, and executes the actions. It belongs to the loop.
type Mailbox[X Exchange] struct {
	Loop      *eventloop.Loop
	Router    *control.Router
	Exchanges map[control.RequestID]X // those that actions may address; the server's
	Logger    zerolog.Logger          // for the module's lines

	Now         func() control.Time         // the present time on the module's clock
	CheckHealth func(id control.EndpointID) // asks an engine how it is, and pushes a control.HealthCheckResult
	AfterPoll   func()                      // is called at the end of each poll

	// EndpointName returns an engine's name in the endpoint list, for the log; "" where it is not known. Nil
	// leaves names out.
	EndpointName func(id control.EndpointID) string

	events         []control.Event
	spare          []control.Event // an empty buffer, to be used in turn with events
	pollScheduled  bool            // Poll runs at the end of this iteration
	timersDisabled bool
}

// Len returns how many events wait for the next poll.
func (m *Mailbox[X]) Len() int { return len(m.events) }

// Push hands an event to the module at the end of this iteration, together with all others of
// the iteration.
func (m *Mailbox[X]) Push(event control.Event) {
	m.events = append(m.events, event)
	m.SchedulePoll()
}

// SchedulePoll has the module polled at the end of this iteration. Without events only
// AfterPoll is called.
func (m *Mailbox[X]) SchedulePoll() {
	if m.pollScheduled {
		return
	}
	m.pollScheduled = true
	m.Loop.Defer(m.Poll)
}

// DisableTimers has the module's timers do nothing from now on.
func (m *Mailbox[X]) DisableTimers() { m.timersDisabled = true }

// Poll hands the gathered events to the module and executes its actions. SchedulePoll has it called.
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

// takeEvents empties the mailbox. What is pushed from now on belongs to the next poll.
func (m *Mailbox[X]) takeEvents() []control.Event {
	events := m.events
	m.events = m.spare[:0]
	m.spare = nil
	return events
}

// recycleBuffer takes back the buffer of events that were handled.
func (m *Mailbox[X]) recycleBuffer(events []control.Event) {
	clear(events)
	m.spare = events[:0]
}

// execute carries out one action of the module. Actions for exchanges that are gone are
// ignored.
func (m *Mailbox[X]) execute(action control.Action) {
	switch action := action.(type) {
	case control.Forward:
		if x, isOpen := m.Exchanges[action.ID]; isOpen {
			x.Forward(action)
		}
	case control.Reject:
		if x, isOpen := m.Exchanges[action.ID]; isOpen {
			x.Reject(action)
		}
	case control.Fail:
		if x, isOpen := m.Exchanges[action.ID]; isOpen {
			x.Fail(action)
		}
	case control.ReleaseKV:
		if x, isOpen := m.Exchanges[action.ID]; isOpen {
			x.ReleaseKV(action)
		}
	case control.CancelAttempt:
		if x, isOpen := m.Exchanges[action.ID]; isOpen {
			x.CancelAttempt(action.Attempt)
		}
	case control.SetTimer:
		m.startTimer(action)
	case control.HealthCheck:
		m.CheckHealth(action.Endpoint)
	case control.Log:
		m.logDecision(action)
	}
}

// startTimer starts a timer of the module's.
func (m *Mailbox[X]) startTimer(action control.SetTimer) {
	timer := &timerwheel.Timer{}
	timer.Fire = func() {
		if !m.timersDisabled {
			m.Push(control.Timer{Token: action.Token})
		}
	}
	m.Loop.StartTimer(timer, action.After)
}

// logDecision writes a line of the module's.
func (m *Mailbox[X]) logDecision(entry control.Log) {
	line := m.Logger.Info().Str("endpoint", strconv.FormatUint(uint64(entry.Endpoint), 16))
	if m.EndpointName != nil {
		line = line.Str("endpoint_name", m.EndpointName(entry.Endpoint))
	}
	line.Stringer("reason", entry.Reason).Msg(entry.Kind.String())
}
