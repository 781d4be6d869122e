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
	requests map[RequestID]*expectedRequest // not ended
}

// expectedRequest is what the model knows of a request that has not ended.
type expectedRequest struct {
	key      Key
	deadline control.Time
	isLeader bool
}

func newModel(t *rapid.T) *model {
	return &model{t: t, group: NewGroup(), now: 1, requests: map[RequestID]*expectedRequest{}}
}

// leaderOf returns the leader of a key, or false if there is none.
func (m *model) leaderOf(key Key) (leader RequestID, ok bool) {
	for id, request := range m.requests {
		if request.isLeader && request.key == key {
			return id, true
		}
	}
	return 0, false
}

// followerCount returns the number of followers of a leader.
func (m *model) followerCount(leader RequestID) int {
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
		if request := m.requests[id]; request != nil && (!onlyLeaders || request.isLeader) {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(candidates).Draw(m.t, "id"), true
}

// recordLeader records that a request is now a leader.
func (m *model) recordLeader(id RequestID) {
	request := m.requests[id]
	if request == nil {
		m.t.Fatalf("request %d became the leader after its end", id)
		return
	}
	if other, ok := m.leaderOf(request.key); ok {
		m.t.Fatalf("requests %d and %d of one key are both leaders", other, id)
	}
	request.isLeader = true
}

// end records the end of a request, which must not have ended before.
func (m *model) end(id RequestID) {
	if m.requests[id] == nil {
		m.t.Fatalf("request %d ended twice, or was never added", id)
	}
	delete(m.requests, id)
}

// add adds a random request, which must become the leader if its key has none.
func (m *model) add() {
	m.lastID++
	added := &expectedRequest{key: Key{byte(rapid.IntRange(0, 2).Draw(m.t, "key"))}}
	added.deadline = m.now + control.Time(rapid.IntRange(1, 50).Draw(m.t, "timeout"))
	_, hasLeader := m.leaderOf(added.key)
	m.requests[m.lastID] = added
	if m.group.Add(added.key, m.lastID, added.deadline) == hasLeader {
		m.t.Fatalf("request %d is a leader: %v; its key had a leader: %v", m.lastID, !hasLeader, hasLeader)
	}
	if !hasLeader {
		m.recordLeader(m.lastID)
	}
}

// completeLeader ends a random leader with a random outcome. After a rejection a follower becomes the
// leader. Any other outcome ends all followers.
func (m *model) completeLeader() {
	id, ok := m.pick(true)
	if !ok {
		return
	}
	result := outcome.Outcome(rapid.IntRange(0, 2).Draw(m.t, "outcome"))
	followers := m.followerCount(id)
	completion := m.group.Complete(id, result)
	sameResult, hasNewLeader := len(completion.SameResult), completion.HasNewLeader
	if result == outcome.Rejected && (sameResult > 0 || hasNewLeader != (followers > 0)) ||
		result != outcome.Rejected && (sameResult != followers || hasNewLeader) {
		m.t.Fatalf("outcome %v of a leader with %d followers: %+v", result, followers, completion)
	}
	m.end(id)
	for _, follower := range completion.SameResult {
		m.end(follower)
	}
	if hasNewLeader {
		m.recordLeader(completion.NewLeader)
	}
}

// cancelOne cancels a random request and reports whether there was one. Only the cancellation of a leader
// makes another request the leader.
func (m *model) cancelOne() bool {
	id, ok := m.pick(false)
	if !ok {
		return false
	}
	wasLeader := m.requests[id].isLeader
	newLeader, hasNewLeader := m.group.Cancel(id)
	m.end(id)
	if hasNewLeader {
		if !wasLeader {
			m.t.Fatal("cancelling a follower made another request the leader")
		}
		m.recordLeader(newLeader)
	}
	return true
}

// advance lets a random time pass. Followers expire at their deadlines, neither earlier nor later.
func (m *model) advance() {
	m.now += control.Time(rapid.IntRange(0, 20).Draw(m.t, "time"))
	next, ok := m.group.NextPoll()
	expired := m.group.Poll(m.now).Expired
	if ok != (next > 0) || (len(expired) > 0) != (ok && next <= m.now) {
		m.t.Fatalf("NextPoll returned %d, %v; at %d the requests %v expired", next, ok, m.now, expired)
	}
	for _, id := range expired {
		if request := m.requests[id]; request != nil && (request.deadline > m.now || request.isLeader) {
			m.t.Fatalf("request %d expired at %d, deadline %d", id, m.now, request.deadline)
		}
		m.end(id)
	}
	for id, request := range m.requests {
		if request.deadline <= m.now && !request.isLeader {
			m.t.Fatalf("request %d with deadline %d still waits at %d", id, request.deadline, m.now)
		}
	}
}

// checkLen checks the number of requests in the group.
func (m *model) checkLen() {
	if m.group.Len() != len(m.requests) {
		m.t.Fatalf("the group has %d requests, want %d", m.group.Len(), len(m.requests))
	}
}

// TestEachRequestEndsOnce: for any sequence of events each request ends once, and a follower no later than
// at its deadline. At most one request of a key is computed at a time. The failure of a leader also ends its
// followers. No state is left when all requests have ended.
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
			t.Fatal("the group has state left after all requests have ended")
		}
	})
}

// TestFailedCallOfSeveralInputsRejectsEach: the outcome of a call is that of its inputs. If a call of several
// inputs is not served, any of them may be the cause, and each counts as rejected.
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
			t.Errorf("call outcome %v with %d inputs: each input is %v, want %v", c.call, c.inputs, got, c.want)
		}
	}
}
