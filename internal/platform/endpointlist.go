package platform

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"martenlock/control"
	"martenlock/control/membership"
	"martenlock/internal/platformsettings"
)

// endpointListMessage is a message from discovery: the complete endpoint list, or changes to it.
type endpointListMessage struct {
	Revision uint64          `json:"revision"`
	Complete bool            `json:"complete"`
	Entries  []endpointEntry `json:"members"`
}

// endpointEntry is an engine's entry in a message from discovery.
type endpointEntry struct {
	ID          string  `json:"id"`
	HostPort    string  `json:"host_port"`
	Zone        string  `json:"locality"`
	Kind        string  `json:"flavor"`
	Cell        int     `json:"cell"`
	Phase       string  `json:"phase"`
	Weight      float64 `json:"size"`
	StartedAtMs int64   `json:"up_since_ms"` // Unix time
}

// Values of endpointEntry.Phase.
const (
	phaseReady    = "in_service"
	phaseDraining = "terminating"
	phaseGone     = "terminated"
)

// endpointEntryError reports an invalid field of an entry in the endpoint list.
type endpointEntryError struct {
	ID     string // of the entry
	Field  string // the field's JSON name
	Reason string
}

// Error returns one line with the id, cut to 60 characters, the field and the reason.
func (e *endpointEntryError) Error() string {
	return fmt.Sprintf("%.60q: %s: %s", e.ID, e.Field, e.Reason)
}

// errEntryWithoutID means that an entry of the endpoint list has no id.
var errEntryWithoutID = errors.New("entry without id")

// controlTimeFunc converts a Unix time in milliseconds to the decision module's clock.
type controlTimeFunc func(unixMillis int64) control.Time

// update converts the message to an update of the membership view. Invalid entries are left out; the
// error joins one error for each of them.
func (m *endpointListMessage) update(settings *platformsettings.Settings, toControlTime controlTimeFunc) (membership.Update, error) {
	update := membership.Update{Revision: m.Revision, Full: m.Complete}
	var skipped error
	for i := range m.Entries {
		endpoint, err := m.Entries[i].endpoint(settings, toControlTime)
		if err != nil {
			skipped = errors.Join(skipped, err)
			continue
		}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update, skipped
}

// endpointID returns the engine's id in the decision module. All routers derive the same id.
func (e *endpointEntry) endpointID() control.EndpointID {
	return control.EndpointID(xxhash.Sum64String(e.ID))
}

// endpoint converts the entry to an endpoint of the membership view. Only a ready engine needs a valid
// address and kind. In the entry of an engine that drains or is gone, both may be invalid: the end of an
// engine must not be missed because of another field.
func (e *endpointEntry) endpoint(settings *platformsettings.Settings, toControlTime controlTimeFunc) (membership.Endpoint, error) {
	state, err := e.state()
	if err != nil {
		return membership.Endpoint{}, err
	}
	if e.ID == "" {
		return membership.Endpoint{}, errEntryWithoutID
	}
	address, addressErr := netip.ParseAddrPort(e.HostPort)
	kind := slices.Index(settings.KindNames, e.Kind)
	if state == control.Ready && addressErr != nil {
		return membership.Endpoint{}, e.fieldError("host_port", fmt.Sprintf("invalid address %.60q", e.HostPort))
	}
	if state == control.Ready && kind < 0 {
		return membership.Endpoint{}, e.fieldError("flavor", fmt.Sprintf("unknown value %.40q", e.Kind))
	}
	return membership.Endpoint{
		Endpoint: control.Endpoint{
			ID:        e.endpointID(),
			Weight:    e.Weight,
			StartedAt: toControlTime(e.StartedAtMs),
			Kind:      kind,
			Zone:      zoneIndex(settings.ZoneNames, e.Zone),
			Cell:      uint16(e.Cell),
			State:     state,
		},
		Addr: address,
		Name: e.ID,
	}, nil
}

// state converts the entry's phase.
func (e *endpointEntry) state() (control.EndpointState, error) {
	switch e.Phase {
	case phaseReady:
		return control.Ready, nil
	case phaseDraining:
		return control.Draining, nil
	case phaseGone:
		return control.Gone, nil
	}
	return control.Gone, e.fieldError("phase", fmt.Sprintf("unknown value %.40q", e.Phase))
}

func (e *endpointEntry) fieldError(field, reason string) error {
	return &endpointEntryError{ID: e.ID, Field: field, Reason: reason}
}

// zoneIndex returns the index of a zone in names, or len(names) for a zone that is not among them.
func zoneIndex(names []string, name string) uint16 {
	i := slices.Index(names, name)
	if i < 0 {
		return uint16(len(names))
	}
	return uint16(i)
}
