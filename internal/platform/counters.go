package platform

import "github.com/rs/zerolog"

// counters counts events since the server's start.
type counters struct {
	// Requests, by outcome.
	served    uint64
	rejected  uint64 // 503 with Retry-After, by the decision module
	failed    uint64 // 400, 502 or 504 after an attempt
	canceled  uint64 // the client left
	truncated uint64 // the answer ended after its first event but before its last

	// Attempts.
	malformed uint64 // the response could not be parsed
	stalled   uint64 // the stream made no progress for connlimit.StreamIdleTimeout

	// Connections.
	panics           uint64 // in handlers; each closes its connection
	idleConnsEvicted uint64 // idle client connections closed to accept new ones
	connsRejected    uint64 // new client connections closed because none was idle
	uploadsEvicted   uint64 // client connections closed to free the memory of incomplete request bodies
}

// appendTo adds all counters to line and returns it.
func (c *counters) appendTo(line *zerolog.Event) *zerolog.Event {
	line = line.
		Uint64("served", c.served).
		Uint64("rejected", c.rejected).
		Uint64("failed", c.failed).
		Uint64("canceled", c.canceled).
		Uint64("truncated", c.truncated).
		Uint64("malformed", c.malformed).
		Uint64("stalled", c.stalled).
		Uint64("panics", c.panics)
	return c.appendEvictionsTo(line)
}

// appendEvictionsTo adds the counters of evicted and rejected client connections to line and returns it.
func (c *counters) appendEvictionsTo(line *zerolog.Event) *zerolog.Event {
	return line.
		Uint64("idle_connections_evicted", c.idleConnsEvicted).
		Uint64("connections_rejected", c.connsRejected).
		Uint64("uploads_evicted", c.uploadsEvicted)
}
