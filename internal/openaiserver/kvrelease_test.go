package openaiserver_test

import (
	"testing"
	"time"

	"martenlock/internal/fakeengine"
)

// TestKVReleaseIsRetriedUntilTheEngineConfirms: if a prefill engine hangs while KV state is to be released, the release
// is retried and succeeds soon after the engine has recovered. The engine's own retention limit of 5 s comes later.
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
		t.Errorf("request was not rejected: %v", received)
	}
	time.Sleep(700 * ms) // lets some release calls fail; if the pause is too short, the test can only miss a fault

	prefill.SetFault(fakeengine.Fault{})
	recoveredAt := time.Now()
	h.waitUntil("KV state is released", func() bool { return prefill.Stats().RetainedStates == 0 })

	elapsed := time.Since(recoveredAt)
	if elapsed > 2*time.Second {
		t.Errorf("KV state was released %v after the recovery, want at most 2s", elapsed)
	}
}
