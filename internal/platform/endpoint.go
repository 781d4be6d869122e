package platform

import (
	"time"

	"martenlock/control"
	"martenlock/control/connlimit"
	"martenlock/control/connreuse"
	"martenlock/control/membership"
	"martenlock/internal/http1"
	"martenlock/internal/upstream"
)

// endpoint is one engine: the connections to it, and what has passed on them.
type endpoint struct {
	upstream.Pool
	server    *Server
	id        control.EndpointID
	address   string // for the log
	name      string // as it is listed, for the log
	kind      int
	startedAt control.Time
	attempts  map[*attempt]struct{} // in flight on its connections

	traffic engineTraffic
}

// endpointTable holds the engines, and what their connections share.
type endpointTable struct {
	byID        map[control.EndpointID]*endpoint
	connOptions upstream.Options
	connBudget  upstream.Budget
	reusePolicy connreuse.Policy
}

// engineHost is the Host field of every request to an engine.
const engineHost = "api.internal"

// maxResponseBodyBytes bounds an engine's whole response.
const maxResponseBodyBytes = 4 << 20

func newEndpointTable(s *Server) endpointTable {
	settings := &s.config.Settings
	return endpointTable{
		byID: map[control.EndpointID]*endpoint{},
		connOptions: upstream.Options{
			Limits:         http1.Limits{Line: maxLineBytes, Headers: maxHeadBytes, Fields: maxHeaderFields, Body: maxResponseBodyBytes},
			ConnectTimeout: settings.Control.Limits.ConnectTimeout,
			IdleTimeout:    connlimit.EngineIdleTimeout(settings.EngineIdleTimeout),
			MaxPerEngine:   s.limits.maxEngineConns,
			MaxTotal:       s.limits.maxEngineConns,
			ReusePolicy:    reuseObserver{server: s},
		},
	}
}

// attemptStarted takes in an attempt that is being sent.
func (e *endpoint) attemptStarted(a *attempt) {
	e.attempts[a] = struct{}{}
	e.traffic.attempts++
}

// recordFirstEvent counts an answer's first event and the time until it.
func (e *endpoint) recordFirstEvent(elapsed time.Duration) {
	e.traffic.firstEvents++
	e.traffic.firstEventWait += elapsed
	e.traffic.longestWait = max(e.traffic.longestWait, elapsed)
}

// attemptEnded takes in an attempt's end.
func (e *endpoint) attemptEnded(a *attempt, result control.Result) {
	delete(e.attempts, a)
	e.traffic.results[result]++
}

// connEnded takes in the end of a connection.
func (e *endpoint) connEnded(reason upstream.CloseReason) {
	if !reason.IsRoutine() {
		e.server.events.connection().Str("endpoint_name", e.name).Stringer("reason", reason).Msg("engine connection closed")
	}
	e.removeIfUnused()
}

// removeIfUnused forgets an engine that is not listed any more and has no connection left.
func (e *endpoint) removeIfUnused() {
	if e.Removed && e.Open() == 0 && e.server.endpoints.byID[e.id] == e {
		delete(e.server.endpoints.byID, e.id)
	}
}

// updateEndpoints brings the engines in line with the list, and tells the module of the change.
func (s *Server) updateEndpoints(update control.EndpointUpdate) {
	s.updateConnections(update)
	s.push(update)
}

// updateConnections brings the engines' connections in line with the list.
func (s *Server) updateConnections(update control.EndpointUpdate) {
	for _, changed := range update.Endpoints {
		member, isListed := s.membership.Get(changed.ID)
		if isListed {
			s.listEndpoint(member)
		}
	}
	var ready, draining []control.EndpointID
	for id, e := range s.endpoints.byID {
		member, isListed := s.membership.Get(id)
		if isListed && member.State == control.Ready {
			ready = append(ready, id)
			continue
		}
		e.limitPendingSends()
		if isListed {
			draining = append(draining, id)
		} else {
			e.delist()
		}
	}
	if len(ready) == 0 { // draining ones finish what they have, and release KV state too
		ready = draining
	}
	s.kvReleases.scheduler.SetEndpoints(ready)
}

// limitPendingSends ends, as not sent, the requests to a draining engine that have not been
// written whole by the end of its grace period.
func (e *endpoint) limitPendingSends() {
	grace := max(e.server.config.Settings.Control.Limits.DrainGrace, time.Millisecond)
	for a := range e.attempts {
		if a.conn != nil {
			a.conn.SendWithin(grace)
		}
	}
}

// delist closes the idle connections of an engine that is not listed any more. Attempts in
// flight go on.
func (e *endpoint) delist() {
	e.Removed = true
	e.CloseIdle()
	e.removeIfUnused()
}

// listEndpoint takes in a listed engine, new or changed.
func (s *Server) listEndpoint(member membership.Endpoint) {
	e := s.endpoints.byID[member.ID]
	if e == nil {
		e = s.newEndpoint(member.ID)
	} else if e.Addr != member.Addr || e.startedAt != member.StartedAt { // another process: the old connections lead nowhere
		e.CloseIdle()
	}
	e.Addr = member.Addr
	e.address = member.Addr.String()
	e.name = member.Name
	e.kind = member.Kind
	e.startedAt = member.StartedAt
	e.Removed = false
}

// newEndpoint adds an engine without connections.
func (s *Server) newEndpoint(id control.EndpointID) *endpoint {
	e := &endpoint{
		server:   s,
		id:       id,
		attempts: map[*attempt]struct{}{},
		Pool:     upstream.Pool{Loop: s.loop, Options: &s.endpoints.connOptions, Budget: &s.endpoints.connBudget},
	}
	e.OnConnClosed = e.connEnded
	s.endpoints.byID[id] = e
	return e
}

// reuseObserver is the upstream.ReusePolicy of all connections: the policy of their reuse, and the
// clock that it is told.
type reuseObserver struct{ server *Server }

// MayReuse tells whether a connection that was idle for so long may carry a request.
func (o reuseObserver) MayReuse(idleFor time.Duration, mustNotRepeat bool) bool {
	return o.server.endpoints.reusePolicy.MayReuse(o.server.now(), idleFor, mustNotRepeat)
}

// Observe takes in how a request fared on a connection that had been idle.
func (o reuseObserver) Observe(idleFor, after time.Duration, isLost bool) {
	outcome := connreuse.Outcome{Idle: idleFor, Elapsed: after, Lost: isLost}
	o.server.endpoints.reusePolicy.RecordOutcome(o.server.now(), outcome)
}
