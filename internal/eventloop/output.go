package eventloop

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// iovecsPerWrite bounds the segments of one writev. Each iovec takes time to set up, and few
// connections have more segments.
const iovecsPerWrite = 16

// output is the writing half of a connection.
type output struct {
	segments      []segment // unsent bytes in order
	unsent        int       // bytes of all segments
	unsentAtClose int       // bytes that were unsent when the connection closed
	writableDue   bool      // the high-water mark was reached, and Writable has not been called since
}

// segment is a piece of unsent output.
type segment struct {
	unsent []byte
	buffer []byte // pooled, holds unsent; nil if the bytes are those of a WriteRef
	filled int    // bytes of buffer used so far, sent ones included
}

// hasSpace reports whether the segment's buffer can take more bytes.
func (s *segment) hasSpace() bool { return s.filled < len(s.buffer) }

// fill copies as many bytes as fit and returns their number.
func (s *segment) fill(b []byte) int {
	n := copy(s.buffer[s.filled:], b)
	s.filled += n
	s.unsent = s.unsent[:len(s.unsent)+n]
	return n
}

// UnsentBytes returns the number of bytes written that the kernel has not accepted.
func (c *Conn) UnsentBytes() int { return c.out.unsent }

// UnsentAtClose returns how many bytes were unsent when the connection closed. On an open connection
// it returns 0.
func (c *Conn) UnsentAtClose() int { return c.out.unsentAtClose }

// AboveHighWaterMark reports whether unsent output has reached the high-water mark. Its source
// should pause then until Handler.Writable is called.
func (c *Conn) AboveHighWaterMark() bool { return c.out.unsent >= c.loop.opts.HighWaterMark }

// Write buffers a copy of b, which is sent at the end of the iteration.
func (c *Conn) Write(b []byte) {
	if c.IsClosed() {
		return
	}
	c.out.append(&c.loop.buffers, b)
	c.outputGrew()
}

// WriteRef buffers b without a copy. b belongs to the connection from now on and must not change.
func (c *Conn) WriteRef(b []byte) {
	if c.IsClosed() {
		return
	}
	if len(b) > 0 {
		c.out.segments = append(c.out.segments, segment{unsent: b})
		c.out.unsent += len(b)
	}
	c.outputGrew()
}

// outputGrew is called after each growth of the output. The output is sent at the end of the iteration.
func (c *Conn) outputGrew() {
	c.out.writableDue = c.out.writableDue || c.AboveHighWaterMark()
	c.markPending()
}

// append copies b to the last segment's buffer and to new ones.
func (o *output) append(buffers *bufferPool, b []byte) {
	for len(b) > 0 {
		last := len(o.segments) - 1
		if last < 0 || !o.segments[last].hasSpace() {
			buffer := buffers.get(min(len(b), scratchSize))
			o.segments = append(o.segments, segment{unsent: buffer[:0], buffer: buffer})
			last++
		}
		n := o.segments[last].fill(b)
		o.unsent += n
		b = b[n:]
	}
}

// flush sends as much output as the kernel accepts. It closes the connection if that fails, or if
// more than Options.MaxUnsentBytes remain. Bytes of a WriteRef may exceed that limit while they are
// the last ones: they take no memory of the loop.
func (c *Conn) flush() {
	if errno := c.send(); errno != 0 {
		c.fail(errno)
		return
	}
	if c.out.unsent <= c.loop.opts.MaxUnsentBytes {
		return
	}
	last := &c.out.segments[len(c.out.segments)-1]
	if last.buffer != nil {
		c.fail(ErrOverflow)
	}
}

// send writes until all output is sent or the kernel accepts no more. It returns 0 in both cases.
func (c *Conn) send() unix.Errno {
	for c.out.unsent > 0 {
		n, errno := c.out.writeTo(c.fd, c.loop.iovecs[:])
		switch errno {
		case 0:
			c.out.removeSent(&c.loop.buffers, n)
		case unix.EINTR:
		case unix.EAGAIN:
			return 0
		default:
			return errno
		}
	}
	return 0
}

// writeTo makes one system call that writes the first segments. It returns how many bytes the
// kernel accepted.
func (o *output) writeTo(fd int, iovecs []unix.Iovec) (int, unix.Errno) {
	if len(o.segments) == 1 {
		return write(fd, o.segments[0].unsent)
	}
	iovecs = iovecs[:min(len(o.segments), len(iovecs))]
	for i := range iovecs {
		unsent := o.segments[i].unsent
		iovecs[i].Base = unsafe.SliceData(unsent)
		iovecs[i].SetLen(len(unsent))
	}
	n, errno := writev(fd, iovecs)
	clear(iovecs) // the loop's iovecs must not keep the bytes alive
	return n, errno
}

// removeSent removes the first n bytes and releases the segments that are sent whole.
func (o *output) removeSent(buffers *bufferPool, n int) {
	o.unsent -= n
	done := 0
	for n > 0 {
		s := &o.segments[done]
		sent := min(n, len(s.unsent))
		s.unsent = s.unsent[sent:]
		n -= sent
		if len(s.unsent) == 0 {
			buffers.put(s.buffer)
			*s = segment{}
			done++
		}
	}
	if done == 0 {
		return
	}
	o.segments = append(o.segments[:0], o.segments[done:]...)
	if len(o.segments) == 0 {
		o.segments = nil
	}
}

// discardAll releases all segments when the connection closes.
func (o *output) discardAll(buffers *bufferPool) {
	for i := range o.segments {
		buffers.put(o.segments[i].buffer)
	}
	o.unsentAtClose = o.unsent
	o.segments = nil
	o.unsent = 0
}

// notifyWritable calls Writable once output has fallen from the high-water to the low-water mark.
func (c *Conn) notifyWritable() {
	if c.out.writableDue && c.out.unsent <= c.loop.opts.LowWaterMark {
		c.out.writableDue = false
		c.handler.Writable(c)
	}
}
