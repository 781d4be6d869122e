package platform

import (
	"net/netip"
	"slices"
	"time"

	"martenlock/control/membership"
	"martenlock/internal/eventloop"
	"martenlock/internal/timerwheel"
)

// endpointListStore holds the endpoint list that a discoveryClient receives.
type endpointListStore interface {
	// listRevision returns the revision of the list. Each call to discovery requests the changes since that revision.
	listRevision() uint64
	// applyEndpointList applies one message from discovery. It returns an error if the message cannot
	// be decoded.
	applyEndpointList(message []byte) error
	// warn logs a warning, limited in rate. err may be nil.
	warn(kind warning, err error)
}

// discoveryClient subscribes to the endpoint list at one discovery address. It keeps one call
// established, the watch. While there is no watch it starts calls, with a backoff between them. The
// first call that receives a complete message or a heartbeat becomes the watch. Package membership
// decides how long each call may take.
type discoveryClient struct {
	loop            *eventloop.Loop
	store           endpointListStore
	address         netip.AddrPort
	maxMessageBytes int
	watch           *watchCall       // nil if none is established
	pending         []*watchCall     // calls without a complete message or heartbeat so far, oldest first
	nextCallTimer   timerwheel.Timer // runs until the next call
	backoff         time.Duration    // last delay that was scheduled; 0 initially and after a reset
	isPostponed     bool             // the timer runs for membership.ResponseBackoff
	isStopped       bool
}

// subscribe replaces the current subscription, if any, by one to the discovery service at address.
func (s *Server) subscribe(address netip.AddrPort) {
	if s.discovery != nil {
		s.discovery.stop()
	}
	s.discovery = &discoveryClient{
		loop:            s.loop,
		store:           s,
		address:         address,
		maxMessageBytes: membership.MaxMessageBytes(s.limits.maxBufferedBytes),
	}
	s.discovery.start()
}

// start starts the first call.
func (d *discoveryClient) start() {
	d.nextCallTimer.Fire = d.startCall
	d.startCall()
}

// stop ends the subscription and cancels its calls.
func (d *discoveryClient) stop() {
	d.isStopped = true
	d.loop.StopTimer(&d.nextCallTimer)
	if d.watch != nil {
		d.watch.cancel()
	}
	for _, call := range slices.Clone(d.pending) {
		call.cancel()
	}
}

// startCall starts a call and schedules the next one. If membership.MaxConcurrentCalls are pending, it
// cancels the oldest first.
func (d *discoveryClient) startCall() {
	d.isPostponed = false
	if d.isStopped || d.watch != nil {
		return
	}
	if len(d.pending) >= membership.MaxConcurrentCalls {
		d.pending[0].cancel()
	}
	call := newWatchCall(d, membership.NextCallTimeout(d.pendingCalls()))
	err := call.connect()
	if err != nil {
		d.store.warn(warning{message: "discovery connection failed"}, err)
	} else {
		d.pending = append(d.pending, call)
		call.sendRequest()
	}
	d.scheduleCall()
}

// pendingCalls describes the pending calls for package membership.
func (d *discoveryClient) pendingCalls() []membership.PendingCall {
	calls := make([]membership.PendingCall, len(d.pending))
	for i, call := range d.pending {
		calls[i] = call.pendingCall()
	}
	return calls
}

// scheduleCall increases the backoff and starts the timer for the next call. It does nothing if the timer
// is running, unless the next call was postponed for responses that have all ended since.
func (d *discoveryClient) scheduleCall() {
	if d.isStopped || d.nextCallTimer.Running() && (!d.isPostponed || d.isAnyResponding()) {
		return
	}
	d.isPostponed = false
	d.backoff = membership.NextBackoff(d.backoff)
	d.loop.StartTimer(&d.nextCallTimer, d.backoff)
}

// postponeCall delays the next call by membership.ResponseBackoff, because the response to a pending one has
// begun. Another call may still become necessary: the response may never get to its first message. Only the
// first of several responses that begin delays the next call.
func (d *discoveryClient) postponeCall() {
	if d.isPostponed || d.watch != nil {
		return
	}
	d.isPostponed = true
	d.loop.StartTimer(&d.nextCallTimer, membership.ResponseBackoff)
}

// isAnyResponding reports whether the response to a pending call has begun.
func (d *discoveryClient) isAnyResponding() bool {
	return slices.ContainsFunc(d.pending, func(call *watchCall) bool { return call.isResponding })
}

// establish makes call the watch and cancels all others.
func (d *discoveryClient) establish(call *watchCall) {
	d.watch = call
	d.loop.StopTimer(&d.nextCallTimer)
	d.isPostponed = false
	for _, other := range slices.Clone(d.pending) {
		if other != call {
			other.cancel()
		}
	}
	d.pending = nil
}

// suspendWatch makes the watch a pending call again, because it has failed to complete a message in time
// although bytes still arrive. It may complete the message earlier than a new call would.
func (d *discoveryClient) suspendWatch() {
	call := d.watch
	d.loseWatch()
	d.pending = append(d.pending, call)
	d.store.warn(warning{message: watchTimedOut}, nil)
	d.scheduleCall()
}

// remove removes a call that has ended.
func (d *discoveryClient) remove(call *watchCall) {
	if d.watch == call {
		d.loseWatch()
	}
	d.pending = slices.DeleteFunc(d.pending, func(other *watchCall) bool { return other == call })
}

// loseWatch records that there is no watch. If it was established for at least
// membership.BackoffResetAfter, the backoff is reset.
func (d *discoveryClient) loseWatch() {
	lasted := d.loop.Now() - d.watch.establishedAt
	if lasted >= membership.BackoffResetAfter {
		d.backoff = 0
	}
	d.watch = nil
}
