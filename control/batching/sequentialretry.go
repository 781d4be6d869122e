package batching

import "slices"

// SequentialRetry orders the retries of the requests of a batch whose connection to the engine was lost.
// One of the requests may crash engines, and requests that run on the same engine at that time would fail
// as well. Each retry therefore starts after the previous one has ended, until a retry loses its connection
// too. Its request is assumed to be the cause, and all others are then retried at once. The zero value has
// no requests and is ready for use.
type SequentialRetry struct {
	requests   []retriedRequest
	causeFound bool
}

// retriedRequest is a request that has not ended.
type retriedRequest struct {
	id      RequestID
	started bool
}

// Add adds a request, to be retried after those added before.
func (s *SequentialRetry) Add(id RequestID) {
	s.requests = append(s.requests, retriedRequest{id: id})
}

// Start returns the requests to retry now. It returns each request only once. It must be called after all
// requests were added, and after each Complete.
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

// Complete records that a request has ended or was cancelled. connectionLost tells whether its retry lost the
// connection to the engine.
func (s *SequentialRetry) Complete(id RequestID, connectionLost bool) {
	s.requests = slices.DeleteFunc(s.requests, func(request retriedRequest) bool { return request.id == id })
	if connectionLost {
		s.causeFound = true
	}
}
