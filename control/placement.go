package control

import (
	"cmp"
	"math"
	"slices"
)

// Which endpoint takes which stage.
const (
	minWeight       = 0.01 // least weight of an endpoint, and of a prefix's count
	overloadMedian  = 2.0  // an endpoint with so many times the median of our load is passed over
	fewRequests     = 3.0  // of ours at one endpoint that are never too many
	affinitySpread  = 2.0  // candidates of a prefix take so many times its share of requests: others come
	popularityPrior = 20.0 // requests of other prefixes taken as seen before ours
	popularityDecay = 0.97 // of the counts of prefixes that is kept each second
)

// placePrefill returns the endpoint of the session's latest prefill unless that is overloaded, else the less
// loaded of two among the first few in the order of the request's prefix: so many that none takes more of it
// than its share of all traffic. All routers come to much the same. Nil where none can take the request.
func (r *Router) placePrefill(request *request) *endpoint {
	medians := r.medianLoads()
	if last := request.session.lastPrefill; last != nil && r.mayPrefill(last, request, medians) {
		return last
	}
	key := cmp.Or(request.PrefixHash, request.SessionID)
	var candidates []*endpoint
	for _, e := range r.endpoints.ready {
		if e.role == RoleDecode || !r.eligible(e, request) {
			continue
		}
		e.affinityScore = rendezvousScore(key, e.ID, e.trafficShare)
		if !r.mayPrefill(e, request, medians) {
			e.affinityScore *= minWeight // behind the others
		}
		candidates = append(candidates, e)
	}
	if len(candidates) == 0 {
		return nil
	}
	if key != 0 { // otherwise nothing binds it to any
		candidates = r.affinityCandidates(candidates, r.prefixes.share(request.PrefixHash))
	}
	return r.lessLoaded(candidates)
}

// mayPrefill tells whether an endpoint can take the prefill of a request and is not overloaded.
func (r *Router) mayPrefill(e *endpoint, request *request, medians [roleCount]float64) bool {
	overloaded := e.load()*e.Weight >= fewRequests && e.load() > overloadMedian*medians[e.role]
	demand := float64(e.demand / max(r.traffic.meanDemand.value, 1))
	hasCapacity := e.role == RolePrefill || demand < r.capacityShare(e.memoryTokens)
	return hasCapacity && !overloaded && r.eligible(e, request)
}

// affinityCandidates keeps the first few in the order of their scores, as many as a prefix with so large a
// share of all requests needs.
func (r *Router) affinityCandidates(candidates []*endpoint, prefixShare float64) []*endpoint {
	byScore := func(a, b *endpoint) int { return cmp.Compare(b.affinityScore, a.affinityScore) }
	slices.SortFunc(candidates, byScore)
	uncovered := affinitySpread * prefixShare
	for i, e := range candidates {
		uncovered -= e.trafficShare
		if uncovered <= 0 {
			return candidates[:i+1]
		}
	}
	return candidates
}

// placeDecode returns the less loaded of two random decode engines: from the cell of the KV state as far as
// these can take what its prefill engines produce, else from those of its zone that have more than their cell
// needs, else from all such. Colocated engines take a KV state only when no decode engine can. Nil for none.
func (r *Router) placeDecode(request *request) *endpoint {
	choice := &scopeChoice{router: r, origin: request.kvHolder}
	choice.cellDraw = r.rng.Float64()
	choice.zoneDraw = r.rng.Float64()
	for _, role := range []Role{RoleDecode, RoleColocated} {
		for _, e := range r.endpoints.ready {
			if e.role == role && r.eligible(e, request) {
				choice.add(e)
			}
		}
		for _, list := range choice.scopes {
			if len(list) > 0 {
				return r.lessLoaded(list)
			}
		}
	}
	return nil
}

// The scopes of a choice, the best first.
const (
	sameCell  = iota
	sameZone  // what the other cells of the zone can spare
	otherZone // what all zones can spare
	anywhere
)

// add puts an endpoint in a scope by draws of chance against shares, so that all routers together balance.
func (c *scopeChoice) add(e *endpoint) {
	c.scopes[anywhere] = append(c.scopes[anywhere], e)
	rng := c.router.rng
	cell := c.router.topology.cells[e.Cell]
	zone := c.router.topology.zones[e.Zone]
	spare := rng.Float64()*cell.decode < cell.decode-cell.prefill
	switch {
	case e.Cell == c.origin.Cell && c.cellDraw*cell.prefill <= cell.decode:
		c.scopes[sameCell] = append(c.scopes[sameCell], e)
	case spare && e.Zone == c.origin.Zone && c.zoneDraw*zone.prefill <= zone.decode:
		c.scopes[sameZone] = append(c.scopes[sameZone], e)
	case spare && rng.Float64()*zone.decode < zone.decode-zone.prefill:
		c.scopes[otherZone] = append(c.scopes[otherZone], e)
	}
}

// eligible tells whether a request may go to an endpoint: ready, healthy or due for probation, not rejecting
// us, not failed for this request before, warmed up or admitted in slow start.
func (r *Router) eligible(e *endpoint, request *request) bool {
	if e.State != Ready || r.now < e.rejectingUntil || slices.Contains(request.excluded, e) {
		return false
	}
	if !inDedupScope(e, request) || e.ejected() && !r.onProbation(e, request) {
		return false
	}
	return r.warmedUp(e) || r.admittedInSlowStart(e, request)
}

// inDedupScope keeps a request with a key that may have been executed within the endpoints that drop its
// repeats.
func inDedupScope(e *endpoint, request *request) bool {
	first := request.firstExecution.endpoint
	class := request.class
	bound := first != nil && class.Idempotency == IdempotentWithKey && e.role != RolePrefill
	switch {
	case bound && class.DedupScope == DedupScopeZone:
		return e.Zone == first.Zone
	case bound && class.DedupScope == DedupScopeCell:
		return e.Cell == first.Cell
	}
	return true
}

// load is the number of our attempts at an endpoint, over its weight.
func (e *endpoint) load() float64 { return float64(len(e.attempts)) / e.Weight }

// lessLoaded returns the less loaded of two random endpoints.
func (r *Router) lessLoaded(list []*endpoint) *endpoint {
	first := list[r.rng.IntN(len(list))]
	second := list[r.rng.IntN(len(list))]
	if second.load() < first.load() {
		return second
	}
	return first
}

// medianLoads is the load by which an endpoint of each role is overloaded. A colocated engine is compared
// with decode engines, where there are any.
func (r *Router) medianLoads() [roleCount]float64 {
	colocated := colocatedShare * r.medianLoad(RoleDecode)
	if !slices.ContainsFunc(r.endpoints.ready, func(e *endpoint) bool { return e.role == RoleDecode }) {
		colocated = r.medianLoad(RoleColocated)
	}
	return [roleCount]float64{RolePrefill: r.medianLoad(RolePrefill), RoleColocated: colocated}
}

// medianLoad is the lower median of the loads of a role's endpoints that are not ejected; 0 for none.
func (r *Router) medianLoad(role Role) float64 {
	loads := []float64{}
	for _, e := range r.endpoints.ready {
		if e.role == role && !e.ejected() {
			loads = append(loads, e.load())
		}
	}
	slices.Sort(loads)
	loads = append(loads, 0)
	return loads[(len(loads)-1)/2]
}

// rendezvousScore scores an endpoint for a key by weighted rendezvous hashing: all routers agree on the
// order, and an endpoint that leaves moves its own keys only.
func rendezvousScore(key uint64, id EndpointID, weight float64) float64 {
	return weight / -math.Log(hashFraction(key, id))
}

// share is the share of all requests that a prefix has.
func (p *prefixPopularity) share(prefix uint64) float64 {
	return p.requests[prefix] / (p.total + popularityPrior)
}
