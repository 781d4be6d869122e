package openaiserver

import (
	"time"

	"martenlock/control/admission"
)

// admissionQueue is a pool's queue of large requests. Package admission decides when their shards may start.
type admissionQueue struct {
	*deadlineTimer
	pool     *pool
	queue    *admission.Queue
	requests map[admission.RequestID]*scatterRequest
	lastID   admission.RequestID
	rejected uint64 // number of requests rejected
}

// newAdmissionQueue returns an empty queue with the pool's settings.
func newAdmissionQueue(p *pool) *admissionQueue {
	settings := admission.Settings{
		LargeTokens:     p.settings.LargeTokens,
		OutstandingWork: p.settings.OutstandingLargeWork,
		Routers:         p.config.Control.Identity.Routers,
	}
	q := &admissionQueue{
		pool:     p,
		queue:    admission.NewQueue(settings),
		requests: map[admission.RequestID]*scatterRequest{},
	}
	q.deadlineTimer = newDeadlineTimer(p.server, q.poll, q.queue.NextDeadline)
	return q
}

// enqueue adds a large request. A rejection reaches the client at the end of this iteration of the event loop.
func (q *admissionQueue) enqueue(scattered *scatterRequest) {
	s := q.pool.server
	q.lastID++
	scattered.admissionID = q.lastID
	scattered.needsAdmission = true
	q.requests[q.lastID] = scattered
	rejection, isRejected := q.queue.Enqueue(s.now(), scattered.admissionRequest())
	if isRejected {
		s.loop.Defer(func() { q.reject(scattered, rejection.RetryAfter) })
		return
	}
	q.schedulePoll()
}

// admissionRequest returns what package admission needs to know of the request.
func (r *scatterRequest) admissionRequest() admission.Request {
	unitTokens := make([]float64, len(r.plan))
	for i := range unitTokens {
		unitTokens[i] = r.shardTokens(i)
	}
	return admission.Request{
		ID:         r.admissionID,
		Tenant:     r.request.fairShareKey,
		UnitTokens: unitTokens,
		Deadline:   r.request.moduleRequest.Deadline,
	}
}

// reject rejects a request. One of its shards at least has not started.
func (q *admissionQueue) reject(scattered *scatterRequest, retryAfter time.Duration) {
	if scattered.hasEnded {
		return
	}
	q.rejected++
	for index, started := range scattered.shards {
		if started == nil {
			scattered.shardEnded(index, overloadedAnswer("", retryAfter))
			return
		}
	}
}

// remove removes a request that has ended.
func (q *admissionQueue) remove(scattered *scatterRequest) {
	delete(q.requests, scattered.admissionID)
	q.queue.Cancel(q.pool.server.now(), scattered.admissionID)
	q.schedulePoll()
}

// poll rejects requests that would miss their deadlines and starts the shards that are admitted.
func (q *admissionQueue) poll() {
	result := q.queue.Poll(q.pool.server.now())
	for _, rejection := range result.Rejected {
		scattered := q.requests[rejection.Request]
		if scattered != nil {
			q.reject(scattered, rejection.RetryAfter)
		}
	}
	for _, unit := range result.Admitted {
		scattered := q.requests[unit.Request]
		if scattered != nil && !scattered.hasEnded {
			scattered.startShard(unit.Index)
		}
	}
}
