// Package eventloop is an event loop on Linux's epoll: non-blocking TCP sockets, timers on a
// timing wheel, and functions posted by other goroutines, all run on one thread.
//
// A program creates a Loop with New, opens listeners and connections on it, and calls Run. A
// connection reports its events to a Handler. Handlers, timers and posted functions run on the
// thread of Run, one at a time, and must never block. Only Loop.Post may be called from other
// goroutines. Until Run is called, the goroutine that created the loop may use it.
//
// Readiness is level-triggered (epoll(7)). A handler may leave bytes unconsumed, and a connection
// whose reading is paused costs nothing until it is resumed. Output is buffered and sent once, at
// the end of an iteration of the loop.
package eventloop

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"martenlock/internal/timerwheel"
)

// ErrOverflow is passed to Handler.Closed if a connection is closed because its unsent output exceeds
// Options.MaxUnsentBytes. It means that the handler kept writing above the high-water mark.
var ErrOverflow = errors.New("eventloop: unsent output exceeds its limit")

const (
	// scratchSize is the size in bytes of the read buffer and of the largest output buffer.
	scratchSize = 64 << 10
	// eventsPerIteration bounds the events handled before buffered output is sent.
	eventsPerIteration = 512
	// tick is the resolution of timers. The time-out of epoll_wait has the same resolution.
	tick = time.Millisecond
)

// Defaults of Options, in bytes.
const (
	defaultMaxUnsentBytes = 8 << 20
	defaultHighWaterMark  = 128 << 10
	defaultMaxFreeBytes   = 4 << 20
	// lowWaterMarkDivisor is the high-water mark divided by the default low-water mark.
	lowWaterMarkDivisor = 4
)

// Options bound the memory of a loop. Zero values stand for the defaults in brackets.
type Options struct {
	MaxUnsentBytes int // unsent bytes above which a connection is closed with ErrOverflow [8 MiB]
	HighWaterMark  int // unsent bytes at which the writer of a connection's output should pause [128 KiB]
	LowWaterMark   int // unsent bytes at which Handler.Writable is called after a pause [a quarter of the high-water mark]
	MaxFreeBytes   int // bytes of free buffers kept for reuse, for each size class [4 MiB]
	// OnPanic is called on the loop with the value of a handler's panic. The panic closes only the
	// handler's connection. If OnPanic is nil, a panic ends the program. A panic in a timer or in a
	// posted or deferred function always ends it.
	OnPanic func(reason any)
}

func (o *Options) setDefaults() {
	if o.MaxUnsentBytes == 0 {
		o.MaxUnsentBytes = defaultMaxUnsentBytes
	}
	if o.HighWaterMark == 0 {
		o.HighWaterMark = defaultHighWaterMark
	}
	if o.LowWaterMark == 0 {
		o.LowWaterMark = o.HighWaterMark / lowWaterMarkDivisor
	}
	if o.MaxFreeBytes == 0 {
		o.MaxFreeBytes = defaultMaxFreeBytes
	}
}

// Loop runs connections, listeners and timers. It owns the descriptors that it opens. Create it with New.
type Loop struct {
	opts    Options
	poller  poller
	mailbox mailbox
	sources map[int]source         // by descriptor
	starved map[*Listener]struct{} // listeners that wait for descriptors or memory
	pending pendingWork

	origin     time.Time
	now        time.Duration // since origin
	wheel      timerwheel.Wheel
	iterations uint64
	stopped    bool

	maxEvents int    // per iteration
	scratch   []byte // read buffer of all connections
	iovecs    [iovecsPerWrite]unix.Iovec
	buffers   bufferPool
}

// source is a connection or a listener, whose descriptor the loop watches.
type source interface {
	// ready handles the events that epoll reports for the descriptor.
	ready(events uint32)
}

// pendingWork is work that is deferred to the end of the iteration.
type pendingWork struct {
	deferred []func()
	conns    []*Conn // for Conn.flushAtIterationEnd
	// closedDescriptors are the descriptors closed in this iteration. The kernel may give the number of a
	// closed descriptor to a new connection, which must not get the events of the closed one.
	closedDescriptors map[int]struct{}
	// descriptorFreed is set if starved listeners may accept again.
	descriptorFreed bool
}

// New returns a loop. The caller must call Run, which closes the loop's descriptors when it returns.
func New(opts Options) (*Loop, error) {
	opts.setDefaults()
	poller, err := openPoller()
	if err != nil {
		return nil, fmt.Errorf("eventloop: epoll_create1: %w", err)
	}
	eventfd, err := openEventfd()
	if err != nil {
		poller.close()
		return nil, fmt.Errorf("eventloop: eventfd: %w", err)
	}
	if err := poller.add(eventfd, unix.EPOLLIN); err != nil {
		poller.close()
		closeDescriptor(eventfd)
		return nil, fmt.Errorf("eventloop: epoll_ctl: %w", err)
	}
	return &Loop{
		opts:      opts,
		poller:    poller,
		mailbox:   mailbox{eventfd: eventfd},
		sources:   map[int]source{},
		starved:   map[*Listener]struct{}{},
		pending:   pendingWork{closedDescriptors: map[int]struct{}{}},
		origin:    time.Now(),
		maxEvents: eventsPerIteration,
		scratch:   make([]byte, scratchSize),
		buffers:   bufferPool{maxFreeBytes: opts.MaxFreeBytes},
	}, nil
}

// Now returns the time since Origin, as of the start of this iteration.
func (l *Loop) Now() time.Duration { return l.now }

// ReadClock returns the time since Origin at this moment. Now is cheaper, but earlier by as long as the
// iteration has taken so far.
func (l *Loop) ReadClock() time.Duration { return time.Since(l.origin) }

// Origin returns the wall-clock time at which Now was zero.
func (l *Loop) Origin() time.Time { return l.origin }

// Post runs a function on the loop soon. It is the only method that other goroutines may call.
// After Run has returned it does nothing. The number of posted functions is not bounded, so a caller
// with frequent updates should combine them into one posted function.
func (l *Loop) Post(fn func()) { l.mailbox.put(fn) }

// Defer runs a function at the end of this iteration, before output is sent.
func (l *Loop) Defer(fn func()) { l.pending.deferred = append(l.pending.deferred, fn) }

// StartTimer makes a timer fire on the loop once d has passed since Now, at the next tick at the
// earliest. The caller owns the timer.
func (l *Loop) StartTimer(t *timerwheel.Timer, d time.Duration) {
	when := l.now + max(d, 0)
	l.wheel.Start(t, uint64((when+tick-1)/tick))
}

// StopTimer stops a timer. It has no effect if the timer is not running.
func (l *Loop) StopTimer(t *timerwheel.Timer) { l.wheel.Stop(t) }

// RunningTimers returns the number of timers that were started and have neither fired nor been stopped.
func (l *Loop) RunningTimers() int { return l.wheel.Len() }

// Iterations returns the number of iterations so far.
func (l *Loop) Iterations() uint64 { return l.iterations }

// Stop makes Run return at the end of this iteration.
func (l *Loop) Stop() { l.stopped = true }
