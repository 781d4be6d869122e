package platform

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"martenlock/control"
	"martenlock/control/connlimit"
	"martenlock/internal/enginetest"
	"martenlock/internal/platform/platformtest"
)

// attemptsInFlight returns the attempts in flight at an engine. It runs on the loop.
func (h *harness) attemptsInFlight(e *platformtest.Engine) (list []*attempt) {
	endpoint, isListed := h.server.endpoints.byID[endpointID(e)]
	if !isListed {
		return nil
	}
	for a := range endpoint.attempts {
		list = append(list, a)
	}
	return list
}

// firstAndOther waits for the first attempt at two engines, and returns the engine that received it before the other one.
func (h *harness) firstAndOther(one, two *platformtest.Engine) (first, other *platformtest.Engine) {
	h.Helper()
	h.waitForAttempts(1, one, two)
	if two.Attempts() == 1 {
		return two, one
	}
	return one, two
}

// TestRetryNeverOvertakesCancellation: an attempt that the server ends has ended for its engine
// before another attempt or an answer follows, for each result of a cancelled attempt and each
// idempotency.
func TestRetryNeverOvertakesCancellation(t *testing.T) {
	for _, class := range []string{"ask", "note"} {
		for _, result := range []control.Result{control.Cancelled, control.TimedOut, control.Failed} {
			h := startHarness(t, "r1", "r1", "w1")
			released := make(chan struct{})
			for _, e := range h.engines[:2] {
				e.SetScript(platformtest.RespondAfter(released))
			}
			client := h.send(h.chat(class))
			first, other := h.firstAndOther(h.engines[0], h.engines[1])

			var endedAt time.Duration
			h.runOnLoop(func() {
				endedAt = h.server.loop.Now()
				h.attemptsInFlight(first)[0].finish(result, false)
				if h.server.mailbox.Len() != 0 {
					t.Errorf("the decision module is notified of %v at once", result)
				}
			})
			h.waitForAttempts(1, other)

			h.runOnLoop(func() {
				if retries := h.attemptsInFlight(other); len(retries) != 1 || retries[0].startedAt-endedAt < connlimit.CancelPropagationDelay {
					t.Errorf("%d in flight, %v after the end of the first", len(retries), retries[0].startedAt-endedAt)
				}
			})
			close(released)
			if answer := readAnswer(client); answer.Code != http.StatusOK {
				t.Errorf("%s: %d %s", class, answer.Code, answer.Body)
			}
		}
	}
}

// TestExchangeKeptUntilCancellationHasPropagated: an exchange whose client leaves while a
// cancellation propagates is kept until the decision module is notified of the attempt's end; then its KV
// state is released and it is forgotten.
func TestExchangeKeptUntilCancellationHasPropagated(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	released := make(chan struct{})
	defer close(released)
	h.engines[0].SetScript(platformtest.RespondAfter(released))
	h.send(h.chat("ask"))
	h.waitForAttempts(1, h.engines[0])

	h.runOnLoop(func() {
		a := h.attemptsInFlight(h.engines[0])[0]
		a.finish(control.TimedOut, false)
		a.exchange.client.conn.EOF(nil)
		h.server.mailbox.Poll()

		if h.server.exchanges.ByID[a.exchange.id] != a.exchange {
			t.Error("forgotten before the decision module is notified of the attempt's end")
		}
	})

	h.waitUntilNothingOpen()
	if !h.isKVReleased() {
		t.Error("the KV state that it may have left is retained")
	}
}

// TestClientCancelEndsAttemptAndReleasesKV: when a client leaves, its engine's connection ends
// and its KV state is released, also when the first engine asked to release it is unresponsive.
func TestClientCancelEndsAttemptAndReleasesKV(t *testing.T) {
	const maxDelay = 500 * time.Millisecond
	h := startHarness(t, "r1", "r1", "w1")
	connEnded := make(chan struct{}, 4)
	for _, e := range h.engines[:2] {
		e.SetScript(func(r *platformtest.Request) bool {
			if r.Method == http.MethodPost {
				r.AwaitClose()
				connEnded <- struct{}{}
				return false
			}
			return r.Method == http.MethodDelete // without an answer
		})
	}
	client := h.send(h.chat("ask"))
	h.waitForAttempts(1, h.engines[:2]...)
	leftAt := time.Now()

	client.Close()

	select {
	case <-connEnded:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the engine stays open")
	}
	h.waitFor("the KV release", func() bool { return h.isKVReleased() })
	h.waitOnLoop("an engine to confirm it", func() bool { return h.server.kvReleases.scheduler.Len() == 0 })
	if took := time.Since(leftAt); took > maxDelay {
		t.Errorf("after %v", took)
	}
	if h.server.kvReleases.scheduler.Dropped() > 0 {
		t.Error("the release was dropped")
	}
}

// TestRetryNotForwardedAfterClientCancel: a client that leaves in the iteration in which its
// request arrives, or an engine rejects it, fails, completes its prefill or resets the
// connection, gets no further attempt.
func TestRetryNotForwardedAfterClientCancel(t *testing.T) {
	const requestArrives, connReset = "", "reset" // else an engine sends this response
	for _, event := range []string{
		requestArrives,
		platformtest.Status(http.StatusServiceUnavailable, platformtest.RejectedHeader),
		platformtest.Status(http.StatusInternalServerError, ""),
		"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
		connReset,
	} {
		for _, leavesFirst := range []bool{true, false} {
			if event == requestArrives && leavesFirst {
				continue // then there is no request
			}
			h := startHarness(t, "r1", "r1", "w1")
			conns := make(chan net.Conn, 4)
			for _, e := range h.engines[:2] {
				e.SetScript(platformtest.AnswerByTest(conns))
			}
			client := h.dial()
			var engineConn net.Conn
			maxAttempts := 0
			if event == requestArrives {
				h.waitOnLoop("the connection", func() bool { return h.server.clients.Len() == 1 })
			} else {
				io.WriteString(client, h.chat("ask"))
				engineConn = <-conns
				maxAttempts = 1
			}

			h.runInOneIteration(func() {
				if leavesFirst {
					client.Close()
				}
				switch event {
				case requestArrives:
					writeUnseen(t, client, h.chat("ask"))
				case connReset:
					enginetest.Reset(engineConn)
				default:
					writeUnseen(t, engineConn, event)
				}
				if !leavesFirst {
					client.Close()
				}
			})
			h.waitUntilNothingOpen()

			if attemptsAt(h.engines[:2]...) > maxAttempts || h.engines[2].Attempts() != 0 {
				t.Errorf("%q, client leaves first %v: %v attempts", event, leavesFirst, h.attemptCounts())
			}
		}
	}
}

// TestKVMissingNotRetriedAfterClientCancel: a decode engine that reports missing KV state in the
// iteration in which the client leaves, in either order, causes no further prefill, and KV state
// is released.
func TestKVMissingNotRetriedAfterClientCancel(t *testing.T) {
	for _, leavesFirst := range []bool{true, false} {
		h := startHarness(t, "r1", "w1", "w1")
		conns := make(chan net.Conn, 4)
		for _, e := range h.engines[1:] {
			e.SetScript(platformtest.AnswerByTest(conns))
		}
		client := h.send(h.chat("note"))
		engineConn := <-conns

		h.runInOneIteration(func() {
			if leavesFirst {
				client.Close()
			}
			writeUnseen(t, engineConn, platformtest.Status(http.StatusGone, platformtest.RejectedHeader))
			if !leavesFirst {
				client.Close()
			}
		})
		h.waitUntilNothingOpen()

		if h.engines[0].Attempts() != 1 || attemptsAt(h.engines[1:]...) != 1 || !h.isKVReleased() {
			t.Errorf("client leaves first %v: %v attempts, KV released %v", leavesFirst, h.attemptCounts(), h.isKVReleased())
		}
	}
}
