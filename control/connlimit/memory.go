package connlimit

import "time"

// Shares of the memory limit in tenths. The share of the buffers is part of that of the heap. The memory
// outside the heap's share is for the program's code and data, and for a heap that grows beyond the soft
// limit of the garbage collector.
const (
	heapTenths   = 6
	bufferTenths = 2
	tenths       = 10
)

// MemoryBudget is how much memory a process may use.
type MemoryBudget struct {
	HeapBytes     int64 // the garbage collector's soft limit
	BufferedBytes int   // request bodies and buffered responses together, as part of the heap
}

// SplitMemory returns the budget of a process with a memory limit in bytes.
func SplitMemory(limitBytes int64) MemoryBudget {
	return MemoryBudget{
		HeapBytes:     limitBytes * heapTenths / tenths,
		BufferedBytes: int(limitBytes * bufferTenths / tenths),
	}
}

// PartialRequest is a request whose body has not been received completely.
type PartialRequest struct {
	BufferedBytes int           // of its body, so far
	AcceptedAt    time.Duration // when its connection was accepted, on the event loop's clock
}

// EvictedBefore reports whether the request is evicted before other when the buffered bytes reach their
// limit. The larger request is evicted first. Of two requests of the same size, the one on the older
// connection is evicted first. Thus a few clients that send large bodies and never finish cannot displace
// clients with bodies of the usual size.
func (r PartialRequest) EvictedBefore(other PartialRequest) bool {
	if r.BufferedBytes != other.BufferedBytes {
		return r.BufferedBytes > other.BufferedBytes
	}
	return r.AcceptedAt < other.AcceptedAt
}
