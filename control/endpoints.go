package control

import (
	"maps"
	"time"
)

// Updates of the endpoint list, expiry and decay.
const (
	expiryInterval     = time.Second      // between expiries
	sessionIdleTimeout = 60 * time.Second // a session without a request for so long is forgotten
	healthCheckJitter  = 1000             // microseconds; each router checks new endpoints in its own order
)

// updateEndpoints applies changes of the endpoint list. An endpoint that drains or is gone gets nothing more
// from this moment on, which keeps the rule of drains at once.
func (r *Router) updateEndpoints(event EndpointUpdate) {
	listed := map[EndpointID]bool{}
	for _, entry := range event.Endpoints {
		listed[entry.ID] = true
		r.updateEndpoint(entry)
	}
	for _, e := range r.endpoints.all {
		if event.Full && !listed[e.ID] {
			e.State = Gone
		}
	}
	r.endpoints.removeGone()
	r.rebalance()
}

// updateEndpoint applies one entry of the list.
func (r *Router) updateEndpoint(entry Endpoint) {
	known := r.endpoints.byID[entry.ID]
	if known == nil {
		known = &endpoint{healthCheckedAt: Time(r.rng.Uint64N(healthCheckJitter))}
		r.endpoints.byID[entry.ID] = known
		r.endpoints.all = append(r.endpoints.all, known)
	}
	if entry.StartedAt > known.slowStartSince && entry.State == Ready { // a new process: what we knew is void
		known.slowStartSince = entry.StartedAt
		known.failureRate = 0
		known.relativeLatency = ewma[float64]{}
	}
	known.Endpoint = entry
	known.Weight = max(entry.Weight, minWeight)
	known.role = r.settings.Engines.Kinds[entry.Kind].Role
	known.memoryTokens = r.settings.Engines.Kinds[entry.Kind].MemoryTokens
}

// expireAndDecay drops idle sessions and lets what was counted fade.
func (r *Router) expireAndDecay() {
	seconds := r.now.Sub(r.expiredAt).Seconds()
	r.expiredAt = r.now
	r.traffic.releaseRate.observe(r.traffic.released/seconds, latencyAlpha)
	r.traffic.released = 0
	idle := func(_ uint64, row *session) bool { return r.now.Sub(row.seenAt) > sessionIdleTimeout }
	maps.DeleteFunc(r.sessions, idle)
	r.prefixes.decay(popularityDecay, minWeight)
	r.capacity.sentSinceReport *= sentDecay
	r.rebalance()
}
