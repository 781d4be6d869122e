package platform

import (
	"time"

	"martenlock/control"
	"martenlock/control/connlimit"
)

// startReleaseTimer bounds the time for which the attempt is deferred.
func (a *attempt) startReleaseTimer(timeout time.Duration) {
	a.firstEventTimer.Fire = a.handleReleaseTimeout
	a.exchange.server.loop.StartTimer(&a.firstEventTimer, timeout)
}

// handleReleaseTimeout ends a deferred attempt whose KV release was not confirmed in time.
func (a *attempt) handleReleaseTimeout() { a.finish(control.NotSent, false) }

// startFirstEventTimer bounds the time until the first event is complete.
func (a *attempt) startFirstEventTimer(timeout time.Duration) {
	a.firstEventTimer.Fire = a.handleFirstEventTimeout
	a.exchange.server.loop.StartTimer(&a.firstEventTimer, timeout)
}

// handleFirstEventTimeout ends an attempt without a complete first event. A request that was not
// written completely cannot have been executed, so its attempt ends as ConnectFailed.
func (a *attempt) handleFirstEventTimeout() {
	if a.conn != nil && !a.conn.RequestWritten() {
		a.finish(control.ConnectFailed, false)
		return
	}
	a.finish(control.TimedOut, false)
}

// restartStreamIdleTimer bounds the time until the next piece of the stream.
func (a *attempt) restartStreamIdleTimer() {
	a.streamIdleTimer.Fire = a.handleStreamIdleTimeout
	a.exchange.server.loop.StartTimer(&a.streamIdleTimer, connlimit.StreamIdleTimeout)
}

// handleStreamIdleTimeout ends a stream on which the engine has sent nothing for
// connlimit.StreamIdleTimeout.
func (a *attempt) handleStreamIdleTimeout() {
	a.exchange.server.counters.stalled++
	a.finish(control.Reset, true)
}

func (a *attempt) stopTimers() {
	a.exchange.server.loop.StopTimer(&a.firstEventTimer)
	a.exchange.server.loop.StopTimer(&a.streamIdleTimer)
}
