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
func (r *sequentialRetry) enqueue(member *batchMember) {
	s := member.request.pool.server
	r.order.Add(member.id)
	r.members[member.id] = member
	member.retry = r
	member.deadline.Fire = func() {
		r.complete(member, false)
		member.client.respond(overloadedAnswer(s.requestIDs.next(), batching.ExpiredRetryAfter))
	}
	s.loop.StartTimer(&member.deadline, max(member.request.moduleRequest.Deadline.Sub(s.now()), 0))
}

// startNext starts the members that package batching releases for a retry.
func (r *sequentialRetry) startNext() {
	for _, id := range r.order.Start() {
		member := r.members[id]
		member.request.pool.server.loop.StopTimer(&member.deadline)
		member.startAlone(member, r.batchAnswer)
	}
}

// complete removes a member. lostConnection reports whether its own retry lost a connection too.
func (r *sequentialRetry) complete(member *batchMember, lostConnection bool) {
	member.request.pool.server.loop.StopTimer(&member.deadline)
	delete(r.members, member.id)
	r.order.Complete(member.id, lostConnection)
	r.startNext()
}
