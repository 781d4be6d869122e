package control

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// prefillSkew is the most that a prefill engine beside many decode engines gets, over its weight.
	prefillSkew = 1.4
	// colocatedShare is the weight of a colocated engine's answers over that of a decode engine's.
	colocatedShare = 0.6
	// colocatedSlowdown is the multiple of a decode engine's time from which a colocated engine gets fewer
	// answers.
	colocatedSlowdown = 1.3
)

// topology holds the shares of all work that cells take and that zones can spare.
type topology struct {
	cells map[uint16]*cellShares
	zones map[uint16]*stageShares
}

// stageShares are shares of all prefills and of all answers.
type stageShares struct {
	prefill float64
	decode  float64
}

// cellShares are the shares that the endpoints of a cell take.
type cellShares struct {
	stageShares
	zone uint16
}

// open returns the row of an endpoint's cell. It adds rows for the cell and for the endpoint's zone if they
// are missing. A faulty list may have one cell in two zones: the cell counts for the first, and both have a
// row.
func (t *topology) open(e *endpoint) *cellShares {
	if t.cells[e.Cell] == nil {
		t.cells[e.Cell] = &cellShares{zone: e.Zone}
	}
	if t.zones[e.Zone] == nil {
		t.zones[e.Zone] = &stageShares{}
	}
	return t.cells[e.Cell]
}

// poolZones adds to each zone what its cells can spare.
func (t *topology) poolZones() {
	for _, id := range slices.Sorted(maps.Keys(t.cells)) {
		cell := t.cells[id]
		zone := t.zones[cell.zone]
		zone.prefill += max(cell.prefill-cell.decode, 0)
		zone.decode += max(cell.decode-cell.prefill, 0)
	}
}

// rebalance computes the share of all traffic that each endpoint takes, and the shares of prefills and of
// answers of each cell. Every router computes much the same.
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
			r.topology.cells[e.Cell].prefill += e.load.trafficShare / prefill
			e.load.trafficShare *= decode / prefill / all
		case RoleColocated:
			e.load.trafficShare *= colocated / all
		case RoleDecode: // placed by cell and load, not by its share
		}
	}
	r.topology.poolZones()
}

// collectReady rebuilds the list of ready endpoints and the totals over them. Each endpoint's traffic share
// becomes its weight for now. It returns the sum of these weights by role.
func (r *Router) collectReady() (weights perRole) {
	r.topology = topology{cells: map[uint16]*cellShares{}, zones: map[uint16]*stageShares{}}
	r.capacity.memoryTokens = 0
	r.capacity.engines = 0
	r.endpoints.ready = r.endpoints.ready[:0]
	for _, e := range r.endpoints.all {
		cell := r.topology.open(e)
		if e.State != Ready {
			continue
		}
		r.endpoints.ready = append(r.endpoints.ready, e)
		e.load.trafficShare = e.Weight
		if e.role == RoleDecode && !r.warmedUp(e) {
			e.load.trafficShare *= r.slowStartShare(e.role)
		}
		weights[e.role] += e.load.trafficShare
		if e.role == RolePrefill {
			cell.prefill += e.load.trafficShare
			continue
		}
		if e.role == RoleDecode {
			cell.decode += e.load.trafficShare
		}
		r.capacity.memoryTokens += e.memoryTokens
		r.capacity.engines++
	}
	return weights
}

// skewPrefill shifts work to prefill engines in cells with many decode engines, as far as the pool has
// reserves. It returns the sum of the shares of all prefill engines.
func (r *Router) skewPrefill(prefillWeight, decodeWeight float64) (sum float64) {
	for _, e := range r.endpoints.ready {
		if e.role == RolePrefill {
			cell := r.topology.cells[e.Cell]
			skew := math.Sqrt(cell.decode / cell.prefill * prefillWeight / decodeWeight)
			e.load.trafficShare *= min(max(skew, 1/prefillSkew), prefillSkew)
			sum += e.load.trafficShare
		}
	}
	return sum
}

// colocatedWeight returns the weight of a colocated engine's answers over that of a decode engine's. It falls
// while the answers of colocated engines are slow.
func (r *Router) colocatedWeight() float64 {
	decode := cmp.Or(r.latency.roles[RoleDecode].relativeLatency.Value, 1)
	colocated := cmp.Or(r.latency.roles[RoleColocated].relativeLatency.Value, 1)
	return colocatedShare * min(colocatedSlowdown*decode/colocated, 1)
}

// scope is a group of endpoints by their distance from the holder of a KV state.
type scope int

// The scopes, in order of preference.
const (
	scopeSameCell  scope = iota
	scopeSameZone        // what the other cells of the zone can spare
	scopeOtherZone       // what all zones can spare
	scopeAnywhere
	scopeCount
)

// scopeChoice sorts the endpoints that can take a KV state into scopes. Draws of chance against shares decide
// whether the state may stay near its holder. So all routers together keep cells and zones balanced.
type scopeChoice struct {
	topology *topology
	rng      *rand.Rand
	holder   *endpoint
	cellDraw float64 // decides whether the state may stay in its cell, from 0 to 1
	zoneDraw float64 // decides whether it may stay in its zone
	scopes   [scopeCount][]*endpoint
}

// newScopeChoice returns a choice without endpoints.
func newScopeChoice(topology *topology, rng *rand.Rand, holder *endpoint) scopeChoice {
	choice := scopeChoice{topology: topology, rng: rng, holder: holder}
	choice.cellDraw = rng.Float64()
	choice.zoneDraw = rng.Float64()
	return choice
}

// add sorts an endpoint into the best scope that it may be used in, and into scopeAnywhere.
func (c *scopeChoice) add(e *endpoint) {
	c.scopes[scopeAnywhere] = append(c.scopes[scopeAnywhere], e)
	cell := c.topology.cells[e.Cell]
	zone := c.topology.zones[e.Zone]
	spare := c.rng.Float64()*cell.decode < cell.decode-cell.prefill
	switch {
	case e.Cell == c.holder.Cell && c.cellDraw*cell.prefill <= cell.decode:
		c.scopes[scopeSameCell] = append(c.scopes[scopeSameCell], e)
	case spare && e.Zone == c.holder.Zone && c.zoneDraw*zone.prefill <= zone.decode:
		c.scopes[scopeSameZone] = append(c.scopes[scopeSameZone], e)
	case spare && c.rng.Float64()*zone.decode < zone.decode-zone.prefill:
		c.scopes[scopeOtherZone] = append(c.scopes[scopeOtherZone], e)
	}
}

// preferred returns the endpoints of the best scope that has any. The list is empty if none was added.
func (c *scopeChoice) preferred() []*endpoint {
	for _, list := range c.scopes {
		if len(list) > 0 {
			return list
		}
	}
	return nil
}
