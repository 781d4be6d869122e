// Package membership keeps the endpoint list that discovery sends: complete lists and changes,
// in order or not, current or stale. Like package control, it does no I/O and reads no clock.
//
// An update of the revision held or a later one applies. One of an earlier revision is stale: it
// ends endpoints at once, since a request sent to an endpoint that has ended may be lost, but adds
// none. Where a stale complete list is all that comes for StaleAcceptDelay, discovery has lost its
// later revisions and counts anew, and the list applies as a whole; only endpoints that a later
// revision had ended stay ended until EndedRetention has passed.
//
// The package also holds the time-outs and the backoff of the connections to discovery.
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
	Name string // as it is listed, for the log
}

// Update is one message of discovery.
type Update struct {
	Revision  uint64
	Complete  bool // an endpoint that is not in it is gone
	Endpoints []Endpoint
}

// Change is what an update or the passing of time made of the view, for the view's subscribers.
type Change struct {
	control.EndpointUpdate
}

// IsEmpty tells whether there is nothing to notify subscribers of.
func (c Change) IsEmpty() bool { return !c.Full && len(c.Endpoints) == 0 }

const (
	// StaleAcceptDelay is how long a stale complete list must be all that comes before it applies:
	// a later one that it crossed on the way is here by then. What discovery has when it is back
	// counts as told at once, and the shortest drain grace comes on top.
	StaleAcceptDelay = 500 * time.Millisecond
	// EndedRetention is how long the end of an endpoint holds against stale lists: it is remembered
	// for so long, and a stale list that is still all that comes after so long applies in full.
	EndedRetention = 10 * time.Second
	// MaxEndpoints bounds the endpoints held, and those remembered as ended.
	MaxEndpoints = 20000
)

// ErrTooManyEndpoints is returned for an update with which the view would hold more than
// MaxEndpoints.
var ErrTooManyEndpoints = errors.New("membership: more endpoints than can be held")

// View is the endpoint list as held. The zero View is empty and ready for use.
type View struct {
	revision  uint64
	endpoints map[control.EndpointID]Endpoint
	ended     endedEndpoints
	stale     staleList
}

// staleList is a complete list of an earlier revision than the one held, which may come to apply.
type staleList struct {
	update              *Update // the latest such list; nil for none
	since               control.Time
	isPartiallyAccepted bool // it applies, but for what a later revision had ended
}

// Revision returns the revision held.
func (v *View) Revision() uint64 { return v.revision }

// Get returns an endpoint that is held.
func (v *View) Get(id control.EndpointID) (Endpoint, bool) {
	endpoint, ok := v.endpoints[id]
	return endpoint, ok
}

// Len returns the number of endpoints held.
func (v *View) Len() int { return len(v.endpoints) }

// Apply applies an update, and returns what changed. The only error is ErrTooManyEndpoints; the
// view is then as before.
func (v *View) Apply(now control.Time, update Update) (Change, error) {
	if v.wouldExceedLimit(update) {
		return Change{}, ErrTooManyEndpoints
	}
	if update.Revision >= v.revision {
		v.stale.update = nil
		return v.replace(now, update), nil
	}
	if update.Complete {
		v.keepStale(now, update)
	}
	return v.replace(now, v.endsIn(update)), nil
}

func (v *View) wouldExceedLimit(update Update) bool {
	if len(update.Endpoints) > MaxEndpoints {
		return true
	}
	return !update.Complete && len(v.endpoints)+len(update.Endpoints) > MaxEndpoints
}

// keepStale keeps a stale complete list for Poll. The delay counts from the first of several.
func (v *View) keepStale(now control.Time, update Update) {
	if v.stale.update == nil {
		v.stale.since = now
		v.stale.isPartiallyAccepted = false
	}
	v.stale.update = &update
}

// endsIn returns those entries of a stale update that end endpoints which are held as ready, as an
// update of the revision held. The end of an earlier start does not end a later one.
func (v *View) endsIn(stale Update) Update {
	ends := Update{Revision: v.revision}
	for _, endpoint := range stale.Endpoints {
		held, ok := v.endpoints[endpoint.ID]
		if !ok || held.State != control.Ready || endpoint.State == control.Ready {
			continue
		}
		if endpoint.StartedAt >= held.StartedAt {
			ends.Endpoints = append(ends.Endpoints, endpoint)
		}
	}
	return ends
}

// Poll applies a stale list whose time has come, and returns what changed.
func (v *View) Poll(now control.Time) Change {
	deadline, ok := v.NextDeadline()
	if !ok || now < deadline {
		return Change{}
	}
	update := *v.stale.update
	if v.stale.isPartiallyAccepted {
		v.stale.update = nil
		return v.replace(now, update)
	}
	v.stale.isPartiallyAccepted = true
	update.Endpoints = v.withEndedDraining(update.Endpoints)
	return v.replace(now, update)
}

// NextDeadline returns when Poll has something to do if no update comes. It returns false where no
// stale list is kept.
func (v *View) NextDeadline() (deadline control.Time, ok bool) {
	if v.stale.update == nil {
		return 0, false
	}
	if v.stale.isPartiallyAccepted {
		return v.stale.since.Add(EndedRetention), true
	}
	return v.stale.since.Add(StaleAcceptDelay), true
}

// withEndedDraining returns a copy of a stale list in which the endpoints are draining that a later
// revision had ended, unless they have started anew since.
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

// endedStart returns which start of an endpoint is known to have ended, or false for none.
func (v *View) endedStart(id control.EndpointID) (startedAt control.Time, ok bool) {
	held, isHeld := v.endpoints[id]
	if isHeld && held.State == control.Draining {
		return held.StartedAt, true
	}
	return v.ended.startOf(id)
}
