package platform

import (
	"time"

	"martenlock/control"
	"martenlock/control/connreuse"
	"martenlock/internal/upstream"
)

// engineHost is the value of the Host field of every request to an engine.
const engineHost = "api.internal"

// endpoint is an engine with its connections and the attempts on them.
type endpoint struct {
	upstream.ConnPool
	server    *Server
	id        control.EndpointID
	address   string // for log lines
	name      string // id in the endpoint list, for log lines
	kind      int    // index into the settings' engine kinds
	startedAt control.Time
	attempts  map[*attempt]struct{} // attempts in flight that have a connection

	restPolicy connreuse.RestPolicy
	stats      engineStats
}

// attemptStarted records an attempt that has been given a connection.
func (e *endpoint) attemptStarted(a *attempt) {
	e.attempts[a] = struct{}{}
	e.stats.attempts++
}

// recordFirstEvent counts a first event. elapsed is the time since the attempt's start.
func (e *endpoint) recordFirstEvent(elapsed time.Duration) {
	e.stats.firstEvents++
	e.stats.totalFirstEventTime += elapsed
	e.stats.maxFirstEventTime = max(e.stats.maxFirstEventTime, elapsed)
}

// attemptEnded records the end of an attempt, whether or not it had a connection.
func (e *endpoint) attemptEnded(a *attempt, result control.Result) {
	delete(e.attempts, a)
	e.stats.results[result]++
}

// connClosed is the OnConnClosed callback of upstream.ConnPool. It logs the reason unless it is routine.
func (e *endpoint) connClosed(reason upstream.CloseReason, use upstream.ConnUse) {
	if !reason.IsRoutine() {
		e.server.events.connLine().
			Str("endpoint_name", e.name).
			Stringer("reason", reason).
			Int("connection", use.Number).
			Int("requests", use.Requests).
			Dur("idle_ms", use.IdleFor).
			Msg("engine connection closed")
	}
	e.removeIfUnused()
}

// removeIfUnused removes the engine from the table if it is no longer listed and has no open connection.
func (e *endpoint) removeIfUnused() {
	if e.Removed && e.Open() == 0 && e.server.endpoints.byID[e.id] == e {
		delete(e.server.endpoints.byID, e.id)
	}
}

// limitPendingSends bounds the time to finish writing requests to an engine that drains or has left the
// list. The connection of a request that is not written completely within the drain grace is closed.
func (e *endpoint) limitPendingSends() {
	grace := max(e.server.config.Settings.Control.Limits.DrainGrace, time.Millisecond)
	for a := range e.attempts {
		if a.conn != nil {
			a.conn.SendWithin(grace)
		}
	}
}

// delist marks the engine as no longer listed and closes its idle connections. Attempts in flight
// continue.
func (e *endpoint) delist() {
	e.Removed = true
	e.CloseIdle()
	e.removeIfUnused()
}
