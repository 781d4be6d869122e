package simwire

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"martenlock/control"
)

// sampleBatch returns a batch with at least one event of each type.
func sampleBatch() Batch {
	id := control.EndpointID(0x0a124a07<<16 | 0x1b5b)
	return Batch{Clock: 8412250, Number: 12, Records: []Event{
		{Router: 3, Body: Start{Seed: 9, Settings: []byte("{}")}},
		{Body: EndpointTable{Number: 2, Endpoints: []control.Endpoint{{
			ID: id, State: control.Ready, Kind: 1, Cell: 2, Zone: 1,
			Weight: 1.5, StartedAt: 77,
		}}}},
		{Router: 3, Body: EndpointListUpdate{Version: 4, Table: 2, Scope: ScopeCached}},
		{Router: 3, Body: ModuleEvent{control.Request{
			ID: 7, Class: 1, Tenant: 2, SessionID: 5, PrefixHash: 6, PrefixTokens: 100,
			PromptTokens: 200, MaxTokens: 50, Deadline: 99, Resumed: true,
		}}},
		{Router: 3, Body: ModuleEvent{control.AnswerStarted{ID: 7, Endpoint: id, Attempt: 1, Elapsed: 5 * time.Millisecond}}},
		{Router: 3, Body: ModuleEvent{control.ReservationResult{ID: 7, Attempt: 1, Endpoint: id, Held: true}}},
		{Router: 3, Body: ModuleEvent{control.Outcome{
			ID: 7, Attempt: 1, Endpoint: id, Result: control.PrefillDone,
			Elapsed: time.Second, Final: true, CachedTokens: 3, Report: []float64{0.5, 2},
		}}},
		{Router: 3, Body: ModuleEvent{control.Outcome{ID: 7, Attempt: 2, Endpoint: id, Result: control.Rejected, KVMissing: true}}},
		{Router: 3, Body: ModuleEvent{control.ClientGone{ID: 7}}},
		{Router: 3, Body: ModuleEvent{control.Timer{Token: 4}}},
		{Router: 3, Body: ModuleEvent{control.HealthCheckResult{Endpoint: id, Result: control.TimedOut, Elapsed: time.Second}}},
		{Router: 3, Body: Peer{From: 1, Data: []byte("hi")}},
		{Router: 3, Body: Stop{}},
	}}
}

func TestBatchRoundTripPreservesEachEventType(t *testing.T) {
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
		t.Fatalf("decoded %+v (error %v)\nwant %+v", got, err, want)
	}
}

func TestReplyRoundTripPreservesEachActionType(t *testing.T) {
	want := Reply{Number: 12, Records: []Action{
		{Router: 1, Body: ModuleAction{control.Forward{ID: 7, Endpoint: 1<<40 | 9, Timeout: time.Second}}},
		{Router: 1, Body: ModuleAction{control.Reject{ID: 7, RetryAfter: time.Second}}},
		{Router: 1, Body: ModuleAction{control.Fail{ID: 7}}},
		{Router: 1, Body: ModuleAction{control.ReleaseKV{ID: 7}}},
		{Router: 1, Body: ModuleAction{control.CancelAttempt{ID: 7, Attempt: 2}}},
		{Router: 1, Body: ModuleAction{control.SetTimer{Token: 3, After: time.Second}}},
		{Router: 1, Body: ModuleAction{control.HealthCheck{Endpoint: 5}}},
		{Router: 1, Body: ModuleAction{control.SubscribeEndpoints{}}},
		{Router: 1, Body: ModuleAction{control.Log{Kind: control.EndpointEjected, Endpoint: 1<<40 | 9, Reason: control.EjectedAsSlow}}},
		{Router: 1, Body: InternalError{Text: "index"}},
	}}
	frame, err := AppendReply(nil, want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := ParseReply(frame); err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("decoded %+v (error %v)\nwant %+v", got, err, want)
	}
}
