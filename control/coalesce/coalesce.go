// Package coalesce decides which of several identical requests is computed and what the others get (request
// coalescing, also known as single flight). The first request is the leader and is computed. Requests that
// arrive before it ends are its followers and get the same answer. Each request keeps its own deadline.
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

// Completion is the effect of a leader's end on its followers.
type Completion struct {
	SameResult   []RequestID // get the leader's result, in order of arrival; removed from the group
	NewLeader    RequestID   // follower to be computed now, if HasNewLeader
	HasNewLeader bool
}

// PollResult is the result of Group.Poll.
type PollResult struct {
	// Expired are followers whose deadlines have passed, earliest deadline first. The group has removed them,
	// and the caller must reject them.
	Expired []RequestID
}

// Group holds the leaders and followers of one pool. A request stays in it until Complete, Cancel or Poll
// removes it, so the caller bounds the size of the group. It is not safe for concurrent use.
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

// request is a leader or a follower.
type request struct {
	id          RequestID
	deadline    control.Time
	computation *computation
	heapIndex   int // in Group.deadlines
}

// MayCoalesce reports whether requests of a class may share one answer. This requires that it makes no
// difference whether a request is executed once, several times or not at all.
func MayCoalesce(class control.Class) bool { return class.Idempotency == control.Idempotent }

// OutcomeOfInput returns the outcome of each input of a call with the given outcome. If a call of several
// inputs is not served, any of them may be the cause. Each input then counts as rejected, so that one of
// its followers is computed instead of failing with it.
func OutcomeOfInput(callOutcome outcome.Outcome, inputs int) outcome.Outcome {
	if callOutcome != outcome.Served && inputs > 1 {
		return outcome.Rejected
	}
	return callOutcome
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

// Len returns the number of leaders and followers.
func (g *Group) Len() int { return len(g.requests) }

// Add adds a request and reports whether it is a leader, which must be computed. Otherwise it is a follower
// until Complete gives it a result, Complete or Cancel makes it the leader, or Poll expires it.
func (g *Group) Add(key Key, id RequestID, deadline control.Time) (isLeader bool) {
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
// After a rejection, which may be due to the leader's own early deadline, the first follower becomes the
// leader. Any other outcome also applies to all followers. Otherwise an input that crashes engines would be
// sent to another engine for each follower.
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

// Cancel removes a request that no longer needs an answer. If it was a leader with followers, the first
// follower becomes the leader: Cancel returns it and true, and it must be computed. Cancel has no effect if
// the request is unknown.
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

// Poll removes and returns the followers whose deadlines have passed. It must be called at NextPoll.
func (g *Group) Poll(now control.Time) PollResult {
	var result PollResult
	for g.deadlines.Len() > 0 && g.deadlines.Min().deadline <= now {
		id := g.deadlines.Min().id
		result.Expired = append(result.Expired, id)
		g.Cancel(id)
	}
	return result
}

// NextPoll returns when Poll must be called if no event occurs before. It returns false while there are
// no followers.
func (g *Group) NextPoll() (next control.Time, ok bool) {
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
