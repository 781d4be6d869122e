package connlimit

const (
	// reservedDivisor reserves a quarter of the descriptors for connections to engines, files and the
	// Go runtime.
	reservedDivisor = 4
	// minReserved is the least number of descriptors reserved for them.
	minReserved = 64
)

// MaxClients returns how many client connections may be open, given the configured limit and the
// process's limit on descriptors. It is at least one. It is for a router whose connections to engines
// are limited elsewhere. SplitDescriptors shares the descriptors between both.
func MaxClients(configured, descriptors int) int {
	reserved := max(descriptors/reservedDivisor, minReserved)
	return max(min(configured, descriptors-reserved), 1)
}

// reservedDescriptors are reserved for everything but established connections to clients and engines.
// 19 are counted: 3 for the standard streams, 4 for epoll and wake-up of the event loop and of the Go
// runtime, 1 for the listener, 1 for a file that is open briefly, 5 for discovery's watch and its
// 4 calls, and 5 more while discovery moves. The rest is for connections that are accepted before
// they are rejected.
const reservedDescriptors = 40

// DescriptorBudget is how many connections may be open to either side.
type DescriptorBudget struct {
	Clients int
	Engines int
}

// SplitDescriptors shares the descriptors evenly between connections to clients and to engines, since
// a request in progress needs one of each. If the number is odd the clients get one more: their idle
// connections can be evicted, those to engines cannot.
func SplitDescriptors(descriptors int) DescriptorBudget {
	connections := max(descriptors-reservedDescriptors, 2)
	engines := connections / 2
	return DescriptorBudget{
		Clients: connections - engines,
		Engines: engines,
	}
}

// AcceptLimit returns how many client connections may be open within one iteration of the event loop,
// given how many may stay open. An evicted connection keeps its descriptor until the end of the
// iteration, after the new one is accepted. The difference is half of the reserved descriptors. The
// other half stays free for files.
func AcceptLimit(clients int) int { return clients + reservedDescriptors/2 }
