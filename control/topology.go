package control

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// maxPrefillSkew limits the factor that skewPrefill applies to the traffic share of a prefill engine. The
	// factor lies between 1/maxPrefillSkew and maxPrefillSkew.
	maxPrefillSkew = 1.4
	// colocatedShare is the share of answers of a colocated engine, relative to a decode engine of the same
	// weight.
	colocatedShare = 0.6
	// colocatedSlowdown is a limit on the ratio of the answer times of colocated engines to those of decode
	// engines. Above it, colocated engines get fewer answers.
	colocatedSlowdown = 1.3
)

// topology holds the shares of all prefills and answers that each cell serves and that each zone can spare.
type topology struct {
	cells map[uint16]*cellShares  // by Endpoint.Cell
	zones map[uint16]*stageShares // by Endpoint.Zone; what the cells of the zone can spare
}

// stageShares are a share of all prefills and a share of all answers, from 0 to 1.
type stageShares struct {
	prefill float64
	decode  float64
}

// cellShares are the shares that the endpoints of a cell serve.
type cellShares struct {
	stageShares
	zone uint16
}

// ensureCell returns the shares of an endpoint's cell. It adds entries for the cell and for the endpoint's
// zone if they are missing. If a faulty endpoint list has one cell in two zones, the cell belongs to the
// first zone, but both zones have an entry.
func (t *topology) ensureCell(e *endpoint) *cellShares {
	if t.cells[e.Cell] == nil {
		t.cells[e.Cell] = &cellShares{zone: e.Zone}
	}
	if t.zones[e.Zone] == nil {
		t.zones[e.Zone] = &stageShares{}
	}
	return t.cells[e.Cell]
}

// sumZoneSpares adds to each zone the surplus of its cells: the prefill share beyond the decode share, or the
// reverse.
func (t *topology) sumZoneSpares() {
	for _, id := range slices.Sorted(maps.Keys(t.cells)) {
		cell := t.cells[id]
		zone := t.zones[cell.zone]
		zone.prefill += max(cell.prefill-cell.decode, 0)
		zone.decode += max(cell.decode-cell.prefill, 0)
	}
}

// rebalance computes the traffic share of each endpoint, and the shares of prefills and answers of each cell
// and zone. All routers compute nearly the same shares.
func (r *Router) rebalance() {
	weights := r.collectReady()
	decodeWeight := max(weights[RoleDecode], minWeight)
	prefillShares := r.skewPrefill(weights[RolePrefill], decodeWeight)
	for _, cell := range r.topology.cells {
		cell.prefill = 0
		cell.decode /= decodeWeight
	}
	colocatedFactor := r.colocatedAnswerFactor()
	answerWeight := decodeWeight + colocatedFactor*weights[RoleColocated]
	for _, e := range r.endpoints.ready {
		switch e.role {
		case RolePrefill:
			r.topology.cells[e.Cell].prefill += e.load.trafficShare / prefillShares
			e.load.trafficShare *= decodeWeight / prefillShares / answerWeight
		case RoleColocated:
			e.load.trafficShare *= colocatedFactor / answerWeight
		case RoleDecode: // placeDecode does not use the traffic share
		}
	}
	r.topology.sumZoneSpares()
}

// collectReady rebuilds the list of ready endpoints and the totals over them. It sets the traffic share of
// each ready endpoint to its weight, reduced for decode engines in slow start. It returns the sum of these
// weights by role.
func (r *Router) collectReady() (weights perRole) {
	r.topology = topology{cells: map[uint16]*cellShares{}, zones: map[uint16]*stageShares{}}
	r.capacity.memoryTokens = 0
	r.capacity.engines = 0
	r.endpoints.ready = r.endpoints.ready[:0]
	for _, e := range r.endpoints.all {
		cell := r.topology.ensureCell(e)
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

// skewPrefill shifts traffic to prefill engines in cells with many decode engines. It returns the sum of the
// traffic shares of all prefill engines.
func (r *Router) skewPrefill(prefillWeight, decodeWeight float64) (sum float64) {
	for _, e := range r.endpoints.ready {
		if e.role == RolePrefill {
			cell := r.topology.cells[e.Cell]
			skew := math.Sqrt(cell.decode / cell.prefill * prefillWeight / decodeWeight)
			e.load.trafficShare *= min(max(skew, 1/maxPrefillSkew), maxPrefillSkew)
			sum += e.load.trafficShare
		}
	}
	return sum
}

// colocatedAnswerFactor returns the share of answers of a colocated engine, relative to a decode engine of
// the same weight. It is lower while the answers of colocated engines are slow.
func (r *Router) colocatedAnswerFactor() float64 {
	decode := cmp.Or(r.latency.roles[RoleDecode].answerTimeRatio.Value, 1)
	colocated := cmp.Or(r.latency.roles[RoleColocated].answerTimeRatio.Value, 1)
	return colocatedShare * min(colocatedSlowdown*decode/colocated, 1)
}

// locality is a group of endpoints by their distance from the holder of a KV state.
type locality int

// The localities, in order of preference.
const (
	localitySameCell  locality = iota
	localitySameZone           // cells of the same zone with spare decode capacity
	localityOtherZone          // cells with spare decode capacity, in other zones with spare decode capacity
	localityAnywhere           // all endpoints that can take the KV state
	localityCount
)

// localityChoice groups the endpoints that can take a KV state by locality. Random draws weighted with the
// shares of cells and zones decide whether the state may stay near its holder. This balances the load of
// cells and zones over the requests of all routers.
type localityChoice struct {
	topology   *topology
	rng        *rand.Rand
	holder     *endpoint
	cellDraw   float64 // random number from 0 to 1 that decides whether the state may stay in its cell
	zoneDraw   float64 // random number from 0 to 1 that decides whether it may stay in its zone
	byLocality [localityCount][]*endpoint
}

func newLocalityChoice(topology *topology, rng *rand.Rand, holder *endpoint) localityChoice {
	choice := localityChoice{topology: topology, rng: rng, holder: holder}
	choice.cellDraw = rng.Float64()
	choice.zoneDraw = rng.Float64()
	return choice
}

// add adds an endpoint to localityAnywhere and to the most preferred locality that the random draws allow.
func (c *localityChoice) add(e *endpoint) {
	c.byLocality[localityAnywhere] = append(c.byLocality[localityAnywhere], e)
	cell := c.topology.cells[e.Cell]
	zone := c.topology.zones[e.Zone]
	spare := c.rng.Float64()*cell.decode < cell.decode-cell.prefill
	switch {
	case e.Cell == c.holder.Cell && c.cellDraw*cell.prefill <= cell.decode:
		c.byLocality[localitySameCell] = append(c.byLocality[localitySameCell], e)
	case spare && e.Zone == c.holder.Zone && c.zoneDraw*zone.prefill <= zone.decode:
		c.byLocality[localitySameZone] = append(c.byLocality[localitySameZone], e)
	case spare && c.rng.Float64()*zone.decode < zone.decode-zone.prefill:
		c.byLocality[localityOtherZone] = append(c.byLocality[localityOtherZone], e)
	}
}

// preferred returns the endpoints of the most preferred locality that has any. The list is empty if no
// endpoint was added.
func (c *localityChoice) preferred() []*endpoint {
	for _, endpoints := range c.byLocality {
		if len(endpoints) > 0 {
			return endpoints
		}
	}
	return nil
}
