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

// endpointListMessage is one message of discovery: the whole endpoint list, or changes of it.
type endpointListMessage struct {
	Revision uint64          `json:"revision"`
	Complete bool            `json:"complete"`
	Entries  []endpointEntry `json:"members"`
}

// endpointEntry is what discovery tells of one engine.
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

// The phases of an engine's life.
const (
	phaseReady    = "in_service"
	phaseDraining = "terminating"
	phaseGone     = "terminated"
)

// endpointEntryError reports an entry of the endpoint list that cannot be used.
type endpointEntryError struct {
	ID     string
	Field  string
	Reason string
}

// Error names the engine, the field and the reason.
func (e *endpointEntryError) Error() string {
	return fmt.Sprintf("%.60q: %s: %s", e.ID, e.Field, e.Reason)
}

// errEntryWithoutID reports an entry of the endpoint list that names no engine.
var errEntryWithoutID = errors.New("an entry without id")

// unixMillisToControl converts a Unix time in milliseconds into one of the decision module's clock.
type unixMillisToControl func(milliseconds int64) control.Time

// update converts the message into the decision module's terms. Entries that cannot be used are
// left out and reported in the error; the others hold.
func (m *endpointListMessage) update(settings *platformsettings.Settings, clock unixMillisToControl) (membership.Update, error) {
	update := membership.Update{Revision: m.Revision, Complete: m.Complete}
	var skipped error
	for i := range m.Entries {
		endpoint, err := m.Entries[i].endpoint(settings, clock)
		if err != nil {
			skipped = errors.Join(skipped, err)
			continue
		}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update, skipped
}

// endpointID returns the decision module's number of the engine, the same at every router.
func (e *endpointEntry) endpointID() control.EndpointID {
	return control.EndpointID(xxhash.Sum64String(e.ID))
}

// endpoint converts the entry. That an engine drains or is gone holds whatever else of its entry
// cannot be used.
func (e *endpointEntry) endpoint(settings *platformsettings.Settings, clock unixMillisToControl) (membership.Endpoint, error) {
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
		return membership.Endpoint{}, e.fieldError("host_port", fmt.Sprintf("%.60q is no address", e.HostPort))
	}
	if state == control.Ready && kind < 0 {
		return membership.Endpoint{}, e.fieldError("flavor", fmt.Sprintf("unknown %.40q", e.Kind))
	}
	return membership.Endpoint{
		Endpoint: control.Endpoint{
			ID:        e.endpointID(),
			Weight:    e.Weight,
			StartedAt: clock(e.StartedAtMs),
			Kind:      kind,
			Zone:      zoneNumber(settings.ZoneNames, e.Zone),
			Cell:      uint16(e.Cell),
			State:     state,
		},
		Addr: address,
		Name: e.ID,
	}, nil
}

// state decodes the entry's phase.
func (e *endpointEntry) state() (control.EndpointState, error) {
	switch e.Phase {
	case phaseReady:
		return control.Ready, nil
	case phaseDraining:
		return control.Draining, nil
	case phaseGone:
		return control.Gone, nil
	}
	return control.Gone, e.fieldError("phase", fmt.Sprintf("unknown %.40q", e.Phase))
}

// fieldError reports that a field of the entry cannot be used.
func (e *endpointEntry) fieldError(field, reason string) error {
	return &endpointEntryError{ID: e.ID, Field: field, Reason: reason}
}

// zoneNumber returns a zone's number in the settings; zones that they lack share the number
// behind theirs.
func zoneNumber(names []string, name string) uint16 {
	i := slices.Index(names, name)
	if i < 0 {
		return uint16(len(names))
	}
	return uint16(i)
}
