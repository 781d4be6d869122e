package platform

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"martenlock/control/membership"
	"martenlock/internal/eventloop"
	"martenlock/internal/http1"
	"martenlock/internal/timerwheel"
)

// watchCall is a call to discovery, whose response streams the endpoint list and its changes. It becomes
// the client's watch with its first complete message or heartbeat. It implements eventloop.Handler for its
// connection.
type watchCall struct {
	client        *discoveryClient
	conn          *eventloop.Conn
	parser        *http1.Parser
	messages      jsonStream
	timer         timerwheel.Timer // bounds the time to the next progress
	callTimeout   time.Duration    // bounds the time to the response's head
	startedAt     time.Duration    // on the loop's clock
	receivedAt    time.Duration    // time of the latest bytes of the response, on the loop's clock
	establishedAt time.Duration    // on the loop's clock; set once the call is the watch
	isResponding  bool             // the head of the response has arrived
	hasEnded      bool
}

// watchLimits bounds discovery's response. The body has no practical limit, since it lasts as long as the
// watch.
var watchLimits = http1.Limits{Line: 4096, Headers: 16 << 10, Fields: 64, Body: math.MaxInt64 / 2}

// watchTimedOut is the message of the warning that a response has had no complete message or heartbeat in time.
const watchTimedOut = "discovery watch timed out"

// newWatchCall returns a call that is given up if no response begins within timeout. Call connect to start it.
func newWatchCall(client *discoveryClient, timeout time.Duration) *watchCall {
	call := &watchCall{
		client:      client,
		parser:      http1.NewResponseParser(&watchLimits),
		messages:    jsonStream{maxObjectBytes: client.maxMessageBytes},
		callTimeout: timeout,
		startedAt:   client.loop.Now(),
	}
	call.timer.Fire = call.handleTimeout
	return call
}

// connect starts to connect to discovery. An error means that no connection could be started, for example
// for lack of a file descriptor. If discovery refuses the connection, the loop calls Closed later.
func (w *watchCall) connect() error {
	conn, err := w.client.loop.Dial(w.client.address, w)
	if err != nil {
		w.hasEnded = true
		return fmt.Errorf("dial discovery: %w", err)
	}
	w.conn = conn
	w.client.loop.StartTimer(&w.timer, w.callTimeout)
	return nil
}

// sendRequest requests the changes since the current revision of the endpoint list.
func (w *watchCall) sendRequest() {
	revision := strconv.FormatUint(w.client.store.listRevision(), 10)
	request := http1.AppendRequest(nil, http.MethodGet, "/v1/servers?follow=1&since="+revision)
	request = http1.AppendField(request, "Host", w.client.address.String())
	request = append(request, crlf...)
	w.conn.Write(request)
}

// cancel ends the call and aborts its connection. It has no effect on a call that has ended.
func (w *watchCall) cancel() {
	if w.hasEnded {
		return
	}
	w.hasEnded = true
	w.client.loop.StopTimer(&w.timer)
	w.conn.Abort()
	w.client.remove(w)
}

// end cancels the call after discovery has ended it, and schedules the next one.
func (w *watchCall) end() {
	if w.hasEnded {
		return
	}
	w.cancel()
	w.client.scheduleCall()
}

// fail cancels the call, logs the reason of its failure and schedules the next one.
func (w *watchCall) fail(kind warning) {
	if w.hasEnded {
		return
	}
	w.cancel()
	w.client.store.warn(kind, nil)
	w.client.scheduleCall()
}

// recordProgress restarts the time-out after a complete message or a heartbeat. The first one makes the
// call the watch.
func (w *watchCall) recordProgress() {
	if w.client.watch != w {
		w.establishedAt = w.client.loop.Now()
		w.client.establish(w)
	}
	w.client.loop.StartTimer(&w.timer, membership.WatchTimeout)
}

// recordBytes restarts the time-out of a pending call after bytes of its response. The watch is established by
// whole messages and heartbeats only.
func (w *watchCall) recordBytes() {
	w.receivedAt = w.client.loop.Now()
	if w.client.watch != w && w.isResponding {
		w.client.loop.StartTimer(&w.timer, w.pendingCall().RemainingTimeout())
	}
}

// pendingCall describes the call for package membership.
func (w *watchCall) pendingCall() membership.PendingCall {
	return membership.PendingCall{Age: w.client.loop.Now() - w.startedAt, Timeout: w.callTimeout}
}

// overdueTimeout returns how much longer the call is kept if it is the watch and has timed out. It returns 0
// for any other call.
func (w *watchCall) overdueTimeout() time.Duration {
	if w.client.watch != w {
		return 0
	}
	return membership.OverdueWatchTimeout(w.messages.isIncomplete(), w.client.loop.Now()-w.receivedAt)
}

// handleTimeout gives up the call, or suspends a watch that may still complete a message. That a call with a
// short time-out gets no response is not logged: several of them fail while discovery is slow or down.
func (w *watchCall) handleTimeout() {
	remaining := w.overdueTimeout()
	switch {
	case remaining > 0:
		w.client.suspendWatch()
		w.client.loop.StartTimer(&w.timer, remaining)
	case w.isResponding:
		w.fail(warning{message: watchTimedOut})
	case w.callTimeout == membership.LongCallTimeout:
		w.fail(warning{message: "discovery call timed out"})
	default:
		w.end()
	}
}

// Opened implements eventloop.Handler. It does nothing: sendRequest has already written the request,
// which the connection sends once it is established.
func (w *watchCall) Opened(*eventloop.Conn) {}

// Writable implements eventloop.Handler. It does nothing: there is no output after the request.
func (w *watchCall) Writable(*eventloop.Conn) {}

// EOF implements eventloop.Handler. It ends the call.
func (w *watchCall) EOF(*eventloop.Conn) { w.end() }

// Closed implements eventloop.Handler. It ends the call.
func (w *watchCall) Closed(*eventloop.Conn, error) { w.end() }

// Data implements eventloop.Handler. It parses discovery's response and returns the number of bytes
// consumed.
func (w *watchCall) Data(_ *eventloop.Conn, b []byte) int {
	consumed := 0
	w.recordBytes()
	for !w.hasEnded {
		used, kind, content, err := w.parser.Next(b[consumed:])
		consumed += used
		if err != nil {
			w.fail(warning{message: "discovery response malformed", reason: err.Reason})
			break
		}
		if kind == http1.NeedMore {
			return consumed
		}
		w.handlePart(kind, content)
	}
	return len(b)
}

// handlePart processes one part of the response.
func (w *watchCall) handlePart(kind http1.Kind, content []byte) {
	switch kind {
	case http1.HeadDone:
		w.handleHead(w.parser.Head.Status)
	case http1.Data:
		w.handleContent(content)
	case http1.End:
		w.end()
	case http1.NeedMore:
	}
}

// handleHead checks the response's status. Discovery sends the head at once, even if it has no change to
// send, so the next call is postponed.
func (w *watchCall) handleHead(status int) {
	if status != http.StatusOK {
		w.fail(warning{message: "discovery returned an unexpected status", status: status})
		return
	}
	w.isResponding = true
	w.recordBytes()
	w.client.postponeCall()
}

// handleContent splits a piece of the body into messages and heartbeats, and processes them.
func (w *watchCall) handleContent(content []byte) {
	for len(content) > 0 && !w.hasEnded {
		element := w.messages.next(content)
		content = content[element.length:]
		switch element.kind {
		case jsonInvalid:
			w.failMessage("not a stream of JSON objects")
		case jsonObject:
			w.handleMessage(element.object)
		case jsonBlankLine: // a heartbeat, or the line feed after a message
			w.recordProgress()
		case jsonIncomplete:
		}
	}
}

// handleMessage applies one complete message.
func (w *watchCall) handleMessage(text []byte) {
	err := w.client.store.applyEndpointList(text)
	if err != nil {
		w.failMessage("not an endpoint list")
		return
	}
	w.recordProgress()
}

// failMessage fails the call because of a message that cannot be decoded. The next call requests all
// changes since the current revision, so none is lost.
func (w *watchCall) failMessage(reason string) {
	w.fail(warning{message: "discovery message malformed", reason: reason})
}
