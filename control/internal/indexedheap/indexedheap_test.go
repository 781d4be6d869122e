package indexedheap

import (
	"container/heap"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "martenlock/internal/proptest"
)

type item struct {
	key   int
	index int
}

// standardHeap is the same heap on the standard library's algorithm.
type standardHeap []*item

func (h standardHeap) Len() int           { return len(h) }
func (h standardHeap) Less(i, j int) bool { return h[i].key < h[j].key }
func (h standardHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *standardHeap) Push(x any) {
	pushed := x.(*item)
	pushed.index = len(*h)
	*h = append(*h, pushed)
}

func (h *standardHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	popped.index = NoIndex
	return popped
}

// TestSameOrderAsContainerHeap: after any calls all items stand where container/heap puts them, ties
// included, and know their index.
func TestSameOrderAsContainerHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ours := New(func(a, b *item) bool { return a.key < b.key }, func(moved *item, index int) { moved.index = index })
		var standard standardHeap
		keys := rapid.IntRange(0, 5)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			operation := rapid.IntRange(0, 4).Draw(t, "operation")
			if operation <= 1 || ours.Len() == 0 {
				key := keys.Draw(t, "key")
				ours.Push(&item{key: key})
				heap.Push(&standard, &item{key: key})
			} else {
				index := rapid.IntRange(0, ours.Len()-1).Draw(t, "index")
				var removed, expected *item
				switch operation {
				case 2:
					removed, expected = ours.Pop(), heap.Pop(&standard).(*item)
				case 3:
					removed, expected = ours.Remove(index), heap.Remove(&standard, index).(*item)
				case 4:
					key := keys.Draw(t, "key")
					ours.Items()[index].key, standard[index].key = key, key
					ours.Fix(index)
					heap.Fix(&standard, index)
				}
				if removed != nil && (*removed != *expected || removed.index != NoIndex) {
					t.Fatalf("removed %v, container/heap removes %v", *removed, *expected)
				}
			}
			if ours.Len() != len(standard) {
				t.Fatalf("%d items, container/heap has %d", ours.Len(), len(standard))
			}
			for i, got := range ours.Items() {
				if *got != *standard[i] || got.index != i {
					t.Fatalf("item %d is %v, container/heap has %v", i, *got, *standard[i])
				}
			}
			if ours.Len() > 0 && ours.Min() != ours.Items()[0] {
				t.Fatal("the minimum is not the first item")
			}
		}
	})
}

func Example() {
	deadlines := New(func(a, b int) bool { return a < b }, nil)
	for _, deadline := range []int{30, 10, 20} {
		deadlines.Push(deadline)
	}
	for deadlines.Len() > 0 {
		fmt.Println(deadlines.Pop())
	}
	// Output:
	// 10
	// 20
	// 30
}
