package connlimit

const (
	// reservedDivisor divides the number of descriptors. MaxClients reserves the quotient for connections to
	// engines, files and the Go runtime.
	reservedDivisor = 4
	// minReserved is the minimum number of these reserved descriptors.
	minReserved = 64
)

// MaxClients returns the maximum number of client connections, given the configured limit and the
// process's limit on descriptors. The result is at least 1. MaxClients is for a router whose engine
// connections are limited elsewhere; SplitDescriptors limits both.
func MaxClients(configured, descriptors int) int {
	reserved := max(descriptors/reservedDivisor, minReserved)
	return max(min(configured, descriptors-reserved), 1)
}

// reservedDescriptors is the number of descriptors that SplitDescriptors reserves for everything except
// established connections to clients and engines: standard streams, files, the listener, epoll and
// wake-up descriptors, connections to discovery, and client connections that are accepted only to be
// rejected. All but the last take 19: 3 standard streams, 4 for epoll and wake-up of the event loop and of
// the Go runtime, the listener, a file that is open briefly, 5 for the calls to discovery, one of which
// becomes the watch, and 5 more while discovery moves.
const reservedDescriptors = 40

// DescriptorBudget is the maximum number of connections to clients and to engines.
type DescriptorBudget struct {
	Clients int
	Engines int
}

// SplitDescriptors divides the descriptors evenly between connections to clients and to engines, since
// a request in progress needs one of each. If the number is odd, clients get one more: idle connections
// to clients can be evicted, those to engines cannot.
func SplitDescriptors(descriptors int) DescriptorBudget {
	connections := max(descriptors-reservedDescriptors, 2)
	engines := connections / 2
	return DescriptorBudget{
		Clients: connections - engines,
		Engines: engines,
	}
}

// AcceptLimit returns the maximum number of client connections during one iteration of the event loop, given
// the maximum between iterations. It is larger, because a connection that is evicted for a new one keeps its
// descriptor until the end of the iteration. These connections may use half of the reserved descriptors. The
// other half remains for the other purposes.
func AcceptLimit(maxClients int) int { return maxClients + reservedDescriptors/2 }
