// Package enginecall makes short calls to engines, such as health checks and releases of KV state. It ignores the
// bodies of the responses.
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

const (
	// NoConnection means that no connection could be started because of a limit or an error on this machine.
	NoConnection Outcome = iota // no connection
	// Responded means that the response is complete. Its HTTP status does not matter.
	Responded // responded
	// ConnFailed means that the connection failed before the response was complete.
	ConnFailed // connection failed
	// TimedOut means that the response was not complete within Call.Timeout.
	TimedOut // timed out
)

// Result describes how a Call ended.
type Result struct {
	Outcome   Outcome
	Status    int                // HTTP status of the response; 0 if its head has not arrived
	ConnError upstream.ConnError // set if Outcome is ConnFailed
	// WrittenBeforeTimeout is set if Outcome is TimedOut and the engine may have received the whole
	// request. If Outcome is ConnFailed, ConnError.RequestWritten has this information.
	WrittenBeforeTimeout bool
}

// Call is a request to an engine. It must be idempotent, because it may be sent over a reused connection.
type Call struct {
	Head, Body []byte            // as in upstream.ConnPool.Start
	Timeout    time.Duration     // from Start until the response is complete
	OnHead     func(*http1.Head) // receives the response's head, valid only during the call; may be nil
	OnDone     func(Result)      // receives the result, once, possibly before Start returns
}

// Start sends the call over a connection of pool.
func (c Call) Start(pool *upstream.ConnPool) {
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

// runningCall is a Call that has been started.
type runningCall struct {
	Call
	pool   *upstream.ConnPool
	conn   *upstream.Conn // nil until Start assigns it, and after the response has ended
	timer  timerwheel.Timer
	status int // HTTP status; 0 until the response's head arrives
	ended  bool
}

// handleTimeout ends a call whose response was not complete within Call.Timeout.
func (c *runningCall) handleTimeout() {
	c.finish(Result{Outcome: TimedOut, WrittenBeforeTimeout: c.conn == nil || c.conn.RequestWritten()})
}

// Connected implements upstream.ResponseHandler. It does nothing.
func (c *runningCall) Connected() {}

// Head implements upstream.ResponseHandler.
func (c *runningCall) Head(head *http1.Head) {
	c.status = head.Status
	if c.OnHead != nil {
		c.OnHead(head)
	}
}

// Data implements upstream.ResponseHandler. It ignores the body.
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

// finish ends the call, reports its result, and aborts the connection if the call still uses it. It has
// an effect only once.
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
