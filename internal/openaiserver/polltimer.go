package openaiserver

import (
	"martenlock/control"
	"martenlock/internal/timerwheel"
)

// pollTimer calls a queue's poll function at the time of the queue's next poll, and at the end of an event loop
// iteration in which schedulePoll was called.
type pollTimer struct {
	server        *Server
	poll          func()
	nextPoll      func() (control.Time, bool) // returns false if the queue needs no poll
	timer         timerwheel.Timer
	pollScheduled bool // poll runs at the end of this iteration
}

// newPollTimer returns a timer that has not been started.
func newPollTimer(s *Server, poll func(), nextPoll func() (control.Time, bool)) *pollTimer {
	t := &pollTimer{server: s, poll: poll, nextPoll: nextPoll}
	t.timer.Fire = t.fire
	return t
}

// schedulePoll schedules a poll at the end of this event loop iteration. Further calls in the same iteration have no
// effect.
func (t *pollTimer) schedulePoll() {
	if t.pollScheduled {
		return
	}
	t.pollScheduled = true
	t.server.loop.Defer(func() {
		t.pollScheduled = false
		t.fire()
	})
}

// fire polls the queue and starts the timer for the next poll.
func (t *pollTimer) fire() {
	t.poll()
	t.restart()
}

// restart sets the timer to the time of the next poll, or stops it if the queue needs none.
func (t *pollTimer) restart() {
	next, isSet := t.nextPoll()
	if !isSet {
		t.server.loop.StopTimer(&t.timer)
		return
	}
	t.server.loop.StartTimer(&t.timer, next.Sub(t.server.now()))
}
