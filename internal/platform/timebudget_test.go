package platform

import (
	"net"
	"net/http"
	"testing"
	"time"

	"martenlock/internal/platform/platformtest"
)

// TestForwardedBudgetNeverExceedsRemainingTime: the time budget of every attempt, retries included, is
// at most the time for which the client still waits.
func TestForwardedBudgetNeverExceedsRemainingTime(t *testing.T) {
	for _, test := range []struct {
		left time.Duration
		want string
	}{{2500 * time.Microsecond, "2m"}, {time.Second, "1000m"}, {999 * time.Microsecond, "999u"}, {0, "1u"}, {-time.Second, "1u"}} {
		if got := string(appendTimeBudget(nil, test.left)); got != "X-Budget: "+test.want+"\r\n" {
			t.Errorf("%v left: header field %q, want %s", test.left, got, test.want)
		}
	}
	const (
		clientBudget = 4 * time.Second // of each request of the harness
		delay        = 150 * time.Millisecond
	)
	h := startHarness(t, "r1", "w1", "w1")
	delayed := func(script platformtest.Script) platformtest.Script {
		return func(r *platformtest.Request) bool {
			time.Sleep(delay)
			return script(r)
		}
	}
	h.engines[0].SetScript(delayed(platformtest.WellBehaved))
	for _, e := range h.engines[1:] {
		e.SetScript(delayed(func(r *platformtest.Request) bool {
			return r.Write(platformtest.Status(http.StatusServiceUnavailable, platformtest.RejectedHeader))
		}))
	}
	sentAt := time.Now()

	h.roundTrip(h.chat("ask"))

	h.mu.Lock()
	defer h.mu.Unlock()
	attempts := 0
	for _, r := range h.requests {
		if r.Method != http.MethodPost {
			continue
		}
		forwarded, err := time.ParseDuration(r.TimeBudget + "s") // completes the unit: "3849m" becomes "3849ms"
		if err != nil {
			t.Fatalf("time budget %q: %v", r.TimeBudget, err)
		}
		elapsed := time.Duration(attempts) * delay // a lower bound
		if left := clientBudget - elapsed; forwarded > left || forwarded < 3*time.Second || r.ReceivedAt.Sub(sentAt) < elapsed {
			t.Errorf("attempt %d, %v after the request: budget %v, client waits for %v more", attempts, r.ReceivedAt.Sub(sentAt), forwarded, left)
		}
		attempts++
	}
	if attempts < 3 {
		t.Errorf("%d attempts, want at least 3", attempts)
	}
}

// TestAnswerPrecedesTimeoutOfTheSameIteration: an engine's response that arrives after the deadline is
// forwarded to the client if the loop reads it in the iteration in which the timer expires.
func TestAnswerPrecedesTimeoutOfTheSameIteration(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	conns := make(chan net.Conn, 1)
	h.engines[1].SetScript(platformtest.RespondByTest(conns))
	client := h.send(h.chat("note", "4000m", "600m"))
	engineConn := <-conns

	h.runInOneIteration(func() {
		time.Sleep(700 * time.Millisecond) // blocks the loop beyond the deadline of 600 ms
		writeForNextIteration(t, engineConn, platformtest.Stream())
	})

	if answer := readAnswer(client); answer.Code != http.StatusOK || !answer.IsComplete {
		t.Errorf("answered %d %s, complete %v, want a complete stream", answer.Code, answer.Body, answer.IsComplete)
	}
}
