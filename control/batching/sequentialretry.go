package batching

import "slices"

// SequentialRetry orders the retries of the requests of a batch that lost its engine. One of the requests may
// crash engines, and others that run at the same engine would lose their attempts with it. So each retry waits
// for the end of the one before, until one loses its engine again. That one is assumed to be the cause, and all
// others are retried at once. The zero value has no requests and is ready for use.
type SequentialRetry struct {
	requests   []retriedRequest
	causeFound bool
}

// retriedRequest is a request that has not ended.
type retriedRequest struct {
	id      RequestID
	started bool
}

// Add puts a request at the end of the order.
func (s *SequentialRetry) Add(id RequestID) {
	s.requests = append(s.requests, retriedRequest{id: id})
}

// Start returns the requests to retry now, each once. It must be called after all were added and after each
// Complete.
func (s *SequentialRetry) Start() []RequestID {
	var started []RequestID
	for i := range s.requests {
		request := &s.requests[i]
		mayStart := i == 0 || s.causeFound
		if mayStart && !request.started {
			request.started = true
			started = append(started, request.id)
		}
	}
	return started
}

// Complete records that a request has ended or was cancelled, and whether its retry lost the engine.
func (s *SequentialRetry) Complete(id RequestID, lostEngine bool) {
	s.requests = slices.DeleteFunc(s.requests, func(request retriedRequest) bool { return request.id == id })
	if lostEngine {
		s.causeFound = true
	}
}
