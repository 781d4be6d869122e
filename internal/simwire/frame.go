package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Layout of frames, in bytes.
const (
	batchHeaderBytes   = 20
	replyHeaderBytes   = 8
	batchSizeOffset    = 8       // of the frame's length in a batch's header
	maxFrameBytes      = 1 << 30 // a header with a greater length is malformed
	typicalActionBytes = 24      // size of most encoded actions; estimates the capacity of a reply's buffer
)

// ReadFrame reads one batch frame. It returns io.EOF if the input ends between frames, and an error that
// wraps io.ErrUnexpectedEOF if it ends within one.
func ReadFrame(r io.Reader) ([]byte, error) {
	header := make([]byte, batchHeaderBytes)
	n, err := io.ReadFull(r, header)
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	if err != nil {
		return nil, fmt.Errorf("frame header: read %d of %d bytes: %w", n, batchHeaderBytes, err)
	}
	size := binary.LittleEndian.Uint32(header[batchSizeOffset:])
	if size < batchHeaderBytes || size > maxFrameBytes {
		return nil, fmt.Errorf("frame length %d is out of range, want %d to %d", size, batchHeaderBytes, maxFrameBytes)
	}
	frame := make([]byte, size)
	copy(frame, header)
	n, err = io.ReadFull(r, frame[batchHeaderBytes:])
	if err != nil {
		return nil, fmt.Errorf("frame body: read %d of %d bytes: %w", n, size-batchHeaderBytes, io.ErrUnexpectedEOF)
	}
	return frame, nil
}

// batchHeader encodes or decodes the header of a batch. size is the frame's length in bytes and count the number
// of its records.
func batchHeader(c *codec, b *Batch, size, count *uint32) {
	integer(c, &b.Clock)
	integer(c, size)
	integer(c, count)
	integer(c, &b.Number)
}

// ParseBatch decodes a complete batch frame. It returns a *LengthError if the length in the header is wrong, and a
// *RecordError if a record can't be decoded.
func ParseBatch(frame []byte) (Batch, error) {
	c := &codec{buf: frame}
	var b Batch
	var size, count uint32
	batchHeader(c, &b, &size, &count)
	if c.err == nil && int(size) != len(frame) {
		return b, &LengthError{Frame: "frame", Want: size, Got: len(frame)}
	}
	for i := uint32(0); i < count && c.err == nil; i++ {
		offset := c.offset
		var event Event
		event.encodeOrDecode(c)
		if c.err != nil {
			return b, &RecordError{Index: i, Offset: offset, Err: c.err}
		}
		b.Records = append(b.Records, event)
	}
	if c.err == nil && c.offset != len(frame) {
		c.err = fmt.Errorf("%d bytes follow the last record", len(frame)-c.offset)
	}
	return b, c.err
}

// AppendBatch appends the frame of a batch to dst, for tests and tools. It returns the first encoding error.
func AppendBatch(dst []byte, b Batch) ([]byte, error) {
	c := &codec{isEncoding: true}
	size := uint32(0) // set after the records are encoded
	count := uint32(len(b.Records))
	batchHeader(c, &b, &size, &count)
	for _, event := range b.Records {
		event.encodeOrDecode(c)
	}
	binary.LittleEndian.PutUint32(c.buf[batchSizeOffset:], uint32(len(c.buf)))
	return append(dst, c.buf...), c.err
}

// AppendReply appends the frame of a reply to dst. It returns the first encoding error.
func AppendReply(dst []byte, r Reply) ([]byte, error) {
	c := &codec{isEncoding: true, buf: make([]byte, 0, replyHeaderBytes+typicalActionBytes*len(r.Records))}
	size := uint32(0) // set after the records are encoded
	integer(c, &size)
	integer(c, &r.Number)
	for _, action := range r.Records {
		action.encodeOrDecode(c)
	}
	binary.LittleEndian.PutUint32(c.buf, uint32(len(c.buf)))
	return append(dst, c.buf...), c.err
}

// ParseReply decodes a complete reply frame, for tests and tools.
func ParseReply(frame []byte) (Reply, error) {
	c := &codec{buf: frame}
	var r Reply
	var size uint32
	integer(c, &size)
	integer(c, &r.Number)
	if c.err == nil && int(size) != len(frame) {
		return r, &LengthError{Frame: "reply", Want: size, Got: len(frame)}
	}
	for c.err == nil && c.offset < len(frame) {
		var action Action
		action.encodeOrDecode(c)
		r.Records = append(r.Records, action)
	}
	return r, c.err
}
