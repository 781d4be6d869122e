// Package coalesce decides which of several identical requests is computed and what the others get (request
// coalescing, also known as single flight). The first request leads and is computed. Those that arrive
// meanwhile follow it and get the same answer. Each still gets one answer before its own deadline.
//
// Like control, the package does no I/O, reads no clock and starts no goroutine.
package coalesce

import (
	"slices"

	"martenlock/control"
	"martenlock/control/internal/indexedheap"
	"martenlock/control/outcome"
)

// Key identifies a computation. Requests with the same key get the same answer.
type Key [16]byte

// RequestID identifies a request in one group. Ids are never reused.
type RequestID uint64

// Completion is what the end of a leader means for its followers.
type Completion struct {
	SameResult   []RequestID // get the leader's result, in order of arrival; the group has forgotten them
	NewLeader    RequestID   // to be computed now, if HasNewLeader
	HasNewLeader bool
}

// PollResult is what Group.Poll decides.
type PollResult struct {
	// Expired are followers whose deadlines have come, the earliest first. Each is to be rejected; the group has
	// forgotten it.
	Expired []RequestID
}

// Group holds the leaders and followers of one pool. Its size is bounded by its owner, which adds each request
// once and ends it by Complete, Cancel or Poll. It is not safe for concurrent use.
type Group struct {
	computations map[Key]*computation
	requests     map[RequestID]*request
	deadlines    *indexedheap.Heap[*request] // of followers
}

// computation is the leader and the followers of one key.
type computation struct {
	key       Key
	leader    *request
	followers []*request // in order of arrival
}

// request is a request that leads or follows.
type request struct {
	id          RequestID
	deadline    control.Time
	computation *computation
	heapIndex   int // in Group.deadlines
}

// MayCoalesce reports whether requests of a class may share one answer. They may if a request can be executed
// again, or not at all, without a difference.
func MayCoalesce(class control.Class) bool { return class.Idempotency == control.Idempotent }

// OutcomeOfInput returns the outcome of each input of a call. If a call of several inputs is not served, any of
// them may be the cause. It then counts as rejected for each, so that the followers of the other inputs are
// computed alone.
func OutcomeOfInput(call outcome.Outcome, inputs int) outcome.Outcome {
	if call != outcome.Served && inputs > 1 {
		return outcome.Rejected
	}
	return call
}

// NewGroup returns an empty group.
func NewGroup() *Group {
	return &Group{
		computations: map[Key]*computation{},
		requests:     map[RequestID]*request{},
		deadlines: indexedheap.New(
			func(a, b *request) bool {
				return a.deadline < b.deadline || a.deadline == b.deadline && a.id < b.id
			},
			func(follower *request, index int) { follower.heapIndex = index },
		),
	}
}

// Len returns the number of requests that lead or follow.
func (g *Group) Len() int { return len(g.requests) }

// Add adds a request and reports whether it leads and must be computed. Otherwise it follows until Complete
// gives it a result, Complete or Cancel makes it the leader, or Poll expires it.
func (g *Group) Add(key Key, id RequestID, deadline control.Time) (leads bool) {
	added := &request{id: id, deadline: deadline, heapIndex: indexedheap.NoIndex}
	g.requests[id] = added
	current := g.computations[key]
	if current == nil {
		added.computation = &computation{key: key, leader: added}
		g.computations[key] = added.computation
		return true
	}
	added.computation = current
	current.followers = append(current.followers, added)
	g.deadlines.Push(added)
	return false
}

// Complete records the end of a leader. It has no effect for any other request.
//
// A rejection may be due to the leader's own early deadline, so that the next request is computed instead. Any
// other outcome also applies to all followers. In particular, an input that crashes engines must not be sent
// to another engine for each follower.
func (g *Group) Complete(id RequestID, result outcome.Outcome) Completion {
	completed := g.requests[id]
	if completed == nil || completed.computation.leader != completed {
		return Completion{}
	}
	if result == outcome.Rejected {
		newLeader, ok := g.Cancel(id)
		return Completion{NewLeader: newLeader, HasNewLeader: ok}
	}
	var completion Completion
	delete(g.computations, completed.computation.key)
	g.forget(completed)
	for _, follower := range completed.computation.followers {
		completion.SameResult = append(completion.SameResult, follower.id)
		g.forget(follower)
	}
	return completion
}

// Cancel removes a request that needs no further answer. If it led and has followers, Cancel returns the one
// that is to be computed in its place, and true. It has no effect for a request that is not known.
func (g *Group) Cancel(id RequestID) (newLeader RequestID, ok bool) {
	cancelled := g.requests[id]
	if cancelled == nil {
		return 0, false
	}
	g.forget(cancelled)
	current := cancelled.computation
	switch {
	case current.leader != cancelled:
		isCancelled := func(follower *request) bool { return follower == cancelled }
		current.followers = slices.DeleteFunc(current.followers, isCancelled)
		return 0, false
	case len(current.followers) == 0:
		delete(g.computations, current.key)
		return 0, false
	}
	current.leader = current.followers[0]
	current.followers = current.followers[1:]
	g.deadlines.Remove(current.leader.heapIndex)
	return current.leader.id, true
}

// Poll removes and returns the followers whose deadlines have come. It must be called at NextDeadline.
func (g *Group) Poll(now control.Time) PollResult {
	var result PollResult
	for g.deadlines.Len() > 0 && g.deadlines.Min().deadline <= now {
		id := g.deadlines.Min().id
		result.Expired = append(result.Expired, id)
		g.Cancel(id)
	}
	return result
}

// NextDeadline returns when Poll must be called if no event occurs before. It returns false while no request
// follows.
func (g *Group) NextDeadline() (deadline control.Time, ok bool) {
	if g.deadlines.Len() == 0 {
		return 0, false
	}
	return g.deadlines.Min().deadline, true
}

func (g *Group) forget(ended *request) {
	delete(g.requests, ended.id)
	if ended.heapIndex != indexedheap.NoIndex {
		g.deadlines.Remove(ended.heapIndex)
	}
}
