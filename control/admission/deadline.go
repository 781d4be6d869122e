package admission

import (
	"slices"
	"time"

	"martenlock/control"
)

// maxEstimateSeconds limits the estimated time to completion, so that it fits into a time.Duration.
const maxEstimateSeconds = 1e6

// estimateCompletion returns the estimated time at which the first ownTokens of a tenant's waiting tokens
// have been served. It assumes that all outstanding units are served first, and that the other tenants get
// their fair shares meanwhile. excludedTokens do not count as waiting. tenant is nil for an unknown tenant.
// If no throughput has been observed, it returns now.
func (q *Queue) estimateCompletion(
	now control.Time, tenant *tenantQueue, ownTokens, excludedTokens float64,
) control.Time {
	rate := q.throughput.optimisticRate(now)
	if rate == 0 {
		return now
	}
	otherTokens := q.waitingTokens - excludedTokens
	otherTenants := q.waitingTenants.Len()
	if tenant != nil && tenant.isWaiting() {
		otherTokens -= tenant.waitingTokens
		otherTenants--
	}
	othersServed := min(max(otherTokens, 0), ownTokens*float64(otherTenants))
	work := q.outstandingTokens + ownTokens + othersServed
	seconds := min(work/rate, maxEstimateSeconds)
	return now.Add(time.Duration(seconds * float64(time.Second)))
}

// rejectLate cancels and returns the requests that cannot end before their deadlines. The tokens of a
// rejected request do not count in the estimates for the requests after it.
func (q *Queue) rejectLate(now control.Time) []Rejection {
	var rejected []Rejection
	rejectedTokens := 0.0
	for _, tenant := range slices.Clone(q.waitingTenants.Items()) {
		ownTokens := 0.0
		for _, request := range slices.SortedFunc(slices.Values(tenant.requests.Items()), compareRequests) {
			completion := q.estimateCompletion(now, tenant, ownTokens+request.waitingTokens, rejectedTokens)
			lateness := completion.Sub(request.Deadline)
			if lateness > 0 || now >= request.Deadline {
				rejected = append(rejected, Rejection{request.ID, max(lateness, pollInterval)})
				rejectedTokens += request.waitingTokens
			} else {
				ownTokens += request.waitingTokens
			}
		}
	}
	for _, rejection := range rejected {
		q.Cancel(now, rejection.Request)
	}
	return rejected
}
