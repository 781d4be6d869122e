package timerwheel

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "martenlock/internal/proptest"
)

const modelTimers = 24

// model performs random operations on a wheel and tracks which timers must fire. Of every four timers, the first
// starts itself again when it fires, and the second stops the third.
type model struct {
	t      *rapid.T
	wheel  Wheel
	timers [modelTimers]Timer
	due    map[int]uint64 // tick of each running timer
	now    uint64
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, due: map[int]uint64{}}
	for i := range m.timers {
		m.timers[i].Fire = func() { m.fire(i) }
	}
	return m
}

// fire checks that a running timer fires no earlier than its tick.
func (m *model) fire(i int) {
	when, ok := m.due[i]
	if !ok {
		m.t.Fatalf("timer %d fired although it was stopped or had fired already", i)
	}
	if when > m.wheel.Now() {
		m.t.Fatalf("timer %d for tick %d fired early, at tick %d", i, when, m.wheel.Now())
	}
	delete(m.due, i)
	switch i % 4 {
	case 0:
		m.start(i, m.wheel.Now()+70)
	case 1: // the stopped timer may be due in the same slot
		m.stop(i + 1)
	}
}

func (m *model) start(i int, when uint64) {
	m.due[i] = when
	m.wheel.Start(&m.timers[i], when)
}

func (m *model) stop(i int) {
	delete(m.due, i)
	m.wheel.Stop(&m.timers[i])
}

// advance moves the wheel by a random step and checks that all due timers have fired.
func (m *model) advance() {
	step := rapid.SampledFrom([]uint64{0, 1, 5, 64, 4000, 262144, 1 << 24, 1 << 36}).Draw(m.t, "step")
	if next, ok := m.wheel.NextDeadline(); ok && next <= m.now {
		m.t.Fatalf("next deadline is tick %d, which is not after the current tick %d", next, m.now)
	}
	if step > 1<<20 { // timers that start themselves again would fire too many times
		for i := 0; i < modelTimers; i += 4 {
			m.stop(i)
		}
	}
	m.now += step
	m.wheel.Advance(m.now)
	for i, when := range m.due {
		if when <= m.now {
			m.t.Fatalf("timer %d for tick %d has not fired at tick %d", i, when, m.now)
		}
	}
}

// TestTimersFireOnceAtTheirTick compares the wheel with a map of the running timers: each timer fires once, in the
// first call of Advance that reaches its tick.
func TestTimersFireOnceAtTheirTick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, modelTimers-1).Draw(t, "timer")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				reach := rapid.SampledFrom([]uint64{1, 63, 64, 65, 4095, 4096, 300000, 1 << 25, Span - 1, Span + 9}).Draw(t, "reach")
				m.start(i, m.now+rapid.Uint64Range(1, reach).Draw(t, "ahead"))
			case 1:
				m.stop(i)
			case 2:
				m.advance()
			}
			if m.wheel.Len() != len(m.due) {
				t.Fatalf("%d running timers, want %d", m.wheel.Len(), len(m.due))
			}
		}
	})
}

// TestFarthestTimerDoesNotDelayEarlierOne: a timer at the distance Span is in the current slot of the top
// level, a whole revolution ahead. An earlier timer in another slot of that level must still fire first.
func TestFarthestTimerDoesNotDelayEarlierOne(t *testing.T) {
	const topSlotTicks = 1 << (slotBits * (levels - 1))
	var w Wheel
	w.Advance(1)
	var fired []string
	near := Timer{Fire: func() { fired = append(fired, "near") }}
	far := Timer{Fire: func() { fired = append(fired, "far") }}
	w.Start(&near, 2*topSlotTicks)
	w.Start(&far, 1+Span)

	if next, ok := w.NextDeadline(); !ok || next != 2*topSlotTicks {
		t.Errorf("next deadline %d, %v; want %d", next, ok, 2*topSlotTicks)
	}

	w.Advance(2 * topSlotTicks)
	if !slices.Equal(fired, []string{"near"}) {
		t.Errorf("fired %v at the near timer's tick, want near only", fired)
	}

	w.Advance(Span)
	if !slices.Equal(fired, []string{"near"}) {
		t.Errorf("fired %v before the far timer's tick, want near only", fired)
	}

	w.Advance(1 + Span)
	if !slices.Equal(fired, []string{"near", "far"}) {
		t.Errorf("fired %v at the far timer's tick, want near and far", fired)
	}
}
