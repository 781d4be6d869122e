package connlimit

import "time"

// Time-outs of connections.
const (
	// FirstRequestTimeout bounds the time from accepting a client's connection to the end of its first
	// request. It also bounds how long a client that sends nothing, or half a request, uses a
	// descriptor.
	FirstRequestTimeout = 2500 * time.Millisecond

	// RequestTimeout bounds the time from the first byte of a later request to its end.
	RequestTimeout = 2500 * time.Millisecond

	// IdleTimeout bounds how long a client's connection may be idle between two requests.
	IdleTimeout = 5 * time.Second

	// ResponseDeliveryTime is how long a written response may take to reach its client. Until then the
	// connection is closed lingering: a reset would destroy the response.
	ResponseDeliveryTime = time.Second

	// WriteStallTimeout bounds how long a client may read nothing of its response.
	WriteStallTimeout = 10 * time.Second

	// StreamIdleTimeout bounds how long an engine may send nothing in the middle of a stream. The
	// platform counts a client as abandoned after 5 s without an event. The router ends the answer before
	// that, so that the client can request the rest.
	StreamIdleTimeout = 3500 * time.Millisecond

	// CancelPropagationDelay is how long an engine may take to notice the end of a connection: several
	// round trips between zones. Nothing that relies on that end is done sooner.
	CancelPropagationDelay = 5 * time.Millisecond

	// defaultEngineIdleTimeout is the assumed idle time-out of engines if none is configured.
	defaultEngineIdleTimeout = 30 * time.Second

	// engineIdleDivisor makes our idle time-out half of the engine's, so that ours ends first despite
	// the delay between the two.
	engineIdleDivisor = 2

	// ShutdownAcceptWindow is how long a router that shuts down still accepts connections and requests:
	// the time until clients use another router.
	ShutdownAcceptWindow = 550 * time.Millisecond

	// RetryAfterFull is the Retry-After of a request that this router has no capacity for. Other
	// requests must finish first.
	RetryAfterFull = 500 * time.Millisecond

	// RetryAfterShutdown is the Retry-After of a request to a router that shuts down. Another router
	// serves it at once.
	RetryAfterShutdown = 100 * time.Millisecond
)

// EngineIdleTimeout returns how long a connection to an engine may be idle before the router closes
// it, given the engine's own idle time-out, or 0 if it is not known. It is well below the engine's: a
// request written to a connection that the engine has closed is lost with it.
func EngineIdleTimeout(engineTimeout time.Duration) time.Duration {
	if engineTimeout <= 0 {
		engineTimeout = defaultEngineIdleTimeout
	}
	return engineTimeout / engineIdleDivisor
}
