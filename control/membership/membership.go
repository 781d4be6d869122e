// Package membership keeps the list of servers that discovery tells: whole lists and changes,
// in order or not, in time or out of date. Like control, it does no I/O and reads no clock.
//
// The rule: what is newer holds. A list of an earlier revision than the one held is out of
// date and changes nothing, unless nothing else has come for OldFor since the first of them:
// then discovery counts anew.
package membership

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"martenlock/control"
)

// Server is one entry with its address.
type Server struct {
	control.Server
	Addr netip.AddrPort
}

// List is one message of discovery.
type List struct {
	Revision uint64
	Complete bool // a server that is not in it is gone
	Servers  []Server
}

const (
	// OldFor is how long lists of an earlier revision must be all that comes to be believed.
	OldFor = 10 * time.Second
	// Most servers are remembered; what is beyond is an error.
	Most = 20000
)

// ErrTooMany tells that a list would make the table longer than Most.
var ErrTooMany = errors.New("membership: more servers than can be held")

// Table is the list as held. The zero Table is empty.
type Table struct {
	revision uint64
	servers  map[control.ServerID]Server
	oldSince control.Time // first of the out-of-date lists that are all that comes; 0 for none
}

// Revision is that of the list held.
func (t *Table) Revision() uint64 { return t.revision }

// Get returns a server.
func (t *Table) Get(id control.ServerID) (Server, bool) { s, ok := t.servers[id]; return s, ok }

// Len returns how many servers are held.
func (t *Table) Len() int { return len(t.servers) }

// Apply takes a message in, and returns what the module is to be told, if anything.
func (t *Table) Apply(now control.Time, l List) (ev control.Fleet, news bool, err error) {
	if l.Revision < t.revision {
		if t.oldSince == 0 {
			t.oldSince = max(now, 1)
		}
		if !l.Complete || now.Sub(t.oldSince) < OldFor {
			return ev, false, nil
		}
	}
	if len(l.Servers) > Most || !l.Complete && len(t.servers)+len(l.Servers) > Most {
		return ev, false, ErrTooMany
	}
	t.oldSince, t.revision = 0, l.Revision
	if t.servers == nil || l.Complete {
		t.servers = make(map[control.ServerID]Server, len(l.Servers))
	}
	for _, s := range l.Servers {
		if s.State == control.Gone {
			delete(t.servers, s.ID)
		} else {
			t.servers[s.ID] = s
		}
		// Of two entries for a server the later one holds.
		ev.Servers = append(slices.DeleteFunc(ev.Servers, func(o control.Server) bool { return o.ID == s.ID }), s.Server)
	}
	ev.Full = l.Complete
	return ev, ev.Full || len(ev.Servers) > 0, nil
}
