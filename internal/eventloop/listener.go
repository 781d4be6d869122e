package eventloop

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"martenlock/internal/timerwheel"
)

const (
	backlog = 4096 // connections that may wait in the kernel; it caps this at net.core.somaxconn
	// acceptsPerEvent bounds the connections accepted at once, so that a flood of new ones does not
	// starve the old ones.
	acceptsPerEvent = 64
	// starvedRetryDelay is after how long a listener that found no descriptor tries again, where
	// none of the loop's own was freed before.
	starvedRetryDelay = 100 * time.Millisecond
)

// listenerState is the life of a listener.
type listenerState uint8

const (
	listenerAccepting listenerState = iota
	listenerAtMax                   // Listener.Max connections are open: one must close first
	listenerClosed
)

// String returns the name of the state.
func (s listenerState) String() string {
	switch s {
	case listenerAccepting:
		return "accepting"
	case listenerAtMax:
		return "at max"
	case listenerClosed:
		return "closed"
	}
	return "unknown"
}

// Listener accepts connections. It belongs to its loop.
type Listener struct {
	loop       *Loop
	fd         int
	addr       netip.AddrPort
	accept     func(*Conn) Handler
	state      listenerState
	retryTimer timerwheel.Timer // while it is starved of descriptors
	open       int
	// MaxOpen bounds how many of its connections are open at once; 0 is no bound.
	// Those above it wait in the kernel's backlog.
	MaxOpen int
}

// Listen opens a listener at an address; port 0 lets the kernel pick one. accept is called on
// the loop and returns the handler of each new connection, or nil to close it.
func (l *Loop) Listen(addr netip.AddrPort, accept func(*Conn) Handler) (*Listener, error) {
	fd, bound, err := openListener(addr)
	if err != nil {
		return nil, fmt.Errorf("eventloop: listen %s: %w", addr, err)
	}
	if err := l.poller.add(fd, unix.EPOLLIN); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("eventloop: listen %s: %w", addr, err)
	}
	ln := &Listener{loop: l, fd: fd, addr: bound, accept: accept}
	ln.retryTimer.Fire = ln.retry
	l.sources[fd] = ln
	return ln, nil
}

// openListener returns a descriptor that listens at addr, and the address that it is bound to.
func openListener(addr netip.AddrPort) (int, netip.AddrPort, error) {
	family, sa := sockaddr(addr)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, netip.AddrPort{}, err
	}
	bound, err := bindAndListen(fd, sa)
	if err != nil {
		unix.Close(fd)
		return 0, netip.AddrPort{}, err
	}
	return fd, bound, nil
}

func bindAndListen(fd int, sa unix.Sockaddr) (netip.AddrPort, error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return netip.AddrPort{}, err
	}
	if err := unix.Bind(fd, sa); err != nil {
		return netip.AddrPort{}, err
	}
	if err := unix.Listen(fd, backlog); err != nil {
		return netip.AddrPort{}, err
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return addrPort(bound), nil
}

// Addr returns the address that it listens at.
func (ln *Listener) Addr() netip.AddrPort { return ln.addr }

// Open returns how many of its connections are open.
func (ln *Listener) Open() int { return ln.open }

// Close stops accepting; open connections stay. Those that the system has accepted already are
// taken first, or they would be reset.
func (ln *Listener) Close() {
	if ln.state == listenerClosed {
		return
	}
	for range backlog { // more cannot wait; the bound keeps a call that fails again and again from holding up the loop
		if !ln.acceptOne() {
			break
		}
	}
	ln.state = listenerClosed
	ln.loop.StopTimer(&ln.retryTimer)
	delete(ln.loop.starved, ln)
	delete(ln.loop.sources, ln.fd)
	unix.Close(ln.fd) // at once: a client must not wait in a backlog that nobody reads
}

// watch sets the events that the listener waits for; none pauses it.
func (ln *Listener) watch(events uint32) {
	if ln.state != listenerClosed {
		_ = ln.loop.poller.modify(ln.fd, events)
	}
}

// ready implements source.
func (ln *Listener) ready(uint32) {
	for range acceptsPerEvent {
		if ln.full() {
			ln.state = listenerAtMax
			ln.watch(0)
			return
		}
		if !ln.acceptOne() {
			return
		}
	}
}

func (ln *Listener) full() bool { return ln.MaxOpen > 0 && ln.open >= ln.MaxOpen }

// acceptOne accepts a connection and reports whether there may be another.
func (ln *Listener) acceptOne() bool {
	if ln.full() {
		return false
	}
	fd, _, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	switch {
	case noResources(err):
		ln.starve()
		return false
	case isPassing(err):
		return true
	case err != nil:
		return false
	}
	ln.admit(fd)
	return true
}

func noResources(err error) bool {
	return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) ||
		errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM)
}

// isPassing tells whether accept failed for a moment or for one connection only: EINTR, and errors of the
// network that were pending on a connection, which Linux reports here (accept(2)).
func isPassing(err error) bool {
	switch err {
	case unix.EINTR, unix.ECONNABORTED, unix.ENETDOWN, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET,
		unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT, unix.EPERM:
		return true
	}
	return false
}

// starve pauses a listener that found no descriptor. The connection stays in the backlog, and a
// level-triggered loop would spin on it.
func (ln *Listener) starve() {
	ln.watch(0)
	ln.loop.starved[ln] = struct{}{}
	ln.loop.StartTimer(&ln.retryTimer, starvedRetryDelay)
}

// retry ends the pause that starve began.
func (ln *Listener) retry() {
	delete(ln.loop.starved, ln)
	ln.watch(unix.EPOLLIN)
}

// admit makes an accepted descriptor a connection, or closes it where it gets no handler.
func (ln *Listener) admit(fd int) {
	c := &Conn{loop: ln.loop, fd: fd, listener: ln}
	if c.register(unix.EPOLLIN|unix.EPOLLRDHUP) != nil {
		unix.Close(fd)
		return
	}
	ln.open++
	c.handler = ln.accept(c)
	if c.handler == nil {
		c.release()
	}
}

// connClosed is called when one of its connections has closed.
func (ln *Listener) connClosed() {
	ln.open--
	if ln.state == listenerAtMax {
		ln.state = listenerAccepting
		ln.watch(unix.EPOLLIN)
	}
}
