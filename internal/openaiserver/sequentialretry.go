package openaiserver

import "martenlock/control/batching"

// sequentialRetry is the members of a batch that lost its engine: package batching says which may
// be retried when.
type sequentialRetry struct {
	order       batching.SequentialRetry
	members     map[batching.RequestID]*batchMember
	batchAnswer answer // what the batch had come to
}

// newSequentialRetry returns one without members.
func newSequentialRetry(batchAnswer answer) *sequentialRetry {
	return &sequentialRetry{members: map[batching.RequestID]*batchMember{}, batchAnswer: batchAnswer}
}

// enqueue has a member wait for its retry, until its deadline at most.
func (q *sequentialRetry) enqueue(m *batchMember) {
	s := m.request.pool.server
	q.order.Add(m.id)
	q.members[m.id] = m
	m.retry = q
	m.deadline.Fire = func() {
		q.complete(m, false)
		m.client.respond(overloaded(s.requestIDs.next(), batching.ExpiredRetryAfter))
	}
	s.loop.StartTimer(&m.deadline, max(m.request.moduleRequest.Deadline.Sub(s.now()), 0))
}

// startNext starts the members whose turn it is.
func (q *sequentialRetry) startNext() {
	for _, id := range q.order.Start() {
		m := q.members[id]
		m.request.pool.server.loop.StopTimer(&m.deadline)
		m.startAlone(m, q.batchAnswer)
	}
}

// complete takes a member out; lostConnection tells that its own retry lost its engine too.
func (q *sequentialRetry) complete(m *batchMember, lostConnection bool) {
	m.request.pool.server.loop.StopTimer(&m.deadline)
	delete(q.members, m.id)
	q.order.Complete(m.id, lostConnection)
	q.startNext()
}
