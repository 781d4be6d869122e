package main

import (
	"bytes"
	"strings"
	"testing"

	"martenlock/control"
	"martenlock/internal/simwire"
)

const emptyReplyBytes = 8

// frame encodes a batch of records.
func frame(t *testing.T, records ...simwire.Event) []byte {
	t.Helper()
	encoded, err := simwire.AppendBatch(nil, simwire.Batch{Clock: 1e6, Number: 1, Records: records})
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// start returns the record that starts instance 1 with default settings.
func start() simwire.Event {
	return simwire.Event{Router: 1, Body: simwire.Start{Settings: []byte("{}")}}
}

// moduleEvent returns the record of an event of the control package.
func moduleEvent(instance uint16, event control.Event) simwire.Event {
	return simwire.Event{Router: instance, Body: simwire.ModuleEvent{Event: event}}
}

// answerTo returns the output for an input, which must be valid.
func answerTo(t *testing.T, input []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := run(bytes.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// TestEmptyBatchGetsEmptyReplyAndEmptyInputNone: each batch gets one reply, and an input without batches none.
func TestEmptyBatchGetsEmptyReplyAndEmptyInputNone(t *testing.T) {
	if out := answerTo(t, nil); len(out) != 0 {
		t.Errorf("%d bytes for an empty input", len(out))
	}
	if out := answerTo(t, frame(t)); len(out) != emptyReplyBytes {
		t.Errorf("%d bytes for an empty batch", len(out))
	}
}

// TestErrorsNameWhatIsWrongWithTheInput: the message on standard error says which part of the input is invalid.
func TestErrorsNameWhatIsWrongWithTheInput(t *testing.T) {
	unknownTable := simwire.Event{Router: 1, Body: simwire.EndpointListUpdate{Table: 4}}
	for want, input := range map[string][]byte{
		"frame header":                         {1, 2, 3},
		"frame body":                           frame(t, start())[:25],
		"control.Timer for unknown instance 9": frame(t, moduleEvent(9, control.Timer{})),
		"unknown endpoint table 4":             frame(t, start(), unknownTable),
		"settings":                             frame(t, simwire.Event{Router: 1, Body: simwire.Start{Settings: []byte("{")}}),
	} {
		if err := run(bytes.NewReader(input), &bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error of %q, got %v", want, err)
		}
	}
}

// TestPanicOfTheModuleBecomesInternalError: a panic ends neither the process nor the protocol.
func TestPanicOfTheModuleBecomesInternalError(t *testing.T) {
	out := answerTo(t, frame(t, start(), moduleEvent(1, control.Request{ID: 1, Class: 200})))

	reply, err := simwire.ParseReply(out)
	if err != nil || len(reply.Records) != 1 {
		t.Fatalf("%+v, %v", reply, err)
	}
	if _, ok := reply.Records[0].Body.(simwire.InternalError); !ok {
		t.Fatalf("got %+v", reply.Records[0])
	}
}

// TestStopDiscardsEventsBeforeItInTheBatch: an instance that is stopped in a batch does not act in it.
func TestStopDiscardsEventsBeforeItInTheBatch(t *testing.T) {
	out := answerTo(t, frame(t, start(), moduleEvent(1, control.Timer{}), simwire.Event{Router: 1, Body: simwire.Stop{}}))

	if len(out) != emptyReplyBytes {
		t.Fatalf("%d bytes", len(out))
	}
}
