package config

import (
	"time"

	"martenlock/internal/http1"
	"martenlock/internal/inifile"
)

// Limits bounds connections, requests, and the buffered part of responses.
type Limits struct {
	HTTP                http1.Limits  // limits on a client's request
	MaxResponseBytes    int64         // body of an engine's response
	MaxRetryBufferBytes int           // buffered part of a chat or completions answer that is not streamed; a longer answer is forwarded as it arrives and can't be retried
	IdleTimeout         time.Duration // of a client's connection without a request
	RequestTimeout      time.Duration // from a request's first byte to its last
	WriteStallTimeout   time.Duration // within which a client must accept more of its answer
	StreamIdleTimeout   time.Duration // within which an engine must send more of a streamed answer
	EngineIdleTimeout   time.Duration // of a connection to an engine without a request; must be shorter than the engine's own
	MaxEngineConns      int           // connections to one engine
	HealthCheckTimeout  time.Duration
	DeadlineMargin      time.Duration // by which the decision module's deadline is earlier than the client's
	ShutdownTimeout     time.Duration // for open requests, after SIGTERM
	MaxRequests         int           // open requests
}

func (c *Config) parseLimits(section *inifile.Section) {
	c.Limits = Limits{
		HTTP: http1.Limits{
			Line:    section.Int("line", 8<<10, 64, 1<<20),
			Headers: section.Int("headers", 32<<10, 256, 1<<20),
			Fields:  section.Int("fields", 100, 4, 10000),
			Body:    int64(section.Int("body", 16<<20, 1, 1<<30)),
		},
		MaxResponseBytes:    int64(section.Int("response", 64<<20, 1<<10, 1<<30)),
		MaxRetryBufferBytes: section.Int("hold_back", 256<<10, 0, 16<<20),
		IdleTimeout:         section.Duration("idle", 75*time.Second, minTimeout, maxTimeout),
		RequestTimeout:      section.Duration("receive", 30*time.Second, minTimeout, maxTimeout),
		WriteStallTimeout:   section.Duration("client_stall", 30*time.Second, minTimeout, maxTimeout),
		StreamIdleTimeout:   section.Duration("engine_stall", 10*time.Second, minTimeout, maxTimeout),
		EngineIdleTimeout:   section.Duration("engine_idle", 4*time.Second, minTimeout, maxTimeout),
		MaxEngineConns:      section.Int("engine_connections", 1024, 1, 1<<16),
		HealthCheckTimeout:  section.Duration("probe_timeout", time.Second, time.Millisecond, time.Minute),
		DeadlineMargin:      section.Duration("answer_margin", 50*time.Millisecond, 0, time.Minute),
		ShutdownTimeout:     section.Duration("shutdown", time.Minute, 0, maxTimeout),
		MaxRequests:         section.Int("held", 20000, 1, 1<<24),
	}
}
