package openaiserver_test

import (
	"testing"
	"time"

	"martenlock/internal/fakeengine"
)

// TestKVReleaseIsRetriedUntilTheEngineConfirms: a prefill engine that hangs when it is to release KV state releases it
// soon after it has recovered. The fake engine's own retention limit is 5 s.
func TestKVReleaseIsRetriedUntilTheEngineConfirms(t *testing.T) {
	h := startHarness(t, prefillDecodeSpecs(1, 1), "aim = 1s", "aim = 400ms")
	prefill := h.engine("p1")
	h.engine("d1").SetFault(fakeengine.Fault{RejectAll: true})
	responses := make(chan response)
	go func() { responses <- h.send(request{stream: true, deadline: 600 * ms}) }()
	h.waitUntil("KV state is retained", func() bool { return prefill.Stats().RetainedStates == 1 })
	prefill.SetFault(fakeengine.Fault{Hang: true})
	received := <-responses
	if !received.rejected() {
		t.Error(received)
	}
	time.Sleep(700 * ms) // some release calls fail meanwhile; correct code passes without the pause

	prefill.SetFault(fakeengine.Fault{})
	recoveredAt := time.Now()
	h.waitUntil("KV state is released", func() bool { return prefill.Stats().RetainedStates == 0 })

	elapsed := time.Since(recoveredAt)
	if elapsed > 2*time.Second {
		t.Errorf("released after %v", elapsed)
	}
}
