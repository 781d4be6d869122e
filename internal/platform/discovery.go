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
// first call that receives a complete message or a heartbeat becomes the watch.
type discoveryClient struct {
	loop            *eventloop.Loop
	store           endpointListStore
	address         netip.AddrPort
	maxMessageBytes int
	watch           *watchCall       // nil if none is established
	pending         []*watchCall     // calls without a complete message or heartbeat so far, oldest first
	nextCallTimer   timerwheel.Timer // runs until the next call
	backoff         time.Duration    // last delay that was scheduled; 0 initially and after a reset
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
		maxMessageBytes: s.limits.maxBufferedBytes / (2 * membership.MaxConcurrentCalls), // half of maxBufferedBytes for all calls together
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
	if d.isStopped || d.watch != nil {
		return
	}
	if len(d.pending) >= membership.MaxConcurrentCalls {
		d.pending[0].cancel()
	}
	call := newWatchCall(d)
	err := call.connect()
	if err != nil {
		d.store.warn(warning{message: "discovery connection failed"}, err)
	} else {
		d.pending = append(d.pending, call)
		call.sendRequest()
	}
	d.scheduleCall()
}

// scheduleCall increases the backoff and starts the timer for the next call, unless it is running.
func (d *discoveryClient) scheduleCall() {
	if d.isStopped || d.nextCallTimer.Running() {
		return
	}
	d.backoff = membership.NextBackoff(d.backoff)
	d.loop.StartTimer(&d.nextCallTimer, d.backoff)
}

func (d *discoveryClient) cancelScheduledCall() { d.loop.StopTimer(&d.nextCallTimer) }

// establish makes call the watch and cancels all others.
func (d *discoveryClient) establish(call *watchCall) {
	d.watch = call
	d.cancelScheduledCall()
	for _, other := range slices.Clone(d.pending) {
		if other != call {
			other.cancel()
		}
	}
	d.pending = nil
}

// remove removes a call that has ended. If it was the watch for at least membership.BackoffResetAfter,
// the backoff is reset.
func (d *discoveryClient) remove(call *watchCall) {
	if d.watch == call {
		d.watch = nil
		lasted := d.loop.Now() - call.establishedAt
		if lasted >= membership.BackoffResetAfter {
			d.backoff = 0
		}
	}
	d.pending = slices.DeleteFunc(d.pending, func(other *watchCall) bool { return other == call })
}
