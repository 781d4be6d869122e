package control

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"martenlock/control/internal/ewma"
)

const (
	// fullMemory is the usage of KV memory, as a fraction, above which an engine has no capacity.
	fullMemory = 0.9
	// fullQueue is the number of queued requests at which an engine has no capacity.
	fullQueue = 3.0
	// shareMargin is the factor by which a router may exceed its equal share of memory, since clients spread
	// unevenly over routers.
	shareMargin = 1.3
	// reportAlpha is the weight of a load report in the mean over all endpoints.
	reportAlpha = 0.1
	// reportTTL is the age from which a load report is ignored.
	reportTTL = 4 * time.Second
	// sentDecay is the factor that reduces capacityView.sentSinceReport each second.
	sentDecay = 0.5
)

// capacityView estimates the KV memory of all ready decode and colocated engines together.
type capacityView struct {
	routers           int                  // number of routers of the service
	reportFields      []ReportField        // the values of a load report, in order
	meanDemand        ewma.Average[Tokens] // KV memory of a request
	memoryTokens      Tokens               // configured KV memory of all ready decode and colocated engines
	engines           int                  // number of ready decode and colocated engines
	reportedFree      ewma.Average[Tokens] // free memory of one engine, by load reports
	reportedAt        Time                 // latest load report; 0 for never
	sentSinceReport   Tokens               // demand of own attempts that load reports do not include yet
	demand            Tokens               // demand of own attempts in flight
	prefillsInFlight  int                  // own attempts in flight at prefill engines
	dispatchThreshold float64              // free requests that the next dispatch needs, at most 1
}

// demandPerRequest returns the mean demand of a request, at least one token.
func (c *capacityView) demandPerRequest() Tokens { return max(c.meanDemand.Value, 1) }

// freeRequests returns how many requests of mean demand fit in this router's share of the free memory, minus
// the router's prefills in flight. It returns the lower of two estimates, one by load reports and one by the
// router's own attempts, because load reports arrive late.
func (c *capacityView) freeRequests(now Time) float64 {
	perRequest := c.demandPerRequest()
	free := c.memoryShare(c.memoryTokens) - float64(c.demand/perRequest)
	if now.Sub(c.reportedAt) < reportTTL && c.reportedAt != 0 {
		reported := c.reportedFree.Value * Tokens(c.engines) / Tokens(c.routers)
		free = min(free, float64((reported-c.sentSinceReport)/perRequest))
	}
	return free - float64(c.prefillsInFlight)
}

// memoryShare returns this router's share of an amount of memory, in requests of mean demand. The share
// includes slack for random variation. The slack is relatively larger for a small share. For unknown memory
// (0) the share is infinite.
func (c *capacityView) memoryShare(memory Tokens) float64 {
	if memory <= 0 {
		return math.Inf(1)
	}
	perRequest := c.demandPerRequest()
	share := float64(fullMemory * memory / Tokens(c.routers) / perRequest)
	return min(shareMargin*share+math.Sqrt(share), float64(fullMemory*memory/perRequest))
}

// drawDispatchThreshold draws the free capacity that the next dispatch needs, in requests of mean demand.
// With a fixed threshold all routers would round their last fraction of a request the same way, and together
// leave capacity unused or exceed it.
func (c *capacityView) drawDispatchThreshold(rng *rand.Rand) {
	c.dispatchThreshold = 1 - rng.Float64()*(1-1/float64(c.routers))
}

// addAttempt counts a new attempt at an endpoint with the given role.
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

// recordReport adds a load report to the mean over all endpoints. A router of a large service gets too few
// reports from each endpoint to average them separately. Reports from prefill engines and malformed reports
// are ignored.
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

// freeMemory returns the free memory of an endpoint by its load report. It is 0 if the memory or the queue is
// full. If the report has requests in flight and a utilization above 0, it is estimated with the capacity
// formula of the AIBrix request for comments. Otherwise it is the configured memory minus the part in use.
// known is false if neither calculation is possible.
func (c *capacityView) freeMemory(source *endpoint, report loadReport) (free Tokens, known bool) {
	utilization := report[ReportUtilization]
	switch {
	case report[ReportMemory] > fullMemory || report[ReportQueued] >= fullQueue:
		return 0, true
	case report[ReportInFlight]*utilization > 0:
		free = Tokens(report[ReportInFlight]*(1-utilization)/utilization) * c.meanDemand.Value
		return free, !math.IsInf(float64(free), 1) // overflow if the utilization is close to 0
	case source.memoryTokens > 0 && slices.Contains(c.reportFields, ReportMemory):
		return Tokens(max(fullMemory-report[ReportMemory], 0)) * source.memoryTokens, true
	}
	return 0, false
}

// decay reduces the demand that counts as missing from load reports. It is called once a second.
func (c *capacityView) decay() { c.sentSinceReport *= sentDecay }

// loadReport holds the values of a load report by ReportField. Missing fields are 0.
type loadReport [ReportBacklog + 1]float64

// parseReport assigns the values of a load report to its fields. It returns false if the report is missing or
// too short.
func parseReport(fields []ReportField, values []float64) (report loadReport, ok bool) {
	if len(values) == 0 || len(values) < len(fields) {
		return report, false
	}
	for i, field := range fields {
		report[field] = values[i]
	}
	return report, true
}
