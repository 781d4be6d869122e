package control

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"martenlock/control/internal/ewma"
)

const (
	// fullMemory is the share of an engine's memory above which it has no capacity.
	fullMemory = 0.9
	// fullQueue is the number of requests queued at an engine with which it has no capacity.
	fullQueue = 3.0
	// shareMargin is the factor on our share of memory, 1/routers. Clients spread unevenly over routers.
	shareMargin = 1.3
	// reportAlpha is the weight of a load report in the mean over all endpoints.
	reportAlpha = 0.1
	// reportTTL is the age from which a load report is ignored.
	reportTTL = 4 * time.Second
	// sentDecay is the share of our demand that load reports do not show yet a second later.
	sentDecay = 0.5
)

// capacityView is what is known of the KV memory of all decode and colocated engines together.
type capacityView struct {
	routers          int                  // of the service
	reportFields     []ReportField        // the values of a load report, in order
	meanDemand       ewma.Average[Tokens] // KV memory of a request
	memoryTokens     Tokens               // of all these engines, by the settings; 0 for unknown
	engines          int                  // number of these engines
	reportedFree     ewma.Average[Tokens] // free memory of one of them, by load reports
	reportedAt       Time                 // latest load report; 0 for never
	sentSinceReport  Tokens               // demand that load reports do not show yet
	demand           Tokens               // of our attempts in flight
	prefillsInFlight int                  // our attempts at prefill engines
	releaseThreshold float64              // share of a mean request that must be free for a release, from 0 to 1
}

// demandPerRequest returns the mean demand of a request, at least one token.
func (c *capacityView) demandPerRequest() Tokens { return max(c.meanDemand.Value, 1) }

// freeRequests returns how many mean requests fit in our share of the free memory, less our prefills in
// flight. Load reports come late, so our own attempts bound it too: the lesser of the two counts.
func (c *capacityView) freeRequests(now Time) float64 {
	perRequest := c.demandPerRequest()
	free := c.share(c.memoryTokens) - float64(c.demand/perRequest)
	if now.Sub(c.reportedAt) < reportTTL && c.reportedAt != 0 {
		reported := c.reportedFree.Value * Tokens(c.engines) / Tokens(c.routers)
		free = min(free, float64((reported-c.sentSinceReport)/perRequest))
	}
	return free - float64(c.prefillsInFlight)
}

// share returns our share of an amount of memory, in mean requests. Its slack for chance weighs more the
// smaller the share is. Memory of unknown size, 0, has no bound.
func (c *capacityView) share(memory Tokens) float64 {
	if memory <= 0 {
		return math.Inf(1)
	}
	perRequest := c.demandPerRequest()
	share := float64(fullMemory * memory / Tokens(c.routers) / perRequest)
	return min(shareMargin*share+math.Sqrt(share), float64(fullMemory*memory/perRequest))
}

// drawReleaseThreshold draws the free share of a request that the next release needs. A fixed one would round
// the last bit of capacity alike at many routers: all down to nothing, or all up to too much.
func (c *capacityView) drawReleaseThreshold(rng *rand.Rand) {
	c.releaseThreshold = 1 - rng.Float64()*(1-1/float64(c.routers))
}

// addAttempt counts an attempt that is forwarded to an endpoint of a role.
func (c *capacityView) addAttempt(role Role, demand Tokens) {
	if role == RolePrefill {
		c.prefillsInFlight++
		return
	}
	c.demand += demand
	c.sentSinceReport += demand
}

// removeAttempt counts the end of an attempt.
func (c *capacityView) removeAttempt(role Role, demand Tokens) {
	if role == RolePrefill {
		c.prefillsInFlight--
		return
	}
	c.demand -= demand
}

// recordReport adds a load report to the mean over all endpoints. In a large service a router hears too
// seldom from a single one. Reports of prefill engines and unusable ones have no effect.
func (c *capacityView) recordReport(source *endpoint, values []float64, now Time) {
	report, ok := parseReport(c.reportFields, values)
	if !ok || source.role == RolePrefill {
		return
	}
	if free, known := c.freeMemory(source, report); known {
		c.reportedFree.Observe(free, reportAlpha)
		c.reportedAt = now
	}
}

// freeMemory returns the free memory of an endpoint by its load report. It uses the capacity formula of
// AIBrix's request for comments if the report has the fields for it, else the known memory less the part in
// use. It returns false if the report says neither.
func (c *capacityView) freeMemory(source *endpoint, report loadReport) (free Tokens, known bool) {
	utilization := report[ReportUtilization]
	switch {
	case report[ReportMemory] > fullMemory || report[ReportQueued] >= fullQueue:
		return 0, true
	case report[ReportInFlight]*utilization > 0:
		free = Tokens(report[ReportInFlight]*(1-utilization)/utilization) * c.meanDemand.Value
		return free, !math.IsInf(float64(free), 1) // a utilization next to 0 says nothing
	case source.memoryTokens > 0 && slices.Contains(c.reportFields, ReportMemory):
		return Tokens(max(fullMemory-report[ReportMemory], 0)) * source.memoryTokens, true
	}
	return 0, false
}

// decay reduces the demand that load reports do not show yet.
func (c *capacityView) decay() { c.sentSinceReport *= sentDecay }

// loadReport is a load report by field.
type loadReport [ReportBacklog + 1]float64

// parseReport returns the values of a load report by field. It returns false if the report is missing or too
// short.
func parseReport(fields []ReportField, values []float64) (report loadReport, ok bool) {
	if len(values) == 0 || len(values) < len(fields) {
		return report, false
	}
	for i, field := range fields {
		report[field] = values[i]
	}
	return report, true
}
