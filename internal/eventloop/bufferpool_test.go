package eventloop

import "testing"

// TestBufferPoolReusesBuffersUpToItsBound: get reuses a buffer of the requested size class that put has
// kept. put does not keep buffers beyond maxFreeBytes, or buffers of other sizes.
func TestBufferPoolReusesBuffersUpToItsBound(t *testing.T) {
	p := bufferPool{maxFreeBytes: 2 * minBufferSize}
	small := p.get(1)
	large := p.get(minBufferSize + 1)
	if len(small) != minBufferSize || len(large) != 2*minBufferSize {
		t.Fatalf("got buffers of %d and %d bytes, want %d and %d", len(small), len(large), minBufferSize, 2*minBufferSize)
	}

	p.put(small)
	p.put(nil)
	p.put(make([]byte, minBufferSize+1))

	if again := p.get(minBufferSize); &again[0] != &small[0] {
		t.Error("a free buffer was not reused")
	}
	for range 5 {
		p.put(make([]byte, minBufferSize))
	}
	if free := len(p.free[0]); free != 2 {
		t.Errorf("%d free buffers, want 2", free)
	}
}

// TestBufferLargerThanAllSizeClassesIsNotKept: the memory of a very large request must not stay allocated.
func TestBufferLargerThanAllSizeClassesIsNotKept(t *testing.T) {
	p := bufferPool{maxFreeBytes: 1 << 30}
	huge := p.get(minBufferSize<<(sizeClasses-1) + 1)
	p.put(huge)
	for class, free := range p.free {
		if len(free) != 0 {
			t.Errorf("size class %d keeps a buffer of %d bytes", class, len(free[0]))
		}
	}
}
