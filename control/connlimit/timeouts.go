package connlimit

import "time"

// Time-outs and delays of connections.
const (
	// FirstRequestTimeout bounds the time from accepting a client's connection to receiving the end of
	// its first request. Without it, a client that sends nothing or an incomplete request would occupy
	// a descriptor indefinitely.
	FirstRequestTimeout = 2500 * time.Millisecond

	// RequestTimeout bounds the time from receiving the first byte of a later request to receiving its
	// end.
	RequestTimeout = 2500 * time.Millisecond

	// IdleTimeout bounds how long a client's connection may be idle between two requests.
	IdleTimeout = 5 * time.Second

	// ResponseDeliveryTime is how long a finished response may be on its way to the client. During this
	// time a connection lingers when it is closed, because a reset could destroy the response.
	ResponseDeliveryTime = time.Second

	// WriteStallTimeout bounds how long a client may go without reading from its response.
	WriteStallTimeout = 10 * time.Second

	// StreamIdleTimeout bounds how long an engine may send nothing in the middle of a stream. The
	// platform counts a client as abandoned after 5 s without an event. The router ends the response
	// earlier, so that the client can request the rest.
	StreamIdleTimeout = 3500 * time.Millisecond

	// CancelPropagationDelay is how long an engine may take to notice that a connection was closed:
	// several round trips between zones. Actions that depend on this wait for at least as long.
	CancelPropagationDelay = 5 * time.Millisecond

	// defaultEngineKeepAliveTimeout is the assumed keep-alive time-out of engines if none is configured.
	defaultEngineKeepAliveTimeout = 30 * time.Second

	// engineIdleDivisor divides the engine's keep-alive time-out to get the router's idle time-out, so that the
	// router closes an idle connection before the engine does.
	engineIdleDivisor = 2

	// ShutdownAcceptWindow is how long a router still accepts connections and requests after its shutdown
	// has started, until clients and load balancers use another router.
	ShutdownAcceptWindow = 550 * time.Millisecond

	// RetryAfterFull is the Retry-After of a request that is rejected because the router is at a limit.
	// It leaves time for other requests to finish.
	RetryAfterFull = 500 * time.Millisecond

	// RetryAfterShutdown is the Retry-After of a request that is rejected because the router shuts down.
	// Another router can serve the request at once.
	RetryAfterShutdown = 100 * time.Millisecond
)

// EngineIdleTimeout returns how long a connection to an engine may be idle before the router closes it.
// keepAliveTimeout is the time after which the engine closes it, or 0 if it is unknown. The result is
// less than keepAliveTimeout, because a request written to a connection that the engine has closed is lost.
func EngineIdleTimeout(keepAliveTimeout time.Duration) time.Duration {
	if keepAliveTimeout <= 0 {
		keepAliveTimeout = defaultEngineKeepAliveTimeout
	}
	return keepAliveTimeout / engineIdleDivisor
}
