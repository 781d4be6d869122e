package platform

import "time"

const (
	reloadRetryDelay = 100 * time.Millisecond // the file may be incomplete while it is written
	reloadMaxRetries = 50                     // 5 s in total
)

// Reload reads the configuration again and applies the address of discovery. Other changes take effect
// only after a restart. Reload returns at once and may be called from any goroutine. A configuration that
// cannot be loaded is retried reloadMaxRetries times, then logged and ignored. If calls overlap, only the
// latest one is applied.
func (s *Server) Reload(getenv func(string) string) {
	generation := s.reloadGeneration.Add(1)
	go s.reload(getenv, generation, reloadMaxRetries)
}

// reload loads the configuration for one call of Reload and retries on an error. It does not run on the
// loop.
func (s *Server) reload(getenv func(string) string, generation uint64, retriesLeft int) {
	config, err := LoadConfig(getenv)
	if s.reloadGeneration.Load() != generation {
		return
	}
	if err != nil && retriesLeft > 0 {
		time.AfterFunc(reloadRetryDelay, func() { s.reload(getenv, generation, retriesLeft-1) })
		return
	}
	if err != nil {
		s.log.Error().Err(err).Msg("configuration rejected")
		return
	}
	s.loop.Post(func() { s.applyReload(config, generation) })
}

// applyReload applies a reloaded configuration unless Reload has been called again. It runs on the loop.
func (s *Server) applyReload(config *Config, generation uint64) {
	if s.reloadGeneration.Load() != generation {
		return
	}
	s.log.Info().Str("discovery", config.Discovery.String()).Msg("configuration reloaded")
	if config.Discovery != s.discovery.address {
		s.subscribe(config.Discovery)
	}
}
