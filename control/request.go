package control

import (
	"cmp"
	"math"
	"time"
)

const (
	// outputShare is the fraction of MaxTokens that an answer is expected to have.
	outputShare = 0.3
	// minLostConnections is the minimum number of lost connections for a request to be suspected of crashing
	// engines.
	minLostConnections = 2
	// progressTimeoutFactor is the progress time-out of an attempt, as a multiple of its request's objective
	// for the first token.
	progressTimeoutFactor = 1.5
)

// request is the state of a client's request. It is kept until the request is finished and has no attempt in
// flight.
type request struct {
	Request
	class   *Class
	session *session

	arrivedAt     Time
	firstTokenDue Time   // arrival plus the class's objective for the time to first token
	sequence      uint64 // ascending in order of arrival
	heapIndex     int    // position in the queue; -1 outside it
	promoted      bool   // has waited long and precedes all requests that are not promoted
	demand        Tokens // expected KV memory at a decode engine

	attempts        int // made by this router
	maxAttempts     int
	lostConnections int // attempts whose connection was lost, including Request.PriorLostConnections
	latest          attempt
	serviceTime     time.Duration // sum over its attempts
	hasFirstToken   bool          // its answer is being streamed
	finished        bool          // the client got the final answer or left

	kv             kvRetention
	firstExecution execution
	excluded       []*endpoint // endpoints at which an attempt did not succeed
}

// attempt is the latest attempt of a request.
type attempt struct {
	inFlight        bool
	cancelRequested bool
	overtakenBy     int // number of later attempts at the same endpoint that made progress first
	sentAt          Time
	tokensToProcess Tokens // estimated number of prompt tokens to compute or to fetch
}

// execution is the earliest attempt that may have executed its request.
type execution struct {
	endpoint *endpoint // nil if there is no such attempt
	sentAt   Time
}

// newRequest returns a request that arrives now. maxAttempts is the limit of the router, which the class may
// lower.
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
		lostConnections: event.PriorLostConnections,
	}
}

func (req *request) queued() bool { return req.heapIndex >= 0 }

// awaitsFirstToken reports whether the client still waits for the first token.
func (req *request) awaitsFirstToken() bool { return !req.hasFirstToken && !req.finished }

// uncachedTokens estimates how many tokens of the prompt an endpoint has to compute. It assumes that every
// endpoint has the shared prefix in its cache.
func (req *request) uncachedTokens(target *endpoint) Tokens {
	cached := req.PrefixTokens
	if req.session.lastPrefill == target {
		cached = max(cached, req.session.cachedTokens)
	}
	return max(req.PromptTokens-cached, 0)
}

// progressTimeout returns how long an attempt may go without progress.
func (req *request) progressTimeout() time.Duration {
	return time.Duration(progressTimeoutFactor * float64(req.firstTokenDue.Sub(req.arrivedAt)))
}

// recordExecution records that the latest attempt, made at target, may have executed the request. Only the
// first such attempt is kept.
func (req *request) recordExecution(target *endpoint) {
	if !req.mayHaveExecuted() {
		req.firstExecution = execution{endpoint: target, sentAt: req.latest.sentAt}
	}
}

func (req *request) mayHaveExecuted() bool { return req.firstExecution.endpoint != nil }

// mayRepeat reports whether a further attempt is safe: the request has not been executed, may be executed
// repeatedly, or engines still drop repeats.
func (req *request) mayRepeat(now Time) bool {
	switch {
	case !req.mayHaveExecuted() || req.class.Idempotency == Idempotent:
		return true
	case req.class.Idempotency == IdempotentWithKey:
		return now.Sub(req.firstExecution.sentAt) < req.class.DedupWindow
	}
	return false
}

// clientMayRetry reports whether the client can safely send the request again, through any router, if it is
// rejected now and waits for retryAfter.
func (req *request) clientMayRetry(now Time, retryAfter time.Duration) bool {
	return !req.mayHaveExecuted() || req.class.IsRepeatHarmless(Repeat{
		ExecutedAt: req.firstExecution.sentAt,
		RejectedAt: now,
		RetryAfter: retryAfter,
		TimeBudget: req.Deadline.Sub(req.arrivedAt),
	})
}

// mayCrashEngines reports whether the request is suspected of crashing engines: every permitted attempt lost
// its connection, and at least minLostConnections did.
func (req *request) mayCrashEngines() bool {
	return req.lostConnections >= minLostConnections && req.lostConnections >= req.maxAttempts+req.PriorAttempts
}

// sendDeadline returns the time by which the next attempt must be sent in full, or math.MaxInt64 if there is
// no limit. Without this limit, attempts at unreachable decode engines could keep a KV state beyond its
// retention limit, and a slow connection could deliver a repeat after its deduplication window.
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
