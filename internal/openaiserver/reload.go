package openaiserver

import (
	"fmt"
	"reflect"

	"golang.org/x/sys/unix"

	"martenlock/control/connlimit"
	"martenlock/internal/config"
	"martenlock/internal/http1"
	"martenlock/internal/nodes"
	"martenlock/internal/upstream"
)

// ListenChangedError tells that new settings can't be put in force without a restart.
type ListenChangedError struct {
	File     string
	Old, New string
}

// Error names the file, the section and the key.
func (e *ListenChangedError) Error() string {
	return fmt.Sprintf("%s: [router] listen: a change from %s to %s needs a restart", e.File, e.Old, e.New)
}

// Reload puts new settings in force, and a node list that was checked by them. Requests accepted
// before go on under the old ones; where what the module is told has changed, new requests get a
// module that knows nothing yet. The listener's address stays.
func (s *Server) Reload(cfg *config.Config, list []nodes.Node) error {
	if cfg.Listen != s.config.Listen && s.config.Listen.Port() != 0 {
		return &ListenChangedError{File: cfg.File, Old: s.config.Listen.String(), New: cfg.Listen.String()}
	}
	done := make(chan struct{})
	s.loop.Post(func() {
		defer close(done)
		s.applyConfig(cfg, list)
	})
	<-done
	return nil
}

// applyConfig is Reload on the loop.
func (s *Server) applyConfig(cfg *config.Config, list []nodes.Node) {
	old := s.config
	s.config = cfg
	s.applyLimits()
	if !reflect.DeepEqual(moduleSettings(old), moduleSettings(cfg)) {
		s.retirePools()
		s.createPools()
	}
	s.applyNodes(list)
}

// moduleSettings is what modules are told of the settings.
func moduleSettings(cfg *config.Config) []any {
	return []any{cfg.Control, cfg.Kinds, cfg.Classes, cfg.Tenants, cfg.Pools, cfg.Zone, cfg.Seed}
}

// maxDescriptors bounds what is taken for the descriptor limit, which may be infinite.
const maxDescriptors = 1 << 30

// applyLimits puts the settings' limits in force. max_connections is held against the descriptors
// that this process may have, of which it takes all that it is allowed.
func (s *Server) applyLimits() {
	limits := &s.config.Limits
	s.engines.connOptions = upstream.Options{
		ConnectTimeout: s.config.Control.Limits.ConnectTimeout,
		IdleTimeout:    limits.EngineIdleTimeout,
		MaxPerEngine:   limits.MaxEngineConns,
		Limits:         http1.Limits{Line: limits.HTTP.Line, Headers: limits.HTTP.Headers, Fields: limits.HTTP.Fields, Body: limits.MaxResponseBytes},
	}
	listener := s.clients.listener
	listener.MaxOpen = s.config.MaxConnections
	descriptors, err := raiseDescriptorLimit()
	if err != nil {
		s.log.Warn().Err(err).Msg("descriptor limit can't be read")
		return
	}
	listener.MaxOpen = connlimit.MaxClients(s.config.MaxConnections, int(min(descriptors, maxDescriptors)))
	if listener.MaxOpen < s.config.MaxConnections {
		s.log.Warn().
			Int("max_connections", s.config.MaxConnections).
			Uint64("descriptor_limit", descriptors).
			Int("max_client_connections", listener.MaxOpen).
			Msg("max_connections lowered, raise ulimit -n")
	}
}

// raiseDescriptorLimit raises the limit of this process as far as is allowed, and returns it.
func raiseDescriptorLimit() (uint64, error) {
	var limit unix.Rlimit
	err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)
	if err != nil {
		return 0, err
	}
	if limit.Cur >= limit.Max {
		return limit.Cur, nil
	}
	raised := unix.Rlimit{Cur: limit.Max, Max: limit.Max}
	if unix.Setrlimit(unix.RLIMIT_NOFILE, &raised) != nil {
		return limit.Cur, nil
	}
	return raised.Cur, nil
}
