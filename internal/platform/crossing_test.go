package platform

import (
	"bufio"
	"io"
	"testing"
	"time"

	"martenlock/control"
	"martenlock/control/conns"
)

// out returns the attempts that are out at engine i. It runs on the loop.
func (w *world) out(i int) (list []*attempt) {
	for at := range w.r.engines[(&member{ID: w.engines[i].id}).server()].out {
		list = append(list, at)
	}
	return list
}

// TestEndOvertaken: an attempt that is given up has ended for its engine before anything is done
// on account of that: neither another attempt nor an answer may overtake word of its end. For
// each effect that a class may have, since a read has none.
func TestEndOvertaken(t *testing.T) {
	for _, class := range []string{"ask", "note"} {
		for _, c := range []struct {
			result control.Result
			code   int
		}{{control.Cancelled, 200}, {control.TimedOut, 200}, {control.Failed, 200}} {
			w := begin(t, "r1", "r1", "w1")
			hold := make(chan struct{})
			for _, e := range w.engines[:2] {
				e.do(func(r *request) bool {
					if r.method == "POST" {
						<-hold
					}
					return good(r)
				})
			}
			client := w.dial()
			io.WriteString(client, w.chat(class))
			w.until("it is read", func() bool { n := w.posts(); return n[0]+n[1] == 1 })
			first := 0
			if w.posts()[1] == 1 {
				first = 1
			}
			var ended time.Duration
			w.on(func() {
				ended = w.r.loop.Now()
				w.out(first)[0].finish(c.result, 0, false)
				if len(w.r.events) != 0 {
					t.Errorf("the module heard of %v at once", c.result)
				}
			})
			w.until("it is read again", func() bool { return w.posts()[1-first] == 1 })
			w.on(func() {
				if at := w.out(1 - first); len(at) != 1 || at[0].since-ended < conns.EndHeard {
					t.Errorf("%d out, %v after the end of the first", len(at), at[0].since-ended)
				}
			})
			close(hold)
			if a := read(bufio.NewReader(client)); a.code != c.code {
				t.Errorf("%s: %d %s", class, a.code, a.body)
			}
		}
	}
}

// TestLeftWhileSettling: a client that leaves while an attempt's end is on its way to the engine
// is forgotten, and what may be held for it is let go of.
func TestLeftWhileSettling(t *testing.T) {
	w := begin(t, "r1", "w1")
	hold := make(chan struct{})
	defer close(hold)
	w.engines[0].do(func(r *request) bool {
		if r.method == "POST" {
			<-hold
		}
		return good(r)
	})
	client := w.dial()
	io.WriteString(client, w.chat("ask"))
	w.until("it is read", func() bool { return w.posts()[0] == 1 })
	w.on(func() {
		x := w.out(0)[0].x
		w.out(0)[0].finish(control.TimedOut, 0, false)
		x.f.EOF(x.f.c)
		w.r.turn()
		if w.r.live[x.id] != x {
			t.Error("forgotten before the module has heard of the attempt's end")
		}
	})
	w.look("nothing is left", func() bool { return len(w.r.live) == 0 && len(w.r.names) == 0 && w.r.letgo.Len() == 0 })
	if !w.deleted("c1") {
		t.Error("what it may have left is held")
	}
}
