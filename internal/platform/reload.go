package platform

import "time"

const (
	reloadRetryDelay = 100 * time.Millisecond // the file may be incomplete while it is written
	reloadMaxRetries = 50                     // 5 s in total
)

// Reload reads the configuration again and applies the address of discovery, the only part that may
// change while the server runs. It returns at once and may be called from any goroutine. A file
// that cannot be read is retried for reloadMaxRetries times reloadRetryDelay, then logged and
// ignored. The latest call wins, even if an earlier one takes longer to read.
func (s *Server) Reload(getenv func(string) string) {
	generation := s.reloadGeneration.Add(1)
	go s.reload(getenv, generation, reloadMaxRetries)
}

// reload reads the configuration for one call of Reload. It runs on its own goroutine.
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

// applyReload applies a configuration, unless Reload was called again. It runs on the loop.
func (s *Server) applyReload(config *Config, generation uint64) {
	if s.reloadGeneration.Load() != generation {
		return
	}
	s.log.Info().Str("discovery", config.Discovery.String()).Msg("configuration reloaded")
	if config.Discovery != s.discovery.address {
		s.subscribe(config.Discovery)
	}
}
