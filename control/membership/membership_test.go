package membership

import (
	"testing"
	"time"

	"martenlock/control"
)

func server(id control.ServerID, state control.State) Server {
	return Server{Server: control.Server{ID: id, State: state}}
}

// TestScript: lists and changes in order, out of order and anew.
func TestScript(t *testing.T) {
	var table Table
	steps := []struct {
		what string
		at   time.Duration
		list List
		news bool
		held int
	}{
		{"as last held", 0, List{4, true, []Server{server(1, control.Ready), server(2, control.Ready)}}, true, 2},
		{"nothing new", 0, List{4, false, nil}, false, 2},
		{"a change", 1, List{5, false, []Server{server(1, control.Draining), server(3, control.Ready)}}, true, 3},
		{"out of date", 2, List{3, true, []Server{server(1, control.Ready)}}, false, 3},
		{"an old change", 2, List{4, false, []Server{server(1, control.Ready)}}, false, 3},
		{"gone", 3, List{6, false, []Server{server(1, control.Gone)}}, true, 2},
		{"out of date again", 4, List{2, true, []Server{server(1, control.Ready)}}, false, 2},
		{"for long", 4 + OldFor, List{2, true, []Server{server(1, control.Ready)}}, true, 1},
		{"it counts anew", 5 + OldFor, List{3, false, []Server{server(2, control.Ready)}}, true, 2},
		{"whole", 6 + OldFor, List{3, true, nil}, true, 0},
	}
	for _, s := range steps {
		ev, news, err := table.Apply(control.Time(1000).Add(s.at), s.list)
		if err != nil || news != s.news || table.Len() != s.held || news && ev.Full != s.list.Complete {
			t.Fatalf("%s: news %v, %d held, %+v, %v", s.what, news, table.Len(), ev, err)
		}
	}
	if table.Revision() != 3 {
		t.Error(table.Revision())
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
