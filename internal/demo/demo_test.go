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

// reading is one reading of the node list: what it said of the engine, and between which
// times it was read.
type reading struct {
	isReady      bool
	began, ended time.Duration
}

// readList reads the node list of a world with one engine until it is told to stop.
func readList(t *testing.T, w *Cluster, stop *atomic.Bool) (readings []reading) {
	for !stop.Load() {
		began := w.Clock()
		text, err := os.ReadFile(filepath.Join(w.Dir(), "nodes.ini"))
		if err != nil {
			t.Error(err)
			return readings
		}
		isReady := bytes.Contains(text, []byte("state = "+stateReady))
		readings = append(readings, reading{isReady: isReady, began: began, ended: w.Clock()})
	}
	return readings
}

// TestReadyIsRecordedBeforeAndDrainAfterReadersSeeIt: whoever reads the list at once finds
// that an engine is ready no earlier than it is recorded; a drain is recorded no earlier than
// the last reading that doesn't show it began, and before Say returns.
func TestReadyIsRecordedBeforeAndDrainAfterReadersSeeIt(t *testing.T) {
	const rounds = 200
	recording := invariant.NewRecording(4 * rounds)
	w := &Cluster{Rec: recording, startedAt: time.Now(), dir: t.TempDir()}
	engine := &fakeengine.Engine{Spec: fakeengine.Spec{Name: "e1", Role: control.RoleColocated}}
	w.nodes = []*node{{engine: engine, state: stateReady}}
	if err := w.Publish(); err != nil {
		t.Fatal(err)
	}
	var stop atomic.Bool
	done := make(chan []reading)
	go func() { done <- readList(t, w, &stop) }()
	var drainReturned []time.Duration
	for range rounds {
		if err := w.Say("draining", false, engine); err != nil {
			t.Error(err)
		}
		drainReturned = append(drainReturned, w.Clock())
		time.Sleep(time.Millisecond)
		if err := w.Say(stateReady, false, engine); err != nil {
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
