package platform

import (
	"io"
	"net"
	"testing"
	"time"

	"martenlock/control/membership"
	"martenlock/internal/platform/platformtest"
)

// listLimit is the platform's limit on the time from a change that discovery has until the router knows it.
const listLimit = 6 * time.Second

// answersAfter answers a call with a message after delay, and sends head at once. What head lacks of the response's head
// must be part of the message.
func answersAfter(delay time.Duration, head, message string) callScript {
	return func(conn net.Conn) {
		io.WriteString(conn, head)
		time.AfterFunc(delay, func() { io.WriteString(conn, message) })
	}
}

// answersInPieces answers a call with the head at once and a message in pieces over the given time.
func answersInPieces(over time.Duration, message string) callScript {
	const pieces = 20
	return func(conn net.Conn) {
		io.WriteString(conn, platformtest.WatchHead)
		go func() {
			for i := range pieces {
				time.Sleep(over / pieces)
				piece := message[len(message)*i/pieces : len(message)*(i+1)/pieces]
				if _, err := io.WriteString(conn, platformtest.Chunk(piece)); err != nil {
					return
				}
			}
		}()
	}
}

// TestSlowDiscoveryIsHeardInTime guards against calls to discovery that are given up for new ones before a slow discovery
// answers them, so that the router never gets a list. The watch ends, and all later calls are answered slowly, or only
// the first one.
func TestSlowDiscoveryIsHeardInTime(t *testing.T) {
	const head = platformtest.WatchHead
	for name, test := range map[string]struct {
		script    func(message string) callScript
		onlyFirst bool          // later calls are answered at once
		within    time.Duration // listLimit if 0
	}{
		"answers after 0.2 s": {script: func(message string) callScript {
			return answersAfter(200*time.Millisecond, "", head+platformtest.Chunk(message))
		}},
		"answers after 0.7 s": {script: func(message string) callScript {
			return answersAfter(700*time.Millisecond, "", head+platformtest.Chunk(message))
		}},
		"answers after 1 s": {script: func(message string) callScript {
			return answersAfter(time.Second, "", head+platformtest.Chunk(message))
		}},
		"answers after 2 s": {script: func(message string) callScript {
			return answersAfter(2*time.Second, "", head+platformtest.Chunk(message))
		}},
		"answers after 4 s": {script: func(message string) callScript {
			return answersAfter(4*time.Second, "", head+platformtest.Chunk(message))
		}},
		"head at once, list after 4 s": {script: func(message string) callScript {
			return answersAfter(4*time.Second, head, platformtest.Chunk(message))
		}},
		"list in pieces over 4 s": {script: func(message string) callScript {
			return answersInPieces(4*time.Second, message)
		}},
		"list in pieces over 5 s": {script: func(message string) callScript {
			return answersInPieces(5*time.Second, message)
		}},
		"the first response ends after its head": {script: func(string) callScript {
			return func(conn net.Conn) {
				io.WriteString(conn, head)
				conn.Close()
			}
		}, onlyFirst: true, within: time.Second},
		"only the first answer takes 4 s": {script: func(message string) callScript {
			return answersAfter(4*time.Second, "", head+platformtest.Chunk(message))
		}, onlyFirst: true, within: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, "r1", "w1")
			callsBefore := h.discovery.Calls()
			h.revision = 2
			message := platformtest.IncrementalList(h.revision, h.engines[1].EntryInPhase(platformtest.Terminating)) + "\n"
			h.discovery.SetFirstMessage(message)
			script := test.script(message)
			h.discovery.SetScript(func(conn net.Conn, call int) (isAnswered bool) {
				if test.onlyFirst && call > callsBefore+1 {
					return false
				}
				script(conn)
				return true
			})

			h.discovery.CloseCalls()
			startedAt := time.Now()
			h.waitUntilListApplied()

			limit := listLimit
			if test.within > 0 {
				limit = test.within
			}
			if took := time.Since(startedAt); took > limit {
				t.Errorf("the list was applied after %v, limit %v", took, limit)
			}
			h.waitFor("all calls to discovery but the watch to be closed", func() bool { return h.discovery.OpenCalls() == 1 })
			h.expectOnlyLatestWatchIsRead()
		})
	}
}

// TestLateHeadDoesNotDelayNextCall guards against a next call that is delayed again by each response that begins: the second
// call gets the head of its response at once, the first one 2.4 s later, and neither gets a message.
func TestLateHeadDoesNotDelayNextCall(t *testing.T) {
	t.Parallel()
	h := startHarness(t, "r1", "w1")
	callsBefore := h.discovery.Calls()
	h.revision = 2
	h.discovery.SetFirstMessage(platformtest.IncrementalList(h.revision) + "\n")
	h.discovery.SetScript(func(conn net.Conn, call int) (isAnswered bool) {
		switch call - callsBefore {
		case 1:
			answersAfter(2400*time.Millisecond, "", platformtest.WatchHead)(conn)
		case 2:
			answersHead(conn)
		default:
			return false
		}
		return true
	})
	h.discovery.CloseCalls()
	startedAt := time.Now()

	h.waitUntilListApplied()

	const limit = membership.ResponseBackoff + 2*time.Second
	if took := time.Since(startedAt); took > limit {
		t.Errorf("the list was applied after %v, limit %v", took, limit)
	}
}

// TestCallsInProgressAreBounded guards against calls that pile up while each of them receives a message that never ends.
func TestCallsInProgressAreBounded(t *testing.T) {
	h := startHarness(t, "r1", "w1")
	h.discovery.SetScript(func(conn net.Conn, _ int) (isAnswered bool) {
		endlessMessage(conn)
		return true
	})
	h.discovery.CloseCalls()
	h.waitOnLoop("the watch to end", func() bool { return h.server.discovery.watch == nil })

	for range 3 * membership.MaxConcurrentCalls {
		h.runOnLoop(func() {
			h.server.discovery.startCall()
			if n := len(h.server.discovery.pending); n > membership.MaxConcurrentCalls {
				t.Errorf("%d concurrent calls, limit %d", n, membership.MaxConcurrentCalls)
			}
		})
	}
	h.waitFor("the router to close all other calls", func() bool { return h.discovery.OpenCalls() <= membership.MaxConcurrentCalls })
}

// TestSlowDiscoveryIsHeardAfterSilence guards against a slow discovery that is never heard again once its watch has fallen
// silent: silence is found after WatchTimeout, and the next call waits for an answer that takes 1 s.
func TestSlowDiscoveryIsHeardAfterSilence(t *testing.T) {
	t.Parallel()
	h := startHarness(t, "r1", "w1")
	h.revision = 2
	message := platformtest.IncrementalList(h.revision) + "\n"
	h.discovery.SetScript(func(conn net.Conn, _ int) (isAnswered bool) {
		answersAfter(time.Second, "", platformtest.WatchHead+platformtest.Chunk(message))(conn)
		return true
	})
	startedAt := time.Now()

	h.waitUntilListApplied()

	const answerTime, allowance = time.Second, 2 * time.Second
	const limit = membership.WatchTimeout + answerTime + allowance
	if took := time.Since(startedAt); took > limit {
		t.Errorf("the list was applied after %v, limit %v", took, limit)
	}
}

// TestSlowMessageOnWatchIsAwaited guards against a watch that is given up in the middle of a message, although its bytes
// still arrive: the new call would be as slow. Discovery needs 4 s for each message.
func TestSlowMessageOnWatchIsAwaited(t *testing.T) {
	t.Parallel()
	h := startHarness(t, "r1", "w1")
	watch := h.discovery.Calls()
	h.revision = 2
	message := platformtest.IncrementalList(h.revision) + "\n"
	h.discovery.SetScript(func(conn net.Conn, _ int) (isAnswered bool) {
		answersInPieces(4*time.Second, message)(conn)
		return true
	})
	startedAt := time.Now()

	go func() {
		for i := range message {
			h.discovery.SendOn(watch, message[i:i+1])
			time.Sleep(4 * time.Second / time.Duration(len(message)))
		}
	}()
	h.waitUntilListApplied()

	if took := time.Since(startedAt); took > listLimit {
		t.Errorf("the message was applied after %v, limit %v", took, listLimit)
	}
	h.waitOnLoop("the call of the message to be the watch", func() bool {
		return h.server.discovery.watch != nil && len(h.server.discovery.pending) == 0
	})
}

// TestSlowDiscoveryIsHeardAfterItMoves guards against a new discovery address that is never heard because it answers
// after 1 s.
func TestSlowDiscoveryIsHeardAfterItMoves(t *testing.T) {
	t.Parallel()
	h := startHarness(t, "r1", "w1")
	h.revision = 2
	next := platformtest.StartDiscovery(t, "")
	message := h.completeList() + "\n"
	next.SetScript(func(conn net.Conn, _ int) (isAnswered bool) {
		answersAfter(time.Second, "", platformtest.WatchHead+platformtest.Chunk(message))(conn)
		return true
	})
	h.config["discovery"] = next.Address()
	h.saveConfig()
	startedAt := time.Now()

	h.server.Reload(h.getenv)
	h.waitUntilListApplied()

	const limit = 4 * time.Second // of the platform, from SIGHUP on
	if took := time.Since(startedAt); took > limit {
		t.Errorf("the list was applied after %v, limit %v", took, limit)
	}
}

// TestUnansweredCallsAreLogged: an operator can see that discovery answers no call, although each call alone is given up
// without a line.
func TestUnansweredCallsAreLogged(t *testing.T) {
	t.Parallel()
	h := startHarness(t, "r1", "w1")
	h.discovery.SetScript(func(net.Conn, int) (isAnswered bool) { return true })
	h.discovery.CloseCalls()

	h.waitFor("a line about the calls", func() bool { return len(h.log.lines("discovery call timed out")) > 0 })
}
