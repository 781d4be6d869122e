package config

import (
	"time"

	"martenlock/control"
	"martenlock/internal/inifile"
)

// parseRules parses the section [rules], which sets limits and capabilities of the decision module, and the
// slow start of engines.
func (c *Config) parseRules(section *inifile.Section) {
	c.Control.Limits = control.Limits{
		MaxAttempts:      section.Int("max_attempts", 5, 1, 100),
		MaxRetryAfter:    section.Duration("max_retry_after", 5*time.Second, 50*time.Millisecond, time.Hour),
		ConnectTimeout:   section.Duration("connect_timeout", 500*time.Millisecond, time.Millisecond, time.Minute),
		KVRetentionLimit: section.Duration("pin_limit", time.Second, 100*time.Millisecond, time.Minute),
		DrainGrace:       section.Duration("drain_grace", 250*time.Millisecond, 0, time.Minute),
	}
	c.Control.SlowStart = control.SlowStart{
		InitialShare:     section.Float("cold_from", 0.3, 0.01, 1),
		Duration:         section.Duration("cold_for", 10*time.Second, 0, time.Hour),
		OverloadMultiple: section.Float("fall_multiple", 2.5, 1, 100),
		OverloadDuration: section.Duration("fall_after", time.Second, time.Millisecond, time.Minute),
	}
	c.Control.Caller = control.Capabilities{
		CanHealthCheck: section.Bool("probe", true),
		CanCancel:      section.Bool("cancel", true),
	}
}
