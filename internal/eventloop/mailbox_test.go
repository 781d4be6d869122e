package eventloop

import (
	"testing"

	"golang.org/x/sys/unix"
)

// TestFailedWakeUpRetriedByNextPost: a function that was posted while the loop could not be woken runs with the next
// one. Without the retry no later post would wake the loop.
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
		t.Error("a wake-up that failed counts as one")
	}

	m.eventfd = eventfd
	defer m.close()
	m.put(func() {})
	expectReadable(t, eventfd)
	if len(m.takeAll()) != 2 {
		t.Error("a function was lost")
	}
}

// expectReadable fails the test unless a descriptor is readable.
func expectReadable(t *testing.T, fd int) {
	t.Helper()
	ready, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	if err != nil || ready != 1 {
		t.Errorf("not readable: %d, %v", ready, err)
	}
}
