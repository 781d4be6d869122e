// Package indexedheap provides a binary min-heap that reports the index of each item to its owner. With
// the index, any item can be removed, or its order can be restored after its key has changed.
//
// The algorithm is that of the standard library's container/heap: the same calls give the same order of
// items, even of items that compare as equal. Unlike container/heap, this package is type-safe and needs
// no implementation of heap.Interface.
package indexedheap

// NoIndex is the index of an item that is not in the heap.
const NoIndex = -1

// Heap is a binary min-heap. It is not safe for concurrent use.
type Heap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(item T, index int)
}

// New returns an empty heap ordered by less. The heap calls setIndex with each item's new index, and with
// NoIndex when the item leaves the heap. setIndex may be nil if no item is removed or fixed by its index.
func New[T any](less func(a, b T) bool, setIndex func(item T, index int)) *Heap[T] {
	if setIndex == nil {
		setIndex = func(T, int) {}
	}
	return &Heap[T]{less: less, setIndex: setIndex}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// Min returns the smallest item without removing it. It panics if the heap is empty.
func (h *Heap[T]) Min() T { return h.items[0] }

// Items returns all items in heap order: the smallest is first, the others are not sorted. The slice
// belongs to the heap, must not be changed, and is valid until the next change of the heap.
func (h *Heap[T]) Items() []T { return h.items }

// Push adds an item in O(log n).
func (h *Heap[T]) Push(item T) {
	index := len(h.items)
	h.items = append(h.items, item)
	h.setIndex(item, index)
	h.up(index)
}

// Pop removes and returns the smallest item in O(log n). It panics if the heap is empty.
func (h *Heap[T]) Pop() T {
	last := len(h.items) - 1
	h.swap(0, last)
	h.down(0, last)
	return h.removeLast()
}

// Remove removes and returns the item at an index in O(log n). It panics if the index is out of range.
func (h *Heap[T]) Remove(index int) T {
	last := len(h.items) - 1
	if index != last {
		h.swap(index, last)
		if !h.down(index, last) {
			h.up(index)
		}
	}
	return h.removeLast()
}

// Fix restores the order in O(log n) after the key of the item at an index has changed.
func (h *Heap[T]) Fix(index int) {
	if !h.down(index, len(h.items)) {
		h.up(index)
	}
}

// removeLast removes and returns the item at the highest index.
func (h *Heap[T]) removeLast() T {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero // let the item be garbage-collected
	h.items = h.items[:last]
	h.setIndex(item, NoIndex)
	return item
}

// swap exchanges two items and reports their new indices.
func (h *Heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

// up moves the item at an index towards the root while it is less than its parent.
func (h *Heap[T]) up(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !h.less(h.items[index], h.items[parent]) {
			return
		}
		h.swap(parent, index)
		index = parent
	}
}

// down moves the item at start towards the leaves while one of its children is less. It ignores items at
// indices from length on. It reports whether the item has moved.
func (h *Heap[T]) down(start, length int) bool {
	index := start
	for {
		child := 2*index + 1
		if child >= length {
			break
		}
		if right := child + 1; right < length && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[index]) {
			break
		}
		h.swap(index, child)
		index = child
	}
	return index > start
}
