package eventloop

import "golang.org/x/sys/unix"

// readState tells whether the input of a connection is read or paused.
type readState uint8

const (
	readActive readState = iota // active
	readPaused                  // paused
	// readPausedInputPending is a paused connection with unread bytes. Epoll does not watch it for input.
	readPausedInputPending // paused with input pending
)

// peerState is the state of the peer's sending half of a connection.
type peerState uint8

const (
	peerOpen peerState = iota // open
	// peerEOFNotified means that the peer closed its sending half or reset the connection while reading
	// was paused. The handler's EOF was called, but earlier bytes may be unread.
	peerEOFNotified // ended
	// peerEOFRead means that the peer closed its sending half and all its bytes were read.
	peerEOFRead // read to the end
)

// input is the reading half of a connection.
type input struct {
	unconsumed    []byte // bytes that the handler has not consumed, in a pooled buffer; nil while empty
	reading       readState
	peer          peerState
	redeliveryDue bool // unconsumed must be delivered again because reading was resumed
	// deliverBeforeReset is set if unread bytes must be delivered before a reset is reported.
	deliverBeforeReset bool
	// unwatched is set while epoll does not watch the descriptor: the peer has reset the connection,
	// and because of deliverBeforeReset this is reported only after Resume.
	unwatched bool
}

func (in *input) paused() bool { return in.reading != readActive }

// events returns the input events to watch for. watched are the events that epoll watches for now.
// Epoll watches a paused connection for input until bytes arrive. Most pauses end before that, so they
// need no system call.
func (in *input) events(watched uint32) uint32 {
	var events uint32
	switch {
	case in.peer == peerEOFRead:
	case in.reading == readActive:
		events |= unix.EPOLLIN
	case in.reading == readPaused:
		events |= watched & unix.EPOLLIN
	}
	if in.peer == peerOpen {
		events |= unix.EPOLLRDHUP
	}
	return events
}

// NoInputPending reports whether the peer has sent no unconsumed bytes and has not closed its sending
// half. It asks the kernel, so bytes that the loop has not read count as well. A client should not
// reuse an idle connection with pending input, which belongs to no request.
func (c *Conn) NoInputPending() bool {
	if c.IsClosed() || c.in.peer == peerEOFRead || len(c.in.unconsumed) > 0 {
		return false
	}
	return peek(c.fd) == unix.EAGAIN
}

// Pause stops reading. A reset and the close of the peer's sending half are still reported.
func (c *Conn) Pause() {
	if c.in.reading == readActive {
		c.in.reading = readPaused
	}
}

// Paused reports whether reading is paused.
func (c *Conn) Paused() bool { return c.in.paused() }

// DeliverBeforeReset makes a paused connection deliver unread bytes before it reports a reset:
// EOF is called at the reset, and after Resume the handler gets the bytes, then Closed. By default
// Closed is called at once and the bytes are lost.
func (c *Conn) DeliverBeforeReset() { c.in.deliverBeforeReset = true }

// Resume continues reading. Bytes that the handler has not consumed are delivered again first.
func (c *Conn) Resume() {
	if !c.in.paused() {
		return
	}
	c.in.reading = readActive
	c.in.redeliveryDue = len(c.in.unconsumed) > 0
	c.scheduleFlush()
}

// ready implements source.
func (c *Conn) ready(events uint32) {
	switch {
	case c.state.connecting():
		c.finishConnect()
	case c.in.paused():
		c.readyWhilePaused(events)
	default:
		c.readyWhileReading(events)
	}
}

func (c *Conn) readyWhilePaused(events uint32) {
	if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 {
		c.resetWhilePaused()
		return
	}
	if events&unix.EPOLLIN != 0 && c.in.reading == readPaused {
		c.in.reading = readPausedInputPending
		c.scheduleFlush()
	}
	if events&unix.EPOLLRDHUP != 0 {
		c.notifyEarlyEOF() // unread bytes before the end wait for Resume
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.scheduleFlush()
	}
}

// resetWhilePaused handles a reset, or the close of both halves, of a paused connection.
func (c *Conn) resetWhilePaused() {
	if c.in.deliverBeforeReset && peek(c.fd) == 0 {
		c.loop.poller.remove(c.fd) // epoll would report the reset in each iteration
		c.in.unwatched = true
		c.notifyEarlyEOF()
		return
	}
	code, _ := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR) // 0 on failure
	if code == 0 {
		code = int(unix.ECONNRESET)
	}
	c.fail(unix.Errno(code))
}

// notifyEarlyEOF calls the handler's EOF although earlier bytes may be unread. Only its first call has
// an effect.
func (c *Conn) notifyEarlyEOF() {
	if c.in.peer != peerOpen {
		return
	}
	c.in.peer = peerEOFNotified
	c.scheduleFlush()
	c.handler.EOF(c)
}

func (c *Conn) readyWhileReading(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		c.scheduleFlush()
	}
	if c.in.peer != peerEOFRead {
		if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLERR|unix.EPOLLHUP) != 0 {
			c.read()
		}
		return
	}
	if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 {
		c.fail(unix.ECONNRESET) // both halves are closed
	}
}

// read reads once and passes the bytes to the handler. If more are unread, epoll reports the
// connection again.
func (c *Conn) read() {
	scratch := c.loop.scratch
	n, errno := read(c.fd, scratch)
	switch {
	case errno == unix.EAGAIN || errno == unix.EINTR:
	case errno != 0:
		c.fail(errno)
	case n == 0:
		c.in.peer = peerEOFRead
		c.scheduleFlush()
		c.handler.EOF(c)
	case len(c.in.unconsumed) == 0:
		consumed := c.handler.Data(c, scratch[:n])
		c.keepUnconsumed(scratch[consumed:n])
	default:
		c.keepUnconsumed(scratch[:n])
		c.deliver()
	}
}

// redeliver delivers unconsumed bytes after the end of a pause.
func (c *Conn) redeliver() {
	if c.in.redeliveryDue && !c.in.paused() {
		c.in.redeliveryDue = false
		c.deliver()
	}
}

// deliver passes all unconsumed bytes to the handler. The handler may close the connection, which
// returns its buffers to the pool. The connection therefore does not hold this buffer during the call.
func (c *Conn) deliver() {
	unconsumed := c.in.unconsumed
	c.in.unconsumed = nil
	consumed := c.handler.Data(c, unconsumed)
	rest := copy(unconsumed, unconsumed[consumed:])
	if rest > 0 && c.keepsInput() {
		c.in.unconsumed = unconsumed[:rest]
	} else {
		c.loop.buffers.put(unconsumed)
	}
}

// keepUnconsumed copies b to the end of the unconsumed bytes, in a larger buffer if necessary.
func (c *Conn) keepUnconsumed(b []byte) {
	if len(b) == 0 || !c.keepsInput() {
		return
	}
	size := len(c.in.unconsumed) + len(b)
	if size > cap(c.in.unconsumed) {
		grown := append(c.loop.buffers.get(size)[:0], c.in.unconsumed...)
		c.loop.buffers.put(c.in.unconsumed)
		c.in.unconsumed = grown
	}
	c.in.unconsumed = append(c.in.unconsumed, b...)
}

// keepsInput reports whether unconsumed bytes must be kept because the handler may still get them.
func (c *Conn) keepsInput() bool { return !c.IsClosed() && !c.state.closing() }

func (c *Conn) discardInput() {
	c.loop.buffers.put(c.in.unconsumed)
	c.in.unconsumed = nil
	c.in.redeliveryDue = false
}
