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

// standardHeap implements heap.Interface for items.
type standardHeap []*item

func (h standardHeap) Len() int           { return len(h) }
func (h standardHeap) Less(i, j int) bool { return h[i].key < h[j].key }
func (h standardHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *standardHeap) Push(value any) {
	pushed := asItem(value)
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

// asItem converts a value of container/heap to an item. It panics if the value has another type.
func asItem(value any) *item {
	result, ok := value.(*item)
	if !ok {
		panic(fmt.Sprintf("value of type %T in the heap", value))
	}
	return result
}

// heapPair applies the same operations to a Heap and to container/heap.
type heapPair struct {
	t        *rapid.T
	indexed  *Heap[*item]
	standard standardHeap
}

func newHeapPair(t *rapid.T) *heapPair {
	less := func(a, b *item) bool { return a.key < b.key }
	setIndex := func(moved *item, index int) { moved.index = index }
	return &heapPair{t: t, indexed: New(less, setIndex)}
}

func (p *heapPair) push(key int) {
	p.indexed.Push(&item{key: key})
	heap.Push(&p.standard, &item{key: key})
}

func (p *heapPair) pop() {
	p.checkRemoved(p.indexed.Pop(), asItem(heap.Pop(&p.standard)))
}

func (p *heapPair) remove(index int) {
	p.checkRemoved(p.indexed.Remove(index), asItem(heap.Remove(&p.standard, index)))
}

func (p *heapPair) fix(index, key int) {
	p.indexed.Items()[index].key, p.standard[index].key = key, key
	p.indexed.Fix(index)
	heap.Fix(&p.standard, index)
}

// checkRemoved checks that both heaps have removed the same item, and that its index is NoIndex.
func (p *heapPair) checkRemoved(got, want *item) {
	if *got != *want || got.index != NoIndex {
		p.t.Fatalf("removed %v, want %v as with container/heap", *got, *want)
	}
}

// checkSame checks that both heaps have the same items in the same order, and that each item has its index.
func (p *heapPair) checkSame() {
	if p.indexed.Len() != len(p.standard) {
		p.t.Fatalf("%d items, want %d as in container/heap", p.indexed.Len(), len(p.standard))
	}
	for i, got := range p.indexed.Items() {
		if *got != *p.standard[i] || got.index != i {
			p.t.Fatalf("item %d is %v, want %v as in container/heap", i, *got, *p.standard[i])
		}
	}
	if p.indexed.Len() > 0 && p.indexed.Min() != p.indexed.Items()[0] {
		p.t.Fatal("Min does not return the first item")
	}
}

// TestSameOrderAsContainerHeap: after any sequence of calls all items are in the same order as in
// container/heap, even items with equal keys, and each item has its index.
func TestSameOrderAsContainerHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pair := newHeapPair(t)
		keys := rapid.IntRange(0, 5)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			operation := rapid.IntRange(0, 4).Draw(t, "operation")
			if operation <= 1 || pair.indexed.Len() == 0 {
				pair.push(keys.Draw(t, "key"))
				pair.checkSame()
				continue
			}
			index := rapid.IntRange(0, pair.indexed.Len()-1).Draw(t, "index")
			switch operation {
			case 2:
				pair.pop()
			case 3:
				pair.remove(index)
			case 4:
				pair.fix(index, keys.Draw(t, "key"))
			}
			pair.checkSame()
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
