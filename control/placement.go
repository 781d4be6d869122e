package control

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minWeight is the least weight of an endpoint, and the least count of a prefix.
	minWeight = 0.01
	// overloadMedian is the multiple of the median of our loads above which an endpoint is passed over.
	overloadMedian = 2.0
	// fewRequests is the number of our requests at one endpoint that never overload it.
	fewRequests = 3.0
	// affinitySpread is the factor by which the candidates of a prefix cover more than its share of requests.
	// They get other requests too.
	affinitySpread = 2.0
	// behindOthers is the factor on the score of an overloaded endpoint, which puts it behind the others.
	behindOthers = minWeight
	// popularityPrior is the number of requests of other prefixes that count as seen before ours.
	popularityPrior = 20.0
	// popularityDecay is the share of the counts of prefixes that is kept each second.
	popularityDecay = 0.97
)

// placePrefill returns an endpoint for the prefill of a request. It returns nil if none can take it.
//
// The endpoint of the session's latest prefill comes first, unless it is overloaded. Otherwise the less
// loaded of two random candidates is taken. The candidates are the first few in the order of the request's
// prefix: so many that none takes more of the prefix than its share of all traffic. All routers come to much
// the same candidates.
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
			score *= behindOthers
		}
		candidates = append(candidates, affinityCandidate{endpoint: e, score: score})
	}
	if len(candidates) == 0 {
		return nil
	}
	if key != 0 { // a request without prefix and session has no affinity
		candidates = preferredCandidates(candidates, r.prefixes.share(request.PrefixHash))
	}
	first := candidates[r.rng.IntN(len(candidates))]
	second := candidates[r.rng.IntN(len(candidates))]
	return lessLoaded(first.endpoint, second.endpoint)
}

// mayPrefill reports whether an endpoint can take the prefill of a request and is not overloaded.
func (r *Router) mayPrefill(e *endpoint, request *request, medians perRole) bool {
	load := e.relativeLoad()
	overloaded := load*e.Weight >= fewRequests && load > overloadMedian*medians[e.role]
	demand := float64(e.load.demand / r.capacity.demandPerRequest())
	hasCapacity := e.role == RolePrefill || demand < r.capacity.share(e.memoryTokens)
	return hasCapacity && !overloaded && r.eligible(e, request)
}

// placeDecode returns the less loaded of two random endpoints for the answer of a request, which has a KV
// state. It returns nil if none can take it.
//
// Decode engines of the cell of the KV state come first, as far as these can take what its prefill engines
// produce. Those of its zone that have more than their cell needs follow, then all such, then all. Colocated
// engines take a KV state only if no decode engine can.
func (r *Router) placeDecode(request *request) *endpoint {
	choice := newScopeChoice(&r.topology, r.rng, request.kv.holder)
	for _, role := range [...]Role{RoleDecode, RoleColocated} {
		for _, e := range r.endpoints.ready {
			if e.role == role && r.eligible(e, request) {
				choice.add(e)
			}
		}
		if list := choice.preferred(); len(list) > 0 {
			first := list[r.rng.IntN(len(list))]
			second := list[r.rng.IntN(len(list))]
			return lessLoaded(first, second)
		}
	}
	return nil
}

// eligible reports whether a request may go to an endpoint. The endpoint must be ready, healthy or due for
// probation, and warmed up or admitted in slow start. It must neither reject us nor have failed the request.
func (r *Router) eligible(e *endpoint, request *request) bool {
	if e.State != Ready || r.now < e.health.rejectingUntil || slices.Contains(request.excluded, e) {
		return false
	}
	if !inDedupScope(e, request) || e.health.ejected() && !e.onProbation(request, r.now) {
		return false
	}
	return r.warmedUp(e) || r.admittedInSlowStart(e, request)
}

// inDedupScope reports whether an endpoint drops a repeat of the request, if it may have been executed and
// has a key. Other requests may go to any endpoint.
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

// affinityCandidate is an endpoint that can take a prefill, with its score for the prefix.
type affinityCandidate struct {
	endpoint *endpoint
	score    float64
}

// preferredCandidates returns the first few in the order of their scores, as many as a prefix with this share
// of all requests needs. It reorders the list.
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
// compute the same order, and an endpoint that leaves moves its own keys only.
func rendezvousScore(key uint64, id EndpointID, weight float64) float64 {
	return weight / -math.Log(hashFraction(key, id))
}

// prefixPopularity counts requests by prefix. The counts decay.
type prefixPopularity struct {
	requests map[uint64]float64
	total    float64 // includes requests of no prefix
}

// observe counts a request of a prefix; 0 for none.
func (p *prefixPopularity) observe(prefix uint64) {
	p.total++
	if prefix != 0 {
		p.requests[prefix]++
	}
}

// share returns the share of all requests that a prefix has.
func (p *prefixPopularity) share(prefix uint64) float64 {
	return p.requests[prefix] / (p.total + popularityPrior)
}

// decay reduces all counts, and drops the prefixes that are rare by then.
func (p *prefixPopularity) decay() {
	p.total *= popularityDecay
	for prefix := range p.requests {
		p.requests[prefix] *= popularityDecay
		if p.requests[prefix] < minWeight {
			delete(p.requests, prefix)
		}
	}
}
