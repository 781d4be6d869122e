package reuse

import (
	"testing"
	"time"

	"martenlock/control"
)

const ms = time.Millisecond

func at(d time.Duration) control.Time { return control.Time(1e9).Add(d) }

// TestStale: where connections die after a second of rest, those that rest longer are not used
// any more, younger ones are; and later they are tried again.
func TestStale(t *testing.T) {
	var b Book
	now := time.Duration(0)
	lost, sent := 0, 0
	for range 400 {
		for _, rested := range []time.Duration{5 * ms, 500 * ms, 3 * time.Second} {
			if now += 10 * ms; b.Trust(at(now), rested, false) {
				dead := rested > time.Second
				b.Ended(at(now), rested, ms, dead)
				if sent++; dead {
					lost++
				}
			}
		}
	}
	if sent < 800 || lost > 15 || lost < 2 {
		t.Errorf("%d sent, %d lost", sent, lost)
	}
	if !b.Trust(at(now), 500*ms, true) || b.Trust(at(now), 3*time.Second, false) {
		t.Error("the wrong ones are trusted")
	}
	if !b.Trust(at(now+time.Minute), 3*time.Second, true) {
		t.Error("never tried again")
	}
}

// TestOnce: one loss is enough for requests that must not be repeated, not for others; an end
// that comes late is no loss of the rest.
func TestOnce(t *testing.T) {
	var b Book
	b.Ended(at(0), ms, 10*time.Second, true)
	if !b.Trust(at(0), ms, true) {
		t.Error("a late end counts")
	}
	b.Ended(at(0), ms, ms, true)
	if b.Trust(at(0), ms, true) || !b.Trust(at(0), ms, false) {
		t.Error("one loss")
	}
	if !b.Trust(at(0), time.Hour, true) {
		t.Error("another band is judged")
	}
	for range 200 {
		b.Ended(at(0), ms, ms, false)
	}
	if !b.Trust(at(0), ms, true) {
		t.Error("one of two hundred")
	}
}
