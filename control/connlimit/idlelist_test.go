package connlimit

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "martenlock/internal/proptest"
)

// TestLongestIdleReturnsFirstThatBecameIdle: after any sequence of changes, LongestIdle returns the
// first element of a slice of idle connections, kept in the order in which they became idle.
func TestLongestIdleReturnsFirstThatBecameIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list IdleList[int]
		var idle []int
		known := map[int]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			key := rapid.IntRange(0, 20).Draw(t, "connection")
			dropFromIdle := func() { idle = slices.DeleteFunc(idle, func(other int) bool { return other == key }) }
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				list.MarkIdle(key)
				dropFromIdle()
				idle = append(idle, key)
				known[key] = true
			case 2:
				list.MarkBusy(key)
				dropFromIdle()
			case 3:
				list.Remove(key)
				dropFromIdle()
				delete(known, key)
			}
			got, ok := list.LongestIdle()
			if ok != (len(idle) > 0) || ok && got != idle[0] || list.Len() != len(known) {
				t.Fatalf("LongestIdle returned %d, %v, idle connections are %v; Len is %d, want %d",
					got, ok, idle, list.Len(), len(known))
			}
		}
	})
}

// TestLongestIdleScansABoundedNumber: an idle connection behind more than maxScan busy ones is found by
// the second call, which continues where the first one ended.
func TestLongestIdleScansABoundedNumber(t *testing.T) {
	var list IdleList[int]
	for key := range 300 {
		list.MarkIdle(key)
		list.MarkBusy(key)
	}
	list.MarkIdle(300)

	if key, ok := list.LongestIdle(); ok {
		t.Errorf("the first call found %d behind 300 busy connections", key)
	}
	if key, ok := list.LongestIdle(); !ok || key != 300 {
		t.Errorf("the second call returned %d, %v, want 300", key, ok)
	}
}
