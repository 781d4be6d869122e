package main

import (
	"bytes"
	"strings"
	"testing"

	"martenlock/control"
	"martenlock/internal/simwire"
)

const emptyReplyBytes = 8

// encodeBatch returns the frame of a batch.
func encodeBatch(t *testing.T, records ...simwire.Event) []byte {
	t.Helper()
	encoded, err := simwire.AppendBatch(nil, simwire.Batch{Clock: 1e6, Number: 1, Records: records})
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// startEvent returns the record that starts instance 1 with default settings.
func startEvent() simwire.Event {
	return simwire.Event{Router: 1, Body: simwire.Start{Settings: []byte("{}")}}
}

func moduleEvent(instance uint16, event control.Event) simwire.Event {
	return simwire.Event{Router: instance, Body: simwire.ModuleEvent{Event: event}}
}

// runAdapter returns the output for an input. It fails the test if there is an error.
func runAdapter(t *testing.T, input []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := answerBatches(bytes.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// TestEmptyBatchGetsEmptyReply also checks that an empty input gets no reply.
func TestEmptyBatchGetsEmptyReply(t *testing.T) {
	if out := runAdapter(t, nil); len(out) != 0 {
		t.Errorf("output for an empty input has %d bytes, want 0", len(out))
	}
	if out := runAdapter(t, encodeBatch(t)); len(out) != emptyReplyBytes {
		t.Errorf("reply to an empty batch has %d bytes, want %d", len(out), emptyReplyBytes)
	}
}

func TestErrorsNameInvalidPartOfInput(t *testing.T) {
	unknownTable := simwire.Event{Router: 1, Body: simwire.EndpointListUpdate{Table: 4}}
	for want, input := range map[string][]byte{
		"frame header":                         {1, 2, 3},
		"frame body":                           encodeBatch(t, startEvent())[:25],
		"control.Timer for unknown instance 9": encodeBatch(t, moduleEvent(9, control.Timer{})),
		"unknown endpoint table 4":             encodeBatch(t, startEvent(), unknownTable),
		"settings":                             encodeBatch(t, simwire.Event{Router: 1, Body: simwire.Start{Settings: []byte("{")}}),
	} {
		if err := answerBatches(bytes.NewReader(input), &bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
}

// TestRouterPanicBecomesInternalError guards against a panic that ends the process without a reply. The request's
// class does not exist, which makes the router panic.
func TestRouterPanicBecomesInternalError(t *testing.T) {
	out := runAdapter(t, encodeBatch(t, startEvent(), moduleEvent(1, control.Request{ID: 1, Class: 200})))

	reply, err := simwire.ParseReply(out)
	if err != nil || len(reply.Records) != 1 {
		t.Fatalf("reply %+v (error %v), want one record", reply, err)
	}
	if _, ok := reply.Records[0].Body.(simwire.InternalError); !ok {
		t.Fatalf("got %+v, want an InternalError", reply.Records[0])
	}
}

// TestStopDiscardsQueuedEvents checks that a batch in which an instance is stopped gets no actions of that instance.
func TestStopDiscardsQueuedEvents(t *testing.T) {
	out := runAdapter(t, encodeBatch(t, startEvent(), moduleEvent(1, control.Timer{}), simwire.Event{Router: 1, Body: simwire.Stop{}}))

	if len(out) != emptyReplyBytes {
		t.Fatalf("reply has %d bytes, want %d", len(out), emptyReplyBytes)
	}
}
