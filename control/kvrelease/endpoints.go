package kvrelease

import (
	"maps"
	"slices"

	"martenlock/control"
)

// endpointTable holds the engines that may be called, their last responses and failures, and the
// number of calls in flight to each.
type endpointTable struct {
	listed        []control.EndpointID                // ascending
	lastResponse  map[control.EndpointID]control.Time // of listed engines
	lastFailure   map[control.EndpointID]control.Time // of listed engines
	callsInFlight map[control.EndpointID]int          // of all engines, also those no longer listed
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

// recordResponse records a response of a listed engine. It ignores other engines: a late response
// may come after the last change of the list, and nothing would remove its entry.
func (t *endpointTable) recordResponse(now control.Time, id control.EndpointID) {
	if t.isListed(id) {
		t.lastResponse[id] = now
	}
}

// recordFailure records a failure of a listed engine. It ignores others as recordResponse does.
func (t *endpointTable) recordFailure(now control.Time, id control.EndpointID) {
	if t.isListed(id) {
		t.lastFailure[id] = now
	}
}

// recordUnresponsive records a failure if the engine has not responded to anything after a time.
func (t *endpointTable) recordUnresponsive(now, since control.Time, id control.EndpointID) {
	if t.lastResponse[id] <= since {
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

// hasFreeCall reports whether one more call may be made to the engine.
func (t *endpointTable) hasFreeCall(id control.EndpointID) bool {
	return t.callsInFlight[id] < maxCallsPerEndpoint
}

// isResponsive reports whether the engine has responded since its last failure.
func (t *endpointTable) isResponsive(id control.EndpointID) bool {
	return t.lastResponse[id] > t.lastFailure[id]
}

// preferred returns the listed engine to call next that is not excluded. It returns false if all
// are.
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

// prefers reports whether a is called before b. Engines with free calls come first, then those that
// are responsive. Of responsive engines the one that responded latest comes first. Of others the
// one that failed longest ago, or never, comes first. Ties are broken by id.
func (t *endpointTable) prefers(a, b control.EndpointID) bool {
	if t.hasFreeCall(a) != t.hasFreeCall(b) {
		return t.hasFreeCall(a)
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
