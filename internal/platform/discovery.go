package platform

import (
	"net/netip"
	"slices"
	"time"

	"martenlock/control/membership"
	"martenlock/internal/eventloop"
	"martenlock/internal/timerwheel"
)

// endpointListStore is what a discoveryClient feeds.
type endpointListStore interface {
	// listRevision returns the revision of the endpoint list held.
	listRevision() uint64
	// applyEndpointList takes in one message of discovery; the error tells that it cannot be
	// read.
	applyEndpointList(message []byte) error
	// warn logs a warning that may recur; err may be nil.
	warn(kind warning, err error)
}

// discoveryClient subscribes to the endpoint list of one discovery address: it keeps one watch
// established, and while there is none makes one call after another that may become it.
type discoveryClient struct {
	loop            *eventloop.Loop
	store           endpointListStore
	address         netip.AddrPort
	maxMessageBytes int
	watch           *watchCall   // the established one, or nil
	pending         []*watchCall // calls that have brought nothing whole yet, the oldest first
	nextCall        timerwheel.Timer
	backoff         time.Duration
	isStopped       bool
}

// start makes the first call.
func (d *discoveryClient) start() {
	d.nextCall.Fire = d.call
	d.call()
}

// stop ends the subscription with all its calls.
func (d *discoveryClient) stop() {
	d.isStopped = true
	d.loop.StopTimer(&d.nextCall)
	if d.watch != nil {
		d.watch.cancel()
	}
	for _, call := range slices.Clone(d.pending) {
		call.cancel()
	}
}

// call starts one more call, in the place of the oldest where there are too many, and schedules
// the next.
func (d *discoveryClient) call() {
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

// scheduleCall starts the next call after the back-off, if none is scheduled.
func (d *discoveryClient) scheduleCall() {
	if d.isStopped || d.nextCall.Running() {
		return
	}
	d.backoff = membership.NextBackoff(d.backoff)
	d.loop.StartTimer(&d.nextCall, d.backoff)
}

// cancelScheduledCall keeps the next call from being made.
func (d *discoveryClient) cancelScheduledCall() { d.loop.StopTimer(&d.nextCall) }

// establish makes a call the watch, and cancels all others.
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

// remove forgets a call that has ended. A watch that stood for long resets the back-off.
func (d *discoveryClient) remove(call *watchCall) {
	if d.watch == call {
		d.watch = nil
		stoodFor := d.loop.Now() - call.establishedAt
		if stoodFor >= membership.BackoffResetAfter {
			d.backoff = 0
		}
	}
	d.pending = slices.DeleteFunc(d.pending, func(other *watchCall) bool { return other == call })
}
