package timerwheel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
)

// timerHeap is a binary heap of timers ordered by tick, for comparison with the wheel.
type timerHeap []*heapTimer

type heapTimer struct {
	when  uint64
	index int
}

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].when < h[j].when }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }

func (h *timerHeap) Push(value any) {
	pushed, ok := value.(*heapTimer)
	if !ok {
		panic(fmt.Sprintf("timerHeap: pushed a %T, want *heapTimer", value))
	}
	pushed.index = len(*h)
	*h = append(*h, pushed)
}

func (h *timerHeap) Pop() any {
	t := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return t
}

const runningTimers = 100_000

// BenchmarkWheel restarts random timers and advances by a tick every 32 restarts. This is the load of a proxy whose
// time-outs rarely fire.
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

// BenchmarkHeap does the same as BenchmarkWheel with a binary heap.
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
