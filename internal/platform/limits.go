package platform

import "martenlock/control/connlimit"

// resourceLimits holds the limits of a server's resources. They follow from Config.Limits.
type resourceLimits struct {
	maxBufferedBytes int   // of request bodies and buffered responses together
	maxClientConns   int   // open at once; beyond that an idle one is evicted for a new one
	maxEngineConns   int   // open at once, over all engines
	heapLimitBytes   int64 // the garbage collector's soft limit
}

// bytesPerMB is the unit of the configuration's memory_mb.
const bytesPerMB = 1 << 20

// newResourceLimits divides the configured limits among their uses.
func newResourceLimits(configured Limits) resourceLimits {
	memory := connlimit.SplitMemory(int64(configured.MemoryMB * bytesPerMB))
	descriptors := connlimit.SplitDescriptors(configured.Sockets)
	return resourceLimits{
		maxBufferedBytes: memory.BufferedBytes,
		maxClientConns:   descriptors.Clients,
		maxEngineConns:   descriptors.Engines,
		heapLimitBytes:   memory.HeapBytes,
	}
}
