package platform

import (
	"martenlock/control"
	"martenlock/internal/decisionloop"
)

// newMailbox creates a decision module and returns its mailbox.
func newMailbox(s *Server) decisionloop.Mailbox[*exchange] {
	return decisionloop.Mailbox[*exchange]{
		Loop:        s.loop,
		Router:      control.New(s.config.Settings.Control, s.now()),
		Exchanges:   s.exchanges.ByID,
		Logger:      s.log,
		Now:         s.now,
		CheckHealth: s.checkHealth,
		AfterPoll:   s.afterPoll,

		EndpointName: s.endpointName,
	}
}

// push hands an event to the decision module at the end of this iteration of the loop, together with
// the iteration's other events.
func (s *Server) push(event control.Event) { s.mailbox.Push(event) }

// schedulePoll schedules a poll of the decision module and of the KV release scheduler at the end of
// this iteration of the loop.
func (s *Server) schedulePoll() { s.mailbox.SchedulePoll() }

// afterPoll removes the exchanges that have ended and starts the KV releases that are due.
func (s *Server) afterPoll() {
	s.exchanges.RemoveEnded((*exchange).isRemovable)
	s.pollKVReleases()
}
