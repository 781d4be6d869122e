package openaiserver

import "martenlock/control/batching"

// sequentialRetry retries the members of a batch that lost its engine, one after another. Package batching decides
// which member is next.
type sequentialRetry struct {
	order       batching.SequentialRetry
	members     map[batching.RequestID]*batchMember
	batchAnswer answer // of the failed batch; it counts the attempts so far
}

// newSequentialRetry returns a retry without members.
func newSequentialRetry(batchAnswer answer) *sequentialRetry {
	return &sequentialRetry{members: map[batching.RequestID]*batchMember{}, batchAnswer: batchAnswer}
}

// enqueue adds a member. If its retry has not started at the member's deadline, the member is rejected.
func (r *sequentialRetry) enqueue(m *batchMember) {
	s := m.request.pool.server
	r.order.Add(m.id)
	r.members[m.id] = m
	m.retry = r
	m.deadline.Fire = func() {
		r.complete(m, false)
		m.client.respond(overloaded(s.requestIDs.next(), batching.ExpiredRetryAfter))
	}
	s.loop.StartTimer(&m.deadline, max(m.request.moduleRequest.Deadline.Sub(s.now()), 0))
}

// startNext starts the members that package batching releases for a retry.
func (r *sequentialRetry) startNext() {
	for _, id := range r.order.Start() {
		m := r.members[id]
		m.request.pool.server.loop.StopTimer(&m.deadline)
		m.startAlone(m, r.batchAnswer)
	}
}

// complete removes a member. lostConnection reports whether its own retry lost a connection too.
func (r *sequentialRetry) complete(m *batchMember, lostConnection bool) {
	m.request.pool.server.loop.StopTimer(&m.deadline)
	delete(r.members, m.id)
	r.order.Complete(m.id, lostConnection)
	r.startNext()
}
