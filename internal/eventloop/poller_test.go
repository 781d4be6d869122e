package eventloop

import (
	"testing"

	"golang.org/x/sys/unix"
)

// TestFailedPollLeavesEventsUnchanged: a failed poll must not overwrite the events of the preceding wait.
func TestFailedPollLeavesEventsUnchanged(t *testing.T) {
	events := []unix.EpollEvent{{Fd: 7}}
	if n, ok := pollEvents(-1, events); ok || n != 0 || events[0].Fd != 7 {
		t.Errorf("poll of an invalid descriptor returned %d, %v and changed the events to %v", n, ok, events)
	}
}
