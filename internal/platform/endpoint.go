package platform

import (
	"time"

	"martenlock/control"
	"martenlock/internal/upstream"
)

// engineHost is the Host field of every request to an engine.
const engineHost = "api.internal"

// endpoint is one engine: the connections to it and what has passed on them.
type endpoint struct {
	upstream.Pool
	server    *Server
	id        control.EndpointID
	address   string // for the log
	name      string // in the endpoint list, for the log
	kind      int    // index in the settings' kinds
	startedAt control.Time
	attempts  map[*attempt]struct{} // those with a connection

	traffic engineTraffic
}

// attemptStarted records an attempt that was handed to a connection.
func (e *endpoint) attemptStarted(a *attempt) {
	e.attempts[a] = struct{}{}
	e.traffic.attempts++
}

// recordFirstEvent counts a first event and the time from the attempt's start to it.
func (e *endpoint) recordFirstEvent(elapsed time.Duration) {
	e.traffic.firstEvents++
	e.traffic.firstEventWait += elapsed
	e.traffic.longestWait = max(e.traffic.longestWait, elapsed)
}

// attemptEnded records the end of an attempt, also of one without a connection.
func (e *endpoint) attemptEnded(a *attempt, result control.Result) {
	delete(e.attempts, a)
	e.traffic.results[result]++
}

// connClosed is the upstream.Pool's OnConnClosed. It logs the reason, unless that is routine.
func (e *endpoint) connClosed(reason upstream.CloseReason) {
	if !reason.IsRoutine() {
		e.server.events.connLine().Str("endpoint_name", e.name).Stringer("reason", reason).Msg("engine connection closed")
	}
	e.removeIfUnused()
}

// removeIfUnused removes an engine that is no longer listed from the table once it has no open
// connection.
func (e *endpoint) removeIfUnused() {
	if e.Removed && e.Open() == 0 && e.server.endpoints.byID[e.id] == e {
		delete(e.server.endpoints.byID, e.id)
	}
}

// limitPendingSends gives requests that were not yet written completely to a draining engine until
// the end of its grace period. They end as not sent then.
func (e *endpoint) limitPendingSends() {
	grace := max(e.server.config.Settings.Control.Limits.DrainGrace, time.Millisecond)
	for a := range e.attempts {
		if a.conn != nil {
			a.conn.SendWithin(grace)
		}
	}
}

// delist closes the idle connections of an engine that is no longer listed. Attempts in flight
// go on.
func (e *endpoint) delist() {
	e.Removed = true
	e.CloseIdle()
	e.removeIfUnused()
}
