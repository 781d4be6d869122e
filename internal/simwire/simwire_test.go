package simwire

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"
	"time"

	"martenlock/control"
)

// sampleBatch has an event of each kind.
func sampleBatch() Batch {
	id := control.EndpointID(0x0a124a07<<16 | 0x1b5b)
	return Batch{Clock: 8412250, Number: 12, Records: []Event{
		{Router: 3, Body: Start{Seed: 9, Settings: []byte("{}")}},
		{Body: EndpointTable{Number: 2, Endpoints: []control.Endpoint{{
			ID: id, State: control.Ready, Kind: 1, Cell: 2, Zone: 1,
			Weight: 1.5, StartedAt: 77,
		}}}},
		{Router: 3, Body: EndpointListUpdate{Version: 4, Table: 2, Scope: ScopeCached}},
		{Router: 3, Body: control.Request{
			ID: 7, Class: 1, Tenant: 2, SessionID: 5, PrefixHash: 6, PrefixTokens: 100,
			PromptTokens: 200, MaxTokens: 50, Deadline: 99, Resumed: true,
		}},
		{Router: 3, Body: control.AnswerStarted{ID: 7, Endpoint: id, Attempt: 1, Elapsed: 5 * time.Millisecond}},
		{Router: 3, Body: control.ReservationResult{ID: 7, Attempt: 1, Endpoint: id, Held: true}},
		{Router: 3, Body: control.Outcome{
			ID: 7, Attempt: 1, Endpoint: id, Result: control.PrefillDone,
			Elapsed: time.Second, Final: true, CachedTokens: 3, Report: []float64{0.5, 2},
		}},
		{Router: 3, Body: control.Outcome{ID: 7, Attempt: 2, Endpoint: id, Result: control.Rejected, KVMissing: true}},
		{Router: 3, Body: control.ClientGone{ID: 7}},
		{Router: 3, Body: control.Timer{Token: 4}},
		{Router: 3, Body: control.HealthCheckResult{Endpoint: id, Result: control.TimedOut, Elapsed: time.Second}},
		{Router: 3, Body: Peer{From: 1, Data: []byte("hi")}},
		{Router: 3, Body: Stop{}},
	}}
}

func TestParseBatchInvertsAppendBatch(t *testing.T) {
	want := sampleBatch()
	frame, err := AppendBatch(nil, want)
	if err != nil {
		t.Fatal(err)
	}
	received, err := ReadFrame(bytes.NewReader(frame))
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseBatch(received)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v\nwant %+v", got, err, want)
	}
}

func TestParseReplyInvertsAppendReply(t *testing.T) {
	want := Reply{Number: 12, Records: []Action{
		{Router: 1, Body: control.Forward{ID: 7, Endpoint: 1<<40 | 9, Timeout: time.Second}},
		{Router: 1, Body: control.Reject{ID: 7, RetryAfter: time.Second}},
		{Router: 1, Body: control.Fail{ID: 7}},
		{Router: 1, Body: control.ReleaseKV{ID: 7}},
		{Router: 1, Body: control.CancelAttempt{ID: 7, Attempt: 2}},
		{Router: 1, Body: control.SetTimer{Token: 3, After: time.Second}},
		{Router: 1, Body: control.HealthCheck{Endpoint: 5}},
		{Router: 1, Body: control.SubscribeEndpoints{}},
		{Router: 1, Body: control.Log{Kind: control.EndpointEjected, Endpoint: 1<<40 | 9, Reason: control.EjectedAsSlow}},
		{Router: 1, Body: InternalError{Text: "index"}},
	}}
	frame, err := AppendReply(nil, want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := ParseReply(frame); err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v", got, err)
	}
}

// TestTimerRecordHasTheWiresLayout compares a batch with bytes written by hand.
func TestTimerRecordHasTheWiresLayout(t *testing.T) {
	frame, err := AppendBatch(nil, Batch{Clock: 1, Records: []Event{{Router: 3, Body: control.Timer{Token: 0x4d}}}})
	want := []byte{1, 0, 0, 0, 0, 0, 0, 0, 31, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 7, 3, 0, 0x4d, 0, 0, 0, 0, 0, 0, 0}
	if err != nil || !bytes.Equal(frame, want) {
		t.Fatalf("got %v, %v", frame, err)
	}
}

// TestEjectionIsLoggedInTheSimulatorsWords holds the text of every reason.
func TestEjectionIsLoggedInTheSimulatorsWords(t *testing.T) {
	for reason, want := range map[control.EjectionReason]string{
		control.EjectedForErrors:      "server a124a071b5b set aside: errors",
		control.EjectedForTimeouts:    "server a124a071b5b set aside: time-outs",
		control.EjectedAsUnreachable:  "server a124a071b5b set aside: out of reach",
		control.EjectedAsSlow:         "server a124a071b5b set aside: slow",
		control.EjectedAsUnresponsive: "server a124a071b5b set aside: silent",
		control.EjectedForHealthCheck: "server a124a071b5b set aside: probe unanswered",
	} {
		log := control.Log{Kind: control.EndpointEjected, Endpoint: 0x0a124a071b5b, Reason: reason}
		frame, err := AppendReply(nil, Reply{Records: []Action{{Router: 1, Body: log}}})
		if err != nil {
			t.Fatal(err)
		}
		head := []byte{byte(actionLog), 1, 0, byte(len(want)), 0}
		if !bytes.HasSuffix(frame, append(head, want...)) || len(frame) != replyHeaderBytes+len(head)+len(want) {
			t.Errorf("%v: %q, want %q at its end", reason, frame, want)
		}
		if got, err := ParseReply(frame); err != nil || got.Records[0].Body != log {
			t.Errorf("%v: read as %+v, %v", reason, got, err)
		}
	}
}

// TestOutcomeDetailMeansMissingKVOnlyOnRejections holds both meanings of the number before the
// report.
func TestOutcomeDetailMeansMissingKVOnlyOnRejections(t *testing.T) {
	for _, c := range []struct {
		outcome control.Outcome
		detail  byte
	}{
		{control.Outcome{Result: control.PrefillDone, CachedTokens: 1}, 1},
		{control.Outcome{Result: control.OK, CachedTokens: 9}, 9},
		{control.Outcome{Result: control.Rejected, KVMissing: true}, 1},
		{control.Outcome{Result: control.Rejected}, 0},
	} {
		frame, err := AppendBatch(nil, Batch{Records: []Event{{Body: c.outcome}}})
		if err != nil {
			t.Fatal(err)
		}
		if want := []byte{c.detail, 0, 0, 0, 0}; !bytes.HasSuffix(frame, want) {
			t.Errorf("%+v ends in %v, want %v", c.outcome, frame[len(frame)-len(want):], want)
		}
		got, err := ParseBatch(frame)
		if err != nil || !reflect.DeepEqual(got.Records[0].Body, c.outcome) {
			t.Errorf("%+v became %+v, %v", c.outcome, got.Records, err)
		}
	}
}

func TestMalformedFramesAreErrors(t *testing.T) {
	valid, err := AppendBatch(nil, sampleBatch())
	if err != nil {
		t.Fatal(err)
	}
	withByte := func(offset int, value byte) []byte {
		frame := bytes.Clone(valid)
		frame[offset] = value
		return frame
	}
	for name, frame := range map[string][]byte{
		"short header":     valid[:10],
		"short body":       valid[:len(valid)-1],
		"length too small": withByte(8, 0)[:20],
		"too many records": withByte(12, 200),
		"too few records":  withByte(12, 1),
		"unknown code":     withByte(20, 99),
		"oversized":        withByte(11, 0xff),
	} {
		received, err := ReadFrame(bytes.NewReader(frame))
		if err == nil {
			_, err = ParseBatch(received)
		}
		if err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// FuzzParseBatch checks that what is accepted is encoded in as many bytes.
func FuzzParseBatch(f *testing.F) {
	valid, err := AppendBatch(nil, sampleBatch())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, frame []byte) {
		batch, err := ParseBatch(frame)
		if err != nil {
			return
		}
		encoded, err := AppendBatch(nil, batch)
		if err != nil || len(encoded) != len(frame) {
			t.Fatalf("%d bytes became %d, %v", len(frame), len(encoded), err)
		}
	})
}

func TestRecordErrorNamesRecordAndReason(t *testing.T) {
	frame, err := AppendBatch(nil, Batch{Records: []Event{{Body: Stop{}}, {Body: Stop{}}}})
	if err != nil {
		t.Fatal(err)
	}
	const secondRecord = 23 // after a header of 20 bytes and a record of 3
	frame[secondRecord] = 99
	_, err = ParseBatch(frame)
	var recordErr *RecordError
	if !errors.As(err, &recordErr) || recordErr.Index != 1 || recordErr.Offset != secondRecord {
		t.Fatalf("%#v", err)
	}
	var unknown *UnknownValueError
	if !errors.As(err, &unknown) || unknown.Field != "event code" || unknown.Value != 99 {
		t.Fatalf("%#v", err)
	}
	if want := "record 1 at byte 23: unknown event code 99"; err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
}
