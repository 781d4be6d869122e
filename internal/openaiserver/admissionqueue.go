package openaiserver

import (
	"time"

	"martenlock/control/admission"
)

// admissionQueue holds a pool's large requests. Package admission decides when each of their shards may start.
type admissionQueue struct {
	*pollTimer
	pool     *pool
	queue    *admission.Queue
	requests map[admission.RequestID]*scatteredRequest // all requests that have not ended
	lastID   admission.RequestID
	rejected uint64
}

func newAdmissionQueue(p *pool) *admissionQueue {
	settings := admission.Settings{
		LargeTokens:     p.settings.LargeTokens,
		OutstandingWork: p.settings.OutstandingLargeWork,
		Routers:         p.config.Control.Identity.Routers,
	}
	q := &admissionQueue{
		pool:     p,
		queue:    admission.NewQueue(settings),
		requests: map[admission.RequestID]*scatteredRequest{},
	}
	q.pollTimer = newPollTimer(p.server, q.poll, q.queue.NextPoll)
	return q
}

// enqueue adds a large request. If package admission rejects the request, the client is answered at the end of this
// event loop iteration, because the caller must first receive the request's operation.
func (q *admissionQueue) enqueue(scattered *scatteredRequest) {
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

// admissionRequest returns the description of the request for package admission. Each shard is a unit.
func (r *scatteredRequest) admissionRequest() admission.Request {
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

// reject processes a rejection by package admission. It records the rejection as the answer of the first shard that has
// not started. It has no effect if the request has ended.
func (q *admissionQueue) reject(scattered *scatteredRequest, retryAfter time.Duration) {
	if scattered.hasEnded {
		return
	}
	q.rejected++
	for index, s := range scattered.shards {
		if s == nil {
			scattered.shardEnded(index, overloadedAnswer("", retryAfter))
			return
		}
	}
}

// remove removes a request that has ended, and cancels it in package admission.
func (q *admissionQueue) remove(scattered *scatteredRequest) {
	delete(q.requests, scattered.admissionID)
	q.queue.Cancel(q.pool.server.now(), scattered.admissionID)
	q.schedulePoll()
}

// poll rejects the requests that would miss their deadlines and starts the admitted shards.
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
