package control

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// The order of the queue, and the estimates of times.
const (
	promotionRatio  = 4.0              // wait over service time of a session above which a request is promoted
	finishReserve   = 2 * tickInterval // before a deadline in which a request is finished without service
	chanceQueue     = 3                // so many ahead in the queue say nothing of how fast it moves
	outputShare     = 0.3              // share of MaxTokens that an answer is taken to need, before it is known
	overheadTokens  = 500              // fixed cost of a prefill, in prompt tokens
	latencyAlpha    = 0.2              // weight of a new sample in averages of a role, an endpoint, our releases
	bestAlpha       = 0.5              // weight of a time that is better than the better times
	meanAlpha       = 0.05             // weight of a new sample in the means over all requests
	sampleCap       = 1.5              // times the mean, as which a sample counts at most
	estimateMargin  = 1.25             // an estimate may be so much too low: rejected early beats failed late
	estimateMax     = 60.0             // seconds; no estimate is longer
	estimateFadesIn = 2 * time.Second  // time constant with which an estimate without new samples fades
)

// servedBefore orders the queue: promoted requests in order of arrival, then those of the session with the
// least accumulated service time.
func servedBefore(a, b *request) bool {
	switch {
	case a.promoted != b.promoted:
		return a.promoted
	case !a.promoted && a.session.serviceTime != b.session.serviceTime:
		return a.session.serviceTime < b.session.serviceTime
	}
	return a.sequence < b.sequence
}

// release forwards queued requests while decode engines have capacity. Prefills in flight are counted as
// load that these will get, or KV states would pile up at the prefill engines.
func (r *Router) release() {
	capacity := r.freeCapacity()
	for len(r.queue) > 0 && capacity >= r.capacity.releaseThreshold {
		request := heap.Pop(&r.queue).(*request)
		if r.missesObjective(request) {
			r.finishWithoutService(request, FinishedMissingObjective)
			continue
		}
		target := r.placePrefill(request)
		if target == nil {
			heap.Push(&r.queue, request)
			return
		}
		request.session.waitTime += r.now.Sub(request.arrivedAt)
		r.forward(request, target)
		r.traffic.released++
		r.capacity.releaseThreshold = 1 - r.rng.Float64()*(1-1/float64(r.settings.Identity.Routers))
		capacity -= float64(request.demand / r.traffic.meanDemand.value)
	}
}

// promote guards against starvation: long waiters go first, and those that miss their objective are
// finished without service.
func (r *Router) promote() {
	var late []*request
	for _, request := range r.queue {
		wait := float64(request.session.waitTime + r.now.Sub(request.arrivedAt))
		request.promoted = wait > promotionRatio*float64(request.session.serviceTime)
		if r.missesObjective(request) {
			late = append(late, request)
		}
	}
	heap.Init(&r.queue)
	slices.SortFunc(late, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, request := range late {
		r.finishWithoutService(request, FinishedMissingObjective)
	}
}

// missesObjective tells that a queued request can't have its first token in time, or that its client leaves
// before the next look.
func (r *Router) missesObjective(request *request) bool {
	ahead := float64(max(request.heapIndex-chanceQueue, 0))
	queueSeconds := ahead / cmp.Or(r.traffic.releaseRate.value, math.Inf(1))
	firstToken := r.now.Add(r.estimateFirstToken(request) + time.Duration(queueSeconds*float64(time.Second)))
	late := firstToken > min(request.firstTokenDue, request.Deadline)
	return r.now.Add(finishReserve) >= request.Deadline || !request.Resumed && late
}

// estimateFirstToken is the least time in which a request could yet get its first token.
func (r *Router) estimateFirstToken(request *request) time.Duration {
	uncached := request.uncachedTokens(request.session.lastPrefill)
	seconds := 0.0
	for role, tokens := range []Tokens{RolePrefill: uncached, RoleDecode: request.PromptTokens} {
		stats := &r.latency.roles[role]
		age := r.now.Sub(stats.observedAt).Seconds() / estimateFadesIn.Seconds()
		seconds += stats.bestSecondsPerToken.value.times(tokens+overheadTokens) * math.Exp(-age)
	}
	return time.Duration(estimateMargin * min(seconds, estimateMax) * float64(time.Second))
}

// uncachedTokens is how much of a prompt an endpoint is thought to have to compute.
func (q *request) uncachedTokens(target *endpoint) Tokens {
	cached := q.PrefixTokens
	if q.session.lastPrefill == target {
		cached = max(cached, q.session.cachedTokens)
	}
	return max(q.PromptTokens-cached, 0)
}

// observe takes in the time that an endpoint of a role took for a prefill, or to a first token, and returns
// it in seconds per token.
func (l *latencyEstimator) observe(role Role, elapsed time.Duration, tokens Tokens, now Time) secondsPerToken {
	perToken := secondsPerToken(elapsed.Seconds() / float64(tokens+overheadTokens))
	stats := &l.roles[role]
	capped := min(perToken, sampleCap*cmp.Or(stats.secondsPerToken.value, perToken))
	stats.secondsPerToken.observe(capped, latencyAlpha)
	riseAlpha := 1 - math.Exp(-now.Sub(stats.observedAt).Seconds()/estimateFadesIn.Seconds())
	stats.bestSecondsPerToken.observeLow(perToken, bestAlpha, riseAlpha)
	stats.observedAt = now
	return perToken
}

// expectedTime is so many times what an endpoint of a role takes for so many tokens.
func (l *latencyEstimator) expectedTime(role Role, tokens Tokens, multiple float64) time.Duration {
	mean := secondsPerToken(multiple) * l.roles[role].secondsPerToken.value
	return time.Duration(mean.times(tokens) * float64(time.Second))
}

// secondsPerToken is a time of prefill or fetch for each token.
type secondsPerToken float64

// times returns the seconds for a number of tokens.
func (s secondsPerToken) times(tokens Tokens) float64 { return float64(s) * float64(tokens) }
