package membership

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"martenlock/control"
)

func server(id control.ServerID, state control.State) Server {
	return Server{Server: control.Server{ID: id, State: state}, Addr: netip.MustParseAddrPort("127.0.0.1:80")}
}

// TestScript: lists and changes in order, out of order and anew. What newer word ended stays ended
// against an older whole list, until nothing else has come for EndedFor.
func TestScript(t *testing.T) {
	const turn = 1 << 40 // of time alone, nothing comes
	var table Table
	steps := []struct {
		what  string
		at    time.Duration
		list  List
		news  bool
		ready []control.ServerID
	}{
		{"as last held", 0, List{4, true, []Server{server(1, control.Ready), server(2, control.Ready)}}, true, []control.ServerID{1, 2}},
		{"nothing new", 0, List{4, false, nil}, false, []control.ServerID{1, 2}},
		{"a change", 1, List{5, false, []Server{server(1, control.Draining), server(3, control.Ready)}}, true, []control.ServerID{2, 3}},
		{"an old change brings nothing", 2, List{4, false, []Server{server(1, control.Ready), server(9, control.Ready)}}, false, []control.ServerID{2, 3}},
		{"but it ends", 2, List{4, false, []Server{server(3, control.Draining)}}, true, []control.ServerID{2}},
		{"gone", 3, List{6, false, []Server{server(3, control.Gone)}}, true, []control.ServerID{2}},
		{"out of date", 4, List{2, true, []Server{server(1, control.Ready), server(3, control.Ready), server(4, control.Ready)}}, false, []control.ServerID{2}},
		{"not yet", 4 + OldFor - 1000, List{Revision: turn}, false, []control.ServerID{2}},
		{"a newer one comes", 4 + OldFor - 1000, List{7, false, nil}, false, []control.ServerID{2}},
		{"so the old one is nothing", 4 + OldFor, List{Revision: turn}, false, []control.ServerID{2}},
		{"out of date again", 5 * time.Second, List{2, true, []Server{server(1, control.Ready), server(3, control.Ready), server(4, control.Ready)}}, false, []control.ServerID{2}},
		{"and once more", 5*time.Second + OldFor/2, List{2, true, []Server{server(1, control.Ready), server(3, control.Ready), server(4, control.Ready)}}, false, []control.ServerID{2}},
		{"it counts anew, but for what ended", 5*time.Second + OldFor, List{Revision: turn}, true, []control.ServerID{4}},
		{"and is the line from now on", 6 * time.Second, List{3, false, []Server{server(5, control.Ready)}}, true, []control.ServerID{4, 5}},
		{"an older one again", 7 * time.Second, List{2, true, []Server{server(1, control.Ready), server(4, control.Ready)}}, false, []control.ServerID{4, 5}},
		{"counts", 7*time.Second + OldFor, List{Revision: turn}, true, []control.ServerID{4}},
		{"for long", 7*time.Second + EndedFor, List{Revision: turn}, true, []control.ServerID{1, 4}},
		{"whole", 30 * time.Second, List{3, true, nil}, true, nil},
	}
	for _, s := range steps {
		now := control.Time(1000).Add(s.at)
		var ev control.Fleet
		var news bool
		var err error
		if s.list.Revision == turn {
			ev, news = table.Turn(now)
		} else {
			ev, news, err = table.Apply(now, s.list)
		}
		var ready []control.ServerID
		for id, held := range table.servers {
			if held.State == control.Ready {
				ready = append(ready, id)
			}
		}
		slices.Sort(ready)
		if err != nil || news != s.news || !slices.Equal(ready, s.ready) {
			t.Fatalf("%s: news %v, ready %v, %+v, %v", s.what, news, ready, ev, err)
		}
	}
	if table.Revision() != 3 {
		t.Error(table.Revision())
	}
}

// TestNewStart: an out-of-date list does bring back what has started anew since it ended, and does
// not end a server's later start.
func TestNewStart(t *testing.T) {
	var table Table
	at := func(id control.ServerID, state control.State, since control.Time) Server {
		s := server(id, state)
		s.Since = since
		return s
	}
	table.Apply(1, List{5, true, []Server{at(1, control.Draining, 10), at(2, control.Ready, 20)}})
	if _, news, _ := table.Apply(2, List{4, true, []Server{at(1, control.Ready, 30), at(2, control.Draining, 10)}}); news {
		t.Error("an earlier start's end ended the later one")
	}
	table.Turn(control.Time(2).Add(OldFor))
	if s, _ := table.Get(1); s.State != control.Ready {
		t.Error("a new start was taken for the one that ended")
	}
}

// TestSpoiltEnd: a server ends though the rest of its entry can't be used; one not held is left out.
func TestSpoiltEnd(t *testing.T) {
	var table Table
	held := server(1, control.Ready)
	held.Kind, held.Cell = 1, 7
	table.Apply(1, List{1, true, []Server{held}})
	ev, _, _ := table.Apply(2, List{2, false, []Server{
		{Server: control.Server{ID: 1, State: control.Draining, Kind: -1}}, {Server: control.Server{ID: 2, State: control.Draining, Kind: -1}}}})
	if s, _ := table.Get(1); len(ev.Servers) != 1 || s.State != control.Draining || s.Kind != 1 || s.Cell != 7 || s.Addr != held.Addr {
		t.Errorf("%+v, %+v", ev, s)
	}
}

// TestTold: however the phases of discovery's calls are cut, what it has is here within what the
// platform grants.
func TestTold(t *testing.T) {
	const told = 6 * time.Second
	pause := Backoff(0)
	if worst := Silence + pause + Silence + Backoff(pause) + Pause; worst >= told || Silence <= HeartbeatEvery {
		t.Errorf("%v in the worst case, silence %v", worst, Silence)
	}
	for range 20 {
		if pause = Backoff(pause); pause > Pause || pause < LeastPause {
			t.Error(pause)
		}
	}
}

// TestTwice: of two entries for a server in one message the later holds, for the module too.
func TestTwice(t *testing.T) {
	var table Table
	ev, _, _ := table.Apply(1, List{1, true, []Server{server(1, control.Ready), server(1, control.Draining)}})
	if s, _ := table.Get(1); s.State != control.Draining || len(ev.Servers) != 1 || ev.Servers[0].State != control.Draining {
		t.Errorf("%+v", ev)
	}
}

// TestBound: a table does not grow without end.
func TestBound(t *testing.T) {
	var table Table
	l := List{Revision: 1, Servers: make([]Server, Most+1)}
	if _, news, err := table.Apply(1, l); err != ErrTooMany || news || table.Len() != 0 {
		t.Error(news, err)
	}
}
