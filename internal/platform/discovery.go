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
	// listRevision returns the revision of the list, which discovery gets so that it sends only what
	// is newer.
	listRevision() uint64
	// applyEndpointList applies one message of discovery. It returns an error if the message cannot
	// be decoded.
	applyEndpointList(message []byte) error
	// warn logs a warning that may recur. err may be nil.
	warn(kind warning, err error)
}

// discoveryClient subscribes to the endpoint list of one discovery address. It keeps one watch
// established. While there is none it starts calls, with a backoff between them, until one of them
// becomes the watch.
type discoveryClient struct {
	loop            *eventloop.Loop
	store           endpointListStore
	address         netip.AddrPort
	maxMessageBytes int
	watch           *watchCall       // nil if none is established
	pending         []*watchCall     // calls without a complete message or heartbeat, the oldest first
	nextCallTimer   timerwheel.Timer // runs until the next call
	backoff         time.Duration    // between the latest two calls
	isStopped       bool
}

// subscribe ends the current subscription, if any, and subscribes to the discovery at an address.
func (s *Server) subscribe(address netip.AddrPort) {
	if s.discovery != nil {
		s.discovery.stop()
	}
	s.discovery = &discoveryClient{
		loop:            s.loop,
		store:           s,
		address:         address,
		maxMessageBytes: s.limits.maxBufferedBytes / (2 * membership.MaxConcurrentCalls), // half of the budget for all calls together
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

// startCall starts one more call and schedules the next. The oldest pending call is cancelled if there are
// membership.MaxConcurrentCalls already.
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

// scheduleCall starts the timer for the next call, unless it runs already.
func (d *discoveryClient) scheduleCall() {
	if d.isStopped || d.nextCallTimer.Running() {
		return
	}
	d.backoff = membership.NextBackoff(d.backoff)
	d.loop.StartTimer(&d.nextCallTimer, d.backoff)
}

// cancelScheduledCall stops the timer for the next call.
func (d *discoveryClient) cancelScheduledCall() { d.loop.StopTimer(&d.nextCallTimer) }

// establish makes a call the watch and cancels all others.
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

// remove removes a call that has ended. The backoff starts again after a watch that was established
// for membership.BackoffResetAfter.
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
