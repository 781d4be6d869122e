package letgo

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"martenlock/control"
)

const ms = time.Millisecond

func at(d time.Duration) control.Time { return control.Time(1e9).Add(d) }

// TestOrder: first the engine that answered latest, then the others, those that failed last.
func TestOrder(t *testing.T) {
	b := New(500 * ms)
	b.Listed([]control.ServerID{4, 3, 2, 1})
	b.Heard(at(1*ms), 1)
	b.Heard(at(2*ms), 3)
	b.Heard(at(3*ms), 2)
	b.Silent(at(4*ms), 2)
	b.Want(at(5*ms), "q")
	b.Want(at(5*ms), "q")
	var order []control.ServerID
	for now := 5 * ms; len(order) < 4 && now < time.Second; now += ms {
		for _, a := range b.Turn(at(now)) {
			order = append(order, a.Server)
		}
	}
	if fmt.Sprint(order) != "[3 1 4 2]" {
		t.Error(order)
	}
	b.Answered(at(time.Second), Ask{Name: "q", Server: 4}, true)
	if b.Len() != 0 || b.Turn(at(2*time.Second)) != nil {
		t.Error("asked again after an answer")
	}
}

// TestInTime: with all engines but one silent, that one is asked within the limit.
func TestInTime(t *testing.T) {
	for alive := range 5 {
		b := New(500 * ms)
		var listed []control.ServerID
		for i := range 5 {
			listed = append(listed, control.ServerID(i+1))
			b.Listed(listed)
			b.Heard(at(time.Duration(i)*ms), control.ServerID(i+1))
		}
		b.Want(at(5*ms), "q")
		for now := 5 * ms; b.Len() > 0; now += ms {
			if now > 505*ms {
				t.Fatalf("engine %d was not asked in time", alive)
			}
			for _, a := range b.Turn(at(now)) {
				if int(a.Server) == alive+1 {
					b.Answered(at(now), a, true)
				}
			}
		}
	}
}

// TestRefused: engines that can't be reached are asked in turn without end, not in a storm,
// until the limit on trying.
func TestRefused(t *testing.T) {
	b := New(100 * ms)
	calls := 0
	b.Listed([]control.ServerID{1, 2})
	b.Want(at(0), "q")
	for now := time.Duration(0); now < 10*time.Second; now += ms {
		for _, a := range b.Turn(at(now)) {
			calls++
			b.Answered(at(now), a, false)
		}
	}
	if calls < 20 || calls > 600 || b.Len() != 0 || b.Lost() != 1 {
		t.Errorf("%d calls, %d wait, %d lost", calls, b.Len(), b.Lost())
	}
}

// TestBounds: calls at once and names are bounded; what is withdrawn is not asked for.
func TestBounds(t *testing.T) {
	b := New(500 * ms)
	for i := range Most + 10 {
		b.Want(at(0), fmt.Sprint(i))
	}
	if b.Len() != Most || b.Lost() != 10 {
		t.Errorf("%d wait, %d lost", b.Len(), b.Lost())
	}
	if !b.Withdraw("10") || b.Withdraw("10") {
		t.Error("withdrawn twice or not at all")
	}
	var listed []control.ServerID
	for id := range control.ServerID(12) {
		listed = append(listed, id+1)
	}
	b.Listed(listed)
	asks := b.Turn(at(0))
	if len(asks) != mostOut || asks[0].Name != "11" {
		t.Errorf("%d calls, the first for %s", len(asks), asks[0].Name)
	}
	each := map[control.ServerID]int{}
	for _, a := range asks {
		if each[a.Server]++; each[a.Server] > 4 { // an engine that has just fallen silent holds up no more
			t.Errorf("%d calls at engine %d", each[a.Server], a.Server)
		}
	}
	// Engines come and go, and some are heard of after they went.
	for id := range control.ServerID(1000) {
		b.Listed([]control.ServerID{id, id + 1})
		b.Heard(at(0), id)
		b.Silent(at(0), id)
		b.Heard(at(0), id-1)
	}
	if n := len(b.heard) + len(b.bad); n > 4 {
		t.Errorf("%d notes of engines for two", n)
	}
}

// TestManyWhileSilent: many names at once are all let go of within the limit, and the 300 ms that
// the platform grants on top, though the engines heard from latest have fallen silent.
func TestManyWhileSilent(t *testing.T) {
	const limit = 500 * ms
	for silent := range 4 {
		for _, names := range []int{1, 60, 400} {
			b := New(limit)
			b.Listed([]control.ServerID{1, 2, 3, 4, 5})
			for id := range control.ServerID(5) {
				b.Heard(at(time.Duration(id)*ms), id+1)
			}
			for i := range names {
				b.Want(at(10*ms), fmt.Sprint(i))
			}
			type call struct {
				Ask
				ends time.Duration
			}
			var out []call
			most := 0
			for now := 10 * ms; b.Len() > 0; now += ms {
				if now > 10*ms+limit+300*ms {
					t.Errorf("%d silent: %d of %d names are held yet", silent, b.Len(), names)
					break
				}
				out = slices.DeleteFunc(out, func(c call) bool {
					if c.ends > now {
						return false
					}
					b.Answered(at(now), c.Ask, int(c.Server) <= 5-silent)
					return true
				})
				for _, a := range b.Turn(at(now)) {
					c := call{a, now + a.Timeout}
					if int(a.Server) <= 5-silent {
						c.ends = now + 2*ms
					}
					out = append(out, c)
				}
				most = max(most, len(out))
			}
			if most > mostOut {
				t.Errorf("%d calls at once", most)
			}
		}
	}
}
