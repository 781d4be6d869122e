package membership

import (
	"maps"
	"slices"

	"martenlock/control"
)

// replace applies an update and sets the view's revision to that of the update, which may be earlier.
func (v *View) replace(now control.Time, update Update) Change {
	v.revision = update.Revision
	v.ended.expire(now)
	previous := v.endpoints
	if v.endpoints == nil || update.Full {
		v.endpoints = make(map[control.EndpointID]Endpoint, len(update.Endpoints))
	}
	var change Change
	change.Full = update.Full
	for _, entry := range update.Endpoints {
		current, isKnown := v.latest(entry.ID, previous)
		endpoint, ok := usableEndpoint(entry, current, isKnown)
		if !ok {
			continue
		}
		v.set(now, endpoint, current)
		change.add(endpoint.Endpoint)
	}
	if update.Full {
		v.recordMissing(now, previous)
	}
	return change
}

// latest returns an endpoint as set by an earlier entry of the same update, or else as in the previous
// list. It returns false if the endpoint is in neither.
func (v *View) latest(id control.EndpointID, previous map[control.EndpointID]Endpoint) (Endpoint, bool) {
	endpoint, ok := v.endpoints[id]
	if !ok {
		endpoint, ok = previous[id]
	}
	return endpoint, ok
}

// usableEndpoint returns the endpoint that an entry describes. If the kind of the entry is negative, or its
// address is invalid and its state is not Ready, it returns the current endpoint with the state of the entry,
// or false if the endpoint is unknown.
func usableEndpoint(entry, current Endpoint, isKnown bool) (endpoint Endpoint, ok bool) {
	isUsable := entry.Kind >= 0 && (entry.State == control.Ready || entry.Addr.IsValid())
	if isUsable {
		return entry, true
	}
	current.State = entry.State
	return current, isKnown
}

// set stores an endpoint, or removes it if it is gone. previous is the endpoint before the update, or the
// zero Endpoint if it was unknown.
func (v *View) set(now control.Time, endpoint, previous Endpoint) {
	if endpoint.State == control.Gone {
		v.ended.record(now, previous)
		delete(v.endpoints, endpoint.ID)
	} else {
		v.endpoints[endpoint.ID] = endpoint
	}
	if endpoint.State == control.Ready {
		v.ended.forget(endpoint.ID)
	}
}

// recordMissing records the ends of the endpoints that are missing in a full list.
func (v *View) recordMissing(now control.Time, previous map[control.EndpointID]Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(previous)) {
		_, isListed := v.endpoints[id]
		if !isListed {
			v.ended.record(now, previous[id])
		}
	}
}

// add adds an endpoint to the change. It replaces an earlier entry for the same endpoint.
func (c *Change) add(endpoint control.Endpoint) {
	c.Endpoints = slices.DeleteFunc(c.Endpoints, func(other control.Endpoint) bool {
		return other.ID == endpoint.ID
	})
	c.Endpoints = append(c.Endpoints, endpoint)
}
