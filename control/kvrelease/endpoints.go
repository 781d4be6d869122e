package kvrelease

import (
	"maps"
	"slices"

	"martenlock/control"
)

// endpointTable holds the engines that may be called, the times of their last responses and failures, and
// the number of calls in flight to each.
type endpointTable struct {
	listed        []control.EndpointID                // ascending
	lastResponse  map[control.EndpointID]control.Time // of listed engines
	lastFailure   map[control.EndpointID]control.Time // of listed engines
	callsInFlight map[control.EndpointID]int          // also of engines that are no longer listed
}

func newEndpointTable() endpointTable {
	return endpointTable{
		lastResponse:  map[control.EndpointID]control.Time{},
		lastFailure:   map[control.EndpointID]control.Time{},
		callsInFlight: map[control.EndpointID]int{},
	}
}

func (t *endpointTable) setListed(ids []control.EndpointID) {
	t.listed = slices.Sorted(slices.Values(ids))
	isUnlisted := func(id control.EndpointID, _ control.Time) bool { return !t.isListed(id) }
	maps.DeleteFunc(t.lastResponse, isUnlisted)
	maps.DeleteFunc(t.lastFailure, isUnlisted)
}

func (t *endpointTable) isListed(id control.EndpointID) bool {
	_, found := slices.BinarySearch(t.listed, id)
	return found
}

// recordResponse records a response of a listed engine. It ignores late responses of engines that are no
// longer listed, because their entries would never be deleted.
func (t *endpointTable) recordResponse(now control.Time, id control.EndpointID) {
	if t.isListed(id) {
		t.lastResponse[id] = now
	}
}

// recordFailure records a failure of a listed engine. Like recordResponse, it ignores all other engines.
func (t *endpointTable) recordFailure(now control.Time, id control.EndpointID) {
	if t.isListed(id) {
		t.lastFailure[id] = now
	}
}

// recordUnresponsive records a failure if the engine has not responded to any request after sentAt.
func (t *endpointTable) recordUnresponsive(now, sentAt control.Time, id control.EndpointID) {
	if t.lastResponse[id] <= sentAt {
		t.recordFailure(now, id)
	}
}

func (t *endpointTable) startCall(id control.EndpointID) { t.callsInFlight[id]++ }

func (t *endpointTable) endCall(id control.EndpointID) {
	t.callsInFlight[id]--
	if t.callsInFlight[id] <= 0 {
		delete(t.callsInFlight, id)
	}
}

// hasCapacity reports whether one more call may be made to the engine.
func (t *endpointTable) hasCapacity(id control.EndpointID) bool {
	return t.callsInFlight[id] < maxCallsPerEndpoint
}

// isResponsive reports whether the engine has responded since its last failure.
func (t *endpointTable) isResponsive(id control.EndpointID) bool {
	return t.lastResponse[id] > t.lastFailure[id]
}

// preferred returns the listed engine to call next. It returns false if all listed engines are excluded.
func (t *endpointTable) preferred(excluded []control.EndpointID) (preferred control.EndpointID, ok bool) {
	for _, id := range t.listed {
		if slices.Contains(excluded, id) {
			continue
		}
		if !ok || t.prefers(id, preferred) {
			preferred = id
			ok = true
		}
	}
	return preferred, ok
}

// prefers reports whether a is called before b. Engines with capacity for a call come first, then
// responsive engines. Of two responsive engines, the one that responded most recently comes first. Of two
// others, the one that failed longest ago, or never, comes first. Ties are broken by id.
func (t *endpointTable) prefers(a, b control.EndpointID) bool {
	if t.hasCapacity(a) != t.hasCapacity(b) {
		return t.hasCapacity(a)
	}
	if t.isResponsive(a) != t.isResponsive(b) {
		return t.isResponsive(a)
	}
	if t.isResponsive(a) && t.lastResponse[a] != t.lastResponse[b] {
		return t.lastResponse[a] > t.lastResponse[b]
	}
	if !t.isResponsive(a) && t.lastFailure[a] != t.lastFailure[b] {
		return t.lastFailure[a] < t.lastFailure[b]
	}
	return a < b
}
