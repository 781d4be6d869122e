package control

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"martenlock/control/internal/ewma"
)

// promotionRatio is the ratio of a session's waiting time to its service time above which its requests are
// promoted.
const promotionRatio = 4.0

// requestQueue is a heap of the requests that are not yet released, ordered by servedBefore. It implements
// heap.Interface. Other code uses add, removeFirst, remove and restoreOrder.
type requestQueue []*request

// servedBefore orders the queue. Promoted requests come first, in order of arrival. The others follow in
// order of their session's accumulated service time.
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

// add puts a request in the queue.
func (q *requestQueue) add(request *request) { heap.Push(q, request) }

// removeFirst removes and returns the request that is served next. The queue must not be empty.
func (q *requestQueue) removeFirst() *request {
	return heap.Pop(q).(*request) //nolint:forcetypeassert // Pop returns nothing else
}

// remove takes a request out of the queue, if it is there.
func (q *requestQueue) remove(request *request) {
	if request.queued() {
		heap.Remove(q, request.heapIndex)
	}
}

// restoreOrder puts the queue in order after promotions.
func (q *requestQueue) restoreOrder() { heap.Init(q) }

// releaseCounter measures how fast requests leave the queue.
type releaseCounter struct {
	perSecond ewma.Average[float64]
	count     float64 // since the latest update
}

// update ends an interval of the measurement.
func (c *releaseCounter) update(elapsed time.Duration) {
	c.perSecond.Observe(c.count/elapsed.Seconds(), latencyAlpha)
	c.count = 0
}

// timeFor returns how long the release of a number of requests takes. It is 0 while the rate is unknown.
func (c *releaseCounter) timeFor(requests float64) time.Duration {
	seconds := requests / cmp.Or(c.perSecond.Value, math.Inf(1))
	return time.Duration(seconds * float64(time.Second))
}

// enqueue adds a new request to the queue.
func (r *Router) enqueue(event Request) {
	class := &r.settings.Classes[event.Class]
	session := r.sessions.open(event.SessionID, r.now)
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

// release forwards queued requests while decode engines have capacity. Prefills in flight count as load of
// the decode engines. Without this, KV states would pile up at the prefill engines.
func (r *Router) release() {
	free := r.capacity.freeRequests(r.now)
	for len(r.queue) > 0 && free >= r.capacity.releaseThreshold {
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
		r.releases.count++
		r.capacity.drawReleaseThreshold(r.rng)
		free -= float64(request.demand / r.capacity.meanDemand.Value)
	}
}

// rejectLateArrivals rejects the arrivals of this instant that miss their objective. It follows release:
// simultaneous arrivals that all find capacity do not queue.
func (r *Router) rejectLateArrivals() {
	for _, request := range r.arrivals {
		if !request.finished && request.queued() && r.missesObjective(request) {
			r.finishWithoutService(request, FinishedMissingObjective)
		}
	}
	r.arrivals = nil
}

// promote guards against starvation: requests that have waited long go first. It also finishes those that
// miss their objective.
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
