package platform

import (
	"time"

	"martenlock/control"
	"martenlock/control/connlimit"
	"martenlock/control/connreuse"
	"martenlock/internal/http1"
	"martenlock/internal/upstream"
)

// maxResponseBodyBytes bounds the body of an engine's response.
const maxResponseBodyBytes = 4 << 20

// endpointTable holds the engines, and the options, budget and reuse policy that their connections share.
type endpointTable struct {
	byID        map[control.EndpointID]*endpoint
	connOptions upstream.Options
	connBudget  upstream.Budget
	reusePolicy connreuse.Policy
}

func newEndpointTable(s *Server) endpointTable {
	settings := &s.config.Settings
	return endpointTable{
		byID: map[control.EndpointID]*endpoint{},
		connOptions: upstream.Options{
			Limits:         http1.Limits{Line: maxLineBytes, Headers: maxHeadBytes, Fields: maxHeaderFields, Body: maxResponseBodyBytes},
			ConnectTimeout: settings.Control.Limits.ConnectTimeout,
			IdleTimeout:    connlimit.EngineIdleTimeout(settings.EngineKeepAliveTimeout),
			MaxPerEngine:   s.limits.maxEngineConns,
			MaxTotal:       s.limits.maxEngineConns,
			ReusePolicy:    clockedReusePolicy{server: s},
		},
	}
}

// newEndpoint adds an engine without connections to the table.
func (s *Server) newEndpoint(id control.EndpointID) *endpoint {
	e := &endpoint{
		server:   s,
		id:       id,
		attempts: map[*attempt]struct{}{},
		ConnPool: upstream.ConnPool{Loop: s.loop, Options: &s.endpoints.connOptions, Budget: &s.endpoints.connBudget},
	}
	e.Rest = &e.restPolicy
	e.OnConnClosed = e.connClosed
	s.endpoints.byID[id] = e
	return e
}

// endpointName returns an engine's id in the endpoint list, or "" if the engine is not in the table.
func (s *Server) endpointName(id control.EndpointID) string {
	e := s.endpoints.byID[id]
	if e == nil {
		return ""
	}
	return e.name
}

// clockedReusePolicy implements upstream.ReusePolicy with connreuse.Policy, which gets the current time
// with each call.
type clockedReusePolicy struct{ server *Server }

// MayReuse implements upstream.ReusePolicy.
func (p clockedReusePolicy) MayReuse(idleFor time.Duration, notIdempotent bool) bool {
	return p.server.endpoints.reusePolicy.MayReuse(p.server.now(), idleFor, notIdempotent)
}

// Observe implements upstream.ReusePolicy.
func (p clockedReusePolicy) Observe(idleFor, elapsed time.Duration, lost bool) {
	outcome := connreuse.Outcome{Idle: idleFor, Elapsed: elapsed, Lost: lost}
	p.server.endpoints.reusePolicy.RecordOutcome(p.server.now(), outcome)
}
