package membership

import (
	"maps"
	"slices"

	"martenlock/control"
)

// replace applies an update and its revision, which may be earlier than the view's.
func (v *View) replace(now control.Time, update Update) Change {
	v.revision = update.Revision
	v.ended.expire(now)
	previous := v.endpoints
	if v.endpoints == nil || update.Complete {
		v.endpoints = make(map[control.EndpointID]Endpoint, len(update.Endpoints))
	}
	var change Change
	change.Full = update.Complete
	for _, entry := range update.Endpoints {
		current, isKnown := v.latest(entry.ID, previous)
		endpoint, ok := usableEndpoint(entry, current, isKnown)
		if !ok {
			continue
		}
		v.set(now, endpoint, current)
		change.add(endpoint.Endpoint)
	}
	if update.Complete {
		v.recordMissing(now, previous)
	}
	return change
}

// latest returns an endpoint as an earlier entry of this update has it, or else as the previous list
// has it. It returns false if neither has it.
func (v *View) latest(id control.EndpointID, previous map[control.EndpointID]Endpoint) (Endpoint, bool) {
	endpoint, ok := v.endpoints[id]
	if !ok {
		endpoint, ok = previous[id]
	}
	return endpoint, ok
}

// usableEndpoint returns the endpoint that an entry describes. If the kind or the address of the entry
// cannot be used, only its state counts: a known endpoint otherwise stays as it is until it ends, and
// one that is not known is omitted, for which usableEndpoint returns false.
func usableEndpoint(entry, current Endpoint, isKnown bool) (endpoint Endpoint, ok bool) {
	isUsable := entry.Kind >= 0 && (entry.State == control.Ready || entry.Addr.IsValid())
	if isUsable {
		return entry, true
	}
	current.State = entry.State
	return current, isKnown
}

// set stores an endpoint, or removes it if it is gone. previous is the endpoint before, or the zero
// Endpoint.
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

// recordMissing records the ends of the endpoints that a complete list no longer has.
func (v *View) recordMissing(now control.Time, previous map[control.EndpointID]Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(previous)) {
		_, isListed := v.endpoints[id]
		if !isListed {
			v.ended.record(now, previous[id])
		}
	}
}

// add adds an endpoint to the change. Of two entries for one endpoint the later one counts.
func (c *Change) add(endpoint control.Endpoint) {
	c.Endpoints = slices.DeleteFunc(c.Endpoints, func(other control.Endpoint) bool { return other.ID == endpoint.ID })
	c.Endpoints = append(c.Endpoints, endpoint)
}
