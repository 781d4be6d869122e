package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"martenlock/control"
	"martenlock/internal/platformsettings"
	"martenlock/internal/simwire"
)

// inputBufferBytes is the size of the input buffer. It is large enough to read most batches in few system calls.
const inputBufferBytes = 1 << 20

// errUnknownInstance is the error of an event for an instance that is not running.
var errUnknownInstance = errors.New("unknown instance")

// batchError reports that a batch could not be answered.
type batchError struct {
	Number uint32 // of the batch
	Err    error
}

// Error implements error.
func (e *batchError) Error() string { return fmt.Sprintf("batch %d: %v", e.Number, e.Err) }

// Unwrap returns the reason.
func (e *batchError) Unwrap() error { return e.Err }

// answerBatches reads batches and writes their replies until the input ends or an error occurs.
func answerBatches(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, inputBufferBytes)
	h := host{routers: map[uint16]*control.Router{}, tables: map[uint16][]control.Endpoint{}}
	for {
		frame, err := simwire.ReadFrame(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		encoded, err := h.answerFrame(frame)
		if err != nil {
			return err
		}
		_, err = out.Write(encoded)
		if err != nil {
			return err
		}
	}
}

// host holds the instances of this process and the endpoint tables that their updates refer to.
type host struct {
	routers map[uint16]*control.Router    // by instance
	tables  map[uint16][]control.Endpoint // by number
}

// answerFrame returns the encoded reply to the batch in a frame.
func (h *host) answerFrame(frame []byte) ([]byte, error) {
	batch, err := simwire.ParseBatch(frame)
	if err != nil {
		return nil, err
	}
	reply, err := h.answerBatch(batch)
	if err != nil {
		return nil, &batchError{Number: batch.Number, Err: err}
	}
	return simwire.AppendReply(nil, reply)
}

// answerBatch passes to each instance its events of the batch, in their order, and returns all actions. The
// actions are grouped by instance, in the order of the instances' first events.
func (h *host) answerBatch(batch simwire.Batch) (simwire.Reply, error) {
	queues := instanceQueues{byInstance: map[uint16]*instanceQueue{}}
	for _, record := range batch.Records {
		err := h.handleRecord(batch.Clock, record, &queues)
		if err != nil {
			return simwire.Reply{}, err
		}
	}
	reply := simwire.Reply{Number: batch.Number}
	for _, queue := range queues.ordered {
		if queue.router != nil {
			reply.Records = append(reply.Records, queue.handle(batch.Clock)...)
		}
	}
	return reply, nil
}

// handleRecord stores an endpoint table, or starts or stops an instance, or queues an event for its instance.
func (h *host) handleRecord(now control.Time, record simwire.Event, queues *instanceQueues) error {
	switch body := record.Body.(type) {
	case simwire.EndpointTable:
		h.tables[body.Number] = body.Endpoints
		return nil
	case simwire.Stop:
		return h.stopInstance(record.Router, queues)
	case simwire.Start:
		err := h.startInstance(now, record.Router, body, queues)
		if err != nil {
			return err
		}
	}
	router := h.routers[record.Router]
	if router == nil {
		return fmt.Errorf("event %s for %w %d", eventTypeName(record.Body), errUnknownInstance, record.Router)
	}
	queue := queues.forInstance(record.Router)
	queue.router = router
	event, err := h.controlEvent(record.Body)
	if err != nil {
		return err
	}
	if event != nil {
		queue.events = append(queue.events, event)
	}
	return nil
}

// startInstance starts an instance. If an instance with this number is running, the new one replaces it, and the
// events queued for the old one are discarded.
func (h *host) startInstance(now control.Time, instance uint16, body simwire.Start, queues *instanceQueues) error {
	settings, err := platformsettings.Parse(body.Seed, body.Settings)
	if err != nil {
		return err
	}
	h.routers[instance] = control.New(settings.Control, now)
	queue := queues.byInstance[instance]
	if queue != nil {
		queue.events = nil
	}
	return nil
}

// stopInstance stops an instance and discards the events that are queued for it.
func (h *host) stopInstance(instance uint16, queues *instanceQueues) error {
	if h.routers[instance] == nil {
		return fmt.Errorf("stop of %w %d", errUnknownInstance, instance)
	}
	delete(h.routers, instance)
	queue := queues.byInstance[instance]
	if queue != nil {
		queue.events = nil
		queue.router = nil
	}
	return nil
}

// controlEvent returns the event for the control package, or nil if the record is not passed to it.
func (h *host) controlEvent(body simwire.EventBody) (control.Event, error) {
	switch body := body.(type) {
	case simwire.Start, simwire.Peer:
		return nil, nil
	case simwire.EndpointListUpdate:
		return h.endpointEvent(body)
	case simwire.ModuleEvent:
		return body.Event, nil
	}
	return nil, fmt.Errorf("unexpected record %s", eventTypeName(body))
}

// endpointEvent returns the event for an update, with the endpoints of the table that it refers to.
func (h *host) endpointEvent(update simwire.EndpointListUpdate) (control.Event, error) {
	if update.Scope == simwire.ScopeFailed {
		return control.SubscriptionFailed{}, nil
	}
	endpoints, isKnown := h.tables[update.Table]
	if !isKnown {
		return nil, fmt.Errorf("unknown endpoint table %d", update.Table)
	}
	return control.EndpointUpdate{Endpoints: endpoints, Full: update.Scope != simwire.ScopeDelta}, nil
}

// eventTypeName returns the name of an event's type for error messages.
func eventTypeName(body simwire.EventBody) string {
	if module, ok := body.(simwire.ModuleEvent); ok {
		return fmt.Sprintf("%T", module.Event)
	}
	return fmt.Sprintf("%T", body)
}
