package simwire

import (
	"encoding/binary"
	"math"
	"time"
)

// codec encodes or decodes a frame, field by field. If isEncoding is set, the functions that take a codec
// append their value to the frame. Otherwise they set the value from the next field of the frame. After the
// first error nothing more is decoded.
type codec struct {
	buf        []byte
	offset     int // of the next field to decode
	isEncoding bool
	err        error // the first one
}

// next returns the next n bytes of the frame. If fewer are left, it records an error and returns nil.
func (c *codec) next(n int) []byte {
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

// fail records an error, unless there is an earlier one.
func (c *codec) fail(err error) {
	if c.err == nil {
		c.err = err
	}
}

// unsigned is the constraint of the integer types that have a fixed width on the wire.
type unsigned interface {
	~uint8 | ~uint16 | ~uint32 | ~uint64
}

// integer encodes or decodes an integer in the width of its type.
func integer[T unsigned](c *codec, value *T) {
	width := binary.Size(*value)
	if c.isEncoding {
		for i := range width {
			c.buf = append(c.buf, byte(uint64(*value)>>(8*i)))
		}
		return
	}
	encoded := c.next(width)
	if encoded == nil {
		return
	}
	var decoded uint64
	for i, b := range encoded {
		decoded |= uint64(b) << (8 * i)
	}
	*value = T(decoded)
}

// integerAs encodes or decodes an integer in the width of W.
func integerAs[W, T unsigned](c *codec, value *T) {
	converted := W(*value)
	integer(c, &converted)
	*value = T(converted)
}

// index encodes or decodes an index or an attempt number, in the width of W.
func index[W unsigned, T ~int](c *codec, value *T) {
	converted := W(*value)
	integer(c, &converted)
	*value = T(converted)
}

// float encodes or decodes a number in 32 bits. Infinities and NaN are decoded as 0.
func float[T ~float64](c *codec, value *T) {
	bits := math.Float32bits(float32(*value))
	integer(c, &bits)
	number := float64(math.Float32frombits(bits))
	if !c.isEncoding && (math.IsNaN(number) || math.IsInf(number, 0)) {
		number = 0
	}
	*value = T(number)
}

// duration encodes or decodes a duration as 32 bits of microseconds. Values outside that range are encoded as
// its nearest bound.
func duration(c *codec, value *time.Duration) {
	microseconds := uint32(min(max(value.Microseconds(), 0), math.MaxUint32))
	integer(c, &microseconds)
	*value = time.Duration(microseconds) * time.Microsecond
}

// boolean encodes or decodes a boolean in one byte. Any value but 0 is decoded as true.
func boolean(c *codec, value *bool) {
	var converted uint8
	if *value {
		converted = 1
	}
	integer(c, &converted)
	*value = converted != 0
}

// byteString encodes or decodes bytes, preceded by their number in the width of W. More bytes than W can count
// would make the frame unreadable.
func byteString[W unsigned](c *codec, value *[]byte) {
	length := W(len(*value))
	integer(c, &length)
	if c.isEncoding {
		c.buf = append(c.buf, *value...)
		return
	}
	*value = append([]byte(nil), c.next(int(length))...)
}

// text encodes or decodes a string, preceded by its length in 16 bits. Longer strings are truncated.
func text(c *codec, value *string) {
	encoded := []byte(*value)
	encoded = encoded[:min(len(encoded), math.MaxUint16)]
	byteString[uint16](c, &encoded)
	*value = string(encoded)
}

// floats encodes or decodes a list of at most 255 numbers.
func floats(c *codec, value *[]float64) {
	length := uint8(len(*value))
	integer(c, &length)
	if !c.isEncoding {
		*value = nil
		if length > 0 {
			*value = make([]float64, length)
		}
	}
	for i := range *value {
		float(c, &(*value)[i])
	}
}
