package demo

import (
	"bytes"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"martenlock/control"
	"martenlock/internal/fakeengine"
	"martenlock/internal/invariant"
)

// reading is the state of the engine in the endpoint list, and the time during which the list was read.
type reading struct {
	isReady      bool
	began, ended time.Duration
}

// readList repeatedly reads the endpoint list of a cluster with one engine until stop is set.
func readList(t *testing.T, c *Cluster, stop *atomic.Bool) (readings []reading) {
	t.Helper()
	for !stop.Load() {
		began := c.Clock()
		text, err := os.ReadFile(filepath.Join(c.Dir(), "nodes.ini"))
		if err != nil {
			t.Error(err)
			return readings
		}
		isReady := bytes.Contains(text, []byte("state = "+Ready))
		readings = append(readings, reading{isReady: isReady, began: began, ended: c.Clock()})
	}
	return readings
}

// Guards against false violations of the drain rule: a drain recorded before the list shows it, or a return to ready recorded
// after the list shows it. A drain recorded after SetState returns could hide violations.
func TestReadyIsRecordedBeforeItIsListedAndDrainAfter(t *testing.T) {
	const rounds = 200
	recording := invariant.NewRecording(4 * rounds)
	c := &Cluster{Recording: recording, startedAt: time.Now(), dir: t.TempDir()}
	engine := &fakeengine.Engine{Spec: fakeengine.Spec{Name: "e1", Role: control.RoleColocated}}
	c.endpoints = []*endpoint{{engine: engine, state: Ready}}
	if err := c.PublishEndpoints(); err != nil {
		t.Fatal(err)
	}
	var stop atomic.Bool
	done := make(chan []reading)
	go func() { done <- readList(t, c, &stop) }()
	var drainReturned []time.Duration
	for range rounds {
		if err := c.SetState(Draining, engine); err != nil {
			t.Error(err)
		}
		drainReturned = append(drainReturned, c.Clock())
		time.Sleep(time.Millisecond)
		if err := c.SetState(Ready, engine); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Millisecond)
	}
	stop.Store(true)
	readings := <-done

	events := recording.Events()
	if len(events) != 2*rounds {
		t.Fatalf("%d events, want %d", len(events), 2*rounds)
	}
	for round := range rounds {
		drained, ready := events[2*round], events[2*round+1]
		if drained.Kind != invariant.DrainAnnounced || ready.Kind != invariant.ReadyAnnounced {
			t.Fatalf("round %d: events %v and %v, want a drain and a return to ready", round, drained.Kind, ready.Kind)
		}
		if drained.At > drainReturned[round] {
			t.Errorf("round %d: drain recorded at %v, after SetState returned at %v", round, drained.At, drainReturned[round])
		}
		for _, r := range readings {
			if r.isReady && r.began > drained.At && r.ended < ready.At {
				t.Errorf("round %d: list read from %v to %v shows ready, but drain is recorded at %v and ready at %v", round, r.began, r.ended, drained.At, ready.At)
			}
		}
	}
}
