package openaiserver_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"martenlock/internal/fakeengine"
)

// shortObjectives are edits of the settings for tests in which engines fail: requests fail or are rejected early.
var shortObjectives = []string{
	"engine_stall = 2s", "engine_stall = 300ms",
	"[class ask]\naim = 1s", "[class ask]\naim = 300ms",
	"[class note]\naim = 1500ms\ndeadline = 6s", "[class note]\naim = 300ms\nwhole_aim = 900ms\ndeadline = 6s",
	"aim_per_1000 = 50ms\n", "aim_per_1000 = 50ms\nwhole_aim = 900ms\n",
}

// TestFiveRulesHoldUnderEachFault sends requests while engines have a fault. The harness checks the five rules from
// what was observed on the sockets.
func TestFiveRulesHoldUnderEachFault(t *testing.T) {
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
		killed       string // target whose engines are killed; "" for none
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
			h := startHarness(t, prefillDecodeSpecs(2, 2), shortObjectives...)
			h.setFaults(test.faults)
			if test.killed != "" {
				for _, engine := range h.FindEngines(test.killed) {
					engine.Kill()
				}
			}

			for i, expected := range test.expectations {
				received := h.send(request{class: expected.class, stream: expected.stream, maxTokens: 5, deadline: 2 * time.Second})
				if !expected.holds(received) {
					t.Errorf("request %d, class %s, stream %v: %v", i, expected.class, expected.stream, received)
				}
			}
			h.clearFaults(test.faults)
		})
	}
}

// TestAnswerBeforeADeadlineBetweenStages: the prefill ends when hardly any time is left, or no decode engine accepts the
// request before the deadline. The client has its answer by then, and the KV state is released.
func TestAnswerBeforeADeadlineBetweenStages(t *testing.T) {
	h := startHarness(t, prefillDecodeSpecs(1, 1), "aim = 1s", "aim = 900ms")
	h.engine("d1").SetFault(fakeengine.Fault{RejectAll: true})
	for _, prefillDelay := range []time.Duration{0, 200 * ms, 280 * ms, 340 * ms, 400 * ms} {
		h.engine("p1").SetFault(fakeengine.Fault{PrefillDelay: prefillDelay})

		received := h.send(request{deadline: 400 * ms, stream: true})

		if !received.rejected() || received.elapsed > 400*ms {
			t.Errorf("prefill takes %v: %v", prefillDelay, received)
		}
		h.waitUntilIdle()
	}
}

// TestNotIdempotentIsNeverExecutedTwice interrupts the answers to many concurrent requests that are not idempotent, at
// different points. The harness counts executions.
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

// TestCrashingInputTakesNoMoreEnginesThanAttempts: an input that crashes each engine that executes it crashes no more
// engines than its class has attempts. Its client is told not to retry.
func TestCrashingInputTakesNoMoreEnginesThanAttempts(t *testing.T) {
	h := startHarness(t, embeddingAndRerankSpecs(5), "[class search]\n", "[class search]\nmax_attempts = 2\n")

	received := h.sendEmbeddings(`{"model":"demo-embed","input":["good","` + fakeengine.CrashMarker + `"]}`)

	alive := h.countAliveEmbeddingEngines()
	if !received.failed() || alive != 3 {
		t.Errorf("%d of 5 engines left, %v", alive, received)
	}
}

// TestLocalLimitsEjectNoEngine: a limit of this process is no fault of an engine. With one connection to an engine, all
// requests are answered and the engine stays in use.
func TestLocalLimitsEjectNoEngine(t *testing.T) {
	h := startHarness(t, embeddingSpecs(1), "[limits]\n", "[limits]\nengine_connections = 1\n")

	var clients sync.WaitGroup
	var served atomic.Int64
	for range 8 {
		clients.Go(func() {
			received := h.sendEmbeddings(`{"model":"demo-embed","input":"frozen pipe"}`)
			if received.served() {
				served.Add(1)
			} else if !received.rejected() {
				t.Error(received)
			}
		})
	}
	clients.Wait()

	time.Sleep(50 * ms) // for the log's lines; correct code passes without the pause
	if served.Load() == 0 {
		t.Error("no request was served")
	}
	if h.log.contains("endpoint ejected") {
		t.Error("the engine was ejected")
	}
}

// TestClientCancelLeavesNothingBehind: a client leaves while its request waits for an engine, is prefilled, waits for a
// decode engine with KV state retained, or is streamed. Router and engines are idle soon after.
func TestClientCancelLeavesNothingBehind(t *testing.T) {
	slowDecode := prefillDecodeSpecs(1, 1)
	slowDecode[1].TokenInterval, slowDecode[1].AnswerTokens = 20*ms, 1000
	for _, test := range []struct {
		stage       string
		specs       []fakeengine.Spec
		prefillGone bool
		faults      map[string]fakeengine.Fault
		isReached   func(h *harness) bool
	}{
		{stage: "queued", specs: prefillDecodeSpecs(1, 1), prefillGone: true, isReached: func(h *harness) bool { return h.stats().OpenRequests == 1 }},
		{stage: "in prefill", specs: prefillDecodeSpecs(1, 1), faults: map[string]fakeengine.Fault{"p1": {PrefillDelay: time.Second}}, isReached: func(h *harness) bool { return h.engine("p1").Stats().Waiting == 1 }},
		{stage: "parked", specs: prefillDecodeSpecs(1, 2), faults: map[string]fakeengine.Fault{"d1": {RejectAll: true}, "d2": {RejectAll: true}}, isReached: func(h *harness) bool { return h.engine("p1").Stats().RetainedStates == 1 }},
		{stage: "in decode", specs: slowDecode, isReached: func(h *harness) bool { return h.engine("d1").Stats().Running == 1 }},
	} {
		t.Run(test.stage, func(t *testing.T) {
			h := startHarness(t, test.specs)
			h.setFaults(test.faults)
			if test.prefillGone {
				h.setState("gone", "p1")
				h.waitUntil("the list is applied", func() bool {
					return h.log.contains("endpoint list applied") && h.send(request{deadline: 150 * ms}).rejected()
				})
			}
			ctx, cancel := context.WithCancel(t.Context())
			responses := make(chan response)
			go func() { responses <- h.send(request{ctx: ctx, stream: true, maxTokens: 1000}) }()
			h.waitUntil("the request is "+test.stage, func() bool { return test.isReached(h) })

			cancel()
			<-responses

			h.expectIdleWithinASecond()
			if h.stats().Canceled == 0 {
				t.Error("the router counted no cancelled request")
			}
		})
	}
}

// TestDrainingEngineGetsNoRequestAfterItsGracePeriod drains and replaces each engine under load. The replacements, in slow
// start, take over without overload. The harness checks both.
func TestDrainingEngineGetsNoRequestAfterItsGracePeriod(t *testing.T) {
	specs := prefillDecodeSpecs(2, 2)
	indexByName := map[string]int{}
	for i := range specs {
		specs[i].SlowStartInitialSpeed, specs[i].SlowStartDuration = 0.3, 6*time.Second
		indexByName[specs[i].Name] = i
	}
	h := startHarness(t, specs)
	load := startLoad(h, 16)

	for i, name := range []string{"d1", "p1", "d2", "p2"} {
		h.waitUntil("requests are served", func() bool { return load.served.Load() > int64(100*(i+1)) })
		replacement := specs[indexByName[name]]
		replacement.Name += "-next"
		err := h.AddEngine(replacement, true)
		if err != nil {
			t.Fatal(err)
		}
		h.setState("draining", name)
		engine := h.engine(name)
		h.waitUntil("the engine is drained", func() bool {
			stats := engine.Stats()
			return stats.Running+stats.Waiting == 0
		})
	}

	servedBefore := load.served.Load()
	h.waitUntil("requests are served by the replacements alone", func() bool { return load.served.Load() > servedBefore+20 })
	load.stop()
	if h.engine("d1-next").Stats().Served == 0 {
		t.Error("a replacement got no request")
	}
}

// load is a number of clients that send requests of all classes, one after another.
type load struct {
	served  atomic.Int64
	stopped chan struct{}
	clients sync.WaitGroup
}

// startLoad starts clients.
func startLoad(h *harness, clients int) *load {
	l := &load{stopped: make(chan struct{})}
	for i := range clients {
		l.clients.Go(func() { l.run(h, i) })
	}
	return l
}

// run sends requests until the load is stopped.
func (l *load) run(h *harness, client int) {
	for {
		select {
		case <-l.stopped:
			return
		default:
		}
		class := []string{"ask", "job", "note"}[client%3]
		received := h.send(request{stream: client%2 == 0, maxTokens: 5, class: class, session: fmt.Sprint(client)})
		if received.served() {
			l.served.Add(1)
		}
	}
}

// stop stops the clients and waits for them.
func (l *load) stop() {
	close(l.stopped)
	l.clients.Wait()
}
