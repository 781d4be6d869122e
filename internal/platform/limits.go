package platform

import "martenlock/control/connlimit"

// resourceLimits are the limits that a server derives from Config.Limits.
type resourceLimits struct {
	maxBufferedBytes int   // of request bodies and buffered responses together
	maxClientConns   int   // if reached, an idle connection is evicted to accept a new one
	maxEngineConns   int   // to all engines together
	heapLimitBytes   int64 // soft limit for the garbage collector
}

// bytesPerMB is the unit of the configuration's memory_mb.
const bytesPerMB = 1 << 20

// newResourceLimits divides the configured memory and descriptors among their uses.
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
