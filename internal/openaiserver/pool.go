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

// pool is a configured pool of engines, with its own instance of the decision module and the requests that the instance
// decides on.
type pool struct {
	server    *Server
	settings  *config.Pool
	config    *config.Config // in force when the pool was created
	mailbox   decisionloop.Mailbox[*exchange]
	exchanges decisionloop.Exchanges[*exchange]

	embeddingCache *embeddingCache
	admissionQueue *admissionQueue
	batchScheduler *batchScheduler

	tokenLimits    admission.TokenLimits    // of a single request, according to the listed engines
	tokenEstimator admission.TokenEstimator // corrects estimated prompt lengths
	openRequests   int                      // accepted for the pool and not yet answered

	readyEndpoints int    // number of endpoints that are listed as ready
	modelRevision  string // of the last ready engine in the list; "" if none is ready
	revisionsMixed bool   // ready engines serve different revisions

	isRetired bool // the pool accepts no new requests
	isRemoved bool // the pool has no requests left and is in no poolTable
}

type poolTable struct {
	current []*pool // of the current configuration
	retired []*pool // of earlier configurations, with requests that are not answered yet
}

func (t *poolTable) all() []*pool { return slices.Concat(t.current, t.retired) }

// find returns the pool that serves the given model through the given API, or nil if there is none. A pool without a
// list of models serves every model. A pool whose list has the model takes precedence.
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

// createPools replaces the current pools by new ones according to the current configuration.
func (s *Server) createPools() {
	s.pools.current = nil
	for i := range s.config.Pools {
		s.pools.current = append(s.pools.current, newPool(s, &s.config.Pools[i], uint64(i)))
	}
}

// retirePools retires the current pools. Each is kept until the requests that it has accepted are complete.
func (s *Server) retirePools() {
	for _, p := range s.pools.current {
		p.isRetired = true
		s.pools.retired = append(s.pools.retired, p)
		p.removeIfDrained()
	}
}

// seedStep is the distance between the seeds of consecutive pools: 2^64 divided by the golden ratio, which distributes
// the seeds evenly.
const seedStep = 0x9e3779b97f4a7c15

// newPool returns a pool whose decision module knows no endpoints yet. index is the pool's position in the
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
	p.embeddingCache = newEmbeddingCache(p)
	p.admissionQueue = newAdmissionQueue(p)
	p.batchScheduler = newBatchScheduler(p)
	return p
}

// push queues an event that the decision module receives at the end of this event loop iteration.
func (p *pool) push(event control.Event) { p.mailbox.Push(event) }

// afterPoll is called after each poll of the decision module. It removes the exchanges that have ended, and the pool
// itself if it is retired and has no requests left.
func (p *pool) afterPoll() {
	p.exchanges.RemoveEnded((*exchange).isRemovable)
	p.removeIfDrained()
}

// checkHealth starts a health check. Its result is pushed to the decision module.
func (p *pool) checkHealth(id control.EndpointID) {
	e := p.server.engines.byID[id]
	if e == nil {
		p.push(control.HealthCheckResult{Endpoint: id, Result: control.NotSent})
		return
	}
	e.checkHealth(p)
}

// removeIfDrained removes the pool from the server if it is retired and has no requests, exchanges or events left.
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

// applyEndpoints passes the pool's endpoints from the list to the decision module, the admission queue and the batcher.
func (p *pool) applyEndpoints(list []endpointlist.Endpoint) {
	s := p.server
	update := control.EndpointUpdate{Full: true}
	p.readyEndpoints = 0
	p.modelRevision = ""
	p.revisionsMixed = false
	var capacities []admission.EndpointCapacity
	for i := range list {
		endpoint := &list[i]
		kind := slices.Index(p.config.Kinds, endpoint.Kind) // the index may differ in a retired pool's configuration
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
	p.admissionQueue.queue.SetReadyEndpoints(p.readyEndpoints)
	p.batchScheduler.batcher.SetReadyEndpoints(p.readyEndpoints)
	p.push(update)
}

// addReadyEndpoint counts a ready engine and records whether ready engines serve different revisions of the model.
func (p *pool) addReadyEndpoint(revision string) {
	p.revisionsMixed = p.revisionsMixed || p.readyEndpoints > 0 && revision != p.modelRevision
	p.modelRevision = revision
	p.readyEndpoints++
}

// maxAttempts returns the lower of the class's own limit on attempts, if it has one, and the limit for all classes.
func (p *pool) maxAttempts(class *control.Class) int {
	if class.MaxAttempts > 0 {
		return min(class.MaxAttempts, p.config.Control.Limits.MaxAttempts)
	}
	return p.config.Control.Limits.MaxAttempts
}
