package timerwheel

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "martenlock/internal/proptest"
)

// TestTimersFireOnceAtTheirTick plays random sets, stops and steps of time against a plain map:
// every timer fires once, in the first step that reaches its tick, never before.
func TestTimersFireOnceAtTheirTick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &Wheel{}
		const n = 24
		var timers [n]Timer
		due := map[int]uint64{}
		firedAt := map[int]int{}
		for i := range timers {
			timers[i].Fire = func() {
				when, ok := due[i]
				if !ok {
					t.Fatalf("timer %d fired though it was stopped or had fired", i)
				}
				if when > w.Now() {
					t.Fatalf("timer %d for tick %d fired at %d", i, when, w.Now())
				}
				delete(due, i)
				firedAt[i]++
				switch i % 4 {
				case 0: // sets itself again, ahead
					due[i] = w.Now() + 70
					w.Start(&timers[i], w.Now()+70)
				case 1: // stops a neighbour, which may be due in this very slot
					w.Stop(&timers[i+1])
					delete(due, i+1)
				}
			}
		}
		now := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "timer")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				reach := rapid.SampledFrom([]uint64{1, 63, 64, 65, 4095, 4096, 300000, 1 << 25, Span - 1, Span + 9}).Draw(t, "reach")
				when := now + rapid.Uint64Range(1, reach).Draw(t, "ahead")
				due[i] = when
				w.Start(&timers[i], when)
			case 1:
				delete(due, i)
				w.Stop(&timers[i])
			case 2:
				step := rapid.SampledFrom([]uint64{0, 1, 5, 64, 4000, 262144, 1 << 24, 1 << 36}).Draw(t, "step")
				if next, ok := w.NextDeadline(); ok && next <= now {
					t.Fatalf("at %d told to wake at %d", now, next)
				}
				if step > 1<<20 { // a timer that sets itself again would fire for very long
					for j := 0; j < n; j += 4 {
						delete(due, j)
						w.Stop(&timers[j])
					}
				}
				now += step
				w.Advance(now)
				for j, when := range due {
					if when <= now {
						t.Fatalf("timer %d for %d has not fired at %d", j, when, now)
					}
				}
			}
			if w.Len() != len(due) {
				t.Fatalf("%d timers, want %d", w.Len(), len(due))
			}
		}
	})
}

// TestFarthestTimerDoesNotDelayEarlierOne: a timer as far ahead as Span allows lies in the top
// level's current slot, and an earlier one in a later slot of that level still fires first.
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

// timerHeap is the comparison for the wheel: a binary heap by tick.
type timerHeap []*heapTimer

type heapTimer struct {
	when  uint64
	index int
}

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].when < h[j].when }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *timerHeap) Push(x any)        { t := x.(*heapTimer); t.index = len(*h); *h = append(*h, t) }

func (h *timerHeap) Pop() any {
	t := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return t
}

// runningTimers is how many timers the benchmarks keep.
const runningTimers = 100_000

// BenchmarkWheel and BenchmarkHeap set one of 100,000 timers anew and now and then
// step on, as a proxy does whose time-outs mostly never fire.
func BenchmarkWheel(b *testing.B) {
	w := &Wheel{}
	timers := make([]Timer, runningTimers)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range timers {
		timers[i].Fire = func() { w.Start(&timers[i], w.now+1+rng.Uint64N(30000)) }
		timers[i].Fire()
	}
	b.ResetTimer()
	for i := range b.N {
		t := &timers[rng.IntN(runningTimers)]
		w.Start(t, w.now+1+rng.Uint64N(30000))
		if i%32 == 0 {
			w.Advance(w.now + 1)
		}
	}
}

func BenchmarkHeap(b *testing.B) {
	h := timerHeap{}
	timers := make([]heapTimer, runningTimers)
	rng := rand.New(rand.NewPCG(1, 2))
	now := uint64(0)
	for i := range timers {
		timers[i].when = 1 + rng.Uint64N(30000)
		heap.Push(&h, &timers[i])
	}
	b.ResetTimer()
	for i := range b.N {
		t := &timers[rng.IntN(runningTimers)]
		t.when = now + 1 + rng.Uint64N(30000)
		heap.Fix(&h, t.index)
		if i%32 == 0 {
			for now++; h[0].when <= now; {
				h[0].when = now + 1 + rng.Uint64N(30000)
				heap.Fix(&h, 0)
			}
		}
	}
}
