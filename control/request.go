package control

import (
	"cmp"
	"math"
	"time"
)

const (
	// outputShare is the share of MaxTokens that an answer is expected to need. Its length is unknown.
	outputShare = 0.3
	// suspectResets is the least number of lost connections, over all attempts, that makes a request suspect of
	// crashing engines.
	suspectResets = 2
	// progressTimeoutFactor is the multiple of a request's objective for the first token that its attempts
	// get to make progress.
	progressTimeoutFactor = 1.5
)

// request is a client's request until its final answer and until no attempt is in flight.
type request struct {
	Request
	class   *Class
	session *session

	arrivedAt     Time
	firstTokenDue Time   // arrival plus the class's objective for the time to first token
	sequence      uint64 // in order of arrival
	heapIndex     int    // position in the queue; -1 outside it
	promoted      bool   // has waited so long that it goes first
	demand        Tokens // KV memory at a decode engine

	attempts        int
	maxAttempts     int
	connectionsLost int // attempts that ended with their connection, those before this request included
	latest          attempt
	serviceTime     time.Duration
	hasFirstToken   bool // its answer is being streamed
	finished        bool // has its final answer; an attempt is still in flight

	kv             kvRetention
	firstExecution execution
	excluded       []*endpoint // on which it failed before
}

// attempt is the latest attempt of a request.
type attempt struct {
	inFlight        bool
	cancelRequested bool
	overtakenBy     int // requests sent to the same endpoint later that made progress first
	sentAt          Time
	tokensToPrefill Tokens // of the prompt, to compute or to fetch, as far as is known
}

// execution is the earliest attempt that may have executed its request.
type execution struct {
	endpoint *endpoint // nil if there is no such attempt
	sentAt   Time
}

// newRequest returns a request that has just arrived. A request of a class has maxAttempts at most.
func newRequest(event Request, class *Class, session *session, maxAttempts int, now Time) *request {
	maxAttempts = min(maxAttempts, cmp.Or(class.MaxAttempts, maxAttempts))
	return &request{
		Request:         event,
		class:           class,
		session:         session,
		arrivedAt:       now,
		firstTokenDue:   now.Add(class.FirstTokenObjective(event.PromptTokens)),
		demand:          event.PromptTokens + outputShare*event.MaxTokens,
		maxAttempts:     maxAttempts - event.PriorAttempts,
		connectionsLost: event.PriorResets,
	}
}

// queued reports whether the request is in the queue.
func (req *request) queued() bool { return req.heapIndex >= 0 }

// awaitsFirstToken reports whether a client still waits for its answer to begin.
func (req *request) awaitsFirstToken() bool { return !req.hasFirstToken && !req.finished }

// uncachedTokens returns how much of the prompt an endpoint probably has to compute.
func (req *request) uncachedTokens(target *endpoint) Tokens {
	cached := req.PrefixTokens
	if req.session.lastPrefill == target {
		cached = max(cached, req.session.cachedTokens)
	}
	return max(req.PromptTokens-cached, 0)
}

// progressTimeout returns how long an attempt may make no progress.
func (req *request) progressTimeout() time.Duration {
	return time.Duration(progressTimeoutFactor * float64(req.firstTokenDue.Sub(req.arrivedAt)))
}

// recordExecution notes that the latest attempt, made at target, may have executed the request.
func (req *request) recordExecution(target *endpoint) {
	if !req.mayHaveExecuted() {
		req.firstExecution = execution{endpoint: target, sentAt: req.latest.sentAt}
	}
}

// mayHaveExecuted reports whether an attempt may have executed the request.
func (req *request) mayHaveExecuted() bool { return req.firstExecution.endpoint != nil }

// mayRepeat reports whether a further attempt can't execute the request a second time.
func (req *request) mayRepeat(now Time) bool {
	switch {
	case !req.mayHaveExecuted() || req.class.Idempotency == Idempotent:
		return true
	case req.class.Idempotency == IdempotentWithKey:
		return now.Sub(req.firstExecution.sentAt) < req.class.DedupWindow
	}
	return false
}

// clientMayRetry reports whether the client can send the request again, through any router, and have it
// executed once.
func (req *request) clientMayRetry() bool {
	class := req.class
	deduplicated := class.Idempotency == IdempotentWithKey && class.DedupScope == DedupScopeAll
	return !req.mayHaveExecuted() || class.Idempotency == Idempotent || deduplicated
}

// mayCrashEngines reports whether every permitted attempt ended with its connection.
func (req *request) mayCrashEngines() bool {
	return req.connectionsLost >= suspectResets && req.connectionsLost >= req.maxAttempts+req.PriorAttempts
}

// sendDeadline returns when the last byte of the next attempt must have been sent. A slow connection would
// otherwise let a KV state outlast its retention limit while one decode engine after another can't be
// reached, or deliver a repeat after its engines have forgotten the first attempt.
func (req *request) sendDeadline(retentionLimit time.Duration) Time {
	deadline := Time(math.MaxInt64)
	if req.kv.holder != nil {
		deadline = req.kv.releaseDeadline(retentionLimit)
	}
	if req.mayHaveExecuted() && req.class.Idempotency == IdempotentWithKey {
		deadline = min(deadline, req.firstExecution.sentAt.Add(req.class.DedupWindow))
	}
	return deadline
}
