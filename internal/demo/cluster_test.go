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

// reading is one reading of the endpoint list: the state of the engine, and the period of the reading.
type reading struct {
	isReady      bool
	began, ended time.Duration
}

// readList reads the endpoint list of a cluster with one engine until stop is set.
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

// No reading shows an engine as ready before that is recorded. A drain is recorded before SetState returns, and not before
// the start of the last reading that does not show it.
func TestReadyIsRecordedBeforeAndDrainAfterItIsReadable(t *testing.T) {
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
		t.Fatalf("%d events of %d drains and returns", len(events), rounds)
	}
	for round := range rounds {
		drained, listed := events[2*round], events[2*round+1]
		if drained.Kind != invariant.DrainAnnounced || listed.Kind != invariant.ReadyAnnounced {
			t.Fatalf("round %d: events %v, %v", round, drained, listed)
		}
		if drained.At > drainReturned[round] {
			t.Errorf("round %d: drain recorded at %v, told at %v", round, drained.At, drainReturned[round])
		}
		for _, r := range readings {
			if r.isReady && r.began > drained.At && r.ended < listed.At {
				t.Errorf("round %d: ready read at %v to %v; drained at %v, ready at %v", round, r.began, r.ended, drained.At, listed.At)
			}
		}
	}
}
