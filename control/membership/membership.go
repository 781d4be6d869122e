// Package membership keeps the list of servers that discovery tells: whole lists and changes,
// in order or not, in time or out of date. Like control, it does no I/O and reads no clock.
//
// The rule: what is newer holds, and word that a server ends holds at once. A list of an earlier
// revision than the one held is out of date: it ends servers, but brings none. Where nothing
// else comes for OldFor, discovery counts anew and all of it holds, except that it does not bring
// back what newer word had ended; after EndedFor it does.
package membership

import (
	"errors"
	"maps"
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
	// OldFor is how long a list of an earlier revision must be all that comes to be believed: a
	// newer one that it crossed is here by then. What discovery has when it is back counts as told
	// at once, and the shortest drain grace comes on top.
	OldFor = 500 * time.Millisecond
	// EndedFor is how long newer word that a server ended holds against such a list.
	EndedFor = 10 * time.Second
	// Most servers are remembered; what is beyond is an error.
	Most = 20000
)

// ErrTooMany tells that a list would make the table longer than Most.
var ErrTooMany = errors.New("membership: more servers than can be held")

// Table is the list as held. The zero Table is empty.
type Table struct {
	revision uint64
	servers  map[control.ServerID]Server
	ended    map[control.ServerID]end // those that were listed lately and ended
	order    []control.ServerID       // of these, as they ended; some may have come back or ended again
	old      *List                    // out of date, and all that comes
	oldSince control.Time             // the first such
	believed bool                     // but for what newer word ended
}

// end is which of a server's starts has ended, and when that was told.
type end struct{ since, at control.Time }

// Revision is that of the list held.
func (t *Table) Revision() uint64 { return t.revision }

// Get returns a server.
func (t *Table) Get(id control.ServerID) (Server, bool) { s, ok := t.servers[id]; return s, ok }

// Len returns how many servers are held.
func (t *Table) Len() int { return len(t.servers) }

// Apply takes a message in, and returns what the module is to be told, if anything.
func (t *Table) Apply(now control.Time, l List) (ev control.Fleet, news bool, err error) {
	if len(l.Servers) > Most || !l.Complete && len(t.servers)+len(l.Servers) > Most {
		return ev, false, ErrTooMany
	}
	if l.Revision >= t.revision {
		t.old = nil
		ev = t.take(now, l)
		return ev, ev.Full || len(ev.Servers) > 0, nil
	}
	if l.Complete {
		if t.old == nil {
			t.oldSince, t.believed = now, false
		}
		t.old = &l
	}
	var ends List
	for _, s := range l.Servers {
		if held, ok := t.servers[s.ID]; ok && s.State != control.Ready && s.Since >= held.Since && held.State == control.Ready {
			ends.Servers = append(ends.Servers, s)
		}
	}
	ends.Revision = t.revision
	ev = t.take(now, ends)
	return ev, len(ev.Servers) > 0, nil
}

// Turn returns what the passing of time makes true; Next tells when it may have something.
func (t *Table) Turn(now control.Time) (ev control.Fleet, news bool) {
	at, ok := t.Next()
	if !ok || now < at {
		return ev, false
	}
	l := *t.old
	if t.believed {
		t.old = nil
		return t.take(now, l), true
	}
	t.believed = true
	l.Servers = slices.Clone(l.Servers)
	for i, s := range l.Servers {
		gone, ended := t.ended[s.ID]
		since := gone.since
		if held, ok := t.servers[s.ID]; ok && held.State == control.Draining {
			since, ended = held.Since, true
		}
		if ended && s.State == control.Ready && s.Since <= since {
			l.Servers[i].State = control.Draining
		}
	}
	return t.take(now, l), true
}

// Next tells when Turn may have something if nothing comes; false for never.
func (t *Table) Next() (at control.Time, ok bool) {
	switch {
	case t.old == nil:
		return 0, false
	case t.believed:
		return t.oldSince.Add(EndedFor), true
	}
	return t.oldSince.Add(OldFor), true
}

// take makes a list the one held.
func (t *Table) take(now control.Time, l List) (ev control.Fleet) {
	t.revision = l.Revision
	for len(t.order) > 0 && now.Sub(t.ended[t.order[0]].at) > EndedFor {
		delete(t.ended, t.order[0])
		t.order = t.order[1:]
	}
	was := t.servers
	if t.servers == nil || l.Complete {
		t.servers = make(map[control.ServerID]Server, len(l.Servers))
	}
	for _, s := range l.Servers {
		held, known := t.servers[s.ID]
		if !known {
			held, known = was[s.ID]
		}
		if s.Kind < 0 || s.State != control.Ready && !s.Addr.IsValid() { // what it was stays, until it ends
			if !known {
				continue
			}
			state := s.State
			s = held
			s.State = state
		}
		if s.State == control.Gone {
			t.gone(now, held)
			delete(t.servers, s.ID)
		} else {
			t.servers[s.ID] = s
		}
		if s.State == control.Ready {
			delete(t.ended, s.ID)
		}
		// Of two entries for a server the later one holds.
		ev.Servers = append(slices.DeleteFunc(ev.Servers, func(o control.Server) bool { return o.ID == s.ID }), s.Server)
	}
	if l.Complete {
		for _, id := range slices.Sorted(maps.Keys(was)) {
			if _, yet := t.servers[id]; !yet {
				t.gone(now, was[id])
			}
		}
	}
	ev.Full = l.Complete
	return ev
}

// gone remembers that a server which was listed has ended.
func (t *Table) gone(now control.Time, s Server) {
	if t.ended == nil {
		t.ended = map[control.ServerID]end{}
	}
	if s.ID != 0 && len(t.order) < Most {
		t.ended[s.ID] = end{s.Since, now}
		t.order = append(t.order, s.ID)
	}
}
