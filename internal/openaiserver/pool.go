package openaiserver

import (
	"slices"

	"martenlock/control"
	"martenlock/control/admission"
	"martenlock/internal/config"
	"martenlock/internal/decisionloop"
	"martenlock/internal/endpointlist"
	"martenlock/internal/openai"
)

// pool is one instance of the decision module and the requests that it decides on.
type pool struct {
	server    *Server
	settings  *config.Pool
	config    *config.Config // in force when the pool was created
	mailbox   decisionloop.Mailbox[*exchange]
	exchanges decisionloop.Exchanges[*exchange]

	embeddings *embeddingCache
	admission  *admissionQueue
	batches    *batchScheduler

	tokenLimits    admission.TokenLimits    // of one request at the listed engines
	tokenEstimator admission.TokenEstimator // corrects estimated prompt lengths
	openRequests   int                      // accepted for the pool and not yet answered

	readyEndpoints int    // listed as ready
	modelRevision  string // at the ready engine listed last
	revisionsMixed bool   // ready engines serve several revisions

	isRetired bool // it accepts no new requests
	isRemoved bool // it has no requests left and is in no table
}

// poolTable holds the pools of a server.
type poolTable struct {
	current []*pool // of the configuration in force
	retired []*pool // of earlier configurations, with requests that are not answered yet
}

// all returns the current pools and the retired ones.
func (t *poolTable) all() []*pool { return slices.Concat(t.current, t.retired) }

// find returns the pool that serves a model through an API. A pool that names the model takes precedence over one
// that names none and so serves any. find returns nil if there is neither.
func (t *poolTable) find(api openai.API, model string) (fallback *pool) {
	for _, p := range t.current {
		for _, served := range p.settings.APIs {
			if served != api {
				continue
			}
			if len(p.settings.Models) == 0 {
				fallback = p
			}
			if slices.Contains(p.settings.Models, model) {
				return p
			}
		}
	}
	return fallback
}

// createPools replaces the current pools by those of the configuration in force.
func (s *Server) createPools() {
	s.pools.current = nil
	for i := range s.config.Pools {
		s.pools.current = append(s.pools.current, newPool(s, &s.config.Pools[i], uint64(i)))
	}
}

// retirePools retires the current pools. Each serves the requests that it has accepted.
func (s *Server) retirePools() {
	for _, p := range s.pools.current {
		p.isRetired = true
		s.pools.retired = append(s.pools.retired, p)
		p.removeIfDrained()
	}
}

// seedStep is the distance between the seeds of two pools: 2^64 divided by the golden ratio, which spreads them.
const seedStep = 0x9e3779b97f4a7c15

// newPool returns a pool whose decision module knows no endpoints yet. index is the pool's place in the
// configuration.
func newPool(s *Server, settings *config.Pool, index uint64) *pool {
	controlSettings := s.config.Control
	p := &pool{server: s, settings: settings, config: s.config, exchanges: decisionloop.NewExchanges[*exchange]()}
	controlSettings.Engines.ReportFields = settings.ReportFields
	controlSettings.Identity.Zone = s.topology.zone(s.config.Zone)
	controlSettings.Identity.Seed = s.seed + index*seedStep
	p.mailbox = decisionloop.Mailbox[*exchange]{
		Loop:        s.loop,
		Router:      control.New(controlSettings, s.now()),
		Exchanges:   p.exchanges.ByID,
		Logger:      s.log.With().Str("pool", settings.Name).Logger(),
		Now:         s.now,
		CheckHealth: p.checkHealth,
		AfterPoll:   p.afterPoll,
	}
	p.embeddings = newEmbeddingCache(p)
	p.admission = newAdmissionQueue(p)
	p.batches = newBatchScheduler(p)
	return p
}

// push hands an event to the decision module at the end of this iteration of the event loop.
func (p *pool) push(event control.Event) { p.mailbox.Push(event) }

// afterPoll removes the exchanges that have ended, and the pool itself if it is retired and has no requests left.
func (p *pool) afterPoll() {
	p.exchanges.RemoveEnded((*exchange).isRemovable)
	p.removeIfDrained()
}

// checkHealth starts a health check. Its result reaches the decision module as an event.
func (p *pool) checkHealth(id control.EndpointID) {
	e := p.server.engines.byID[id]
	if e == nil {
		p.push(control.HealthCheckResult{Endpoint: id, Result: control.NotSent})
		return
	}
	e.checkHealth(p)
}

// removeIfDrained removes a retired pool that has no requests, exchanges or events left.
func (p *pool) removeIfDrained() {
	if !p.isRetired || p.isRemoved || len(p.exchanges.ByID) > 0 || p.mailbox.Len() > 0 || p.openRequests > 0 {
		return
	}
	p.isRemoved = true
	p.mailbox.DisableTimers()
	pools := &p.server.pools
	index := slices.Index(pools.retired, p)
	if index >= 0 {
		pools.retired = slices.Delete(pools.retired, index, index+1)
	}
}

// applyEndpoints applies an endpoint list: it notifies the decision module, the admission queue and the batcher of the
// pool's engines.
func (p *pool) applyEndpoints(list []endpointlist.Endpoint) {
	s := p.server
	update := control.EndpointUpdate{Full: true}
	p.readyEndpoints = 0
	p.modelRevision = ""
	p.revisionsMixed = false
	var capacities []admission.EndpointCapacity
	for i := range list {
		endpoint := &list[i]
		kind := slices.Index(p.config.Kinds, endpoint.Kind) // a retired pool's configuration may number kinds differently
		if endpoint.Pool != p.settings.Name || kind < 0 {
			continue
		}
		if endpoint.State != control.Gone {
			capacities = append(capacities, admission.EndpointCapacity{
				Role:         p.config.Control.Engines.Kinds[kind].Role,
				MemoryTokens: float64(p.config.Control.Engines.Kinds[kind].MemoryTokens),
			})
		}
		if endpoint.State == control.Ready {
			p.addReadyEndpoint(endpoint.Revision)
		}
		update.Endpoints = append(update.Endpoints, control.Endpoint{
			ID:        endpoint.ID,
			State:     endpoint.State,
			Kind:      kind,
			Weight:    endpoint.Weight,
			StartedAt: s.controlTime(endpoint.StartedAt),
			Zone:      s.topology.zone(endpoint.Zone),
			Cell:      s.topology.cell(endpoint.Zone, endpoint.Cell),
		})
	}
	p.tokenLimits = admission.NewTokenLimits(p.settings.MaxContextTokens, capacities)
	p.admission.queue.SetReadyEndpoints(p.readyEndpoints)
	p.batches.batcher.SetReadyEndpoints(p.readyEndpoints)
	p.push(update)
}

// addReadyEndpoint counts a ready engine and records whether its revision of the model differs from another's.
func (p *pool) addReadyEndpoint(revision string) {
	p.revisionsMixed = p.revisionsMixed || p.readyEndpoints > 0 && revision != p.modelRevision
	p.modelRevision = revision
	p.readyEndpoints++
}

// maxAttempts returns how many attempts a request of the class may have.
func (p *pool) maxAttempts(class *control.Class) int {
	if class.MaxAttempts > 0 {
		return min(class.MaxAttempts, p.config.Control.Limits.MaxAttempts)
	}
	return p.config.Control.Limits.MaxAttempts
}
