package eventloop

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"

	"martenlock/internal/timerwheel"
)

//go:generate go tool stringer -linecomment -type=connState,readState,peerState,listenerState -output=enum_string.go

// connState is the state of a connection on this side. See peerState for the peer's side.
type connState uint8

const (
	connOpen connState = iota // open
	// connConnecting is a connection that Dial has started.
	connConnecting // connecting
	// connCloseOnOpen is a connection on which Close was called before it was established.
	connCloseOnOpen // close on open
	// connClosing is a connection on which Close was called and that may have output to send.
	connClosing // closing
	// connAwaitingPeer is a lingering connection that has sent all output and closed its sending half.
	connAwaitingPeer // awaiting peer
	// connClosed is a connection whose descriptor is closed.
	connClosed // closed
)

// connecting reports whether the handshake is under way.
func (s connState) connecting() bool { return s == connConnecting || s == connCloseOnOpen }

// closing reports whether Close was called and the connection is not yet closed.
func (s connState) closing() bool {
	return s == connCloseOnOpen || s == connClosing || s == connAwaitingPeer
}

// Conn is a TCP connection. Its loop owns its descriptor and buffers. Its methods must be called on
// the loop. On a closed connection they do nothing.
type Conn struct {
	loop     *Loop
	handler  Handler
	listener *Listener // nil for a connection of Dial
	fd       int
	state    connState
	in       input
	out      output

	watched        uint32 // events that epoll watches for
	flushScheduled bool   // the connection is in pendingWork.conns

	lingers    bool              // CloseLingering was called
	closeTimer *timerwheel.Timer // bounds a close; nil until needed
}

// Dial starts a connection to addr and returns before it is established. It returns only local errors,
// such as the lack of a descriptor or a port. Errors of the network or the peer are passed to the
// handler's Closed, but never during the call of Dial.
func (l *Loop) Dial(addr netip.AddrPort, h Handler) (*Conn, error) {
	family, sa := sockaddr(addr)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	c := &Conn{loop: l, fd: fd, handler: h, state: connConnecting}
	connectErr := unix.Connect(fd, sa)
	switch {
	case connectErr == nil, errors.Is(connectErr, unix.EINPROGRESS), errors.Is(connectErr, unix.EINTR):
	case errors.Is(connectErr, unix.EADDRNOTAVAIL), errors.Is(connectErr, unix.EAGAIN):
		closeDescriptor(fd)
		return nil, connectErr
	default:
		l.Defer(func() { c.fail(connectErr) })
	}
	if err := c.register(unix.EPOLLOUT); err != nil {
		closeDescriptor(fd)
		return nil, err
	}
	return c, nil
}

// register adds the connection to the loop, which watches its descriptor for events.
func (c *Conn) register(events uint32) error {
	// The loop coalesces output itself, so Nagle's algorithm would only delay it. If the call fails, output is
	// only delayed.
	_ = unix.SetsockoptInt(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err := c.loop.poller.add(c.fd, events); err != nil {
		return err
	}
	c.watched = events
	c.loop.sources[c.fd] = c
	return nil
}

// finishConnect handles the end of the handshake, whether it succeeded or failed.
func (c *Conn) finishConnect() {
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil || code != 0 {
		c.fail(errors.Join(err, unix.Errno(code)))
		return
	}
	if c.state == connCloseOnOpen {
		c.state = connClosing
	} else {
		c.state = connOpen
	}
	c.scheduleFlush()
	c.handler.Opened(c)
}

// SetHandler replaces the handler. Later events go to h.
func (c *Conn) SetHandler(h Handler) { c.handler = h }

// Loop returns the loop that the connection belongs to.
func (c *Conn) Loop() *Loop { return c.loop }

// IsClosed reports whether the descriptor is closed. After Close and CloseLingering it is false until
// the close is complete.
func (c *Conn) IsClosed() bool { return c.state == connClosed }

// Remote returns the peer's address. On a closed connection it returns the zero address.
func (c *Conn) Remote() netip.AddrPort {
	sa, err := unix.Getpeername(c.fd)
	if err != nil || c.IsClosed() {
		return netip.AddrPort{}
	}
	return addrPort(sa)
}

func (c *Conn) scheduleFlush() {
	if c.flushScheduled || c.IsClosed() {
		return
	}
	c.flushScheduled = true
	c.loop.pending.conns = append(c.loop.pending.conns, c)
}

// flushAtIterationEnd redelivers input, sends output, continues a close, notifies the writer and
// updates the events that epoll watches for. Each step may close the connection.
func (c *Conn) flushAtIterationEnd() {
	if c.IsClosed() || c.state.connecting() {
		return
	}
	c.redeliver()
	if c.IsClosed() {
		return
	}
	c.flush()
	if c.IsClosed() {
		return
	}
	c.continueClose()
	if c.IsClosed() {
		return
	}
	c.notifyWritable()
	if c.IsClosed() {
		return
	}
	c.updateWatch()
}

// updateWatch makes epoll watch for the events that the connection needs now.
func (c *Conn) updateWatch() {
	if c.in.unwatched {
		if c.in.paused() {
			return
		}
		if err := c.loop.poller.add(c.fd, unix.EPOLLIN); err != nil {
			c.fail(err)
			return
		}
		c.in.unwatched = false
		c.watched = unix.EPOLLIN
	}
	events := c.in.events(c.watched)
	if c.out.unsent > 0 {
		events |= unix.EPOLLOUT
	}
	if events == c.watched {
		return
	}
	if err := c.loop.poller.modify(c.fd, events); err != nil {
		c.fail(err)
		return
	}
	c.watched = events
}
