// Package membership maintains the endpoint list from the updates of discovery. Updates are full lists
// or changes, and may be out of order or stale. Like package control, the package does no I/O and reads no
// clock.
//
// An endpoint has ended when it is draining or gone. An update with the view's revision or a later one is
// applied. An update with an earlier revision is stale. It ends endpoints at once, since a request sent to an
// endpoint that has ended may be lost, but it adds none. If only stale updates arrive for StaleAcceptDelay
// after a stale full list, discovery is assumed to have lost its later revisions and restarted its count,
// and the latest stale full list is applied. Even then, endpoints that a later revision ended stay ended,
// until EndedRetention has passed or an update with the accepted revision or a later one lists them as ready.
//
// The package also defines the time-outs and the backoff of the connections to discovery.
package membership

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"martenlock/control"
)

// Endpoint is an entry of the list with its address.
type Endpoint struct {
	control.Endpoint
	Addr netip.AddrPort
	Name string // as discovery lists it, for logs
}

// Update is one message of discovery.
type Update struct {
	Revision  uint64
	Full      bool // a full list: endpoints that are not in Endpoints are gone
	Endpoints []Endpoint
}

// Change is what an update or a poll has changed in a view.
type Change struct {
	control.EndpointUpdate
}

// IsEmpty reports whether nothing has changed.
func (c Change) IsEmpty() bool { return !c.Full && len(c.Endpoints) == 0 }

const (
	// StaleAcceptDelay is the time after which a stale full list is applied if only stale updates arrive.
	// A current list that the stale one has overtaken arrives within this time. The delay must be shorter
	// than the drain grace: after an outage of discovery, the platform expects the router to apply the new
	// list within the drain grace.
	StaleAcceptDelay = 500 * time.Millisecond
	// EndedRetention is how long the end of an endpoint is remembered and overrides stale lists. If only
	// stale updates arrive for this time, a stale list is applied in full.
	EndedRetention = 10 * time.Second
	// MaxEndpoints is the maximum number of endpoints in the view, and of those remembered as ended.
	MaxEndpoints = 20000
)

// ErrTooManyEndpoints is returned for an update after which the view could have more than MaxEndpoints.
var ErrTooManyEndpoints = errors.New("membership: too many endpoints")

// View is the current endpoint list. The zero View is empty and ready for use. It is not safe for
// concurrent use.
type View struct {
	revision  uint64
	endpoints map[control.EndpointID]Endpoint
	ended     endedEndpoints
	stale     staleList
}

// staleList is a full list that had an earlier revision than the view when it arrived. It is applied if
// only stale updates follow.
type staleList struct {
	update            *Update // the latest such list; nil for none
	since             control.Time
	partiallyAccepted bool // the list was applied, except for endpoints that a later revision ended
}

// Revision returns the revision of the list, or 0 before the first update.
func (v *View) Revision() uint64 { return v.revision }

// Get returns the endpoint with the given id. It returns false if the list has none.
func (v *View) Get(id control.EndpointID) (Endpoint, bool) {
	endpoint, ok := v.endpoints[id]
	return endpoint, ok
}

// Len returns the number of endpoints.
func (v *View) Len() int { return len(v.endpoints) }

// Apply applies an update and returns what has changed. Its only error is ErrTooManyEndpoints, and the
// view is then unchanged.
func (v *View) Apply(now control.Time, update Update) (Change, error) {
	if v.wouldExceedLimit(update) {
		return Change{}, ErrTooManyEndpoints
	}
	if update.Revision >= v.revision {
		v.stale.update = nil
		return v.replace(now, update), nil
	}
	if update.Full {
		v.keepStale(now, update)
	}
	return v.replace(now, v.withEndsOnly(update)), nil
}

// wouldExceedLimit reports whether the view could have more than MaxEndpoints after the update.
func (v *View) wouldExceedLimit(update Update) bool {
	if len(update.Endpoints) > MaxEndpoints {
		return true
	}
	return !update.Full && len(v.endpoints)+len(update.Endpoints) > MaxEndpoints
}

// keepStale keeps a stale full list for Poll. The delay starts with the first of several such lists.
func (v *View) keepStale(now control.Time, update Update) {
	if v.stale.update == nil {
		v.stale.since = now
		v.stale.partiallyAccepted = false
	}
	v.stale.update = &update
}

// withEndsOnly returns an update with the view's revision and only those entries of a stale update that end
// ready endpoints. It omits the end of an endpoint that has started again since.
func (v *View) withEndsOnly(stale Update) Update {
	ends := Update{Revision: v.revision}
	for _, endpoint := range stale.Endpoints {
		current, ok := v.endpoints[endpoint.ID]
		if !ok || current.State != control.Ready || endpoint.State == control.Ready {
			continue
		}
		if endpoint.StartedAt >= current.StartedAt {
			ends.Endpoints = append(ends.Endpoints, endpoint)
		}
	}
	return ends
}

// Poll applies a stale list if it is due, and returns what has changed. It must be called at NextPoll.
func (v *View) Poll(now control.Time) Change {
	next, ok := v.NextPoll()
	if !ok || now < next {
		return Change{}
	}
	update := *v.stale.update
	if v.stale.partiallyAccepted {
		v.stale.update = nil
		return v.replace(now, update)
	}
	v.stale.partiallyAccepted = true
	update.Endpoints = v.withEndedDraining(update.Endpoints)
	return v.replace(now, update)
}

// NextPoll returns when Poll must be called if no update arrives before. It returns false while
// no stale list is kept.
func (v *View) NextPoll() (next control.Time, ok bool) {
	if v.stale.update == nil {
		return 0, false
	}
	if v.stale.partiallyAccepted {
		return v.stale.since.Add(EndedRetention), true
	}
	return v.stale.since.Add(StaleAcceptDelay), true
}

// withEndedDraining returns a copy of a stale list. In the copy, an endpoint that a later revision ended is
// draining, unless it has started again since.
func (v *View) withEndedDraining(stale []Endpoint) []Endpoint {
	endpoints := slices.Clone(stale)
	for i := range endpoints {
		endpoint := &endpoints[i]
		endedStart, ended := v.endedStart(endpoint.ID)
		if ended && endpoint.State == control.Ready && endpoint.StartedAt <= endedStart {
			endpoint.State = control.Draining
		}
	}
	return endpoints
}

// endedStart returns the start time of an endpoint that is known to have ended. It returns false for any
// other endpoint.
func (v *View) endedStart(id control.EndpointID) (startedAt control.Time, ok bool) {
	current, isListed := v.endpoints[id]
	if isListed && current.State == control.Draining {
		return current.StartedAt, true
	}
	return v.ended.startOf(id)
}
