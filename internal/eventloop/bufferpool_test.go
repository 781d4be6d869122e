package eventloop

import "testing"

// TestBufferPoolReusesBuffersUpToItsBound: a buffer that was put is used for the next one of its size class.
// Buffers above maxFreeBytes, and those that get did not make, are not kept.
func TestBufferPoolReusesBuffersUpToItsBound(t *testing.T) {
	p := bufferPool{maxFreeBytes: 2 * minBufferSize}
	small := p.get(1)
	large := p.get(minBufferSize + 1)
	if len(small) != minBufferSize || len(large) != 2*minBufferSize {
		t.Fatalf("buffers of %d and %d bytes", len(small), len(large))
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

// TestBufferLargerThanAllSizeClassesIsNotKept: one request of an extreme size must not hold its memory.
func TestBufferLargerThanAllSizeClassesIsNotKept(t *testing.T) {
	p := bufferPool{maxFreeBytes: 1 << 30}
	huge := p.get(minBufferSize<<(sizeClasses-1) + 1)
	p.put(huge)
	for class, free := range p.free {
		if len(free) != 0 {
			t.Errorf("class %d keeps a buffer of %d bytes", class, len(free[0]))
		}
	}
}
