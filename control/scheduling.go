package control

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"martenlock/control/internal/ewma"
)

// promotionRatio is the ratio of a session's waiting time to its service time above which its queued requests
// are promoted.
const promotionRatio = 4.0

// requestQueue is a heap of the requests that wait for their first attempt, ordered by servedBefore. Its
// exported methods implement heap.Interface. Other code uses add, removeFirst, remove and restoreOrder.
type requestQueue []*request

// servedBefore reports whether a leaves the queue before b. Promoted requests come first, in order of
// arrival. The others follow in ascending order of their session's service time, then in order of arrival.
func servedBefore(a, b *request) bool {
	switch {
	case a.promoted != b.promoted:
		return a.promoted
	case !a.promoted && a.session.serviceTime != b.session.serviceTime:
		return a.session.serviceTime < b.session.serviceTime
	}
	return a.sequence < b.sequence
}

// Len implements heap.Interface.
func (q requestQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q requestQueue) Less(i, j int) bool { return servedBefore(q[i], q[j]) }

// Swap implements heap.Interface.
func (q requestQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex = i
	q[j].heapIndex = j
}

// Push implements heap.Interface.
func (q *requestQueue) Push(x any) {
	added := x.(*request) //nolint:forcetypeassert // only add calls it, through heap.Push
	added.heapIndex = len(*q)
	*q = append(*q, added)
}

// Pop implements heap.Interface.
func (q *requestQueue) Pop() any {
	last := len(*q) - 1
	removed := (*q)[last]
	*q = (*q)[:last]
	removed.heapIndex = -1
	return removed
}

func (q *requestQueue) add(request *request) { heap.Push(q, request) }

// removeFirst removes and returns the first request. The queue must not be empty.
func (q *requestQueue) removeFirst() *request {
	return heap.Pop(q).(*request) //nolint:forcetypeassert // Pop returns nothing else
}

// remove removes a request, if it is queued.
func (q *requestQueue) remove(request *request) {
	if request.queued() {
		heap.Remove(q, request.heapIndex)
	}
}

// restoreOrder restores the heap order after the promoted fields of requests have changed.
func (q *requestQueue) restoreOrder() { heap.Init(q) }

// dispatchCounter measures how many requests leave the queue per second.
type dispatchCounter struct {
	perSecond ewma.Average[float64]
	count     float64 // dispatched since the latest update
}

// update adds the rate over the elapsed time since the latest update to the average, and resets the count.
func (c *dispatchCounter) update(elapsed time.Duration) {
	c.perSecond.Observe(c.count/elapsed.Seconds(), latencyAlpha)
	c.count = 0
}

// timeFor returns the expected time to dispatch a number of requests. It is 0 while the rate is unknown.
func (c *dispatchCounter) timeFor(requests float64) time.Duration {
	seconds := requests / cmp.Or(c.perSecond.Value, math.Inf(1))
	return time.Duration(seconds * float64(time.Second))
}

func (r *Router) enqueue(event Request) {
	class := &r.settings.Classes[event.Class]
	session := r.sessions.findOrCreate(event.SessionID, r.now)
	added := newRequest(event, class, session, r.settings.Limits.MaxAttempts, r.now)
	r.lastSequence++
	added.sequence = r.lastSequence
	r.requests[event.ID] = added
	r.prefixes.observe(event.PrefixHash)
	r.healthCheckBudget += healthChecksPerRequest
	r.capacity.meanDemand.Observe(added.demand, meanAlpha)
	r.queue.add(added)
	r.arrivals = append(r.arrivals, added)
}

// dispatch forwards queued requests while decode engines have capacity. Prefills in flight count towards the
// load of the decode engines. Otherwise KV states that no decode engine can take would accumulate at the
// prefill engines.
func (r *Router) dispatch() {
	free := r.capacity.freeRequests(r.now)
	for len(r.queue) > 0 && free >= r.capacity.dispatchThreshold {
		request := r.queue.removeFirst()
		if r.missesObjective(request) {
			r.finishWithoutService(request, FinishedMissingObjective)
			continue
		}
		target := r.placePrefill(request)
		if target == nil {
			r.queue.add(request)
			return
		}
		request.session.waitTime += r.now.Sub(request.arrivedAt)
		r.forward(request, target)
		r.dispatches.count++
		r.capacity.drawDispatchThreshold(r.rng)
		free -= float64(request.demand / r.capacity.meanDemand.Value)
	}
}

// rejectLateArrivals rejects new requests that are still queued and would miss their objective. It must run
// after dispatch: before that, simultaneous arrivals look queued even if there is capacity for all of them.
func (r *Router) rejectLateArrivals() {
	for _, request := range r.arrivals {
		if !request.finished && request.queued() && r.missesObjective(request) {
			r.finishWithoutService(request, FinishedMissingObjective)
		}
	}
	r.arrivals = nil
}

// promote prevents starvation by marking queued requests whose session has waited long. It also finishes
// queued requests that would miss their objective.
func (r *Router) promote() {
	var late []*request
	for _, request := range r.queue {
		wait := float64(request.session.waitTime + r.now.Sub(request.arrivedAt))
		request.promoted = wait > promotionRatio*float64(request.session.serviceTime)
		if r.missesObjective(request) {
			late = append(late, request)
		}
	}
	r.queue.restoreOrder()
	slices.SortFunc(late, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, request := range late {
		r.finishWithoutService(request, FinishedMissingObjective)
	}
}
