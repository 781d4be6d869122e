package eventloop

import "math/bits"

const (
	minBufferSize = 4 << 10 // bytes
	sizeClasses   = 13      // powers of two from 4 KiB to 16 MiB; larger buffers are not pooled
)

// bufferPool keeps free buffers for reuse. Their sizes are powers of two. It belongs to one loop and
// needs no lock. Unlike sync.Pool it bounds the memory that stays allocated after a burst.
type bufferPool struct {
	maxFreeBytes int // bound on the free buffers of each size class; further ones are garbage collected
	free         [sizeClasses][][]byte
}

// sizeClass returns the smallest size class whose buffers hold size bytes.
func sizeClass(size int) int {
	return max(bits.Len(uint(size-1))-bits.Len(uint(minBufferSize-1)), 0)
}

// get returns a buffer of at least size bytes, at its full length. The caller owns it until it passes
// it to put.
func (p *bufferPool) get(size int) []byte {
	class := sizeClass(size)
	if class >= sizeClasses {
		return make([]byte, size)
	}
	free := p.free[class]
	if len(free) == 0 {
		return make([]byte, minBufferSize<<class)
	}
	last := len(free) - 1
	p.free[class] = free[:last]
	return free[last]
}

// put returns a buffer to the pool. It ignores nil and buffers whose capacity belongs to no size class.
func (p *bufferPool) put(buffer []byte) {
	buffer = buffer[:cap(buffer)]
	size := len(buffer)
	class := sizeClass(max(size, 1))
	if class >= sizeClasses || size != minBufferSize<<class {
		return
	}
	if (len(p.free[class])+1)*size > max(p.maxFreeBytes, minBufferSize) {
		return
	}
	p.free[class] = append(p.free[class], buffer)
}
