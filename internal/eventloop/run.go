package eventloop

import (
	"errors"
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// maxTimerDelay bounds, in iterations, how long timers are delayed while every iteration handles the
// maximum number of events. Bytes that arrived before a timer was due should be read before it fires,
// but a flood of events must not delay timers indefinitely.
const maxTimerDelay = 8

// Run runs the loop on the calling goroutine, which it locks to its thread, until Stop is called. It
// then closes all descriptors of the loop without calling handlers. It returns an error only if
// epoll_wait fails.
func (l *Loop) Run() error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer l.closeAll()
	events := make([]unix.EpollEvent, l.maxEvents)
	n := 0
	timerDelay := 0 // iterations since timers last fired
	for !l.stopped {
		var err error
		n, err = l.wait(events, n)
		if err != nil {
			return err
		}
		l.dispatch(events[:n])
		timerDelay++
		if n < len(events) || timerDelay > maxTimerDelay {
			timerDelay = 0
			l.wheel.Advance(uint64(l.now / tick))
		}
		l.finishIteration()
	}
	return nil
}

// wait begins an iteration. It waits for events, reads the clock and returns the number of events.
// previousEvents is the number of events of the previous iteration.
func (l *Loop) wait(events []unix.EpollEvent, previousEvents int) (int, error) {
	n := 0
	if previousEvents > 1 { // the loop is busy: more events have probably arrived, and poll is cheaper than wait
		n, _ = l.poller.poll(events)
	}
	if n == 0 {
		var err error
		n, err = l.poller.wait(events, l.waitTimeout())
		if err != nil && !errors.Is(err, unix.EINTR) {
			return 0, fmt.Errorf("eventloop: epoll_wait: %w", err)
		}
	}
	l.now = l.ReadClock()
	l.iterations++
	if n < len(events) && l.timersDue() {
		// This thread may have been delayed after epoll_wait returned. Events that arrived meanwhile are
		// handled before the timers that are due. Otherwise a delayed loop would time out peers whose
		// bytes arrived in time.
		if current, ok := l.poller.poll(events); ok {
			n = current
		}
	}
	return max(n, 0), nil
}

// waitTimeout returns how long epoll_wait may block, in milliseconds. -1 means no time-out.
func (l *Loop) waitTimeout() int {
	next, ok := l.wheel.NextDeadline()
	if !ok {
		return -1
	}
	ahead := time.Duration(next)*tick - l.ReadClock()
	return int(max((ahead+tick-1)/tick, 0))
}

// timersDue reports whether a timer is due at Now.
func (l *Loop) timersDue() bool {
	next, ok := l.wheel.NextDeadline()
	return ok && next <= uint64(l.now/tick)
}

// dispatch passes events to the mailbox, connections and listeners.
func (l *Loop) dispatch(events []unix.EpollEvent) {
	clear(l.pending.closedDescriptors)
	for i := range events {
		fd := int(events[i].Fd)
		if fd == l.mailbox.eventfd {
			l.runPosted()
			continue
		}
		if _, closed := l.pending.closedDescriptors[fd]; closed {
			continue
		}
		if source := l.sources[fd]; source != nil {
			l.handle(source, events[i].Events)
		}
	}
}

func (l *Loop) runPosted() {
	for _, fn := range l.mailbox.takeAll() {
		fn()
	}
}

// handle passes events to a source and recovers from a panic of its handler.
func (l *Loop) handle(s source, events uint32) {
	if l.opts.OnPanic != nil {
		defer l.recoverFrom(s)
	}
	s.ready(events)
}

// recoverFrom closes the connection whose handler has panicked. It must be deferred directly, as
// recover has no effect elsewhere.
func (l *Loop) recoverFrom(s source) {
	reason := recover()
	if reason == nil {
		return
	}
	l.opts.OnPanic(reason)
	c, isConn := s.(*Conn)
	if !isConn || c.IsClosed() {
		return
	}
	defer func() {
		if again := recover(); again != nil {
			l.opts.OnPanic(again)
		}
	}()
	c.fail(fmt.Errorf("eventloop: handler panicked: %v", reason))
}

// finishIteration runs the deferred functions and flushes the connections of pendingWork.conns. This can
// add functions and connections, so it repeats until none are left.
func (l *Loop) finishIteration() {
	for len(l.pending.deferred) > 0 || len(l.pending.conns) > 0 {
		deferred := l.pending.deferred
		l.pending.deferred = nil
		for _, fn := range deferred {
			fn()
		}
		conns := l.pending.conns
		l.pending.conns = nil
		for _, c := range conns {
			c.flushScheduled = false
			l.flushConn(c)
		}
	}
	if l.pending.descriptorFreed {
		l.pending.descriptorFreed = false
		l.resumeStarved()
	}
}

// flushConn calls Conn.flushAtIterationEnd and recovers from a panic of the handler.
func (l *Loop) flushConn(c *Conn) {
	if l.opts.OnPanic != nil {
		defer l.recoverFrom(c)
	}
	c.flushAtIterationEnd()
}

// resumeStarved resumes the listeners that wait for descriptors or memory.
func (l *Loop) resumeStarved() {
	for ln := range l.starved {
		ln.resume()
	}
}

func (l *Loop) closeAll() {
	for fd := range l.sources {
		closeDescriptor(fd)
	}
	l.sources = nil
	l.poller.close()
	l.mailbox.close()
}
