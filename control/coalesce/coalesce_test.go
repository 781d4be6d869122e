package coalesce

import (
	"testing"

	"pgregory.net/rapid"

	"martenlock/control"
	"martenlock/control/outcome"
	_ "martenlock/internal/proptest"
)

// model drives a group with random events and checks each decision against its own bookkeeping.
type model struct {
	t        *rapid.T
	group    *Group
	now      control.Time
	lastID   RequestID
	requests map[RequestID]*expectedRequest // that have not ended
}

// expectedRequest is what the model knows of a request that has not ended.
type expectedRequest struct {
	key      Key
	deadline control.Time
	leads    bool
}

func newModel(t *rapid.T) *model {
	return &model{t: t, group: NewGroup(), now: 1, requests: map[RequestID]*expectedRequest{}}
}

// leaderOf returns the request of a key that is being computed, or false if there is none.
func (m *model) leaderOf(key Key) (leader RequestID, ok bool) {
	for id, request := range m.requests {
		if request.leads && request.key == key {
			return id, true
		}
	}
	return 0, false
}

// followersOf returns the number of requests that follow a leader.
func (m *model) followersOf(leader RequestID) int {
	followers := 0
	for id, request := range m.requests {
		if request.key == m.requests[leader].key && id != leader {
			followers++
		}
	}
	return followers
}

// pick returns a random request that has not ended, or false if there is none.
func (m *model) pick(onlyLeaders bool) (id RequestID, ok bool) {
	var candidates []RequestID
	for id := RequestID(1); id <= m.lastID; id++ {
		if request := m.requests[id]; request != nil && (!onlyLeaders || request.leads) {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(candidates).Draw(m.t, "id"), true
}

// lead records that a request is to be computed.
func (m *model) lead(id RequestID) {
	request := m.requests[id]
	if request == nil {
		m.t.Fatalf("request %d is to be computed after its end", id)
		return
	}
	if other, ok := m.leaderOf(request.key); ok {
		m.t.Fatalf("%d and %d of one key are computed at once", other, id)
	}
	request.leads = true
}

// end records the only end of a request.
func (m *model) end(id RequestID) {
	if m.requests[id] == nil {
		m.t.Fatalf("request %d ended twice, or was never added", id)
	}
	delete(m.requests, id)
}

// add adds a random request, which leads if no other one of its key is computed.
func (m *model) add() {
	m.lastID++
	added := &expectedRequest{key: Key{byte(rapid.IntRange(0, 2).Draw(m.t, "key"))}}
	added.deadline = m.now + control.Time(rapid.IntRange(1, 50).Draw(m.t, "timeout"))
	_, isComputed := m.leaderOf(added.key)
	m.requests[m.lastID] = added
	if m.group.Add(added.key, m.lastID, added.deadline) == isComputed {
		m.t.Fatalf("%d leads: %v, while one is computed: %v", m.lastID, !isComputed, isComputed)
	}
	if !isComputed {
		m.lead(m.lastID)
	}
}

// completeLeader ends a random leader with a random outcome. A rejection makes a follower lead, any other outcome
// ends all followers.
func (m *model) completeLeader() {
	id, ok := m.pick(true)
	if !ok {
		return
	}
	result := outcome.Outcome(rapid.IntRange(0, 2).Draw(m.t, "outcome"))
	followers := m.followersOf(id)
	completion := m.group.Complete(id, result)
	sameResult, hasNewLeader := len(completion.SameResult), completion.HasNewLeader
	if result == outcome.Rejected && (sameResult > 0 || hasNewLeader != (followers > 0)) ||
		result != outcome.Rejected && (sameResult != followers || hasNewLeader) {
		m.t.Fatalf("%v with %d followers: %+v", result, followers, completion)
	}
	m.end(id)
	for _, follower := range completion.SameResult {
		m.end(follower)
	}
	if hasNewLeader {
		m.lead(completion.NewLeader)
	}
}

// cancelOne cancels a random request and reports whether there was one. Only a leader's cancellation makes
// another request lead.
func (m *model) cancelOne() bool {
	id, ok := m.pick(false)
	if !ok {
		return false
	}
	led := m.requests[id].leads
	newLeader, hasNewLeader := m.group.Cancel(id)
	m.end(id)
	if hasNewLeader {
		if !led {
			m.t.Fatal("a follower's cancellation made another lead")
		}
		m.lead(newLeader)
	}
	return true
}

// advance lets a random time pass. Followers expire at their deadlines, neither earlier nor later.
func (m *model) advance() {
	m.now += control.Time(rapid.IntRange(0, 20).Draw(m.t, "time"))
	deadline, ok := m.group.NextDeadline()
	expired := m.group.Poll(m.now).Expired
	if ok != (deadline > 0) || (len(expired) > 0) != (ok && deadline <= m.now) {
		m.t.Fatalf("next deadline %d, %v; at %d expired %v", deadline, ok, m.now, expired)
	}
	for _, id := range expired {
		if request := m.requests[id]; request != nil && (request.deadline > m.now || request.leads) {
			m.t.Fatalf("%d rejected at %d, deadline %d", id, m.now, request.deadline)
		}
		m.end(id)
	}
	for id, request := range m.requests {
		if request.deadline <= m.now && !request.leads {
			m.t.Fatalf("%d, deadline %d, still waits at %d", id, request.deadline, m.now)
		}
	}
}

// checkLen checks the number of requests that the group remembers.
func (m *model) checkLen() {
	if m.group.Len() != len(m.requests) {
		m.t.Fatalf("%d requests, want %d", m.group.Len(), len(m.requests))
	}
}

// TestEachRequestEndsOnce: after any arrivals, ends, cancellations and time, each request ends once and a follower
// no later than its deadline. At most one of a key is computed at a time, a failure ends all, and nothing is
// kept when all have ended.
func TestEachRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				m.add()
			case 2:
				m.completeLeader()
			case 3:
				m.cancelOne()
			case 4:
				m.advance()
			}
			m.checkLen()
		}
		for m.cancelOne() {
			m.checkLen()
		}
		if m.group.Len()+len(m.group.computations)+m.group.deadlines.Len() > 0 {
			t.Fatal("the group remembers something after all requests have ended")
		}
	})
}

// TestFailedCallOfSeveralInputsRejectsEach: a call's outcome is that of its inputs. If it had several and was not
// served, any of them may be the cause, so that each counts as rejected.
func TestFailedCallOfSeveralInputsRejectsEach(t *testing.T) {
	for _, c := range []struct {
		call   outcome.Outcome
		inputs int
		want   outcome.Outcome
	}{
		{outcome.Served, 1, outcome.Served},
		{outcome.Served, 2, outcome.Served},
		{outcome.Rejected, 1, outcome.Rejected},
		{outcome.Failed, 1, outcome.Failed},
		{outcome.InvalidRequest, 1, outcome.InvalidRequest},
		{outcome.Failed, 2, outcome.Rejected},
		{outcome.InvalidRequest, 2, outcome.Rejected},
	} {
		if got := OutcomeOfInput(c.call, c.inputs); got != c.want {
			t.Errorf("%v of %d inputs is %v to each, want %v", c.call, c.inputs, got, c.want)
		}
	}
}
