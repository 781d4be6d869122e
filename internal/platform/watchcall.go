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

// watchCall is one long poll of discovery. Once it has brought a whole message or a heartbeat it
// is the watch.
type watchCall struct {
	client        *discoveryClient
	conn          *eventloop.Conn
	parser        *http1.Parser
	messages      jsonStream
	timeout       timerwheel.Timer // until the next whole message or heartbeat is overdue
	establishedAt time.Duration
	hasEnded      bool
}

// watchLimits bounds discovery's response. Its body never ends while the watch stands.
var watchLimits = http1.Limits{Line: 4096, Headers: 16 << 10, Fields: 64, Body: math.MaxInt64 / 2}

// newWatchCall prepares a call.
func newWatchCall(client *discoveryClient) *watchCall {
	return &watchCall{
		client:   client,
		parser:   http1.NewResponses(&watchLimits),
		messages: jsonStream{maxObjectBytes: client.maxMessageBytes},
	}
}

// connect begins the call's connection. The error is this machine's own, not discovery's.
func (w *watchCall) connect() error {
	conn, err := w.client.loop.Dial(w.client.address, w)
	if err != nil {
		w.hasEnded = true
		return fmt.Errorf("dial discovery: %w", err)
	}
	w.conn = conn
	return nil
}

// sendRequest asks for what is newer than the revision held.
func (w *watchCall) sendRequest() {
	revision := strconv.FormatUint(w.client.store.listRevision(), 10)
	request := http1.AppendRequest(nil, http.MethodGet, "/v1/servers?follow=1&since="+revision)
	request = http1.AppendField(request, "Host", w.client.address.String())
	request = append(request, "\r\n"...)
	w.conn.Write(request)
}

// cancel ends the call: nothing that it brings is taken any more.
func (w *watchCall) cancel() {
	if w.hasEnded {
		return
	}
	w.hasEnded = true
	w.client.loop.StopTimer(&w.timeout)
	w.conn.Abort()
	w.client.remove(w)
}

// end cancels a call that discovery has ended, and schedules the next.
func (w *watchCall) end() {
	if w.hasEnded {
		return
	}
	w.cancel()
	w.client.scheduleCall()
}

// fail cancels a call that is of no use, logs why, and schedules the next.
func (w *watchCall) fail(kind warning) {
	if w.hasEnded {
		return
	}
	w.cancel()
	w.client.store.warn(kind, nil)
	w.client.scheduleCall()
}

// recordProgress takes in that a whole message or a heartbeat has come: the call is the watch
// from now on.
func (w *watchCall) recordProgress() {
	if w.client.watch != w {
		w.establishedAt = w.client.loop.Now()
		w.client.establish(w)
	}
	w.restartTimeout()
}

// restartTimeout begins the time within which a whole message or a heartbeat must come.
func (w *watchCall) restartTimeout() {
	w.timeout.Fire = func() { w.fail(warning{message: "discovery watch timed out"}) }
	w.client.loop.StartTimer(&w.timeout, membership.WatchTimeout)
}

// Opened does nothing: the request is written before the connection stands.
func (w *watchCall) Opened(*eventloop.Conn) {}

// Writable does nothing: no more than the request is ever written.
func (w *watchCall) Writable(*eventloop.Conn) {}

// EOF ends the call.
func (w *watchCall) EOF(*eventloop.Conn) { w.end() }

// Closed ends the call.
func (w *watchCall) Closed(*eventloop.Conn, error) { w.end() }

// Data takes in bytes of discovery's response and returns how many it used.
func (w *watchCall) Data(_ *eventloop.Conn, b []byte) int {
	consumed := 0
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

// handlePart takes in one part of the response.
func (w *watchCall) handlePart(kind http1.Kind, content []byte) {
	switch kind {
	case http1.HeadDone:
		w.handleHead(w.parser.Head.Status)
	case http1.Data:
		w.handleContent(content)
	case http1.End:
		w.end()
	}
}

// handleHead takes in the response's status. Discovery answers at once: what follows is the list,
// or nothing for as long as nothing changes. No further call is of use meanwhile.
func (w *watchCall) handleHead(status int) {
	if status != http.StatusOK {
		w.fail(warning{message: "discovery returned an unexpected status", status: status})
		return
	}
	w.restartTimeout()
	w.client.cancelScheduledCall()
}

// handleContent takes in bytes of messages and heartbeats.
func (w *watchCall) handleContent(content []byte) {
	for len(content) > 0 && !w.hasEnded {
		element := w.messages.next(content)
		content = content[element.length:]
		switch element.kind {
		case jsonInvalid:
			w.failMessage("not a stream of JSON objects")
		case jsonObject:
			w.handleMessage(element.object)
		case jsonBlankLine: // a heartbeat
			w.recordProgress()
		case jsonIncomplete:
		}
	}
}

// handleMessage takes in one whole message.
func (w *watchCall) handleMessage(text []byte) {
	err := w.client.store.applyEndpointList(text)
	if err != nil {
		w.failMessage("not an endpoint list")
		return
	}
	w.recordProgress()
}

// failMessage gives the call up for a message that cannot be read. The next call asks for the
// revision held, so nothing is lost.
func (w *watchCall) failMessage(reason string) {
	w.fail(warning{message: "discovery message malformed", reason: reason})
}
