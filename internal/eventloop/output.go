package eventloop

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// iovecsPerWrite bounds the segments that one writev call sends.
const iovecsPerWrite = 16

// output is the writing half of a connection.
type output struct {
	segments      []segment // in the order of sending
	unsent        int       // bytes in all segments
	unsentAtClose int       // bytes that were unsent when the connection closed
	writableDue   bool      // the high-water mark was reached, and Writable has not been called since
}

// segment is a piece of unsent output.
type segment struct {
	unsent []byte
	buffer []byte // pooled buffer of the bytes; nil if they were passed to WriteRef
	filled int    // bytes of buffer in use, including sent ones
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

// UnsentBytes returns the number of written bytes that the kernel has not accepted.
func (c *Conn) UnsentBytes() int { return c.out.unsent }

// UnsentAtClose returns how many bytes were unsent when the connection closed. On an open connection
// it returns 0.
func (c *Conn) UnsentAtClose() int { return c.out.unsentAtClose }

// AboveHighWaterMark reports whether unsent output has reached the high-water mark. If so, its writer
// should pause until Handler.Writable is called.
func (c *Conn) AboveHighWaterMark() bool { return c.out.unsent >= c.loop.opts.HighWaterMark }

// Write buffers a copy of b, which is sent at the end of the iteration.
func (c *Conn) Write(b []byte) {
	if c.IsClosed() {
		return
	}
	c.out.append(&c.loop.buffers, b)
	c.outputGrew()
}

// WriteRef is Write without a copy. The connection takes ownership of b, which must not change any
// more. Options.MaxUnsentBytes does not apply while b is the end of the unsent output.
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

// outputGrew must be called after bytes were added to the output. It schedules their sending for the
// end of the iteration.
func (c *Conn) outputGrew() {
	c.out.writableDue = c.out.writableDue || c.AboveHighWaterMark()
	c.scheduleFlush()
}

// append copies b to the free space of the last segment and the rest to new segments.
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
// more than Options.MaxUnsentBytes remain. The limit does not apply while the last segment is from
// WriteRef, whose bytes take no buffers of the loop.
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

// removeSent removes the first n bytes and releases the segments that are completely sent.
func (o *output) removeSent(buffers *bufferPool, n int) {
	o.unsent -= n
	completed := 0
	for n > 0 {
		s := &o.segments[completed]
		sent := min(n, len(s.unsent))
		s.unsent = s.unsent[sent:]
		n -= sent
		if len(s.unsent) == 0 {
			buffers.put(s.buffer)
			*s = segment{}
			completed++
		}
	}
	if completed == 0 {
		return
	}
	o.segments = append(o.segments[:0], o.segments[completed:]...)
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

// notifyWritable calls Writable of the handler if unsent output has reached the high-water mark and
// has then fallen to the low-water mark.
func (c *Conn) notifyWritable() {
	if c.out.writableDue && c.out.unsent <= c.loop.opts.LowWaterMark {
		c.out.writableDue = false
		c.handler.Writable(c)
	}
}
