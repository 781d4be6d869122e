package fakeengine

import (
	"net/netip"
	"strings"
	"time"

	"martenlock/internal/eventloop"
	"martenlock/internal/invariant"
)

// Engine is an emulated engine. Its exported methods may be called from any goroutine. All fields except
// Spec and cluster are accessed only on the event loop.
type Engine struct {
	Spec     Spec
	cluster  *Cluster
	listener *eventloop.Listener // nil while the process is not running
	conns    map[*conn]struct{}
	fault    Fault

	// errorCredit grows by the fault's error rate with each request. A request that raises it to 1 or more
	// fails and reduces it by 1. This spreads failures evenly over the requests.
	errorCredit float64

	startedAt          time.Duration // start of the process, on the event loop's clock
	startedInSlowStart bool

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

// kill does the work of Kill. It must run on the event loop.
func (e *Engine) kill() {
	if e.listener == nil {
		return
	}
	e.listener.Close()
	e.listener = nil
	e.scheduler.clearDecodeQueue()
	for c := range e.conns {
		c.reset()
	}
	e.observe(invariant.EngineDied, "", 0)
	e.conns = nil
	e.kvStore.discardAll()
}

// Restart starts the engine's process again, at the same address, in slow start and without a fault.
// If the process is still running, Restart only clears the fault. Connections that a hang has
// paused then stay paused.
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

// abort releases the KV state of a request, cancels its job and closes the job's connection.
func (e *Engine) abort(requestID string) {
	e.kvStore.release(requestID)
	for c := range e.conns {
		if c.job != nil && c.job.requestID == requestID {
			c.socket.Abort()
			c.detach()
		}
	}
}

// recordIDSeparator separates the ids of the requests of a batch in a recordID.
const recordIDSeparator = ", "

// observe records an event of a request, or of the engine if recordID is "". If recordID names several
// requests, the event is recorded for each, and work is divided equally among them.
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
		share = e.Spec.SlowStartInitialShare + (1-e.Spec.SlowStartInitialShare)*min(progress, 1)
	}
	return share / max(e.fault.SlowdownFactor, 1)
}
