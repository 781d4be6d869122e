package fakeengine

import (
	"net/netip"
	"strings"
	"time"

	"martenlock/internal/eventloop"
	"martenlock/internal/invariant"
)

// Engine is one emulated engine. Its methods may be called from any goroutine. All fields except Spec
// belong to the event loop.
type Engine struct {
	Spec     Spec
	cluster  *Cluster
	listener *eventloop.Listener // nil while its process is dead
	conns    map[*conn]struct{}
	fault    Fault

	// accumulatedFailures is the sum of the fault's error rate over the requests, less the requests
	// that have failed by it. Each request that raises it to 1 fails.
	accumulatedFailures float64

	startedAt          time.Duration // start of its process, in time of the event loop
	startedInSlowStart bool          // its process started in slow start

	scheduler scheduler
	kvStore   kvStore
	counters  counters
}

// newEngine returns an engine whose process is not running.
func newEngine(c *Cluster, spec Spec) *Engine {
	e := &Engine{Spec: spec, cluster: c}
	e.scheduler.engine = e
	e.kvStore.engine = e
	return e
}

// start starts the engine's process, in slow start if slowStart is set.
func (e *Engine) start(slowStart bool) error {
	listener, err := e.cluster.loop.Listen(e.Spec.Listen, e.accept)
	if err != nil {
		return err
	}
	e.listener = listener
	e.Spec.Listen = listener.Addr()
	e.conns = map[*conn]struct{}{}
	e.kvStore.reset()
	e.scheduler.reset()
	e.startedAt = e.cluster.loop.Now()
	e.startedInSlowStart = slowStart
	if slowStart {
		e.observe(invariant.EngineStarted, "", 0)
	}
	return nil
}

// Addr returns the address at which the engine listens.
func (e *Engine) Addr() netip.AddrPort { return e.Spec.Listen }

// Kill ends the engine's process. Its connections are reset and its KV states are lost. It does nothing
// if the process is not running.
func (e *Engine) Kill() { e.cluster.do(e.kill) }

// kill ends the engine's process, on the event loop.
func (e *Engine) kill() {
	if e.listener == nil {
		return
	}
	e.listener.Close()
	e.listener = nil
	e.scheduler.dropQueue()
	for c := range e.conns {
		c.reset()
	}
	e.observe(invariant.EngineDied, "", 0)
	e.conns = nil
	e.kvStore.lose()
}

// Restart starts the engine's process again, at the same address, in slow start and without a fault.
// If the process is still running, Restart only clears the fault.
func (e *Engine) Restart() (err error) {
	e.cluster.do(func() {
		if e.fault.Hang {
			e.observe(invariant.EngineResumed, "", 0)
		}
		e.fault = Fault{}
		if e.listener == nil {
			err = e.start(true)
		}
	})
	return err
}

// abort releases the KV state of a request and ends its job on this engine.
func (e *Engine) abort(requestID string) {
	e.kvStore.release(requestID)
	for c := range e.conns {
		if c.job != nil && c.job.requestID == requestID {
			c.socket.Abort()
			c.detach()
		}
	}
}

// recordIDSeparator separates the ids of the requests of a batch in a record id.
const recordIDSeparator = ", "

// observe records an event of a request, or of the engine if recordID is "". An event of a batch is
// recorded for each of its requests, with an equal share of the work.
func (e *Engine) observe(kind invariant.Kind, recordID string, work float64) {
	if e.cluster.recording == nil {
		return
	}
	work /= float64(strings.Count(recordID, recordIDSeparator) + 1)
	for id := range strings.SplitSeq(recordID, recordIDSeparator) {
		e.cluster.recording.Add(invariant.Event{At: e.cluster.clock(), Kind: kind, Request: id, Engine: e.Spec.Name, Work: work})
	}
}

// speed returns the engine's current speed, as a share of its full speed.
func (e *Engine) speed() float64 {
	share := 1.0
	if e.startedInSlowStart && e.Spec.SlowStartDuration > 0 {
		progress := (e.cluster.loop.Now() - e.startedAt).Seconds() / e.Spec.SlowStartDuration.Seconds()
		share = e.Spec.SlowStartInitialSpeed + (1-e.Spec.SlowStartInitialSpeed)*min(progress, 1)
	}
	return share / max(e.fault.SlowdownFactor, 1)
}
