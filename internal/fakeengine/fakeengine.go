// Package fakeengine emulates inference engines for the demo, the tests and the benchmarks. They respond
// in the published formats (OpenAI's API, rerank, vLLM's disaggregated prefill, ORCA load reports) with
// made-up content. Their speed follows a simple formula, and a Fault makes them fail.
//
// A prefill engine retains KV states as bytes. The decode engine fetches them over a connection of its
// own and checks a hash, so that a test detects a state that arrived incomplete.
//
// The engines do not model the speed of real ones. Prefills run one after another at a fixed rate, and
// tokens come at a fixed interval regardless of load. Nothing is batched, preempted or cached, and KV
// memory is counted in states, not in bytes. Figures measured with them describe the router, not an
// engine.
package fakeengine

import (
	"net/netip"
	"time"

	"martenlock/control"
	"martenlock/internal/eventloop"
	"martenlock/internal/invariant"
)

// Spec describes an engine and its speed.
type Spec struct {
	Name, Kind, Pool, Zone, Cell string
	Role                         control.Role
	Listen                       netip.AddrPort // with port 0 the kernel chooses one, which is kept over restarts
	PrefillTokensPerSecond       float64        // of the prompt
	TokenInterval                time.Duration  // between two tokens of a response
	DecodeSlots                  int            // most requests that decode at once
	MaxWaiting                   int            // most requests in prefill or waiting for it or for a slot
	AnswerTokens                 int            // tokens of a response, unless the request has a lower limit
	Dimensions                   int            // of embeddings
	SlowStartInitialSpeed        float64        // share of the full speed at the start of a slow start
	SlowStartDuration            time.Duration  // until the engine is warmed up
}

// Texts in a request that make any engine fail, also one without a fault.
const (
	RejectMarker = "REFUSE ME" // the engine responds with status 400
	CrashMarker  = "CRASH ME"  // the engine's process ends
)

// maxPendingOutput is the most bytes that a connection buffers for a slow peer.
const maxPendingOutput = 64 << 20

// Cluster is a set of engines that share an event loop.
type Cluster struct {
	loop      *eventloop.Loop
	recording *invariant.Recording // nil for none
	clock     func() time.Duration // for the times of recorded events
	engines   map[string]*Engine
	loopEnded chan error
}

// NewCluster starts an event loop for engines on a goroutine of its own; Close ends it. Events of the
// engines are recorded with times of clock, unless recording is nil.
func NewCluster(recording *invariant.Recording, clock func() time.Duration) (*Cluster, error) {
	loop, err := eventloop.New(eventloop.Options{MaxUnsentBytes: maxPendingOutput})
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		loop:      loop,
		recording: recording,
		clock:     clock,
		engines:   map[string]*Engine{},
		loopEnded: make(chan error, 1),
	}
	go func() { c.loopEnded <- loop.Run() }()
	return c, nil
}

// Start starts an engine and returns it. The engine starts in slow start if slowStart is set.
func (c *Cluster) Start(spec Spec, slowStart bool) (*Engine, error) {
	e := newEngine(c, spec)
	var err error
	c.do(func() {
		err = e.start(slowStart)
		if err == nil {
			c.engines[spec.Name] = e
		}
	})
	return e, err
}

// Close stops the event loop and with it all engines. It returns the loop's error.
func (c *Cluster) Close() error {
	c.loop.Post(c.loop.Stop)
	return <-c.loopEnded
}

// do runs task on the event loop and waits until it has returned.
func (c *Cluster) do(task func()) {
	done := make(chan struct{})
	c.loop.Post(func() {
		task()
		close(done)
	})
	<-done
}
