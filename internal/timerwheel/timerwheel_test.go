package timerwheel

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "martenlock/internal/proptest"
)

// modelTimers is the number of timers of the model.
const modelTimers = 24

// model drives a wheel with random starts, stops and steps of time. Every fourth timer starts itself again when it
// fires, and the one after it stops its neighbour.
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
		m.t.Fatalf("timer %d fired though it was stopped or had fired", i)
	}
	if when > m.wheel.Now() {
		m.t.Fatalf("timer %d for tick %d fired at %d", i, when, m.wheel.Now())
	}
	delete(m.due, i)
	switch i % 4 {
	case 0:
		m.start(i, m.wheel.Now()+70)
	case 1: // the neighbour may be due in this very slot
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
		m.t.Fatalf("at %d the next deadline is %d", m.now, next)
	}
	if step > 1<<20 { // a timer that starts itself again would fire for very long
		for i := 0; i < modelTimers; i += 4 {
			m.stop(i)
		}
	}
	m.now += step
	m.wheel.Advance(m.now)
	for i, when := range m.due {
		if when <= m.now {
			m.t.Fatalf("timer %d for %d has not fired at %d", i, when, m.now)
		}
	}
}

// TestTimersFireOnceAtTheirTick: every timer fires once, in the first step that reaches its tick and never before,
// as a plain map of the running timers does.
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
				t.Fatalf("%d timers, want %d", m.wheel.Len(), len(m.due))
			}
		}
	})
}

// TestFarthestTimerDoesNotDelayEarlierOne: a timer at the distance Span is in the current slot of the top
// level. An earlier timer in a later slot of that level still fires first.
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
		t.Errorf("next at %d, %v; want %d", next, ok, 2*topSlotTicks)
	}

	w.Advance(2 * topSlotTicks)
	if !slices.Equal(fired, []string{"near"}) {
		t.Errorf("fired %v at the near timer's tick", fired)
	}

	w.Advance(Span)
	if !slices.Equal(fired, []string{"near"}) {
		t.Errorf("fired %v before the far timer's tick", fired)
	}

	w.Advance(1 + Span)
	if !slices.Equal(fired, []string{"near", "far"}) {
		t.Errorf("fired %v in the end", fired)
	}
}
