// Package kvrelease decides when to call which engine to release the KV state that a request may have
// left behind. Any engine can release it for all engines, so one successful call is enough. Like package
// control, it does no I/O, reads no clock and starts no goroutine.
//
// The engine that responded most recently is called first: it is probably responsive, and an idle
// connection to it probably exists. If it does not respond within a fraction of the retention limit, the
// next engine is called as well (hedged requests), and so on until a call succeeds. The number of calls in
// flight to one engine is limited, so that an engine that has just become unresponsive delays only a few
// releases. A release is withdrawn if a later attempt of the request may need the KV state.
package kvrelease

import (
	"slices"
	"time"

	"martenlock/control"
)

const (
	// hedgeShare is the delay before the next engine is called as well, as a fraction of the retention
	// limit. It is small, so that several engines are called within the limit.
	hedgeShare = 0.12
	// callTimeoutShare is the time-out of a call, as a fraction of the retention limit.
	callTimeoutShare = 0.25
	// minDelay is the lower bound of the retention limit, of the delay before the next call and of the
	// time-out of a call.
	minDelay = 20 * time.Millisecond

	// maxAgeMultiple is the age at which a release is dropped, as a multiple of the retention limit. By
	// then the engines must have released the KV state on their own.
	maxAgeMultiple = 30.0

	// maxCalls is the maximum number of calls in flight to all engines.
	maxCalls = 24
	// maxCallsPerEndpoint is the maximum number of calls in flight to one engine.
	maxCallsPerEndpoint = 4

	// MaxPending is the maximum number of pending releases. Enqueue drops the oldest one if necessary.
	MaxPending = 4096
)

// Call is a call to an engine. The caller makes it and reports its result to Scheduler.Complete.
type Call struct {
	Key      string // identifies the KV state to release
	Endpoint control.EndpointID
	Timeout  time.Duration
}

// Scheduler schedules the calls for releases that no engine has confirmed. It is not safe for concurrent
// use.
type Scheduler struct {
	retentionLimit time.Duration
	pending        map[string]*pendingRelease
	queue          []*pendingRelease // oldest first
	endpoints      endpointTable
	callsInFlight  int
	callCompleted  bool // since the last Poll
	dropped        uint64
}

// pendingRelease is a release that no engine has confirmed.
type pendingRelease struct {
	key            string
	enqueuedAt     control.Time
	nextCallAt     control.Time
	awaitsCapacity bool                 // delayed by the limits on calls in flight; due when a call completes
	called         []control.EndpointID // engines called in the current round
}

// NewScheduler returns an empty Scheduler. The retention limit is how long KV state may be retained
// after its request.
func NewScheduler(retentionLimit time.Duration) *Scheduler {
	return &Scheduler{
		retentionLimit: max(retentionLimit, minDelay),
		pending:        map[string]*pendingRelease{},
		endpoints:      newEndpointTable(),
	}
}

// Len returns the number of pending releases.
func (s *Scheduler) Len() int { return len(s.pending) }

// Dropped returns the number of releases that were dropped because of MaxPending or their age.
func (s *Scheduler) Dropped() uint64 { return s.dropped }

// Enqueue adds a release, unless one with the same key is pending.
func (s *Scheduler) Enqueue(now control.Time, key string) {
	if s.pending[key] != nil {
		return
	}
	if len(s.queue) >= MaxPending {
		s.drop(s.queue[0])
	}
	release := &pendingRelease{key: key, enqueuedAt: now, nextCallAt: now}
	s.pending[key] = release
	s.queue = append(s.queue, release)
}

// IsPending reports whether a release was enqueued and has not been confirmed, withdrawn or dropped.
func (s *Scheduler) IsPending(key string) bool { return s.pending[key] != nil }

// Withdraw cancels a release whose KV state may be needed again, and reports whether it was pending. It
// does not cancel calls in flight.
func (s *Scheduler) Withdraw(key string) bool {
	release := s.pending[key]
	if release == nil {
		return false
	}
	s.remove(release)
	return true
}

// drop removes a release and counts it as dropped.
func (s *Scheduler) drop(release *pendingRelease) {
	s.remove(release)
	s.dropped++
}

func (s *Scheduler) remove(release *pendingRelease) {
	delete(s.pending, release.key)
	s.queue = slices.DeleteFunc(s.queue, func(queued *pendingRelease) bool { return queued == release })
}

// SetEndpoints replaces the list of engines that may be called. It discards the recorded responses and
// failures of engines that are no longer listed.
func (s *Scheduler) SetEndpoints(ids []control.EndpointID) { s.endpoints.setListed(ids) }

// RecordResponse records that an engine has responded to a request of any kind. It has no effect if the
// engine is not listed.
func (s *Scheduler) RecordResponse(now control.Time, id control.EndpointID) {
	s.endpoints.recordResponse(now, id)
}

// RecordFailure records that an engine could not be reached or did not respond. It has no effect if the
// engine is not listed.
func (s *Scheduler) RecordFailure(now control.Time, id control.EndpointID) {
	s.endpoints.recordFailure(now, id)
}

// RecordUnresponsive records a failure of an engine that made no progress on a request that was sent at
// sentAt. It has no effect if the engine has responded to any request since then, because the cause may
// then be the connection.
func (s *Scheduler) RecordUnresponsive(now, sentAt control.Time, id control.EndpointID) {
	s.endpoints.recordUnresponsive(now, sentAt, id)
}

// Completion is the effect of the end of a call on its release.
type Completion struct {
	WasPending bool          // the release was pending before the call ended
	Released   bool          // the call succeeded and ended the release
	Age        time.Duration // of the release if it was pending
}

// Complete records the end of a call. After a success the release has ended. After a failure it is due at
// once.
func (s *Scheduler) Complete(now control.Time, call Call, succeeded bool) Completion {
	s.callsInFlight--
	s.callCompleted = true
	s.endpoints.endCall(call.Endpoint)
	release := s.pending[call.Key]
	if succeeded {
		s.RecordResponse(now, call.Endpoint)
	} else {
		s.RecordFailure(now, call.Endpoint)
	}
	if release == nil {
		return Completion{}
	}
	if succeeded {
		s.remove(release)
	} else {
		release.nextCallAt = min(release.nextCallAt, now)
	}
	return Completion{WasPending: true, Released: succeeded, Age: now.Sub(release.enqueuedAt)}
}

// Poll returns the calls to make now, those for the oldest releases first. It must be called after every
// event, and at NextPoll.
func (s *Scheduler) Poll(now control.Time) []Call {
	var calls []Call
	for _, release := range slices.Clone(s.queue) {
		if now.Sub(release.enqueuedAt) > s.scaledLimit(maxAgeMultiple) {
			s.drop(release)
			continue
		}
		if !s.isDue(now, release) {
			continue
		}
		call, ok := s.startCall(now, release)
		if ok {
			calls = append(calls, call)
		}
	}
	s.callCompleted = false
	return calls
}

// NextPoll returns when Poll must be called if no event occurs before. It returns false while
// no release is pending.
func (s *Scheduler) NextPoll() (next control.Time, ok bool) {
	for _, release := range s.queue {
		if !ok || release.nextCallAt < next {
			next = release.nextCallAt
			ok = true
		}
	}
	return next, ok
}

func (s *Scheduler) isDue(now control.Time, release *pendingRelease) bool {
	return now >= release.nextCallAt || release.awaitsCapacity && s.callCompleted
}

// startCall returns a call for a release that is due. It returns false if the limits on calls in flight
// are reached, or if all engines have been called in the current round. In the latter case the next call
// starts a new round.
func (s *Scheduler) startCall(now control.Time, release *pendingRelease) (call Call, ok bool) {
	release.nextCallAt = now.Add(max(s.scaledLimit(hedgeShare), minDelay))
	id, found := s.endpoints.preferred(release.called)
	release.awaitsCapacity = s.callsInFlight >= maxCalls || found && !s.endpoints.hasCapacity(id)
	if release.awaitsCapacity {
		return Call{}, false
	}
	if !found {
		release.called = nil
		return Call{}, false
	}
	release.called = append(release.called, id)
	s.callsInFlight++
	s.endpoints.startCall(id)
	call = Call{
		Key:      release.key,
		Endpoint: id,
		Timeout:  max(s.scaledLimit(callTimeoutShare), minDelay),
	}
	return call, true
}

func (s *Scheduler) scaledLimit(factor float64) time.Duration {
	return time.Duration(factor * float64(s.retentionLimit))
}
