package openaiserver

import (
	"martenlock/control"
	"martenlock/internal/timerwheel"
)

// deadlineTimer polls a queue at the end of an iteration in which something changed, and at the
// queue's next deadline.
type deadlineTimer struct {
	server        *Server
	poll          func()
	nextDeadline  func() (control.Time, bool)
	timer         timerwheel.Timer
	pollScheduled bool
}

// newDeadlineTimer returns a timer that is not set.
func newDeadlineTimer(s *Server, poll func(), nextDeadline func() (control.Time, bool)) *deadlineTimer {
	t := &deadlineTimer{server: s, poll: poll, nextDeadline: nextDeadline}
	t.timer.Fire = t.fire
	return t
}

// schedulePoll polls at the end of this iteration.
func (t *deadlineTimer) schedulePoll() {
	if t.pollScheduled {
		return
	}
	t.pollScheduled = true
	t.server.loop.Defer(func() {
		t.pollScheduled = false
		t.fire()
	})
}

// fire polls, and waits for the next deadline.
func (t *deadlineTimer) fire() {
	t.poll()
	t.restart()
}

// restart waits for the next deadline.
func (t *deadlineTimer) restart() {
	deadline, isSet := t.nextDeadline()
	if !isSet {
		t.server.loop.StopTimer(&t.timer)
		return
	}
	t.server.loop.StartTimer(&t.timer, deadline.Sub(t.server.now()))
}
