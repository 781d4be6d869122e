package control

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Our share of the service's capacity, and the balance of cells and zones.
const (
	fullMemory        = 0.9             // share of an engine's memory above which it has no capacity
	fullQueue         = 3.0             // requests queued at an engine with which it has no capacity
	shareMargin       = 1.3             // our share of memory, over 1/routers: clients spread unevenly
	reportAlpha       = 0.1             // weight of a new load report in the mean over the endpoints
	reportTTL         = 4 * time.Second // an older load report is no longer believed
	sentDecay         = 0.5             // share of our demand that reports a second later do not show yet
	prefillSkew       = 1.4             // most of a prefill engine beside many decode engines, over its weight
	colocatedShare    = 0.6             // what a colocated engine answers, over what a decode engine does
	colocatedSlowdown = 1.3             // times a decode engine's, that its answers may take before it gets less
)

// freeCapacity is our share, in mean requests, of the free memory of all decode and colocated engines, less
// prefills in flight: the least that pooled reports, which come late, and our own answers leave.
func (r *Router) freeCapacity() float64 {
	view := &r.capacity
	perRequest := max(r.traffic.meanDemand.value, 1)
	free := r.capacityShare(view.memoryTokens) - float64(view.demand/perRequest)
	if r.now.Sub(view.reportedAt) < reportTTL && view.reportedAt != 0 {
		reported := view.reportedFree.value * Tokens(view.endpoints) / Tokens(r.settings.Identity.Routers)
		free = min(free, float64((reported-view.sentSinceReport)/perRequest))
	}
	return free - view.prefillsInFlight
}

// capacityShare is our share of so much memory in mean requests, with slack for chance, which weighs more
// the smaller the share is. Memory of unknown size has no bound.
func (r *Router) capacityShare(memoryTokens Tokens) float64 {
	if memoryTokens <= 0 {
		return math.Inf(1)
	}
	perRequest := max(r.traffic.meanDemand.value, 1)
	share := float64(fullMemory * memoryTokens / Tokens(r.settings.Identity.Routers) / perRequest)
	return min(shareMargin*share+math.Sqrt(share), float64(fullMemory*memoryTokens/perRequest))
}

// recordReport takes in a load report. It joins a mean: in a large service a single endpoint is heard from
// too seldom.
func (r *Router) recordReport(source *endpoint, values []float64) {
	report, ok := parseReport(r.settings.Engines.ReportFields, values)
	if !ok {
		return
	}
	free := r.reportedFree(source, report)
	if source.role != RolePrefill && !math.IsInf(float64(free), 1) {
		r.capacity.reportedFree.observe(free, reportAlpha)
		r.capacity.reportedAt = r.now
	}
}

// reportedFree is the free memory that a load report shows, in tokens: the capacity of AIBrix's request for
// comments where the fields for it exist, else known memory less its part in use; infinite for unknown.
func (r *Router) reportedFree(source *endpoint, report loadReport) Tokens {
	utilization := report[ReportUtilization]
	switch {
	case report[ReportMemory] > fullMemory || report[ReportQueued] >= fullQueue:
		return 0
	case report[ReportInFlight]*utilization > 0:
		return Tokens(report[ReportInFlight]*(1-utilization)/utilization) * r.traffic.meanDemand.value
	case source.memoryTokens > 0 && slices.Contains(r.settings.Engines.ReportFields, ReportMemory):
		return Tokens(max(fullMemory-report[ReportMemory], 0)) * source.memoryTokens
	}
	return Tokens(math.Inf(1))
}

// rebalance works out what each endpoint takes of all traffic, and each cell of prefills and answers. Every
// router comes to the same.
func (r *Router) rebalance() {
	weights := r.collectReady()
	decode := max(weights[RoleDecode], minWeight)
	prefill := r.skewPrefill(weights[RolePrefill], decode)
	for _, cell := range r.topology.cells {
		cell.prefill = 0
		cell.decode /= decode
	}
	colocated := r.colocatedWeight()
	all := decode + colocated*weights[RoleColocated]
	for _, e := range r.endpoints.ready {
		switch e.role {
		case RolePrefill:
			r.topology.cells[e.Cell].prefill += e.trafficShare / prefill
			e.trafficShare *= decode / prefill / all
		case RoleColocated:
			e.trafficShare *= colocated / all
		}
	}
	r.topology.poolZones()
}

// collectReady lists the ready endpoints, with their weights as shares, and sums these up by cell and role.
func (r *Router) collectReady() (weights [roleCount]float64) {
	r.topology = topology{cells: map[uint16]*stageShares{}, zones: map[uint16]*stageShares{}}
	r.capacity.memoryTokens = 0
	r.capacity.endpoints = 0
	r.endpoints.ready = r.endpoints.ready[:0]
	for _, e := range r.endpoints.all {
		cell := r.topology.open(e)
		if e.State != Ready {
			continue
		}
		r.endpoints.ready = append(r.endpoints.ready, e)
		e.trafficShare = e.Weight
		switch e.role {
		case RolePrefill:
			cell.prefill += e.trafficShare
		case RoleDecode:
			if !r.warmedUp(e) {
				e.trafficShare *= r.slowStartShare(e.role)
			}
			cell.decode += e.trafficShare
		}
		weights[e.role] += e.trafficShare
		if e.role != RolePrefill {
			r.capacity.memoryTokens += e.memoryTokens
			r.capacity.endpoints++
		}
	}
	return weights
}

// skewPrefill gives prefill engines beside many decode engines more, as far as the pool has reserves, and
// returns the sum of their shares.
func (r *Router) skewPrefill(prefillWeight, decodeWeight float64) (sum float64) {
	for _, e := range r.endpoints.ready {
		if e.role == RolePrefill {
			cell := r.topology.cells[e.Cell]
			skew := math.Sqrt(cell.decode / cell.prefill * prefillWeight / decodeWeight)
			e.trafficShare *= min(max(skew, 1/prefillSkew), prefillSkew)
			sum += e.trafficShare
		}
	}
	return sum
}

// colocatedWeight is the weight of a colocated engine's answers over that of a decode engine's.
func (r *Router) colocatedWeight() float64 {
	decode := cmp.Or(r.latency.roles[RoleDecode].relativeLatency.value, 1)
	colocated := cmp.Or(r.latency.roles[RoleColocated].relativeLatency.value, 1)
	return colocatedShare * min(colocatedSlowdown*decode/colocated, 1)
}

// poolZones adds what cells leave over to their zones.
func (t *topology) poolZones() {
	for _, id := range slices.Sorted(maps.Keys(t.cells)) {
		cell := t.cells[id]
		zone := t.zones[cell.zone]
		zone.prefill += max(cell.prefill-cell.decode, 0)
		zone.decode += max(cell.decode-cell.prefill, 0)
	}
}
