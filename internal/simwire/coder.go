package simwire

import (
	"encoding/binary"
	"math"
	"time"
)

// coder reads or writes one field of a frame after another. To code a value is to append it to the frame
// if isWriting is set, and to replace it by the next field otherwise. After the first error nothing
// more is read.
type coder struct {
	buf       []byte
	offset    int // of the next field to read
	isWriting bool
	err       error // the first one
}

// take returns the next n bytes of the frame. It returns nil if they are missing.
func (c *coder) take(n int) []byte {
	if c.err != nil {
		return nil
	}
	left := len(c.buf) - c.offset
	if n < 0 || left < n {
		c.err = &TruncatedError{Want: n, Left: left}
		return nil
	}
	start := c.offset
	c.offset += n
	return c.buf[start:c.offset]
}

// fail records an error. An earlier one takes precedence.
func (c *coder) fail(err error) {
	if c.err == nil {
		c.err = err
	}
}

// unsigned is the constraint of types that are coded in their own width.
type unsigned interface {
	~uint8 | ~uint16 | ~uint32 | ~uint64
}

// integer codes an integer in its own width.
func integer[T unsigned](c *coder, value *T) {
	width := binary.Size(*value)
	if c.isWriting {
		for i := range width {
			c.buf = append(c.buf, byte(uint64(*value)>>(8*i)))
		}
		return
	}
	octets := c.take(width)
	if octets == nil {
		return
	}
	var decoded uint64
	for i, octet := range octets {
		decoded |= uint64(octet) << (8 * i)
	}
	*value = T(decoded)
}

// integerAs codes an integer in the width of W.
func integerAs[W, T unsigned](c *coder, value *T) {
	wire := W(*value)
	integer(c, &wire)
	*value = T(wire)
}

// index codes a position in a list, in the width of W.
func index[W unsigned, T ~int](c *coder, value *T) {
	wire := W(*value)
	integer(c, &wire)
	*value = T(wire)
}

// float codes a number in 32 bits. A number that is not finite is read as 0.
func float[T ~float64](c *coder, value *T) {
	bits := math.Float32bits(float32(*value))
	integer(c, &bits)
	number := float64(math.Float32frombits(bits))
	if !c.isWriting && (math.IsNaN(number) || math.IsInf(number, 0)) {
		number = 0
	}
	*value = T(number)
}

// duration codes a duration in microseconds, limited to the range of 32 bits.
func duration(c *coder, value *time.Duration) {
	microseconds := uint32(min(max(value.Microseconds(), 0), math.MaxUint32))
	integer(c, &microseconds)
	*value = time.Duration(microseconds) * time.Microsecond
}

// boolean codes a boolean in one byte.
func boolean(c *coder, value *bool) {
	var wire uint8
	if *value {
		wire = 1
	}
	integer(c, &wire)
	*value = wire != 0
}

// byteString codes bytes preceded by their number, in the width of W.
func byteString[W unsigned](c *coder, value *[]byte) {
	length := W(len(*value))
	integer(c, &length)
	if c.isWriting {
		c.buf = append(c.buf, *value...)
		return
	}
	*value = append([]byte(nil), c.take(int(length))...)
}

// text codes a string, truncated to the range of its 16-bit length.
func text(c *coder, value *string) {
	encoded := []byte(*value)
	encoded = encoded[:min(len(encoded), math.MaxUint16)]
	byteString[uint16](c, &encoded)
	*value = string(encoded)
}

// floats codes a list of at most 255 numbers.
func floats(c *coder, value *[]float64) {
	length := uint8(len(*value))
	integer(c, &length)
	if !c.isWriting {
		*value = nil
		if length > 0 {
			*value = make([]float64, length)
		}
	}
	for i := range *value {
		float(c, &(*value)[i])
	}
}
