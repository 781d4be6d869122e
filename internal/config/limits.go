package config

import (
	"time"

	"martenlock/internal/http1"
	"martenlock/internal/inifile"
)

// Limits bound what one connection, request or engine may take.
type Limits struct {
	HTTP               http1.Limits
	MaxResponseBytes   int64         // bytes of an answer that is not streamed
	MaxBufferedBytes   int           // bytes of an answer that are buffered while it may yet be retried
	IdleTimeout        time.Duration // a client's connection without a request
	RequestTimeout     time.Duration // from a request's first byte to its last
	WriteStallTimeout  time.Duration // a client that takes nothing of its answer
	StreamIdleTimeout  time.Duration // an engine that sends nothing in the middle of a stream
	EngineIdleTimeout  time.Duration // an engine's connection without a request: less than its own
	MaxEngineConns     int           // of one engine
	HealthCheckTimeout time.Duration // of a health check
	DeadlineMargin     time.Duration // the module is told deadlines earlier by this
	ShutdownTimeout    time.Duration // after SIGTERM, for streams that are at work
	MaxRequests        int           // requests received and not yet answered
}

// parseLimits reads the bounds of connections, requests and engines.
func (c *Config) parseLimits(s *inifile.Section) {
	l := &c.Limits
	l.HTTP = http1.Limits{
		Line:    s.Int("line", 8<<10, 64, 1<<20),
		Headers: s.Int("headers", 32<<10, 256, 1<<20),
		Fields:  s.Int("fields", 100, 4, 10000),
		Body:    int64(s.Int("body", 16<<20, 1, 1<<30)),
	}
	l.MaxResponseBytes = int64(s.Int("response", 64<<20, 1<<10, 1<<30))
	l.MaxBufferedBytes = s.Int("hold_back", 256<<10, 0, 16<<20)
	l.IdleTimeout = s.Duration("idle", 75*time.Second, minTimeout, maxTimeout)
	l.RequestTimeout = s.Duration("receive", 30*time.Second, minTimeout, maxTimeout)
	l.WriteStallTimeout = s.Duration("client_stall", 30*time.Second, minTimeout, maxTimeout)
	l.StreamIdleTimeout = s.Duration("engine_stall", 10*time.Second, minTimeout, maxTimeout)
	l.EngineIdleTimeout = s.Duration("engine_idle", 4*time.Second, minTimeout, maxTimeout)
	l.MaxEngineConns = s.Int("engine_connections", 1024, 1, 1<<16)
	l.HealthCheckTimeout = s.Duration("probe_timeout", time.Second, time.Millisecond, time.Minute)
	l.DeadlineMargin = s.Duration("answer_margin", 50*time.Millisecond, 0, time.Minute)
	l.ShutdownTimeout = s.Duration("shutdown", time.Minute, 0, maxTimeout)
	l.MaxRequests = s.Int("held", 20000, 1, 1<<24)
}

// parseRules reads how the decision module attempts, retries and ejects.
func (c *Config) parseRules(s *inifile.Section) {
	settings := &c.Control
	settings.Limits.MaxAttempts = s.Int("max_attempts", 5, 1, 100)
	settings.Limits.MaxRetryAfter = s.Duration("max_retry_after", 5*time.Second, 50*time.Millisecond, time.Hour)
	settings.Limits.ConnectTimeout = s.Duration("connect_timeout", 500*time.Millisecond, time.Millisecond, time.Minute)
	settings.Limits.KVRetentionLimit = s.Duration("pin_limit", time.Second, 100*time.Millisecond, time.Minute)
	settings.Limits.DrainGrace = s.Duration("drain_grace", 250*time.Millisecond, 0, time.Minute)
	settings.SlowStart.InitialShare = s.Float("cold_from", 0.3, 0.01, 1)
	settings.SlowStart.Duration = s.Duration("cold_for", 10*time.Second, 0, time.Hour)
	settings.SlowStart.OverloadMultiple = s.Float("fall_multiple", 2.5, 1, 100)
	settings.SlowStart.OverloadDuration = s.Duration("fall_after", time.Second, time.Millisecond, time.Minute)
	settings.Caller.CanHealthCheck = s.Bool("probe", true)
	settings.Caller.CanCancel = s.Bool("cancel", true)
}
