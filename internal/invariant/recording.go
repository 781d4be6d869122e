package invariant

import (
	"cmp"
	"slices"
	"sync"
)

// Recording collects a limited number of events. It is safe for concurrent use.
type Recording struct {
	mu        sync.Mutex
	events    []Event
	maxEvents int
	lost      int
}

// NewRecording returns an empty recording that keeps at most maxEvents events.
func NewRecording(maxEvents int) *Recording { return &Recording{maxEvents: maxEvents} }

// Add adds an event, or counts it as lost if the recording is full. A nil recording ignores all events.
func (r *Recording) Add(event Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) == r.maxEvents {
		r.lost++
		return
	}
	r.events = append(r.events, event)
}

// Events returns a copy of the events, sorted by time.
func (r *Recording) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := slices.Clone(r.events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// Lost returns the number of events that were dropped because the recording was full.
func (r *Recording) Lost() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}
