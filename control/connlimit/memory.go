package connlimit

import "time"

// Shares of the memory limit in tenths. The buffers are part of the heap. The rest is for the program's
// own pages and for what the garbage collector uses above its soft limit.
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

// PartialRequest is a request whose body has not arrived completely.
type PartialRequest struct {
	BufferedBytes int           // of its body, so far
	AcceptedAt    time.Duration // when its connection was accepted, on the event loop's clock
}

// EvictedBefore reports whether the request is evicted before another one when the buffered bytes
// reach their bound. The larger request is evicted first, and of two equal ones that of the older
// connection. So a few clients that send large bodies and never finish cannot displace clients with
// bodies of the usual size, whatever the order of arrival.
func (r PartialRequest) EvictedBefore(other PartialRequest) bool {
	if r.BufferedBytes != other.BufferedBytes {
		return r.BufferedBytes > other.BufferedBytes
	}
	return r.AcceptedAt < other.AcceptedAt
}
