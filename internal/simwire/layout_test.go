package simwire

import (
	"bytes"
	"reflect"
	"testing"

	"martenlock/control"
)

// TestTimerRecordMatchesWireFormat compares a batch with handwritten bytes. A round trip would not notice a change of
// the format.
func TestTimerRecordMatchesWireFormat(t *testing.T) {
	frame, err := AppendBatch(nil, Batch{Clock: 1, Records: []Event{{Router: 3, Body: ModuleEvent{control.Timer{Token: 0x4d}}}}})
	want := []byte{1, 0, 0, 0, 0, 0, 0, 0, 31, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 7, 3, 0, 0x4d, 0, 0, 0, 0, 0, 0, 0}
	if err != nil || !bytes.Equal(frame, want) {
		t.Fatalf("batch encoded as %v (error %v), want %v", frame, err, want)
	}
}

// TestEjectionLogHasSimulatorTexts checks that each reason has the text that the simulator expects.
func TestEjectionLogHasSimulatorTexts(t *testing.T) {
	for reason, want := range map[control.EjectionReason]string{
		control.EjectedForErrors:      "server a124a071b5b set aside: errors",
		control.EjectedForTimeouts:    "server a124a071b5b set aside: time-outs",
		control.EjectedAsUnreachable:  "server a124a071b5b set aside: out of reach",
		control.EjectedAsSlow:         "server a124a071b5b set aside: slow",
		control.EjectedAsUnresponsive: "server a124a071b5b set aside: silent",
		control.EjectedForHealthCheck: "server a124a071b5b set aside: probe unanswered",
	} {
		log := control.Log{Kind: control.EndpointEjected, Endpoint: 0x0a124a071b5b, Reason: reason}
		frame, err := AppendReply(nil, Reply{Records: []Action{{Router: 1, Body: ModuleAction{log}}}})
		if err != nil {
			t.Fatal(err)
		}
		head := []byte{byte(actionLog), 1, 0, byte(len(want)), 0}
		if !bytes.HasSuffix(frame, append(head, want...)) || len(frame) != replyHeaderBytes+len(head)+len(want) {
			t.Errorf("%v: frame %q, want it to end with %q", reason, frame, want)
		}
		if got, err := ParseReply(frame); err != nil || got.Records[0].Body != ActionBody(ModuleAction{log}) {
			t.Errorf("%v: decoded as %+v (error %v)", reason, got, err)
		}
	}
}

// TestOutcomeDetailMeansMissingKVOnlyOnRejections guards against reading one cached token, which is also encoded as 1,
// as missing KV state.
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
		frame, err := AppendBatch(nil, Batch{Records: []Event{{Body: ModuleEvent{c.outcome}}}})
		if err != nil {
			t.Fatal(err)
		}
		if want := []byte{c.detail, 0, 0, 0, 0}; !bytes.HasSuffix(frame, want) {
			t.Errorf("%+v: frame ends with %v, want %v", c.outcome, frame[len(frame)-len(want):], want)
		}
		got, err := ParseBatch(frame)
		if err != nil || !reflect.DeepEqual(got.Records[0].Body, ModuleEvent{c.outcome}) {
			t.Errorf("%+v decoded as %+v (error %v)", c.outcome, got.Records, err)
		}
	}
}
