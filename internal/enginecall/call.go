// Package enginecall makes short calls to engines whose response matters only by its head, such as health checks
// and releases of KV state.
package enginecall

import (
	"time"

	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
	"martenlock/internal/upstream"
)

//go:generate go tool stringer -linecomment -type=Outcome -output=enum_string.go

// Outcome is how a call ended.
type Outcome uint8

// The outcomes of a call.
const (
	// NoConnection means that this process could not make a connection. The engine is not at fault.
	NoConnection Outcome = iota // no connection
	// Responded means that the response is complete, whatever its status.
	Responded // responded
	// ConnFailed means that the connection failed before the response was complete.
	ConnFailed // connection failed
	// TimedOut means that the response was not complete within Call.Timeout.
	TimedOut // timed out
)

// Result is the result of a Call.
type Result struct {
	Outcome   Outcome
	Status    int                // of the response; 0 if its head has not arrived
	ConnError upstream.ConnError // set if Outcome is ConnFailed
	// WrittenBeforeTimeout is set if Outcome is TimedOut and the engine may have the whole call. For
	// ConnFailed see ConnError.RequestWritten.
	WrittenBeforeTimeout bool
}

// Call is a request to an engine. The engine may get it twice without harm.
type Call struct {
	Head, Body []byte            // as for upstream.Pool.Start
	Timeout    time.Duration     // from Start until the response is complete
	OnHead     func(*http1.Head) // receives the response's head, valid during the call; may be nil
	OnDone     func(Result)      // receives the result, once; it may be called before Start returns
}

// Start sends the call over a connection of pool.
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

// runningCall is a Call that was started.
type runningCall struct {
	Call
	pool   *upstream.Pool
	conn   *upstream.Conn // nil until assigned and after the response has ended
	timer  timerwheel.Timer
	status int
	ended  bool
}

// handleTimeout ends a call whose response is not complete in time.
func (c *runningCall) handleTimeout() {
	c.finish(Result{Outcome: TimedOut, WrittenBeforeTimeout: c.conn == nil || c.conn.RequestWritten()})
}

// Connected implements upstream.ResponseHandler. What was sent matters only at the end of the call.
func (c *runningCall) Connected() {}

// Head implements upstream.ResponseHandler.
func (c *runningCall) Head(head *http1.Head) {
	c.status = head.Status
	if c.OnHead != nil {
		c.OnHead(head)
	}
}

// Data implements upstream.ResponseHandler. The body is ignored.
func (c *runningCall) Data([]byte) {}

// Complete implements upstream.ResponseHandler.
func (c *runningCall) Complete() {
	c.conn = nil
	c.finish(Result{Outcome: Responded})
}

// Failed implements upstream.ResponseHandler.
func (c *runningCall) Failed(err upstream.ConnError) {
	c.conn = nil
	c.finish(Result{Outcome: ConnFailed, ConnError: err})
}

// finish ends the call and reports its result. Later calls have no effect. A connection that is still
// in use is aborted.
func (c *runningCall) finish(result Result) {
	if c.ended {
		return
	}
	c.ended = true
	c.pool.Loop.StopTimer(&c.timer)
	if c.conn != nil {
		c.conn.Abort()
	}
	result.Status = c.status
	c.OnDone(result)
}
