package openaiserver

import (
	"slices"

	"martenlock/control"
	"martenlock/control/admission"
	"martenlock/internal/config"
	"martenlock/internal/decisionloop"
	"martenlock/internal/nodes"
	"martenlock/internal/openai"
)

// pool is one instance of the decision module with its requests.
type pool struct {
	server    *Server
	settings  *config.Pool
	config    *config.Config // in force when it was created
	mailbox   decisionloop.Mailbox[*exchange]
	exchanges exchangeTable

	embeddings *embeddingCache
	admission  *admissionQueue
	batches    *batchScheduler

	tokenLimits    admission.TokenLimits    // of one request, at the engines that are listed
	tokenEstimator admission.TokenEstimator // corrects the estimates of prompts
	openRequests   int                      // accepted for it and not yet answered

	readyEndpoints int    // listed as ready
	modelRevision  string // at the ready engine listed last
	revisionsMixed bool   // ready engines are of several revisions

	isRetired bool // new requests go to another
	isRemoved bool // it owes nothing any more
}

// poolTable holds the pools of a server.
type poolTable struct {
	current []*pool // of the settings in force
	retired []*pool // of settings before, which still owe answers
}

// all returns the current pools and the retired ones.
func (t *poolTable) all() []*pool { return slices.Concat(t.current, t.retired) }

// find returns the pool that serves a model, or nil.
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

// createPools makes the pools of the settings in force.
func (s *Server) createPools() {
	s.pools.current = nil
	for i := range s.config.Pools {
		s.pools.current = append(s.pools.current, newPool(s, &s.config.Pools[i], uint64(i)))
	}
}

// retirePools has the current pools serve the requests they have, and no others.
func (s *Server) retirePools() {
	for _, p := range s.pools.current {
		p.isRetired = true
		s.pools.retired = append(s.pools.retired, p)
		p.removeIfDrained()
	}
}

// seedStep spreads the seeds of a server's pools: 2^64 divided by the golden ratio.
const seedStep = 0x9e3779b97f4a7c15

// newPool returns a pool with a module that knows nothing yet.
func newPool(s *Server, settings *config.Pool, index uint64) *pool {
	controlSettings := s.config.Control
	p := &pool{server: s, settings: settings, config: s.config, exchanges: newExchangeTable()}
	controlSettings.Engines.ReportFields = settings.ReportFields
	controlSettings.Identity.Zone = s.topology.zone(s.config.Zone)
	controlSettings.Identity.Seed = s.seed + index*seedStep
	p.mailbox = decisionloop.Mailbox[*exchange]{
		Loop:        s.loop,
		Router:      control.New(controlSettings, s.now()),
		Exchanges:   p.exchanges.byID,
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

// push hands an event to the module at the end of this iteration, together with all others of
// the iteration.
func (p *pool) push(event control.Event) { p.mailbox.Push(event) }

// afterPoll forgets the exchanges that have ended.
func (p *pool) afterPoll() {
	p.exchanges.removeEnded()
	p.removeIfDrained()
}

// checkHealth asks an engine how it is.
func (p *pool) checkHealth(id control.EndpointID) {
	e := p.server.engines.byID[id]
	if e == nil {
		p.push(control.HealthCheckResult{Endpoint: id, Result: control.NotSent})
		return
	}
	e.checkHealth(p)
}

// removeIfDrained forgets a retired pool when it owes nothing any more.
func (p *pool) removeIfDrained() {
	if !p.isRetired || p.isRemoved || len(p.exchanges.byID) > 0 || p.mailbox.Len() > 0 || p.openRequests > 0 {
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

// applyNodes tells the module of the pool's engines.
func (p *pool) applyNodes(list []nodes.Node) {
	s := p.server
	update := control.EndpointUpdate{Full: true}
	p.readyEndpoints = 0
	p.modelRevision = ""
	p.revisionsMixed = false
	var capacities []admission.Endpoint
	for i := range list {
		node := &list[i]
		kind := slices.Index(p.config.Kinds, node.Kind) // settings in force before may number them otherwise
		if node.Pool != p.settings.Name || kind < 0 {
			continue
		}
		if node.State != control.Gone {
			capacities = append(capacities, admission.Endpoint{
				Role:         p.config.Control.Engines.Kinds[kind].Role,
				MemoryTokens: float64(p.config.Control.Engines.Kinds[kind].MemoryTokens),
			})
		}
		if node.State == control.Ready {
			p.addReadyEndpoint(node.Revision)
		}
		update.Endpoints = append(update.Endpoints, control.Endpoint{
			ID:        node.ID,
			State:     node.State,
			Kind:      kind,
			Weight:    node.Weight,
			StartedAt: s.routerTime(node.StartedAt),
			Zone:      s.topology.zone(node.Zone),
			Cell:      s.topology.cell(node.Zone, node.Cell),
		})
	}
	p.tokenLimits = admission.NewTokenLimits(p.settings.MaxContextTokens, capacities)
	p.admission.queue.SetReadyEndpoints(p.readyEndpoints)
	p.batches.batcher.SetReadyEndpoints(p.readyEndpoints)
	p.push(update)
}

// addReadyEndpoint counts a ready engine, and compares its revision of the model.
func (p *pool) addReadyEndpoint(revision string) {
	p.revisionsMixed = p.revisionsMixed || p.readyEndpoints > 0 && revision != p.modelRevision
	p.modelRevision = revision
	p.readyEndpoints++
}

// maxAttempts is how many attempts a class has.
func (p *pool) maxAttempts(class *control.Class) int {
	if class.MaxAttempts > 0 {
		return min(class.MaxAttempts, p.config.Control.Limits.MaxAttempts)
	}
	return p.config.Control.Limits.MaxAttempts
}
