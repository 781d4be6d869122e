package openaiserver_test

import (
	"context"
	"testing"
	"time"

	"martenlock/internal/fakeengine"
)

// TestClientDisconnectLeavesRouterAndEnginesIdle: a client disconnects while its request waits for a prefill engine, is
// in prefill, or waits for a decode engine with its KV state retained, or while its answer is streamed. Within a
// second, the router and the engines have no open request and no KV state.
func TestClientDisconnectLeavesRouterAndEnginesIdle(t *testing.T) {
	slowDecode := prefillDecodeSpecs(1, 1)
	slowDecode[1].TokenInterval, slowDecode[1].AnswerTokens = 20*ms, 1000
	for _, test := range []struct {
		stage              string
		specs              []fakeengine.Spec
		hasNoPrefillEngine bool
		faults             map[string]fakeengine.Fault
		isStageReached     func(h *harness) bool
	}{
		{stage: "queued", specs: prefillDecodeSpecs(1, 1), hasNoPrefillEngine: true, isStageReached: func(h *harness) bool { return h.stats().OpenRequests == 1 }},
		{stage: "in prefill", specs: prefillDecodeSpecs(1, 1), faults: map[string]fakeengine.Fault{"p1": {PrefillDelay: time.Second}}, isStageReached: func(h *harness) bool { return h.engine("p1").Stats().Waiting == 1 }},
		{stage: "waiting for a decode engine", specs: prefillDecodeSpecs(1, 2), faults: map[string]fakeengine.Fault{"d1": {RejectAll: true}, "d2": {RejectAll: true}}, isStageReached: func(h *harness) bool { return h.engine("p1").Stats().RetainedStates == 1 }},
		{stage: "in decode", specs: slowDecode, isStageReached: func(h *harness) bool { return h.engine("d1").Stats().Running == 1 }},
	} {
		t.Run(test.stage, func(t *testing.T) {
			h := startHarness(t, test.specs)
			h.setFaults(test.faults)
			if test.hasNoPrefillEngine {
				h.setState("gone", "p1")
				h.waitUntil("the list is applied", func() bool {
					return h.log.contains("endpoint list applied") && h.send(request{deadline: 150 * ms}).rejected()
				})
			}
			ctx, cancel := context.WithCancel(t.Context())
			responses := make(chan response)
			go func() { responses <- h.send(request{ctx: ctx, stream: true, maxTokens: 1000}) }()
			h.waitUntil("the request is "+test.stage, func() bool { return test.isStageReached(h) })

			cancel()
			<-responses

			h.expectIdleWithinASecond()
			if h.stats().Canceled == 0 {
				t.Error("Stats.Canceled is 0")
			}
		})
	}
}
