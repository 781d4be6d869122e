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

// firstAndOther waits until one of two engines has received an attempt, and returns that engine first.
func (h *harness) firstAndOther(one, two *platformtest.Engine) (first, other *platformtest.Engine) {
	h.Helper()
	h.waitForAttempts(1, one, two)
	if two.Attempts() == 1 {
		return two, one
	}
	return one, two
}

// TestRetryNeverOvertakesCancellation: after the server aborts an attempt, its engine has time to
// notice before the request is retried. This holds for each result of an aborted attempt, whether or
// not the request is idempotent.
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
					t.Errorf("the decision module was notified of %v without a delay", result)
				}
			})
			h.waitForAttempts(1, other)

			h.runOnLoop(func() {
				if retries := h.attemptsInFlight(other); len(retries) != 1 || retries[0].startedAt-endedAt < connlimit.CancelPropagationDelay {
					t.Errorf("%d retries in flight, the first one started %v after the end of the aborted attempt, want 1 after %v", len(retries), retries[0].startedAt-endedAt, connlimit.CancelPropagationDelay)
				}
			})
			close(released)
			if answer := readAnswer(client); answer.Code != http.StatusOK {
				t.Errorf("class %s, %v: answered %d %s, want 200", class, result, answer.Code, answer.Body)
			}
		}
	}
}

// TestExchangeKeptUntilCancellationHasPropagated: an exchange whose client leaves while a
// cancellation propagates is kept until the decision module is notified of the attempt's end. After
// that its KV state is released and the exchange is removed.
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
			t.Error("the exchange was removed before the decision module was notified of the attempt's end")
		}
	})

	h.waitUntilNothingOpen()
	if !h.isKVReleased() {
		t.Error("the KV state that the attempt may have left was not released")
	}
}

// TestClientCancelEndsAttemptAndReleasesKV: when a client leaves, the connection to its engine is
// closed and its KV state is released, even if the prefill engines do not respond to release calls.
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
			return r.Method == http.MethodDelete // a release gets no response on its open connection
		})
	}
	client := h.send(h.chat("ask"))
	h.waitForAttempts(1, h.engines[:2]...)
	leftAt := time.Now()

	client.Close()

	select {
	case <-connEnded:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the engine was not closed")
	}
	h.waitFor("the KV release", func() bool { return h.isKVReleased() })
	h.waitOnLoop("an engine to confirm the KV release", func() bool { return h.server.kvReleases.scheduler.Len() == 0 })
	if took := time.Since(leftAt); took > maxDelay {
		t.Errorf("KV release confirmed after %v, limit %v", took, maxDelay)
	}
	if h.server.kvReleases.scheduler.Dropped() > 0 {
		t.Error("the KV release was dropped")
	}
}

// TestRetryNotForwardedAfterClientCancel: a request gets no further attempt if its client leaves in
// the loop iteration in which the request arrives, the engine responds, or the engine resets the
// connection.
func TestRetryNotForwardedAfterClientCancel(t *testing.T) {
	const requestArrives, connReset = "", "reset" // any other event is a response that the engine sends
	for _, event := range []string{
		requestArrives,
		platformtest.Status(http.StatusServiceUnavailable, platformtest.RejectedHeader),
		platformtest.Status(http.StatusInternalServerError, ""),
		"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
		connReset,
	} {
		for _, leavesFirst := range []bool{true, false} {
			if event == requestArrives && leavesFirst {
				continue // a client that has left sends no request
			}
			h := startHarness(t, "r1", "r1", "w1")
			conns := make(chan net.Conn, 4)
			for _, e := range h.engines[:2] {
				e.SetScript(platformtest.RespondByTest(conns))
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
					writeForNextIteration(t, client, h.chat("ask"))
				case connReset:
					enginetest.Reset(engineConn)
				default:
					writeForNextIteration(t, engineConn, event)
				}
				if !leavesFirst {
					client.Close()
				}
			})
			h.waitUntilNothingOpen()

			if attemptsAt(h.engines[:2]...) > maxAttempts || h.engines[2].Attempts() != 0 {
				t.Errorf("%q, client leaves first %v: engines received %v attempts, want at most %d, none of them at the decode engine", event, leavesFirst, h.attemptCounts(), maxAttempts)
			}
		}
	}
}

// TestKVMissingNotRetriedAfterClientCancel: if a decode engine reports missing KV state in the loop
// iteration in which the client leaves, in either order, no further prefill follows and KV state is
// released.
func TestKVMissingNotRetriedAfterClientCancel(t *testing.T) {
	for _, leavesFirst := range []bool{true, false} {
		h := startHarness(t, "r1", "w1", "w1")
		conns := make(chan net.Conn, 4)
		for _, e := range h.engines[1:] {
			e.SetScript(platformtest.RespondByTest(conns))
		}
		client := h.send(h.chat("note"))
		engineConn := <-conns

		h.runInOneIteration(func() {
			if leavesFirst {
				client.Close()
			}
			writeForNextIteration(t, engineConn, platformtest.Status(http.StatusGone, platformtest.RejectedHeader))
			if !leavesFirst {
				client.Close()
			}
		})
		h.waitUntilNothingOpen()

		if h.engines[0].Attempts() != 1 || attemptsAt(h.engines[1:]...) != 1 || !h.isKVReleased() {
			t.Errorf("client leaves first %v: engines received %v attempts, want one prefill and one decode; KV released %v", leavesFirst, h.attemptCounts(), h.isKVReleased())
		}
	}
}
