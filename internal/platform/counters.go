package platform

import "github.com/rs/zerolog"

// counters holds counts since the server's start.
type counters struct {
	// Requests, by outcome.
	served    uint64
	rejected  uint64 // 503 with Retry-After, by the decision module
	failed    uint64 // 400, 502 or 504 after an attempt
	canceled  uint64 // the client left
	truncated uint64 // the answer ended after its first event but before its last

	// Attempts.
	malformed uint64 // the response could not be parsed
	stalled   uint64 // no progress of the stream for connlimit.StreamIdleTimeout

	// Connections.
	panics           uint64 // closed because a handler panicked
	idleConnsEvicted uint64 // idle clients closed for new ones
	connsRejected    uint64 // new clients closed because no client was idle
	uploadsEvicted   uint64 // clients closed to free the memory of incomplete bodies
}

// appendTo adds all counters to a log line and returns the line.
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

// appendEvictionsTo adds the counters of clients' connections that were closed for others to a log line and
// returns the line.
func (c *counters) appendEvictionsTo(line *zerolog.Event) *zerolog.Event {
	return line.
		Uint64("idle_connections_evicted", c.idleConnsEvicted).
		Uint64("connections_rejected", c.connsRejected).
		Uint64("uploads_evicted", c.uploadsEvicted)
}
