package openaiserver

import (
	"martenlock/control"
	"martenlock/internal/timerwheel"
)

// deadlineTimer calls a queue's poll function at the queue's next deadline, and at the end of an event loop iteration
// in which schedulePoll was called.
type deadlineTimer struct {
	server        *Server
	poll          func()
	nextDeadline  func() (control.Time, bool) // returns false if there is no deadline
	timer         timerwheel.Timer
	pollScheduled bool // poll runs at the end of this iteration
}

// newDeadlineTimer returns a timer that has not been started.
func newDeadlineTimer(s *Server, poll func(), nextDeadline func() (control.Time, bool)) *deadlineTimer {
	t := &deadlineTimer{server: s, poll: poll, nextDeadline: nextDeadline}
	t.timer.Fire = t.fire
	return t
}

// schedulePoll schedules a poll at the end of this event loop iteration. Further calls in the same iteration have no
// effect.
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

// fire polls the queue and starts the timer for the next deadline.
func (t *deadlineTimer) fire() {
	t.poll()
	t.restart()
}

// restart sets the timer to the next deadline, or stops it if there is none.
func (t *deadlineTimer) restart() {
	deadline, hasDeadline := t.nextDeadline()
	if !hasDeadline {
		t.server.loop.StopTimer(&t.timer)
		return
	}
	t.server.loop.StartTimer(&t.timer, deadline.Sub(t.server.now()))
}
