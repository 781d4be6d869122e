// Package enginecall makes short calls to engines, of whose response only the head matters: health checks and
// releases of KV state.
package enginecall

import (
	"time"

	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
	"martenlock/internal/upstream"
)

// Outcome is how a short call ended.
type Outcome uint8

// The outcomes of a call.
const (
	NoConnection Outcome = iota // this process could not make a connection
	Responded                   // the response is whole
	Broken                      // the connection ended before that
	TimedOut
)

// Result is what came of a short call.
type Result struct {
	Outcome              Outcome
	Status               int                // of the response; 0 where its head has not come
	ConnError            upstream.ConnError // where Outcome is Broken
	WrittenBeforeTimeout bool               // where Outcome is TimedOut: the engine may have the call; Break tells it of Broken
}

// Call is a short call to an engine, of whose response only the head matters: a health check, or
// a release of KV state.
type Call struct {
	Head, Body []byte
	Timeout    time.Duration
	OnHead     func(*http1.Head) // takes the response's head; nil where the status is enough
	OnDone     func(Result)      // takes the result, once; it may run before Start returns
}

// Start makes the call.
func (c Call) Start(pool *upstream.Pool) {
	running := &runningCall{Call: c, pool: pool}
	conn, err := pool.Start(running, c.Head, c.Body, false)
	if err != nil {
		running.finish(Result{Outcome: NoConnection})
		return
	}
	running.conn = conn
	running.timer.Fire = running.handleTimeout
	pool.Loop.StartTimer(&running.timer, c.Timeout)
}

// runningCall is a call under way. It is the upstream.Sink of the response.
type runningCall struct {
	Call
	pool     *upstream.Pool
	conn     *upstream.Conn // nil before it is had, and after the response
	timer    timerwheel.Timer
	status   int
	hasEnded bool
}

// handleTimeout gives the call up.
func (c *runningCall) handleTimeout() {
	c.finish(Result{Outcome: TimedOut, WrittenBeforeTimeout: c.conn == nil || c.conn.RequestWritten()})
}

// Connected does nothing.
func (c *runningCall) Connected() {}

// Head takes the response's head.
func (c *runningCall) Head(head *http1.Head) {
	c.status = head.Status
	if c.OnHead != nil {
		c.OnHead(head)
	}
}

// Data ignores the response's body.
func (c *runningCall) Data([]byte) {}

// Complete takes in that the response is whole.
func (c *runningCall) Complete() {
	c.conn = nil
	c.finish(Result{Outcome: Responded})
}

// Failed takes in that the connection ended before that.
func (c *runningCall) Failed(how upstream.ConnError) {
	c.conn = nil
	c.finish(Result{Outcome: Broken, ConnError: how})
}

// finish ends the call, once.
func (c *runningCall) finish(result Result) {
	if c.hasEnded {
		return
	}
	c.hasEnded = true
	c.pool.Loop.StopTimer(&c.timer)
	if c.conn != nil {
		c.conn.Abort()
	}
	result.Status = c.status
	c.OnDone(result)
}
