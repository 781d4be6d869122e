package platform

import (
	"errors"
	"testing"

	"martenlock/control"
	"martenlock/internal/platformsettings"
)

// TestInvalidEntriesAreReportedAndOthersApply: an invalid entry is left out and reported with its field, and the
// other entries apply.
func TestInvalidEntriesAreReportedAndOthersApply(t *testing.T) {
	settings := &platformsettings.Settings{KindNames: []string{"w1"}, ZoneNames: []string{"a"}}
	noStart := func(int64) control.Time { return 0 }
	good := endpointEntry{ID: "good", HostPort: "127.0.0.1:9", Kind: "w1", Zone: "elsewhere", Phase: "in_service"}
	for _, c := range []struct{ id, address, kind, phase, field string }{
		{"x", "127.0.0.1:9", "w1", "?", "phase"},
		{"x", "nowhere", "w1", "in_service", "host_port"},
		{"x", "127.0.0.1:9", "?", "in_service", "flavor"},
		{"", "127.0.0.1:9", "w1", "in_service", ""},
	} {
		bad := endpointEntry{ID: c.id, HostPort: c.address, Kind: c.kind, Phase: c.phase}
		message := endpointListMessage{Revision: 3, Complete: true, Entries: []endpointEntry{bad, good}}

		update, err := message.update(settings, noStart)

		if len(update.Endpoints) != 1 || update.Endpoints[0].ID != good.endpointID() || update.Endpoints[0].Zone != 1 || update.Revision != 3 || !update.Full {
			t.Errorf("invalid entry %+v: update %+v, want the valid entry alone", c, update)
		}
		var entryErr *endpointEntryError
		switch {
		case c.field == "" && !errors.Is(err, errEntryWithoutID):
			t.Errorf("invalid entry %+v: error %v, want %v", c, err, errEntryWithoutID)
		case c.field != "" && (!errors.As(err, &entryErr) || entryErr.Field != c.field || entryErr.ID != c.id):
			t.Errorf("invalid entry %+v: error %v, want one with the id and field", c, err)
		}
	}
}
