package eventloop

import "math/bits"

const (
	minBufferSize = 4 << 10 // bytes: a page; most requests and events fit
	sizeClasses   = 13      // powers of two from 4 KiB to 16 MiB; larger buffers are not kept
)

// bufferPool keeps free buffers, whose sizes are powers of two. It belongs to one loop and needs no
// lock. Unlike sync.Pool it has a bound on what a burst leaves behind.
type bufferPool struct {
	maxFreeBytes int // of one size class; buffers above it go to the garbage collector
	free         [sizeClasses][][]byte
}

// sizeClass returns the class of the smallest buffers that hold size bytes.
func sizeClass(size int) int {
	return max(bits.Len(uint(size-1))-bits.Len(uint(minBufferSize-1)), 0)
}

// get returns a buffer of at least size bytes, at its full length. The caller owns it until put.
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

// put returns a buffer to the pool. A nil buffer, or one that get did not make, is left to the
// garbage collector.
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
