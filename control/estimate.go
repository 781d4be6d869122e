package control

import (
	"cmp"
	"math"
	"time"

	"martenlock/control/internal/ewma"
)

const (
	// chanceQueue is the length of a queue that chance explains. It says nothing of how fast requests leave.
	chanceQueue = 3
	// overheadTokens is the fixed cost of a prefill, in prompt tokens.
	overheadTokens = 500
	// latencyAlpha is the weight of an observation in averages over a role, an endpoint or our releases.
	latencyAlpha = 0.2
	// bestAlpha is the weight of an observation that is better than the average of the better ones.
	bestAlpha = 0.5
	// meanAlpha is the weight of an observation in means over all requests.
	meanAlpha = 0.05
	// outlierCap is the multiple of the mean as which an observation counts at most.
	outlierCap = 1.5
	// estimateMargin is the factor by which an estimate may be too low. A request that is rejected early
	// costs less than one that fails late.
	estimateMargin = 1.25
	// estimateMax is the longest estimate, in seconds.
	estimateMax = 60.0
	// estimateFadeTime is the time constant with which an estimate without new observations fades.
	estimateFadeTime = 2 * time.Second
)

// secondsPerToken is a time to compute or fetch one token.
type secondsPerToken float64

// times returns the seconds for a number of tokens.
func (s secondsPerToken) times(tokens Tokens) float64 { return float64(s) * float64(tokens) }

// latencyEstimator holds averages of the times that attempts took.
type latencyEstimator struct {
	roles         [roleCount]roleLatency
	answerSeconds []ewma.Average[float64] // by class
}

// roleLatency holds averages over all endpoints of one role.
type roleLatency struct {
	mean            ewma.Average[secondsPerToken]
	best            ewma.Average[secondsPerToken] // of the better times
	observedAt      Time                          // latest of these times
	relativeLatency ewma.Average[float64]         // time of its answers over the mean of their class
}

// observe records the time that an endpoint of a role took for a prefill, or to a first token. It returns
// the time for each token.
func (l *latencyEstimator) observe(
	role Role, elapsed time.Duration, tokens Tokens, now Time,
) secondsPerToken {
	perToken := secondsPerToken(elapsed.Seconds() / float64(tokens+overheadTokens))
	stats := &l.roles[role]
	stats.mean.Observe(min(perToken, outlierCap*cmp.Or(stats.mean.Value, perToken)), latencyAlpha)
	riseAlpha := 1 - math.Exp(-now.Sub(stats.observedAt).Seconds()/estimateFadeTime.Seconds())
	stats.best.ObserveLow(perToken, bestAlpha, riseAlpha)
	stats.observedAt = now
	return perToken
}

// observeAnswer records the time of a whole answer. It returns that time over the mean of its class.
func (l *latencyEstimator) observeAnswer(role Role, class int, elapsed time.Duration) (relative float64) {
	seconds := elapsed.Seconds()
	mean := &l.answerSeconds[class]
	relative = seconds / cmp.Or(mean.Value, seconds)
	l.roles[role].relativeLatency.Observe(relative, latencyAlpha)
	mean.Observe(seconds, meanAlpha)
	return relative
}

// expectedTime returns a multiple of the mean time that an endpoint of a role takes for a number of tokens.
func (l *latencyEstimator) expectedTime(role Role, tokens Tokens, multiple float64) time.Duration {
	perToken := secondsPerToken(multiple) * l.roles[role].mean.Value
	return time.Duration(perToken.times(tokens) * float64(time.Second))
}

// timeToFirstToken returns the best-case estimate for a prompt of which a part has to be computed.
func (l *latencyEstimator) timeToFirstToken(uncached, prompt Tokens, now Time) time.Duration {
	seconds := 0.0
	for role, tokens := range [...]Tokens{RolePrefill: uncached, RoleDecode: prompt} {
		stats := &l.roles[role]
		age := now.Sub(stats.observedAt).Seconds() / estimateFadeTime.Seconds()
		seconds += stats.best.Value.times(tokens+overheadTokens) * math.Exp(-age)
	}
	return time.Duration(estimateMargin * min(seconds, estimateMax) * float64(time.Second))
}

// estimateFirstToken returns the least time in which a request could still get its first token.
func (r *Router) estimateFirstToken(request *request) time.Duration {
	uncached := request.uncachedTokens(request.session.lastPrefill)
	return r.latency.timeToFirstToken(uncached, request.PromptTokens, r.now)
}

// missesObjective reports whether a queued request can't get its first token in time, or its client leaves
// before the next tick. Only the latter holds for a resumed request, which already got its first token.
func (r *Router) missesObjective(request *request) bool {
	ahead := float64(max(request.heapIndex-chanceQueue, 0))
	firstToken := r.now.Add(r.estimateFirstToken(request) + r.releases.timeFor(ahead))
	late := firstToken > min(request.firstTokenDue, request.Deadline)
	return r.now.Add(finishReserve) >= request.Deadline || !request.Resumed && late
}
