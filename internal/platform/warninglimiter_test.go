package platform

import (
	"fmt"
	"testing"
	"time"
)

// TestRecurringWarningIsLimitedAndLoggedAgain: a condition that lasts is logged once in
// warningInterval, also after very many kinds of warnings.
func TestRecurringWarningIsLimitedAndLoggedAgain(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	h.runOnLoop(func() {
		for i := range 2 * maxWarningKinds {
			h.server.warn(warning{message: fmt.Sprint("kind ", i)}, nil)
		}

		lastLogged := h.server.warnings.lastLogged
		if n := len(lastLogged); n != maxWarningKinds {
			t.Errorf("%d kinds are remembered", n)
		}

		kind := warning{message: "kind 0"}
		longAgo := h.server.loop.Now() - 2*warningInterval
		lastLogged[kind] = longAgo
		h.server.warn(kind, nil)
		if lastLogged[kind] == longAgo {
			t.Error("a known kind is not logged again")
		}
	})
}

// TestWarningLimiterSeparatesKinds: one kind within its interval does not hide another.
func TestWarningLimiterSeparatesKinds(t *testing.T) {
	var limiter warningLimiter
	unavailable := warning{message: "status", status: 503}
	notFound := warning{message: "status", status: 404}
	for _, step := range []struct {
		at   time.Duration
		kind warning
		want bool
	}{
		{0, unavailable, true},
		{0, notFound, true},
		{warningInterval - 1, unavailable, false},
		{warningInterval, unavailable, true},
		{2*warningInterval - 1, unavailable, false},
		{2*warningInterval - 1, notFound, true},
	} {
		if got := limiter.allow(step.at, step.kind); got != step.want {
			t.Errorf("status %d at %v: %v, want %v", step.kind.status, step.at, got, step.want)
		}
	}
}
