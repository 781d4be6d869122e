package control

import (
	"cmp"
	"slices"
	"time"
)

const (
	// expiryInterval is the time between calls of expireAndDecay.
	expiryInterval = time.Second
	// healthCheckJitter is the range of the random initial check times of endpoints, in microseconds. It makes
	// each router check new endpoints in a different order.
	healthCheckJitter = 1000
)

const roleCount = int(RoleColocated) + 1

// perRole is indexed by Role.
type perRole [roleCount]float64

// endpoint is an entry of the endpoint list with this router's state for it.
type endpoint struct {
	listEntry
	load      endpointLoad
	health    endpointHealth
	slowStart slowStartState
}

// listEntry is an entry of the endpoint list with the properties of its EngineKind.
type listEntry struct {
	Endpoint
	role         Role
	memoryTokens Tokens // KV memory; 0 for unknown
}

// endpointLoad is the load that this router puts on an endpoint.
type endpointLoad struct {
	attempts     []*request // requests with an attempt in flight there
	demand       Tokens     // KV memory that these requests need; 0 for prefill engines
	trafficShare float64    // target share of all requests, set by Router.rebalance; unused for decode engines
}

// addAttempt starts the next attempt of a request at an endpoint.
func (e *endpoint) addAttempt(request *request, next attempt) {
	request.attempts++
	request.latest = next
	e.load.attempts = append(e.load.attempts, request)
	if e.role != RolePrefill {
		e.load.demand += request.demand
	}
}

// removeAttempt ends the latest attempt of a request.
func (e *endpoint) removeAttempt(ended *request) {
	ended.latest.inFlight = false
	e.load.attempts = slices.DeleteFunc(e.load.attempts, func(other *request) bool { return other == ended })
	if e.role != RolePrefill {
		e.load.demand -= ended.demand
	}
}

// relativeLoad returns the number of this router's attempts in flight divided by the endpoint's weight.
func (e *endpoint) relativeLoad() float64 { return float64(len(e.load.attempts)) / e.Weight }

// update applies an entry of the endpoint list. If the engine has restarted, it resets the health.
func (e *endpoint) update(entry Endpoint, kind EngineKind) {
	if entry.StartedAt > e.slowStart.startedAt && entry.State == Ready {
		e.slowStart.startedAt = entry.StartedAt
		e.health.restart()
	}
	e.Endpoint = entry
	e.Weight = max(entry.Weight, minWeight)
	e.role = kind.Role
	e.memoryTokens = kind.MemoryTokens
}

// endpointTable holds the listed endpoints. An endpoint that is gone is kept while it has an attempt in
// flight, and then until the next call of removeGone.
type endpointTable struct {
	byID  map[EndpointID]*endpoint
	all   []*endpoint // sorted by id
	ready []*endpoint // endpoints in state Ready, sorted by id
}

// add adds an endpoint to byID and appends it to the list all. The caller must then call removeGone, which
// sorts the list.
func (t *endpointTable) add(id EndpointID, added *endpoint) {
	t.byID[id] = added
	t.all = append(t.all, added)
}

// removeGone removes the endpoints that are gone and have no attempt in flight, and sorts the others.
func (t *endpointTable) removeGone() {
	slices.SortFunc(t.all, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	t.all = slices.DeleteFunc(t.all, func(e *endpoint) bool {
		gone := e.State == Gone && len(e.load.attempts) == 0
		if gone {
			delete(t.byID, e.ID)
		}
		return gone
	})
}

// ejectionLimitReached reports whether too few endpoints of the target's role would remain if the target were
// ejected. If most endpoints of a role fail, they probably share a cause that ejection does not remove.
func (t *endpointTable) ejectionLimitReached(target *endpoint) bool {
	total, healthy := 0.0, 0.0
	for _, e := range t.ready {
		if e.role == target.role {
			total++
			if e != target && !e.health.ejected() {
				healthy++
			}
		}
	}
	return healthy < total*(1-maxEjectedShare)
}

// medianLoads returns the reference loads for prefill and colocated endpoints. An endpoint's load is compared
// with that of its role. The reference for colocated endpoints is derived from decode engines, if there are
// any.
func (t *endpointTable) medianLoads() perRole {
	colocated := colocatedShare * t.medianLoad(RoleDecode)
	if !slices.ContainsFunc(t.ready, func(e *endpoint) bool { return e.role == RoleDecode }) {
		colocated = t.medianLoad(RoleColocated)
	}
	return perRole{RolePrefill: t.medianLoad(RolePrefill), RoleColocated: colocated}
}

// medianLoad returns the median load of a role's endpoints that are ready and not ejected. For an even number
// of endpoints it is the upper of the two middle loads, and without endpoints it is 0.
func (t *endpointTable) medianLoad(role Role) float64 {
	loads := []float64{}
	for _, e := range t.ready {
		if e.role == role && !e.health.ejected() {
			loads = append(loads, e.relativeLoad())
		}
	}
	slices.Sort(loads)
	loads = append(loads, 0)
	return loads[(len(loads)-1)/2]
}

// nextToCheck returns the endpoint whose latest health check is the oldest, or nil if there is none. It skips
// endpoints that are gone or have a health check in flight.
func (t *endpointTable) nextToCheck() *endpoint {
	var next *endpoint
	for _, e := range t.all {
		if e.State == Gone || e.health.checkInFlight {
			continue
		}
		if next == nil || e.health.checkedAt < next.health.checkedAt {
			next = e
		}
	}
	return next
}

// updateEndpoints applies changes of the endpoint list. Endpoints that are draining or gone get no further
// attempts.
func (r *Router) updateEndpoints(event EndpointUpdate) {
	listed := map[EndpointID]bool{}
	for _, entry := range event.Endpoints {
		listed[entry.ID] = true
		known := r.endpoints.byID[entry.ID]
		if known == nil {
			known = &endpoint{health: endpointHealth{checkedAt: Time(r.rng.Uint64N(healthCheckJitter))}}
			r.endpoints.add(entry.ID, known)
		}
		known.update(entry, r.settings.Engines.Kinds[entry.Kind])
	}
	for _, e := range r.endpoints.all {
		if event.Full && !listed[e.ID] {
			e.State = Gone
		}
	}
	r.endpoints.removeGone()
	r.rebalance()
}

// expireAndDecay drops idle sessions and updates the dispatch rate, the decaying counts and the traffic
// shares.
func (r *Router) expireAndDecay() {
	r.dispatches.update(r.now.Sub(r.expiredAt))
	r.expiredAt = r.now
	r.sessions.expire(r.now)
	r.prefixes.decay()
	r.capacity.decay()
	r.rebalance()
}
