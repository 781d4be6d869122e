package eventloop

import (
	"errors"
	"sync"

	"golang.org/x/sys/unix"
)

// noDescriptor is the descriptor of a closed mailbox.
const noDescriptor = -1

// mailbox passes functions from other goroutines to the loop. An eventfd wakes the loop for them.
type mailbox struct {
	eventfd int // written under mu

	mu        sync.Mutex
	functions []func()
	signalled bool // the eventfd is readable
}

func openEventfd() (int, error) {
	return unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
}

// put adds a function and wakes the loop. It may be called from any goroutine.
func (m *mailbox) put(fn func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.functions = append(m.functions, fn)
	if m.signalled || m.eventfd == noDescriptor {
		return
	}
	m.signalled = m.signal()
}

// signal makes the eventfd readable and reports whether it succeeded. After a failure the next put
// tries again.
func (m *mailbox) signal() bool {
	for {
		_, err := unix.Write(m.eventfd, []byte{1, 0, 0, 0, 0, 0, 0, 0})
		switch {
		case err == nil, errors.Is(err, unix.EAGAIN): // EAGAIN: the counter is at its maximum, so the eventfd is readable
			return true
		case !errors.Is(err, unix.EINTR):
			return false
		}
	}
}

// takeAll returns the functions added so far and makes the eventfd unreadable.
func (m *mailbox) takeAll() []func() {
	var counter [8]byte
	_, _ = unix.Read(m.eventfd, counter[:]) // a failure only causes a needless wake-up
	m.mu.Lock()
	defer m.mu.Unlock()
	functions := m.functions
	m.functions = nil
	m.signalled = false
	return functions
}

// close closes the eventfd. Later calls of put have no effect.
func (m *mailbox) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	closeDescriptor(m.eventfd)
	m.eventfd = noDescriptor
}
