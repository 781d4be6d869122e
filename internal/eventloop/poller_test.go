package eventloop

import (
	"testing"

	"golang.org/x/sys/unix"
)

// TestFailedPollLeavesEventsUnchanged: the events of the wait before it are not lost.
func TestFailedPollLeavesEventsUnchanged(t *testing.T) {
	events := []unix.EpollEvent{{Fd: 7}}
	if n, ok := pollEvents(-1, events); ok || n != 0 || events[0].Fd != 7 {
		t.Errorf("%d events, ok %v, %v", n, ok, events)
	}
}
