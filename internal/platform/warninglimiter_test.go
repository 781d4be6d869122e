package platform

import (
	"fmt"
	"testing"
	"time"
)

// TestRecurringWarningIsLimitedAndLoggedAgain: the number of remembered kinds is bounded, and a known kind is logged again
// after warningInterval even if the bound is reached.
func TestRecurringWarningIsLimitedAndLoggedAgain(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	h.runOnLoop(func() {
		for i := range 2 * maxWarningKinds {
			h.server.warn(warning{message: fmt.Sprint("kind ", i)}, nil)
		}

		lastLogged := h.server.warnings.lastLogged
		if n := len(lastLogged); n != maxWarningKinds {
			t.Errorf("%d kinds of warnings remembered, want %d", n, maxWarningKinds)
		}

		kind := warning{message: "kind 0"}
		longAgo := h.server.loop.Now() - 2*warningInterval
		lastLogged[kind] = longAgo
		h.server.warn(kind, nil)
		if lastLogged[kind] == longAgo {
			t.Error("a known kind was not logged again after its interval")
		}
	})
}

// TestWarningLimiterSeparatesKinds: a kind that was logged within its interval does not suppress another kind.
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
			t.Errorf("warning with status %d at %v: allowed %v, want %v", step.kind.status, step.at, got, step.want)
		}
	}
}
