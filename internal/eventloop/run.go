package eventloop

import (
	"errors"
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// maxTimerDelay is how many iterations timers may wait while there are more events than one
// iteration takes.
const maxTimerDelay = 8

// Run runs the loop on the calling goroutine, whose thread it locks, until it is stopped. Then it closes
// every descriptor of the loop, without telling the handlers. The error is that of epoll.
func (l *Loop) Run() error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer l.closeAll()
	events := make([]unix.EpollEvent, l.maxEvents)
	n := 0
	timersDelayed := 0
	for !l.stopped {
		var err error
		n, err = l.wait(events, n)
		if err != nil {
			return err
		}
		l.dispatch(events[:n])
		timersDelayed++
		if n < len(events) || timersDelayed > maxTimerDelay {
			timersDelayed = 0
			l.wheel.Advance(uint64(l.now / tick))
		}
		l.settle()
	}
	return nil
}

// wait begins an iteration: it waits for events and reads the clock. previous is the number of
// events of the iteration before.
func (l *Loop) wait(events []unix.EpollEvent, previous int) (int, error) {
	n := 0
	if previous > 1 { // busy: more has come by now, most likely
		n, _ = l.poller.poll(events)
	}
	if n == 0 {
		var err error
		n, err = l.poller.wait(events, l.waitTimeout())
		if err != nil && !errors.Is(err, unix.EINTR) {
			return 0, fmt.Errorf("eventloop: epoll_wait: %w", err)
		}
	}
	l.now = time.Since(l.origin)
	l.iterations++
	if n < len(events) && l.timersDue() {
		// This thread may have been held up after epoll_wait returned. What has come by now came
		// before the timers that are due: a late loop must not take its own lateness for a peer's.
		if current, ok := l.poller.poll(events); ok {
			n = current
		}
	}
	return max(n, 0), nil
}

// waitTimeout returns how long epoll_wait may wait, in milliseconds.
func (l *Loop) waitTimeout() int {
	next, ok := l.wheel.NextDeadline()
	if !ok {
		return -1
	}
	ahead := time.Duration(next)*tick - time.Since(l.origin)
	return int(max((ahead+tick-1)/tick, 0))
}

func (l *Loop) timersDue() bool {
	next, ok := l.wheel.NextDeadline()
	return ok && next <= uint64(l.now/tick)
}

// dispatch hands events to the mailbox, connections and listeners.
func (l *Loop) dispatch(events []unix.EpollEvent) {
	clear(l.pending.closed)
	for i := range events {
		fd := int(events[i].Fd)
		if fd == l.mailbox.eventfd {
			l.runPosted()
			continue
		}
		if _, closed := l.pending.closed[fd]; closed {
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

func (l *Loop) handle(s source, events uint32) {
	if l.opts.OnPanic != nil {
		defer l.recoverFrom(s)
	}
	s.ready(events)
}

// recoverFrom ends the connection whose handler has panicked. It must be deferred itself.
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
	c.fail(fmt.Errorf("eventloop: panic of a handler: %v", reason))
}

// settle ends an iteration: it runs the deferred functions and settles the connections that
// changed, until neither has made more of them.
func (l *Loop) settle() {
	for len(l.pending.deferred) > 0 || len(l.pending.conns) > 0 {
		deferred := l.pending.deferred
		l.pending.deferred = nil
		for _, fn := range deferred {
			fn()
		}
		conns := l.pending.conns
		l.pending.conns = nil
		for _, c := range conns {
			c.unsettled = false
			l.settleConn(c)
		}
	}
	if l.pending.descriptorFreed {
		l.pending.descriptorFreed = false
		l.resumeStarved()
	}
}

func (l *Loop) settleConn(c *Conn) {
	if l.opts.OnPanic != nil {
		defer l.recoverFrom(c)
	}
	c.settle()
}

// resumeStarved lets the listeners accept that waited for a free descriptor.
func (l *Loop) resumeStarved() {
	for ln := range l.starved {
		delete(l.starved, ln)
		ln.watch(unix.EPOLLIN)
	}
}

func (l *Loop) closeAll() {
	for fd := range l.sources {
		unix.Close(fd)
	}
	l.sources = nil
	_ = l.poller.close()
	l.mailbox.close()
}
