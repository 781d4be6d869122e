package membership

import (
	"errors"
	"net/netip"
	"slices"
	"testing"
	"time"

	"martenlock/control"
)

func newEndpoint(id control.EndpointID, state control.EndpointState) Endpoint {
	return Endpoint{
		Endpoint: control.Endpoint{ID: id, State: state},
		Addr:     netip.MustParseAddrPort("127.0.0.1:80"),
	}
}

func newEndpointStartedAt(
	id control.EndpointID, state control.EndpointState, startedAt control.Time,
) Endpoint {
	endpoint := newEndpoint(id, state)
	endpoint.StartedAt = startedAt
	return endpoint
}

// apply applies an update that must not exceed the limit.
func apply(t *testing.T, view *View, now control.Time, update Update) Change {
	t.Helper()
	change, err := view.Apply(now, update)
	if err != nil {
		t.Fatal(err)
	}
	return change
}

// readyIDs returns the ids of the ready endpoints in ascending order.
func (v *View) readyIDs() []control.EndpointID {
	var ready []control.EndpointID
	for id, endpoint := range v.endpoints {
		if endpoint.State == control.Ready {
			ready = append(ready, id)
		}
	}
	slices.Sort(ready)
	return ready
}

// TestStaleListsDoNotBringBackEndedEndpoints: an endpoint that a later revision ended stays ended despite
// stale full lists, until nothing else has arrived for EndedRetention. The steps are full lists and
// changes, in and out of order, and with a restarted count of revisions.
func TestStaleListsDoNotBringBackEndedEndpoints(t *testing.T) {
	const pollOnly = 1 << 40 // revision of a step that only polls the view, without an update
	var view View
	steps := []struct {
		name    string
		at      time.Duration
		update  Update
		changes bool
		ready   []control.EndpointID
	}{
		{
			"the first list", 0,
			Update{4, true, []Endpoint{newEndpoint(1, control.Ready), newEndpoint(2, control.Ready)}},
			true,
			[]control.EndpointID{1, 2},
		},
		{"an empty change", 0, Update{4, false, nil}, false, []control.EndpointID{1, 2}},
		{
			"a change", 1,
			Update{5, false, []Endpoint{newEndpoint(1, control.Draining), newEndpoint(3, control.Ready)}},
			true,
			[]control.EndpointID{2, 3},
		},
		{
			"a stale change adds nothing", 2,
			Update{4, false, []Endpoint{newEndpoint(1, control.Ready), newEndpoint(9, control.Ready)}},
			false,
			[]control.EndpointID{2, 3},
		},
		{
			"a stale change ends", 2,
			Update{4, false, []Endpoint{newEndpoint(3, control.Draining)}},
			true,
			[]control.EndpointID{2},
		},
		{
			"an endpoint is gone", 3,
			Update{6, false, []Endpoint{newEndpoint(3, control.Gone)}},
			true,
			[]control.EndpointID{2},
		},
		{
			"a stale list", 4,
			Update{2, true, []Endpoint{
				newEndpoint(1, control.Ready), newEndpoint(3, control.Ready), newEndpoint(4, control.Ready),
			}},
			false,
			[]control.EndpointID{2},
		},
		{
			"the stale list is not accepted early", 4 + StaleAcceptDelay - 1000,
			Update{Revision: pollOnly},
			false,
			[]control.EndpointID{2},
		},
		{
			"a later revision arrives", 4 + StaleAcceptDelay - 1000,
			Update{7, false, nil},
			false,
			[]control.EndpointID{2},
		},
		{
			"the stale list was dropped", 4 + StaleAcceptDelay,
			Update{Revision: pollOnly},
			false,
			[]control.EndpointID{2},
		},
		{
			"a stale list again", 5 * time.Second,
			Update{2, true, []Endpoint{
				newEndpoint(1, control.Ready), newEndpoint(3, control.Ready), newEndpoint(4, control.Ready),
			}},
			false,
			[]control.EndpointID{2},
		},
		{
			"the stale list again, before it is accepted", 5*time.Second + StaleAcceptDelay/2,
			Update{2, true, []Endpoint{
				newEndpoint(1, control.Ready), newEndpoint(3, control.Ready), newEndpoint(4, control.Ready),
			}},
			false,
			[]control.EndpointID{2},
		},
		{
			"the stale list is accepted, except for ended endpoints", 5*time.Second + StaleAcceptDelay,
			Update{Revision: pollOnly},
			true,
			[]control.EndpointID{4},
		},
		{
			"a revision after the accepted one", 6 * time.Second,
			Update{3, false, []Endpoint{newEndpoint(5, control.Ready)}},
			true,
			[]control.EndpointID{4, 5},
		},
		{
			"a stale list for the third time", 7 * time.Second,
			Update{2, true, []Endpoint{newEndpoint(1, control.Ready), newEndpoint(4, control.Ready)}},
			false,
			[]control.EndpointID{4, 5},
		},
		{
			"it is accepted, except for ended endpoints", 7*time.Second + StaleAcceptDelay,
			Update{Revision: pollOnly},
			true,
			[]control.EndpointID{4},
		},
		{
			"it is accepted in full after EndedRetention", 7*time.Second + EndedRetention,
			Update{Revision: pollOnly},
			true,
			[]control.EndpointID{1, 4},
		},
		{"a full list without entries", 30 * time.Second, Update{3, true, nil}, true, nil},
	}
	for _, step := range steps {
		now := control.Time(1000).Add(step.at)
		var change Change
		var err error
		if step.update.Revision == pollOnly {
			change = view.Poll(now)
		} else {
			change, err = view.Apply(now, step.update)
		}
		ready := view.readyIDs()
		if err != nil || change.IsEmpty() == step.changes || !slices.Equal(ready, step.ready) {
			t.Fatalf("%s: ready %v, want %v; change %+v, error %v", step.name, ready, step.ready, change, err)
		}
	}
	if view.Revision() != 3 {
		t.Errorf("revision %d, want 3", view.Revision())
	}
}

// TestRestartedEndpointIsReadyDespiteItsEarlierEnd: the end of an endpoint has no effect if the endpoint has
// started again since, whether the end or the new start is in a stale list.
func TestRestartedEndpointIsReadyDespiteItsEarlierEnd(t *testing.T) {
	var view View
	apply(t, &view, 1, Update{5, true, []Endpoint{
		newEndpointStartedAt(1, control.Draining, 10),
		newEndpointStartedAt(2, control.Ready, 20),
	}})

	change := apply(t, &view, 2, Update{4, true, []Endpoint{
		newEndpointStartedAt(1, control.Ready, 30),
		newEndpointStartedAt(2, control.Draining, 10),
	}})
	if !change.IsEmpty() {
		t.Error("the end of an earlier start ended a restarted endpoint")
	}

	view.Poll(control.Time(2).Add(StaleAcceptDelay))
	if endpoint, _ := view.Get(1); endpoint.State != control.Ready {
		t.Error("a restarted endpoint is not ready")
	}
}

// TestUnusableEntryStillEndsItsEndpoint: an entry ends its endpoint even if its kind or address is unusable.
// Such an entry for an unknown endpoint is ignored.
func TestUnusableEntryStillEndsItsEndpoint(t *testing.T) {
	var view View
	listed := newEndpoint(1, control.Ready)
	listed.Kind, listed.Cell = 1, 7
	apply(t, &view, 1, Update{1, true, []Endpoint{listed}})

	change := apply(t, &view, 2, Update{2, false, []Endpoint{
		{Endpoint: control.Endpoint{ID: 1, State: control.Draining, Kind: -1}},
		{Endpoint: control.Endpoint{ID: 2, State: control.Draining, Kind: -1}},
	}})

	endpoint, _ := view.Get(1)
	if len(change.Endpoints) != 1 || endpoint.State != control.Draining ||
		endpoint.Kind != 1 || endpoint.Cell != 7 || endpoint.Addr != listed.Addr {
		t.Errorf("change %+v, endpoint %+v", change, endpoint)
	}
}

// TestLaterOfTwoEntriesForAnEndpointApplies: if an update has two entries for one endpoint, the later one
// counts, in the view and in the change.
func TestLaterOfTwoEntriesForAnEndpointApplies(t *testing.T) {
	var view View

	change := apply(t, &view, 1, Update{1, true, []Endpoint{
		newEndpoint(1, control.Ready),
		newEndpoint(1, control.Draining),
	}})

	endpoint, _ := view.Get(1)
	if endpoint.State != control.Draining ||
		len(change.Endpoints) != 1 || change.Endpoints[0].State != control.Draining {
		t.Errorf("change %+v, endpoint %+v", change, endpoint)
	}
}

// TestViewIsBounded: an update beyond MaxEndpoints is an error and changes nothing.
func TestViewIsBounded(t *testing.T) {
	var view View
	update := Update{Revision: 1, Endpoints: make([]Endpoint, MaxEndpoints+1)}

	change, err := view.Apply(1, update)

	if !errors.Is(err, ErrTooManyEndpoints) || !change.IsEmpty() || view.Len() != 0 {
		t.Errorf("error %v, change is empty: %v, the view has %d endpoints", err, change.IsEmpty(), view.Len())
	}
}
