package control

import (
	"cmp"
	"math"
	"time"

	"martenlock/control/internal/ewma"
)

const (
	// ignoredQueueLength is the number of queued requests that add no waiting time to the estimate. A queue
	// of this length also forms by chance.
	ignoredQueueLength = 3
	// overheadTokens is the fixed cost of a prefill, or of fetching a KV state, in prompt tokens.
	overheadTokens = 500
	// latencyAlpha is the weight of an observation in the averages of a role, of an endpoint and of the
	// dispatch rate.
	latencyAlpha = 0.2
	// bestAlpha is the weight of an observation that is below the average, for averages that follow low
	// values.
	bestAlpha = 0.5
	// meanAlpha is the weight of an observation in means over all requests.
	meanAlpha = 0.05
	// outlierCap is the multiple of the mean to which an observation is limited.
	outlierCap = 1.5
	// estimateMargin is the factor on the best-case estimate of the time to first token. It favors early
	// rejection, which costs less than a late failure.
	estimateMargin = 1.25
	// estimateMax is the upper bound of the estimate before estimateMargin, in seconds.
	estimateMax = 60.0
	// estimateFadeTime is the time constant of the exponential decay of an estimate without new observations.
	estimateFadeTime = 2 * time.Second
)

// secondsPerToken is the time to compute or fetch one token.
type secondsPerToken float64

// times returns the time for a number of tokens, in seconds.
func (s secondsPerToken) times(tokens Tokens) float64 { return float64(s) * float64(tokens) }

// latencyEstimator holds averages of the durations of attempts.
type latencyEstimator struct {
	roles         [roleCount]roleLatency
	answerSeconds []ewma.Average[float64] // whole answers, by class
}

// roleLatency holds averages over all endpoints of one role.
type roleLatency struct {
	mean            ewma.Average[secondsPerToken]
	best            ewma.Average[secondsPerToken] // follows the lower times
	observedAt      Time                          // latest observation of mean and best
	answerTimeRatio ewma.Average[float64]         // answer times relative to the mean of their class
}

// observe records how long an attempt took until its prefill was done or its answer began, at an endpoint
// with the given role. It returns the time per token.
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

// observeAnswer records the duration of a whole answer. It returns the ratio of this duration to the previous
// mean of the class.
func (l *latencyEstimator) observeAnswer(role Role, class int, elapsed time.Duration) (ratio float64) {
	seconds := elapsed.Seconds()
	mean := &l.answerSeconds[class]
	ratio = seconds / cmp.Or(mean.Value, seconds)
	l.roles[role].answerTimeRatio.Observe(ratio, latencyAlpha)
	mean.Observe(seconds, meanAlpha)
	return ratio
}

// expectedTime returns the mean time that endpoints of a role take for a number of tokens, multiplied by
// factor.
func (l *latencyEstimator) expectedTime(role Role, tokens Tokens, factor float64) time.Duration {
	perToken := secondsPerToken(factor) * l.roles[role].mean.Value
	return time.Duration(perToken.times(tokens) * float64(time.Second))
}

// timeToFirstToken returns a best-case estimate of the time to first token, multiplied by estimateMargin. The
// prefill engine computes the uncached tokens, the decode engine fetches the KV state of the whole prompt.
func (l *latencyEstimator) timeToFirstToken(uncached, prompt Tokens, now Time) time.Duration {
	seconds := 0.0
	for role, tokens := range [...]Tokens{RolePrefill: uncached, RoleDecode: prompt} {
		stats := &l.roles[role]
		age := now.Sub(stats.observedAt).Seconds() / estimateFadeTime.Seconds()
		seconds += stats.best.Value.times(tokens+overheadTokens) * math.Exp(-age)
	}
	return time.Duration(estimateMargin * min(seconds, estimateMax) * float64(time.Second))
}

// estimateFirstToken returns the estimated time to first token of a request that is forwarded now.
func (r *Router) estimateFirstToken(request *request) time.Duration {
	uncached := request.uncachedTokens(request.session.lastPrefill)
	return r.latency.timeToFirstToken(uncached, request.PromptTokens, r.now)
}

// missesObjective reports whether a request is expected to miss its objective for the first token or is too
// near its deadline, if it stays in the queue or is forwarded now. A resumed request is only checked for a
// near deadline, since its client already has the first token.
func (r *Router) missesObjective(request *request) bool {
	requestsAhead := float64(max(request.heapIndex-ignoredQueueLength, 0))
	firstToken := r.now.Add(r.estimateFirstToken(request) + r.dispatches.timeFor(requestsAhead))
	late := firstToken > min(request.firstTokenDue, request.Deadline)
	return r.now.Add(finishReserve) >= request.Deadline || !request.Resumed && late
}
