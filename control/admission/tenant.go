package admission

import (
	"cmp"
	"maps"

	"martenlock/control/internal/indexedheap"
)

const (
	// maxIdleTenants is the number of known tenants from which on those are forgotten that have nothing
	// waiting and no service ahead of the others.
	maxIdleTenants = 1024
	// maxTenants is the number of known tenants from which on all are forgotten that have nothing waiting.
	maxTenants = 4 * maxIdleTenants
)

// queuedRequest is a request with units that wait or are outstanding.
type queuedRequest struct {
	Request
	tenant           *tenantQueue
	sequence         uint64 // order of arrival
	nextUnit         int    // index of the first unit that is not admitted
	outstandingUnits int
	waitingTokens    float64
	heapIndex        int  // in tenantQueue.requests
	cancelled        bool // its waiting units are never admitted
}

// compareRequests orders the requests of one tenant: first one that has begun, then the one with the fewest
// tokens left, then the one that arrived first.
func compareRequests(a, b *queuedRequest) int {
	aHasBegun, bHasBegun := a.nextUnit > 0, b.nextUnit > 0
	switch {
	case aHasBegun && !bHasBegun:
		return -1
	case bHasBegun && !aHasBegun:
		return 1
	}
	return cmp.Or(cmp.Compare(a.waitingTokens, b.waitingTokens), cmp.Compare(a.sequence, b.sequence))
}

// tenantQueue is one tenant's waiting requests.
type tenantQueue struct {
	// startTag is the virtual time of the tenant's next unit, in tokens (start-time fair queueing,
	// Goyal, Vin and Cheng 1996).
	startTag      float64
	sequence      uint64 // order of arrival, among equal tags
	requests      *indexedheap.Heap[*queuedRequest]
	waitingTokens float64
	heapIndex     int // in Queue.waitingTenants
}

func newTenantQueue(startTag float64, sequence uint64) *tenantQueue {
	return &tenantQueue{
		startTag: startTag,
		sequence: sequence,
		requests: indexedheap.New(
			func(a, b *queuedRequest) bool { return compareRequests(a, b) < 0 },
			func(request *queuedRequest, index int) { request.heapIndex = index },
		),
		heapIndex: indexedheap.NoIndex,
	}
}

func (t *tenantQueue) isWaiting() bool { return t.heapIndex != indexedheap.NoIndex }

// tokensBefore returns the waiting tokens of the requests that are served before the given one.
func (t *tenantQueue) tokensBefore(request *queuedRequest) float64 {
	tokens := 0.0
	for _, other := range t.requests.Items() {
		if compareRequests(other, request) < 0 {
			tokens += other.waitingTokens
		}
	}
	return tokens
}

// forgetIdleTenants bounds the memory of tenants that have nothing waiting. From maxIdleTenants on it drops
// those whose service is in the past, from maxTenants on all.
func (q *Queue) forgetIdleTenants() {
	if len(q.tenants) < maxIdleTenants {
		return
	}
	maps.DeleteFunc(q.tenants, func(_ uint64, tenant *tenantQueue) bool {
		return !tenant.isWaiting() && tenant.startTag <= q.virtualTime
	})
	if len(q.tenants) >= maxTenants {
		maps.DeleteFunc(q.tenants, func(_ uint64, tenant *tenantQueue) bool { return !tenant.isWaiting() })
	}
}
