package connreuse

import (
	"testing"
	"time"

	"martenlock/control"
)

const ms = time.Millisecond

func at(elapsed time.Duration) control.Time { return control.Time(1e9).Add(elapsed) }

// TestStaleIdleTimesAreAvoidedAndRetriedLater: if a server closes connections after one idle second,
// connections with longer idle times are no longer reused, but those with shorter ones still are. A minute
// later the longer idle times are tried again.
func TestStaleIdleTimesAreAvoidedAndRetriedLater(t *testing.T) {
	var policy Policy
	now := time.Duration(0)
	lost, sent := 0, 0
	for range 400 {
		for _, idle := range []time.Duration{5 * ms, 500 * ms, 3 * time.Second} {
			now += 10 * ms
			if !policy.MayReuse(at(now), idle, false) {
				continue
			}
			stale := idle > time.Second
			policy.RecordOutcome(at(now), Outcome{Idle: idle, Elapsed: ms, Lost: stale})
			sent++
			if stale {
				lost++
			}
		}
	}

	if sent < 800 || lost > 15 || lost < 2 {
		t.Errorf("%d requests sent on reused connections, %d lost; want at least 800 and 2 to 15", sent, lost)
	}
	if !policy.MayReuse(at(now), 500*ms, true) || policy.MayReuse(at(now), 3*time.Second, false) {
		t.Error("want reuse after 500 ms and no reuse after 3 s")
	}
	if !policy.MayReuse(at(now+time.Minute), 3*time.Second, false) {
		t.Error("no reuse one minute after the last loss")
	}
}

// TestNotIdempotentNeedsRecentSuccesses: for a request that must not be retried, reuse requires recent
// successes at a similar idle time, and a single loss among few requests prevents it. Other requests need no
// successes. A connection that ends late does not count as lost.
func TestNotIdempotentNeedsRecentSuccesses(t *testing.T) {
	var policy Policy
	checkReuse := func(state string, now, idle time.Duration, notIdempotent, want bool) {
		t.Helper()
		if got := policy.MayReuse(at(now), idle, notIdempotent); got != want {
			t.Errorf("%s: idle for %v, not idempotent %v: MayReuse returned %v", state, idle, notIdempotent, got)
		}
	}
	recordSuccesses := func(count int) {
		for range count {
			policy.RecordOutcome(at(0), Outcome{Idle: ms, Elapsed: ms})
		}
	}
	checkReuse("without observations", 0, ms, true, false)
	checkReuse("without observations", 0, ms, false, true)

	recordSuccesses(20)
	policy.RecordOutcome(at(0), Outcome{Idle: ms, Elapsed: 10 * time.Second, Lost: true})
	checkReuse("after 20 successes and a late end", 0, ms, true, true)

	policy.RecordOutcome(at(0), Outcome{Idle: ms, Elapsed: ms, Lost: true})
	checkReuse("after one loss", 0, ms, true, false)
	checkReuse("after one loss", 0, ms, false, true)

	recordSuccesses(200)
	checkReuse("after one loss of two hundred", 0, ms, true, true)
	checkReuse("after successes at another idle time", 0, time.Hour, true, false)
	checkReuse("a minute after the successes", time.Minute, ms, true, false)
}
