package admission

import (
	"cmp"
	"maps"

	"martenlock/control/internal/indexedheap"
)

const (
	// softMaxTenants is the number of known tenants at which the queue starts to forget idle ones. A tenant
	// is idle if it has no waiting requests and its start tag is not ahead of the virtual time.
	softMaxTenants = 1024
	// maxTenants is the number of known tenants at which the queue forgets all tenants without waiting
	// requests.
	maxTenants = 4 * softMaxTenants
)

// queuedRequest is a request that has waiting or outstanding units.
type queuedRequest struct {
	Request
	tenant           *tenantQueue
	sequence         uint64 // order of arrival
	nextUnit         int    // index of the first unit that has not been admitted
	outstandingUnits int
	waitingTokens    float64
	heapIndex        int  // in tenantQueue.requests
	cancelled        bool // no more units are admitted
}

// compareRequests orders the requests of one tenant. A request that has started comes first, then the one
// with the fewest waiting tokens, then the one that arrived first.
func compareRequests(a, b *queuedRequest) int {
	aStarted, bStarted := a.nextUnit > 0, b.nextUnit > 0
	switch {
	case aStarted && !bStarted:
		return -1
	case bStarted && !aStarted:
		return 1
	}
	return cmp.Or(cmp.Compare(a.waitingTokens, b.waitingTokens), cmp.Compare(a.sequence, b.sequence))
}

// tenantQueue is one tenant's waiting requests.
type tenantQueue struct {
	// startTag is the virtual start time of the tenant's next unit, in tokens (start-time fair queueing,
	// Goyal, Vin and Cheng 1996).
	startTag      float64
	sequence      uint64 // order of arrival; breaks ties between equal start tags
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

// forgetIdleTenants bounds the number of tenants without waiting requests. At softMaxTenants it forgets those
// whose start tag is not ahead of the virtual time, at maxTenants all of them.
func (q *Queue) forgetIdleTenants() {
	if len(q.tenants) < softMaxTenants {
		return
	}
	maps.DeleteFunc(q.tenants, func(_ uint64, tenant *tenantQueue) bool {
		return !tenant.isWaiting() && tenant.startTag <= q.virtualTime
	})
	if len(q.tenants) >= maxTenants {
		maps.DeleteFunc(q.tenants, func(_ uint64, tenant *tenantQueue) bool { return !tenant.isWaiting() })
	}
}
