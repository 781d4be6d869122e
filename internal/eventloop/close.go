package eventloop

import (
	"time"

	"golang.org/x/sys/unix"

	"martenlock/internal/timerwheel"
)

// closeTimeout bounds how long a close waits for the peer to accept the output and, if it lingers,
// to close its sending half.
const closeTimeout = 2 * time.Second

// Close sends the buffered output, then closes. The handler gets no further call. Output that the
// peer does not accept within closeTimeout is lost.
func (c *Conn) Close() {
	switch c.state {
	case connClosed:
		return
	case connConnecting:
		c.state = connCloseOnOpen
	case connOpen:
		c.state = connClosing
	case connCloseOnOpen, connClosing, connAwaitingPeer: // Close was called before
	}
	c.handler = discard{}
	c.in.reading = readActive
	c.discardInput()
	c.scheduleFlush()
}

// CloseLingering is Close for a peer that may still be sending. It reads and discards input for up
// to closeTimeout. Without this, the kernel would answer the input with a reset, which can make the
// peer lose the end of the output (RFC 9112, section 9.6).
func (c *Conn) CloseLingering() {
	c.lingers = true
	c.Close()
}

// continueClose advances a close. It releases the connection once all output is sent and, if the
// close lingers, the peer has closed its sending half.
func (c *Conn) continueClose() {
	if !c.state.closing() {
		return
	}
	allSent := c.out.unsent == 0
	if allSent && (!c.lingers || c.in.peer == peerEOFRead) {
		c.release()
		return
	}
	if allSent && c.state == connClosing {
		c.state = connAwaitingPeer
		_ = unix.Shutdown(c.fd, unix.SHUT_WR) // it fails only if the peer has reset the connection, which epoll reports
	}
	if c.closeTimer == nil {
		c.closeTimer = &timerwheel.Timer{Fire: c.release}
		c.loop.StartTimer(c.closeTimer, closeTimeout)
	}
}

// Abort closes at once. The handler gets no further call, and unsent output is lost. The peer sees a
// reset if output was unsent or input unread.
func (c *Conn) Abort() {
	if c.out.unsent > 0 {
		c.resetOnClose()
	}
	c.release()
}

// ShutdownAndAbort shuts down both directions, then aborts. The peer sees the end of this connection
// before any output that other connections send later in this iteration.
func (c *Conn) ShutdownAndAbort() {
	if !c.IsClosed() {
		_ = unix.Shutdown(c.fd, unix.SHUT_RDWR) // it fails only if no connection is established
	}
	c.Abort()
}

// Reset closes at once with a TCP reset (RFC 9293, section 3.10.5). The handler gets no further call.
func (c *Conn) Reset() {
	c.resetOnClose()
	c.release()
}

// resetOnClose makes the kernel send a reset when the descriptor is closed.
func (c *Conn) resetOnClose() {
	if !c.IsClosed() {
		// This does not fail on a TCP socket. If it did, the peer would see an orderly close.
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
}

// fail closes the connection at once and passes err to its handler.
func (c *Conn) fail(err error) {
	if c.IsClosed() {
		return
	}
	handler := c.handler
	c.release()
	handler.Closed(c, err)
}

// release closes the descriptor and returns the buffers. Later calls have no effect.
func (c *Conn) release() {
	if c.IsClosed() {
		return
	}
	c.state = connClosed
	c.releaseDescriptor()
	c.out.discardAll(&c.loop.buffers)
	c.discardInput()
	if c.closeTimer != nil {
		c.loop.StopTimer(c.closeTimer)
	}
	if c.listener != nil {
		c.listener.connClosed()
	}
}

func (c *Conn) releaseDescriptor() {
	delete(c.loop.sources, c.fd)
	c.loop.poller.remove(c.fd)
	closeDescriptor(c.fd)
	c.loop.pending.closedDescriptors[c.fd] = struct{}{}
	c.loop.pending.descriptorFreed = true
}
