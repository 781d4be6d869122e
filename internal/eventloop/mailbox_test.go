package eventloop

import (
	"testing"

	"golang.org/x/sys/unix"
)

// TestFailedWakeUpRetriedByNextPost: if waking the loop fails, the next post tries again. Without the retry no later
// post would wake the loop.
func TestFailedWakeUpRetriedByNextPost(t *testing.T) {
	eventfd, err := openEventfd()
	if err != nil {
		t.Fatal(err)
	}
	unwritable, err := unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer closeDescriptor(unwritable)

	m := mailbox{eventfd: unwritable}
	m.put(func() {})
	if m.signalled {
		t.Error("signalled is set after a failed wake-up")
	}

	m.eventfd = eventfd
	defer m.close()
	m.put(func() {})
	expectReadable(t, eventfd)
	if functions := m.takeAll(); len(functions) != 2 {
		t.Errorf("takeAll returned %d functions, want 2", len(functions))
	}
}

// expectReadable fails the test unless a descriptor is readable.
func expectReadable(t *testing.T, fd int) {
	t.Helper()
	ready, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	if err != nil || ready != 1 {
		t.Errorf("descriptor is not readable: poll returned %d, %v", ready, err)
	}
}
