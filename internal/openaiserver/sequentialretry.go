package openaiserver

import "martenlock/control/batching"

// sequentialRetry retries the members of a batch whose connection to an engine was lost. The members are retried one
// after another, because one of them may crash engines. Package batching decides when each retry starts.
type sequentialRetry struct {
	order       batching.SequentialRetry
	members     map[batching.RequestID]*batchMember // members that have not ended
	batchAnswer answer                              // of the failed batch; its attempts count as attempts of each member
}

func newSequentialRetry(batchAnswer answer) *sequentialRetry {
	return &sequentialRetry{members: map[batching.RequestID]*batchMember{}, batchAnswer: batchAnswer}
}

// enqueue adds a member. The member is rejected if its deadline passes before its retry starts.
func (r *sequentialRetry) enqueue(member *batchMember) {
	s := member.request.pool.server
	r.order.Add(member.id)
	r.members[member.id] = member
	member.sequentialRetry = r
	member.expiryTimer.Fire = func() {
		r.complete(member, false)
		member.client.respond(overloadedAnswer(s.requestIDs.next(), batching.ExpiredRetryAfter))
	}
	s.loop.StartTimer(&member.expiryTimer, max(member.request.moduleRequest.Deadline.Sub(s.now()), 0))
}

// startNext starts the retries that package batching allows now.
func (r *sequentialRetry) startNext() {
	for _, id := range r.order.Start() {
		member := r.members[id]
		member.request.pool.server.loop.StopTimer(&member.expiryTimer)
		member.startRetry(member, r.batchAnswer)
	}
}

// complete removes a member and starts the next retries. lostConnection tells whether the member's retry lost a
// connection too.
func (r *sequentialRetry) complete(member *batchMember, lostConnection bool) {
	member.request.pool.server.loop.StopTimer(&member.expiryTimer)
	delete(r.members, member.id)
	r.order.Complete(member.id, lostConnection)
	r.startNext()
}
