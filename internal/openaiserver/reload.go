package openaiserver

import (
	"fmt"
	"reflect"

	"golang.org/x/sys/unix"

	"martenlock/control/connlimit"
	"martenlock/internal/config"
	"martenlock/internal/endpointlist"
	"martenlock/internal/upstream"
)

// ListenChangedError is returned by Server.Reload if the new configuration has a different listen address.
type ListenChangedError struct {
	File     string
	Old, New string
}

// Error implements error. The message names the file, the section and the key.
func (e *ListenChangedError) Error() string {
	return fmt.Sprintf("%s: [router] listen: a change from %s to %s needs a restart", e.File, e.Old, e.New)
}

// Reload applies a configuration and an endpoint list that was checked against it, and waits until both are in force.
// If a setting of the pools or their decision modules has changed, new pools are created. They start without load,
// health and session state. Requests that were accepted before complete on the old pools. If the listen address
// differs, Reload returns a *ListenChangedError and changes nothing. If the current listen address has port 0, for
// which the kernel has chosen a port, the new listen address is ignored. After Run has returned, Reload would wait
// forever.
func (s *Server) Reload(cfg *config.Config, list []endpointlist.Endpoint) error {
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

// applyConfig does the work of Reload on the event loop.
func (s *Server) applyConfig(cfg *config.Config, list []endpointlist.Endpoint) {
	old := s.config
	s.config = cfg
	s.applyLimits()
	if !samePoolSettings(old, cfg) {
		s.retirePools()
		s.createPools()
	}
	s.applyEndpoints(list)
}

// samePoolSettings reports whether all settings that pools and their decision modules are created from are equal in
// two configurations.
func samePoolSettings(a, b *config.Config) bool {
	return a.Zone == b.Zone && a.Seed == b.Seed &&
		reflect.DeepEqual(a.Control, b.Control) &&
		reflect.DeepEqual(a.Kinds, b.Kinds) &&
		reflect.DeepEqual(a.Classes, b.Classes) &&
		reflect.DeepEqual(a.Tenants, b.Tenants) &&
		reflect.DeepEqual(a.Pools, b.Pools)
}

// maxDescriptors replaces a higher descriptor limit. An infinite limit would not fit an int.
const maxDescriptors = 1 << 30

// applyLimits applies the configured limits to client and engine connections. It raises the descriptor limit of this
// process, and allows fewer client connections than max_connections if the limit is still too low.
func (s *Server) applyLimits() {
	limits := &s.config.Limits
	responseLimits := limits.HTTP
	responseLimits.Body = limits.MaxResponseBytes
	s.engines.connOptions = upstream.Options{
		ConnectTimeout: s.config.Control.Limits.ConnectTimeout,
		IdleTimeout:    limits.EngineIdleTimeout,
		MaxPerEngine:   limits.MaxEngineConns,
		Limits:         responseLimits,
	}
	s.clients.Options = clientOptions(limits)
	listener := s.clients.Listener
	listener.MaxOpen = s.config.MaxConnections
	descriptors, err := raiseDescriptorLimit()
	if err != nil {
		s.log.Warn().Err(err).Msg("descriptor limit unknown, max_connections not checked")
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

// raiseDescriptorLimit raises the soft limit on this process's descriptors to the hard limit, if possible, and returns
// the resulting soft limit. It returns an error if the limit can't be read.
func raiseDescriptorLimit() (uint64, error) {
	var limit unix.Rlimit
	err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)
	if err != nil {
		return 0, err
	}
	raised := unix.Rlimit{Cur: limit.Max, Max: limit.Max}
	if limit.Cur < limit.Max && unix.Setrlimit(unix.RLIMIT_NOFILE, &raised) == nil {
		return raised.Cur, nil
	}
	return limit.Cur, nil // already at the hard limit, or raising it failed
}
