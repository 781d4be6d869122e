package openaiserver

import (
	"net/http"

	"martenlock/control"
	"martenlock/control/connreuse"
	"martenlock/internal/endpointlist"
	"martenlock/internal/enginecall"
	"martenlock/internal/http1"
	"martenlock/internal/openai"
	"martenlock/internal/upstream"
)

// engine holds the connections to one engine and the KV releases that the engine has not confirmed.
type engine struct {
	upstream.ConnPool
	server     *Server
	endpoint   endpointlist.Endpoint
	releases   kvReleases
	restPolicy connreuse.RestPolicy
}

// engineTable holds the engines and the options and budget that their connections share.
type engineTable struct {
	byID        map[control.EndpointID]*engine // listed engines, and unlisted ones with connections or pending KV releases
	connOptions upstream.Options
	connBudget  upstream.Budget
}

func newEngineTable() engineTable {
	return engineTable{byID: map[control.EndpointID]*engine{}}
}

func newEngine(s *Server) *engine {
	e := &engine{
		server:   s,
		releases: newKVReleases(),
		ConnPool: upstream.ConnPool{Loop: s.loop, Options: &s.engines.connOptions, Budget: &s.engines.connBudget},
	}
	e.Rest = &e.restPolicy
	e.OnConnClosed = e.connClosed
	return e
}

// connClosed is called after a connection was closed. It logs the reason unless the reason is routine, and removes the
// engine if it is now unused.
func (e *engine) connClosed(reason upstream.CloseReason, use upstream.ConnUse) {
	if !reason.IsRoutine() {
		e.server.log.Debug().
			Str("endpoint", e.endpoint.Name).
			Stringer("reason", reason).
			Int("connection", use.Number).
			Int("requests", use.Requests).
			Dur("idle_ms", use.IdleFor).
			Msg("engine connection closed")
	}
	e.removeIfUnused()
}

// SetEndpoints replaces the endpoint list and does not wait until the new list is in force. list must have passed
// endpointlist.Parse. SetEndpoints may be called from any goroutine.
func (s *Server) SetEndpoints(list []endpointlist.Endpoint) {
	s.loop.Post(func() { s.applyEndpoints(list) })
}

// applyEndpoints does the work of SetEndpoints on the event loop.
func (s *Server) applyEndpoints(list []endpointlist.Endpoint) {
	isListed := map[control.EndpointID]bool{}
	for i := range list {
		isListed[list[i].ID] = true
		s.addOrUpdateEngine(list[i])
	}
	for id, e := range s.engines.byID {
		if !isListed[id] {
			e.Removed = true
			e.CloseIdle()
			e.removeIfUnused()
		}
	}
	for _, p := range s.pools.all() {
		p.applyEndpoints(list)
	}
	s.log.Info().Int("endpoints", len(list)).Msg("endpoint list applied")
}

func (s *Server) addOrUpdateEngine(endpoint endpointlist.Endpoint) {
	e := s.engines.byID[endpoint.ID]
	if e == nil {
		e = newEngine(s)
		s.engines.byID[endpoint.ID] = e
	}
	processChanged := e.endpoint.Addr != endpoint.Addr || !e.endpoint.StartedAt.Equal(endpoint.StartedAt)
	if processChanged { // connections to the previous process must not be reused
		e.CloseIdle()
	}
	e.endpoint = endpoint
	e.Addr = endpoint.Addr
	e.Removed = false
}

// removeIfUnused removes an engine that is no longer listed and has no connections and no pending KV releases.
func (e *engine) removeIfUnused() {
	if e.Removed && e.Open() == 0 && len(e.releases.pending) == 0 && e.server.engines.byID[e.endpoint.ID] == e {
		delete(e.server.engines.byID, e.endpoint.ID)
	}
}

// requestHeadBytes is the initial capacity of the buffer for a request head. Nearly every head fits, so that building
// it allocates only once.
const requestHeadBytes = 256

// newRequestHead returns the start of a request head: the request line and the Host field.
func (e *engine) newRequestHead(method, path string) []byte {
	head := http1.AppendRequest(make([]byte, 0, requestHeadBytes), method, path)
	return http1.AppendField(head, "Host", e.endpoint.Addr.String())
}

// checkHealth starts a health check. Its result is pushed to the pool's decision module.
func (e *engine) checkHealth(p *pool) {
	loop := e.server.loop
	startedAt := loop.Now()
	var loadReport []float64
	enginecall.Call{
		Head:    append(e.newRequestHead(http.MethodGet, healthPath), crlf...),
		Timeout: e.server.config.Limits.HealthCheckTimeout,
		OnHead: func(head *http1.Head) {
			loadReport = openai.ParseLoadReport(head.Get("endpoint-load-metrics"), p.settings.ReportMetrics)
		},
		OnDone: func(result enginecall.Result) {
			p.push(control.HealthCheckResult{
				Endpoint: e.endpoint.ID,
				Result:   classifyHealthCheck(result),
				Elapsed:  loop.Now() - startedAt,
				Report:   loadReport,
			})
		},
	}.Start(&e.ConnPool)
}

// classifyHealthCheck converts the result of a health check call to that of the decision module.
func classifyHealthCheck(result enginecall.Result) control.Result {
	switch {
	case result.Outcome == enginecall.NoConnection:
		return control.NotSent
	case result.Outcome == enginecall.TimedOut:
		return control.TimedOut
	case result.Outcome == enginecall.ConnFailed && result.ConnError.Established:
		return control.Reset
	case result.Outcome == enginecall.ConnFailed:
		return control.ConnectFailed
	case result.Status != http.StatusOK:
		return control.Failed
	}
	return control.OK
}
