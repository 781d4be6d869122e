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
	// backlog is the number of connections that may wait to be accepted. The kernel caps it at
	// net.core.somaxconn.
	backlog = 4096
	// acceptsPerEvent bounds the connections accepted in one iteration, so that a flood of new ones does
	// not delay the open ones.
	acceptsPerEvent = 64
	// starvedRetryDelay is how long a listener pauses for lack of descriptors or memory. It resumes
	// earlier if a connection of the loop closes. The loop does not notice descriptors and
	// memory that are released elsewhere.
	starvedRetryDelay = 100 * time.Millisecond
)

// listenerState tells whether a listener accepts connections.
type listenerState uint8

const (
	listenerAccepting listenerState = iota // accepting
	// listenerAtMax is a listener that does not accept because MaxOpen connections are open.
	listenerAtMax  // at max
	listenerClosed // closed
)

// Listener accepts connections on an address. It belongs to its loop.
type Listener struct {
	loop       *Loop
	fd         int
	addr       netip.AddrPort
	accept     func(*Conn) Handler
	state      listenerState
	retryTimer timerwheel.Timer // resumes a starved listener
	open       int              // connections
	// MaxOpen bounds the listener's open connections. Further ones wait in the kernel's backlog. 0 means
	// no bound.
	MaxOpen int
}

// Listen opens a listener on addr. Port 0 lets the kernel choose one. accept is called on the loop for
// each new connection and returns its handler, or nil to close it.
func (l *Loop) Listen(addr netip.AddrPort, accept func(*Conn) Handler) (*Listener, error) {
	fd, bound, err := openListener(addr)
	if err != nil {
		return nil, fmt.Errorf("eventloop: listen %s: %w", addr, err)
	}
	if err := l.poller.add(fd, unix.EPOLLIN); err != nil {
		closeDescriptor(fd)
		return nil, fmt.Errorf("eventloop: listen %s: %w", addr, err)
	}
	ln := &Listener{loop: l, fd: fd, addr: bound, accept: accept}
	ln.retryTimer.Fire = ln.resume
	l.sources[fd] = ln
	return ln, nil
}

// openListener returns a descriptor that listens on addr, and the address that it is bound to.
func openListener(addr netip.AddrPort) (int, netip.AddrPort, error) {
	family, sa := sockaddr(addr)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, netip.AddrPort{}, err
	}
	bound, err := bindAndListen(fd, sa)
	if err != nil {
		closeDescriptor(fd)
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

// Addr returns the address that the listener is bound to.
func (ln *Listener) Addr() netip.AddrPort { return ln.addr }

// Open returns the number of open connections that the listener has accepted.
func (ln *Listener) Open() int { return ln.open }

// Close accepts the connections in the backlog, as far as MaxOpen and the free descriptors allow, and
// then stops accepting. The kernel resets the rest of the backlog. Open connections stay open.
func (ln *Listener) Close() {
	if ln.state == listenerClosed {
		return
	}
	for range backlog { // no more can wait; an unbounded loop would not end if accept kept failing
		if !ln.acceptOne() {
			break
		}
	}
	ln.state = listenerClosed
	ln.loop.StopTimer(&ln.retryTimer)
	delete(ln.loop.starved, ln)
	delete(ln.loop.sources, ln.fd)
	closeDescriptor(ln.fd)
}

// watch sets the events that epoll watches for. 0 pauses the listener.
func (ln *Listener) watch(events uint32) {
	if ln.state != listenerClosed {
		_ = ln.loop.poller.modify(ln.fd, events) // it does not fail on an open descriptor that epoll watches
	}
}

// ready implements source.
func (ln *Listener) ready(uint32) {
	for range acceptsPerEvent {
		if ln.atMax() {
			ln.state = listenerAtMax
			ln.watch(0)
			return
		}
		if !ln.acceptOne() {
			return
		}
	}
}

func (ln *Listener) atMax() bool { return ln.MaxOpen > 0 && ln.open >= ln.MaxOpen }

// acceptOne accepts a connection if one is waiting and MaxOpen allows it. It reports whether another
// one may be accepted.
func (ln *Listener) acceptOne() bool {
	if ln.atMax() {
		return false
	}
	fd, _, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	switch {
	case isResourceShortage(err):
		ln.starve()
		return false
	case isTransient(err):
		return true
	case err != nil:
		return false
	}
	ln.admit(fd)
	return true
}

// isResourceShortage reports whether accept failed for lack of descriptors or memory.
func isResourceShortage(err error) bool {
	errno, _ := errors.AsType[unix.Errno](err)
	switch errno {
	case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
		return true
	default:
		return false
	}
}

// isTransient reports whether accept may succeed if it is called again at once. This holds for EINTR
// and for a pending network error of one new connection, which Linux returns from accept (accept(2)).
func isTransient(err error) bool {
	errno, _ := errors.AsType[unix.Errno](err)
	switch errno {
	case unix.EINTR, unix.ECONNABORTED, unix.ENETDOWN, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET,
		unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT, unix.EPERM:
		return true
	default:
		return false
	}
}

// starve pauses a listener for lack of descriptors or memory. The waiting connection stays in the
// backlog. Without the pause, epoll would report the listener in each iteration.
func (ln *Listener) starve() {
	ln.watch(0)
	ln.loop.starved[ln] = struct{}{}
	ln.loop.StartTimer(&ln.retryTimer, starvedRetryDelay)
}

// resume ends the pause that starve began. If descriptors or memory are still short, the next accept
// pauses the listener again.
func (ln *Listener) resume() {
	delete(ln.loop.starved, ln)
	ln.watch(unix.EPOLLIN)
}

// admit creates the connection of an accepted descriptor. It closes the descriptor if epoll rejects it
// or the accept function returns no handler.
func (ln *Listener) admit(fd int) {
	c := &Conn{loop: ln.loop, fd: fd, listener: ln}
	if c.register(unix.EPOLLIN|unix.EPOLLRDHUP) != nil {
		closeDescriptor(fd)
		return
	}
	ln.open++
	c.handler = ln.accept(c)
	if c.handler == nil {
		c.release()
	}
}

// connClosed must be called when a connection of the listener has closed.
func (ln *Listener) connClosed() {
	ln.open--
	if ln.state == listenerAtMax {
		ln.state = listenerAccepting
		ln.watch(unix.EPOLLIN)
	}
}
