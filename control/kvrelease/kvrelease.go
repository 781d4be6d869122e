// Package kvrelease decides which engine is called, and when, to release the KV cache that a
// request may have left behind. Any engine can release it for all, so that one successful call is
// enough. Like package control, it does no I/O, reads no clock and starts no goroutine.
//
// The engine that responded latest is called first: it is alive, and an idle connection to it most
// likely exists. Where it does not answer within a share of the retention limit, the next one is
// called too (a hedged request), and so on until one has succeeded. The calls in flight to one
// engine are bounded, so that an engine that has just stopped responding delays few releases. A
// release is withdrawn where a later attempt of the request may need what is retained.
package kvrelease

import (
	"slices"
	"time"

	"martenlock/control"
)

const (
	// hedgeShare of the retention limit is how long one engine may take before the next is called
	// too.
	hedgeShare = 0.12
	// callTimeoutShare of the retention limit is how long a call may take. After it the call has
	// failed, and its engine is called last.
	callTimeoutShare = 0.25
	// minDelay bounds both from below, and the retention limit too: an engine needs some time.
	minDelay = 20 * time.Millisecond

	// giveUpMultiple of the retention limit is how long a release is tried for. By then the
	// engines' own limits must have released what they hold.
	giveUpMultiple = 30.0

	// maxCalls bounds the calls in flight to all engines.
	maxCalls = 24
	// maxCallsPerEndpoint bounds those to one engine.
	maxCallsPerEndpoint = 4

	// MaxPending bounds the releases that are pending. For one more the oldest is dropped.
	MaxPending = 4096
)

// Call is a call to be made to an engine. Its result is reported to Complete.
type Call struct {
	Key      string // names the KV cache to release
	Endpoint control.EndpointID
	Timeout  time.Duration
}

// Scheduler keeps the releases that no engine has confirmed. Make it with New.
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
	key                 string
	enqueuedAt          control.Time
	nextCallAt          control.Time
	waitingForFreeCalls bool // the bounds on calls held it up: it goes on as soon as a call completes
	called              []control.EndpointID
}

// New returns a Scheduler for a limit on how long any KV cache may stay retained after its request.
func New(retentionLimit time.Duration) *Scheduler {
	return &Scheduler{
		retentionLimit: max(retentionLimit, minDelay),
		pending:        map[string]*pendingRelease{},
		endpoints:      newEndpointTable(),
	}
}

// Len returns the number of pending releases.
func (s *Scheduler) Len() int { return len(s.pending) }

// Dropped returns how many releases were given up, for their number or their age.
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

// IsPending tells whether a release has not been confirmed yet.
func (s *Scheduler) IsPending(key string) bool { return s.pending[key] != nil }

// Withdraw cancels a release whose KV cache may be needed again. It returns whether the release
// was pending. Calls in flight are not stopped.
func (s *Scheduler) Withdraw(key string) bool {
	release := s.pending[key]
	if release == nil {
		return false
	}
	s.remove(release)
	return true
}

// drop gives a release up.
func (s *Scheduler) drop(release *pendingRelease) {
	s.remove(release)
	s.dropped++
}

func (s *Scheduler) remove(release *pendingRelease) {
	delete(s.pending, release.key)
	s.queue = slices.DeleteFunc(s.queue, func(queued *pendingRelease) bool { return queued == release })
}

// SetEndpoints replaces the list of engines that may be called. What is known of others is
// forgotten.
func (s *Scheduler) SetEndpoints(ids []control.EndpointID) { s.endpoints.setListed(ids) }

// RecordResponse records that an engine has responded, to whatever request. It has no effect for
// an engine that is not listed.
func (s *Scheduler) RecordResponse(now control.Time, id control.EndpointID) {
	s.endpoints.recordResponse(now, id)
}

// RecordFailure records that an engine could not be reached or did not respond. It has no effect
// for an engine that is not listed.
func (s *Scheduler) RecordFailure(now control.Time, id control.EndpointID) {
	s.endpoints.recordFailure(now, id)
}

// RecordSilence records that an engine was given something at a time and has shown no sign of it.
// Where it has responded to anything since, its connections may differ, and nothing is recorded.
func (s *Scheduler) RecordSilence(now, since control.Time, id control.EndpointID) {
	s.endpoints.recordSilence(now, since, id)
}

// Completion is what the end of a call made of its release.
type Completion struct {
	Pending  bool          // the release was pending before the call ended
	Released bool          // and has ended with it
	Age      time.Duration // since it was enqueued, where it was pending
}

// Complete reports the end of a call. A success ends its release; after a failure the release is
// due at once.
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
	return Completion{Pending: true, Released: succeeded, Age: now.Sub(release.enqueuedAt)}
}

// Poll returns the calls to make now, to listed engines, for the oldest releases first.
func (s *Scheduler) Poll(now control.Time) []Call {
	var calls []Call
	for _, release := range slices.Clone(s.queue) {
		if now.Sub(release.enqueuedAt) > s.shareOfLimit(giveUpMultiple) {
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

// NextDeadline returns when Poll next has something to do if nothing else happens. It returns
// false where nothing is pending.
func (s *Scheduler) NextDeadline() (deadline control.Time, ok bool) {
	for _, release := range s.queue {
		if !ok || release.nextCallAt < deadline {
			deadline = release.nextCallAt
			ok = true
		}
	}
	return deadline, ok
}

func (s *Scheduler) isDue(now control.Time, release *pendingRelease) bool {
	return now >= release.nextCallAt || release.waitingForFreeCalls && s.callCompleted
}

// startCall starts a call for a release that is due, unless the bounds on calls are reached or all
// engines have been called. In the latter case the next round begins with the next call.
func (s *Scheduler) startCall(now control.Time, release *pendingRelease) (call Call, ok bool) {
	release.nextCallAt = now.Add(max(s.shareOfLimit(hedgeShare), minDelay))
	id, found := s.endpoints.preferred(release.called)
	release.waitingForFreeCalls = s.callsInFlight >= maxCalls || found && !s.endpoints.hasFreeCall(id)
	if release.waitingForFreeCalls {
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
		Timeout:  max(s.shareOfLimit(callTimeoutShare), minDelay),
	}
	return call, true
}

func (s *Scheduler) shareOfLimit(share float64) time.Duration {
	return time.Duration(share * float64(s.retentionLimit))
}
