package control

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minWeight is the lower bound of an endpoint's weight. It is also the request count below which a prefix
	// is dropped.
	minWeight = 0.01
	// overloadFactor is a limit on the ratio of an endpoint's load to the reference load of its role. Above
	// it, the endpoint is overloaded.
	overloadFactor = 2.0
	// overloadMinRequests is the minimum number of this router's requests in flight at an overloaded
	// endpoint.
	overloadMinRequests = 3.0
	// affinitySpread is the ratio of the traffic share of a prefix's candidates to the prefix's share of
	// requests. It is above 1 because the candidates also serve requests without this prefix.
	affinitySpread = 2.0
	// overloadPenalty is the factor on the score of an endpoint that is overloaded or has no capacity. It
	// ranks the endpoint behind the others.
	overloadPenalty = minWeight
	// popularityPrior is added to the number of all requests, so that a prefix among the first few requests
	// does not count as popular.
	popularityPrior = 20.0
	// popularityDecay is the factor that reduces the request counts of prefixes each second.
	popularityDecay = 0.97
)

// placePrefill returns an endpoint for the prefill of a request. It returns nil if none can take it.
//
// It prefers the endpoint of the session's latest prefill, if mayPrefill holds for it. Otherwise it returns
// the less loaded of two random candidates. The candidates are the eligible endpoints that rank highest by
// rendezvous hashing of the request's prefix, or of its session if it has no prefix. Their number grows with
// the prefix's share of all requests, so that a popular prefix does not overload them. All routers select
// nearly the same candidates.
func (r *Router) placePrefill(request *request) *endpoint {
	medians := r.endpoints.medianLoads()
	if last := request.session.lastPrefill; last != nil && r.mayPrefill(last, request, medians) {
		return last
	}
	key := cmp.Or(request.PrefixHash, request.SessionID)
	candidates := make([]affinityCandidate, 0, len(r.endpoints.ready))
	for _, e := range r.endpoints.ready {
		if e.role == RoleDecode || !r.eligible(e, request) {
			continue
		}
		score := rendezvousScore(key, e.ID, e.load.trafficShare)
		if !r.mayPrefill(e, request, medians) {
			score *= overloadPenalty
		}
		candidates = append(candidates, affinityCandidate{endpoint: e, score: score})
	}
	if len(candidates) == 0 {
		return nil
	}
	if key != 0 { // a request with neither prefix nor session has no affinity
		candidates = preferredCandidates(candidates, r.prefixes.share(request.PrefixHash))
	}
	first := candidates[r.rng.IntN(len(candidates))]
	second := candidates[r.rng.IntN(len(candidates))]
	return lessLoaded(first.endpoint, second.endpoint)
}

// mayPrefill reports whether an endpoint is eligible for the prefill of a request, has capacity and is not
// overloaded.
func (r *Router) mayPrefill(e *endpoint, request *request, medians perRole) bool {
	load := e.relativeLoad()
	overloaded := load*e.Weight >= overloadMinRequests && load > overloadFactor*medians[e.role]
	demand := float64(e.load.demand / r.capacity.demandPerRequest())
	hasCapacity := e.role == RolePrefill || demand < r.capacity.memoryShare(e.memoryTokens)
	return hasCapacity && !overloaded && r.eligible(e, request)
}

// placeDecode returns an endpoint that streams the answer of a request with a KV state: the less loaded of
// two random endpoints of the preferred locality. It returns nil if no endpoint can take the request.
// Colocated engines are used only if no decode engine can take it.
func (r *Router) placeDecode(request *request) *endpoint {
	localities := newLocalityChoice(&r.topology, r.rng, request.kv.holder)
	for _, role := range [...]Role{RoleDecode, RoleColocated} {
		for _, e := range r.endpoints.ready {
			if e.role == role && r.eligible(e, request) {
				localities.add(e)
			}
		}
		if endpoints := localities.preferred(); len(endpoints) > 0 {
			first := endpoints[r.rng.IntN(len(endpoints))]
			second := endpoints[r.rng.IntN(len(endpoints))]
			return lessLoaded(first, second)
		}
	}
	return nil
}

// eligible reports whether a request may be forwarded to an endpoint. An endpoint is not eligible if it is
// not ready, recently rejected an attempt, is excluded for the request, or is outside the request's
// deduplication scope. An ejected endpoint is eligible only for an attempt on probation, and an endpoint in
// slow start only for a request that is admitted there.
func (r *Router) eligible(e *endpoint, request *request) bool {
	if e.State != Ready || r.now < e.health.rejectingUntil || slices.Contains(request.excluded, e) {
		return false
	}
	if !inDedupScope(e, request) || e.health.ejected() && !e.onProbation(request, r.now) {
		return false
	}
	return r.warmedUp(e) || r.admittedInSlowStart(e, request)
}

// inDedupScope reports whether an endpoint is in the deduplication scope of a request. The scope is limited
// only if the request has an idempotency key and may already have been executed. It is then the zone or cell
// of the first engine that may have executed it, unless all engines drop repeats. Prefill engines are always
// in scope.
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

// affinityCandidate is an endpoint that can take a prefill, with its rendezvous score for the request's
// prefix or session.
type affinityCandidate struct {
	endpoint *endpoint
	score    float64
}

// preferredCandidates returns the candidates with the highest scores, as many as are needed for a prefix with
// this share of all requests. It sorts the list in place.
func preferredCandidates(candidates []affinityCandidate, prefixShare float64) []affinityCandidate {
	byScore := func(a, b affinityCandidate) int { return cmp.Compare(b.score, a.score) }
	slices.SortFunc(candidates, byScore)
	uncovered := affinitySpread * prefixShare
	for i, candidate := range candidates {
		uncovered -= candidate.endpoint.load.trafficShare
		if uncovered <= 0 {
			return candidates[:i+1]
		}
	}
	return candidates
}

// lessLoaded returns the less loaded of two endpoints, the first if their loads are equal.
func lessLoaded(first, second *endpoint) *endpoint {
	if second.relativeLoad() < first.relativeLoad() {
		return second
	}
	return first
}

// rendezvousScore returns the score of an endpoint for a key by weighted rendezvous hashing. All routers
// compute the same order. If an endpoint is removed, only its own keys move to other endpoints.
func rendezvousScore(key uint64, id EndpointID, weight float64) float64 {
	return weight / -math.Log(hashFraction(key, id))
}

// prefixPopularity counts requests by prefix, with exponential decay.
type prefixPopularity struct {
	requests map[uint64]float64 // by prefix hash
	total    float64            // includes requests without a prefix
}

// observe counts a request by its prefix hash, which is 0 for a request without a prefix.
func (p *prefixPopularity) observe(prefix uint64) {
	p.total++
	if prefix != 0 {
		p.requests[prefix]++
	}
}

// share returns the share of recent requests that have the given prefix, from 0 to 1. While there are few
// requests, popularityPrior lowers it.
func (p *prefixPopularity) share(prefix uint64) float64 {
	return p.requests[prefix] / (p.total + popularityPrior)
}

// decay reduces all counts and drops rare prefixes. Without this the map would grow without bound.
func (p *prefixPopularity) decay() {
	p.total *= popularityDecay
	for prefix := range p.requests {
		p.requests[prefix] *= popularityDecay
		if p.requests[prefix] < minWeight {
			delete(p.requests, prefix)
		}
	}
}
