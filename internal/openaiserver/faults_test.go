package openaiserver_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"martenlock/internal/fakeengine"
)

// shortObjectiveEdits shortens time-outs and objectives, so that requests to failing engines fail or are rejected early.
// It holds pairs of old and new text for startHarness.
var shortObjectiveEdits = []string{
	"engine_stall = 2s", "engine_stall = 300ms",
	"[class ask]\naim = 1s", "[class ask]\naim = 300ms",
	"[class note]\naim = 1500ms\ndeadline = 6s", "[class note]\naim = 300ms\nwhole_aim = 900ms\ndeadline = 6s",
	"aim_per_1000 = 50ms\n", "aim_per_1000 = 50ms\nwhole_aim = 900ms\n",
}

// TestInvariantsHoldUnderEachFault sends requests while engines have a fault. The test checks each response, and the
// harness checks the invariants of package invariant.
func TestInvariantsHoldUnderEachFault(t *testing.T) {
	type faults = map[string]fakeengine.Fault
	type expectation struct {
		class  string
		stream bool
		holds  func(response) bool
	}
	served, rejected, failed, aborted := response.served, response.rejected, response.failed, response.aborted
	for _, test := range []struct {
		name         string
		faults       faults
		killTarget   string // argument of FindEngines for the engines to kill; "" for none
		expectations []expectation
	}{
		{"one prefill engine hangs", faults{"p1": {Hang: true}}, "", []expectation{{"ask", true, served}, {"note", true, served}}},
		{"all prefill engines hang", faults{"p1": {Hang: true}, "p2": {Hang: true}}, "", []expectation{{"ask", true, rejected}, {"note", false, rejected}}},
		{"one decode engine hangs", faults{"d1": {Hang: true}}, "", []expectation{{"ask", true, served}}},
		{"all decode engines hang", faults{"d1": {Hang: true}, "d2": {Hang: true}}, "", []expectation{{"note", true, failed}, {"ask", true, rejected}}},
		{"reset before the execution", faults{"p1": {ResetBefore: true}, "d1": {ResetBefore: true}}, "", []expectation{{"ask", true, served}, {"ask", false, served}}},
		{"reset before the first token", faults{"d1": {ResetAfter: -1}, "d2": {ResetAfter: -1}}, "", []expectation{{"note", true, failed}, {"note", false, failed}, {"ask", true, rejected}}},
		{"reset after the first token", faults{"d1": {ResetAfter: 2}, "d2": {ResetAfter: 2}}, "", []expectation{{"note", false, failed}, {"note", true, aborted}}},
		{"streams stall", faults{"d1": {StallAfter: 2}, "d2": {StallAfter: 2}}, "", []expectation{{"ask", true, aborted}}},
		{"one engine of each role answers errors", faults{"p1": {ErrorRate: 1}, "d1": {ErrorRate: 1}}, "", []expectation{{"ask", true, served}, {"ask", false, served}}},
		{"all decode engines answer errors", faults{"d1": {ErrorRate: 1}, "d2": {ErrorRate: 1}}, "", []expectation{{"note", false, failed}, {"ask", false, rejected}}},
		{"one decode engine can't fetch KV state", faults{"d1": {KVMissing: true}}, "", []expectation{{"ask", true, served}, {"note", false, served}}},
		{"no decode engine can fetch KV state", faults{"d1": {KVMissing: true}, "d2": {KVMissing: true}}, "", []expectation{{"ask", true, rejected}, {"note", true, rejected}}},
		{"responses of one prefill engine are lost", faults{"p1": {AnswersLost: true}}, "", []expectation{{"ask", true, served}, {"ask", true, served}, {"note", false, served}}},
		{"responses of all prefill engines are lost", faults{"p1": {AnswersLost: true}, "p2": {AnswersLost: true}}, "", []expectation{{"ask", true, rejected}}},
		{"responses of all decode engines are lost", faults{"d1": {AnswersLost: true}, "d2": {AnswersLost: true}}, "", []expectation{{"note", true, failed}, {"ask", false, rejected}}},
		{"all decode engines are overloaded", faults{"d1": {RejectAll: true}, "d2": {RejectAll: true}}, "", []expectation{{"ask", true, rejected}, {"note", true, rejected}}},
		{"all engines were killed but are listed", nil, "zone:a", []expectation{{"ask", true, rejected}, {"note", false, rejected}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := startHarness(t, prefillDecodeSpecs(2, 2), shortObjectiveEdits...)
			h.setFaults(test.faults)
			if test.killTarget != "" {
				for _, engine := range h.FindEngines(test.killTarget) {
					engine.Kill()
				}
			}

			for i, expected := range test.expectations {
				received := h.send(request{class: expected.class, stream: expected.stream, maxTokens: 5, deadline: 2 * time.Second})
				if !expected.holds(received) {
					t.Errorf("request %d, class %s, stream %v: unexpected response %v", i, expected.class, expected.stream, received)
				}
			}
			h.clearFaults(test.faults)
		})
	}
}

// TestDeadlineBetweenPrefillAndDecodeIsKept: the prefill ends shortly before the deadline, or no decode engine accepts
// the request in time. The client is answered before the deadline, and the KV state is released.
func TestDeadlineBetweenPrefillAndDecodeIsKept(t *testing.T) {
	h := startHarness(t, prefillDecodeSpecs(1, 1), "aim = 1s", "aim = 900ms")
	h.engine("d1").SetFault(fakeengine.Fault{RejectAll: true})
	for _, prefillDelay := range []time.Duration{0, 200 * ms, 280 * ms, 340 * ms, 400 * ms} {
		h.engine("p1").SetFault(fakeengine.Fault{PrefillDelay: prefillDelay})

		received := h.send(request{deadline: 400 * ms, stream: true})

		if !received.rejected() || received.elapsed > 400*ms {
			t.Errorf("prefill delayed by %v: %v; want a rejection within 400ms", prefillDelay, received)
		}
		h.waitUntilIdle()
	}
}

// TestNotIdempotentIsNeverExecutedTwice sends concurrent requests that are not idempotent to engines that fail before or
// during their answers. The harness checks that no request is executed twice.
func TestNotIdempotentIsNeverExecutedTwice(t *testing.T) {
	h := startHarness(t, prefillDecodeSpecs(2, 3))
	h.setFaults(map[string]fakeengine.Fault{"d1": {ResetAfter: -1}, "d2": {ErrorRate: 0.5}, "d3": {ResetAfter: 2}})

	var clients sync.WaitGroup
	var failed atomic.Int64
	for i := range 60 {
		clients.Go(func() {
			received := h.send(request{class: "note", stream: i%2 == 0, maxTokens: 5})
			if received.failed() || received.aborted() {
				failed.Add(1)
			}
		})
	}
	clients.Wait()

	if failed.Load() == 0 {
		t.Error("no request failed: the faults had no effect")
	}
}

// TestCrashingInputCrashesAtMostMaxAttemptsEngines: if an input crashes every engine that executes it, the number of
// crashed engines is limited by max_attempts of its class. The client is told not to retry.
func TestCrashingInputCrashesAtMostMaxAttemptsEngines(t *testing.T) {
	h := startHarness(t, embeddingAndRerankSpecs(5), "[class search]\n", "[class search]\nmax_attempts = 2\n")

	received := h.sendEmbeddings(`{"model":"demo-embed","input":["good","` + fakeengine.CrashMarker + `"]}`)

	alive := h.countAliveEmbeddingEngines()
	if !received.failed() || alive != 3 {
		t.Errorf("%d of 5 engines are alive, want 3; response %v, want a failure", alive, received)
	}
}
