package admission

import (
	"time"

	"martenlock/control"
	"martenlock/control/internal/ewma"
	"martenlock/control/internal/indexedheap"
)

const (
	// pollInterval is the maximum time between two polls while requests wait. It is short compared with any
	// latency objective. It is also the minimum RetryAfter.
	pollInterval = 50 * time.Millisecond
	// unitTokensAlpha is the weight of a newly admitted unit in Queue.meanUnitTokens.
	unitTokensAlpha = 0.1
	// unitCompleted replaces the token count of a unit that has ended.
	unitCompleted = -1
)

// Queue is the fair queue of the large requests of one pool. It is not safe for concurrent use.
type Queue struct {
	settings          Settings
	readyEndpoints    int
	requests          map[RequestID]*queuedRequest
	tenants           map[uint64]*tenantQueue
	waitingTenants    *indexedheap.Heap[*tenantQueue] // lowest start tag first
	sequence          uint64                          // of the latest accepted request
	virtualTime       float64                         // start tag of the unit that was admitted last
	waitingTokens     float64
	outstandingTokens float64
	outstandingUnits  int
	meanUnitTokens    ewma.Average[float64] // tokens of an admitted unit
	throughput        throughput
	share             share
	lastDeadlineCheck control.Time
	lastPoll          control.Time
}

// NewQueue returns a queue that assumes one ready endpoint until SetReadyEndpoints is called.
func NewQueue(settings Settings) *Queue {
	settings.Routers = max(settings.Routers, 1)
	return &Queue{
		settings: settings,
		requests: map[RequestID]*queuedRequest{},
		tenants:  map[uint64]*tenantQueue{},
		waitingTenants: indexedheap.New(
			func(a, b *tenantQueue) bool {
				return a.startTag < b.startTag || a.startTag == b.startTag && a.sequence < b.sequence
			},
			func(tenant *tenantQueue, index int) { tenant.heapIndex = index },
		),
		share: newShare(),
	}
}

// IsLarge reports whether a request with the given number of tokens must pass through the queue.
func (q *Queue) IsLarge(tokens float64) bool {
	return q.settings.LargeTokens > 0 && tokens > q.settings.LargeTokens
}

// SetReadyEndpoints sets the number of endpoints of the pool that are ready.
func (q *Queue) SetReadyEndpoints(count int) { q.readyEndpoints = count }

// Len returns the number of requests that have waiting or outstanding units.
func (q *Queue) Len() int { return len(q.requests) }

// Enqueue adds a large request. Poll returns its units when they are admitted. A request that cannot end
// before its deadline is not added: Enqueue returns its rejection and true.
func (q *Queue) Enqueue(now control.Time, request Request) (rejection Rejection, rejected bool) {
	q.observeThroughput(now)
	added := &queuedRequest{Request: request, sequence: q.sequence + 1, heapIndex: indexedheap.NoIndex}
	for _, tokens := range request.UnitTokens {
		added.waitingTokens += tokens
	}
	tenant := q.tenants[request.Tenant]
	tokensBefore := 0.0
	if tenant != nil {
		tokensBefore = tenant.tokensBefore(added)
	}
	completion := q.estimateCompletion(now, tenant, tokensBefore+added.waitingTokens, 0)
	if lateness := completion.Sub(request.Deadline); lateness >= 0 {
		return Rejection{request.ID, max(lateness, pollInterval)}, true
	}
	q.add(added)
	return Rejection{}, false
}

// add adds a request to its tenant's queue.
func (q *Queue) add(added *queuedRequest) {
	tenant := q.tenants[added.Tenant]
	if tenant == nil {
		q.forgetIdleTenants()
		tenant = newTenantQueue(q.virtualTime, q.sequence)
		q.tenants[added.Tenant] = tenant
	}
	tenant.startTag = max(tenant.startTag, q.virtualTime)
	q.sequence++
	added.tenant = tenant
	q.requests[added.ID] = added
	tenant.requests.Push(added)
	tenant.waitingTokens += added.waitingTokens
	q.waitingTokens += added.waitingTokens
	if !tenant.isWaiting() {
		q.waitingTenants.Push(tenant)
	}
}

// Complete records the end of an admitted unit. It has no effect if the unit has already ended or was never
// admitted.
func (q *Queue) Complete(now control.Time, unit Unit, outcome UnitOutcome) {
	request := q.requests[unit.Request]
	if request == nil || unit.Index < 0 || unit.Index >= request.nextUnit {
		return
	}
	tokens := request.UnitTokens[unit.Index]
	if tokens == unitCompleted {
		return
	}
	request.UnitTokens[unit.Index] = unitCompleted
	request.outstandingUnits--
	q.outstandingTokens = max(q.outstandingTokens-tokens, 0)
	q.outstandingUnits--
	if q.outstandingUnits == 0 {
		q.outstandingTokens = 0 // clear the accumulated rounding error
	}
	switch outcome {
	case UnitServed:
		q.throughput.addServed(tokens)
	case UnitNotServed: // its tokens do not count as served in the current window
	case UnitCancelled: // a client that cancels must not lower the measured throughput
		q.throughput.restartWindow(now, q.waitingTokens > 0)
	}
	q.observeThroughput(now)
	q.forgetIfEnded(request)
}

// Cancel removes the waiting units of a request. Complete must still be called for its outstanding units.
// Cancel has no effect if the request is unknown.
func (q *Queue) Cancel(now control.Time, id RequestID) {
	request := q.requests[id]
	if request == nil {
		return
	}
	q.observeThroughput(now)
	q.removeWaiting(request)
	request.cancelled = true
	q.forgetIfEnded(request)
}

// Poll returns the units that are admitted now and the requests that can no longer end before their
// deadlines. It must be called after every event, and at NextPoll.
func (q *Queue) Poll(now control.Time) PollResult {
	var result PollResult
	q.lastPoll = now
	q.observeThroughput(now)
	if now.Sub(q.lastDeadlineCheck) >= pollInterval {
		q.lastDeadlineCheck = now
		result.Rejected = q.rejectLate(now)
	}
	limit := q.outstandingLimit(now)
	for q.waitingTenants.Len() > 0 {
		request := q.waitingTenants.Min().requests.Min()
		tokens := request.UnitTokens[request.nextUnit]
		if q.meanUnitTokens.Value == 0 {
			q.meanUnitTokens.Value = tokens
			limit = q.outstandingLimit(now)
		}
		// Units differ in size, so the limit may be exceeded by half of a mean unit.
		if q.outstandingUnits > 0 && q.outstandingTokens+tokens > limit+q.meanUnitTokens.Value/2 {
			break
		}
		result.Admitted = append(result.Admitted, q.admitNextUnit(request))
	}
	if q.waitingTenants.Len() == 0 && q.outstandingUnits == 0 { // idle: the start tags are no longer needed
		clear(q.tenants)
		q.virtualTime = 0
	}
	return result
}

// NextPoll returns when Poll must be called if no event occurs before. It returns false while no request
// waits.
func (q *Queue) NextPoll() (next control.Time, ok bool) {
	return q.lastPoll.Add(pollInterval), q.waitingTenants.Len() > 0
}

// admitNextUnit admits the next unit of the request that is first in the queue.
func (q *Queue) admitNextUnit(request *queuedRequest) Unit {
	tenant := request.tenant
	unit := Unit{request.ID, request.nextUnit}
	tokens := request.UnitTokens[unit.Index]
	q.meanUnitTokens.Observe(tokens, unitTokensAlpha)
	q.outstandingTokens += tokens
	q.outstandingUnits++
	q.virtualTime = tenant.startTag
	tenant.startTag += tokens
	request.nextUnit++
	request.outstandingUnits++
	request.waitingTokens -= tokens
	if request.nextUnit == len(request.UnitTokens) {
		tenant.requests.Remove(request.heapIndex)
		tokens += request.waitingTokens // include the accumulated rounding error
		request.waitingTokens = 0
	} else {
		tenant.requests.Fix(request.heapIndex)
	}
	q.subtractWaiting(tenant, tokens)
	if tenant.isWaiting() {
		q.waitingTenants.Fix(tenant.heapIndex)
	}
	return unit
}

// removeWaiting removes a request from its tenant's queue, if it has waiting units.
func (q *Queue) removeWaiting(request *queuedRequest) {
	if request.heapIndex == indexedheap.NoIndex {
		return
	}
	request.tenant.requests.Remove(request.heapIndex)
	q.subtractWaiting(request.tenant, request.waitingTokens)
	request.waitingTokens = 0
}

// subtractWaiting subtracts tokens from the waiting tokens of a tenant and of the queue. The caller has
// already updated the tenant's heap of requests.
func (q *Queue) subtractWaiting(tenant *tenantQueue, tokens float64) {
	tenant.waitingTokens -= tokens
	q.waitingTokens -= tokens
	if tenant.requests.Len() == 0 {
		q.waitingTokens -= tenant.waitingTokens // clear the accumulated rounding error
		tenant.waitingTokens = 0
		q.waitingTenants.Remove(tenant.heapIndex)
	}
	if q.waitingTenants.Len() == 0 {
		q.waitingTokens = 0
		q.throughput.windowIsBacklogged = false
	}
}

// forgetIfEnded removes a request that has no outstanding and no waiting units.
func (q *Queue) forgetIfEnded(request *queuedRequest) {
	hasNoWaitingUnits := request.cancelled || request.nextUnit == len(request.UnitTokens)
	if hasNoWaitingUnits && request.outstandingUnits == 0 {
		delete(q.requests, request.ID)
	}
}

// outstandingLimit returns the maximum tokens of outstanding units.
func (q *Queue) outstandingLimit(now control.Time) float64 {
	currentShare := q.share.update(now)
	ownEndpoints := max(float64(q.readyEndpoints)/float64(q.settings.Routers), 1)
	seconds := q.settings.OutstandingWork.Seconds()
	if !q.share.hasRecentSmallRequest(now) {
		seconds *= noSmallRequestsFactor
	}
	return currentShare * max(ownEndpoints*q.meanUnitTokens.Value, q.throughput.rate.Value*seconds)
}

// observeThroughput ends the current throughput window if it is long enough.
func (q *Queue) observeThroughput(now control.Time) {
	q.throughput.observe(now, queueState{
		hasOutstanding: q.outstandingUnits > 0,
		hasWaiting:     q.waitingTokens > 0,
		meanUnitTokens: q.meanUnitTokens.Value,
	})
}

// ObserveSmall records the latency of a small request of the pool.
func (q *Queue) ObserveSmall(now control.Time, request SmallRequest) {
	q.share.observe(now, request, q.outstandingUnits > 0, q.settings.OutstandingWork)
}
