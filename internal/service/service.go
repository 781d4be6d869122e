// Package service runs a router from its files: settings, node list and log.
package service

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"martenlock/internal/config"
	"martenlock/internal/nodes"
	"martenlock/internal/router"
)

const (
	logLines = 10000 // waiting for the disk; then they are dropped and counted
	logPoll  = 10 * time.Millisecond
)

// Service is a running router and what feeds it.
type Service struct {
	Router  *router.Router
	path    string
	cfg     atomic.Pointer[config.Config]
	log     zerolog.Logger
	closers []io.Closer
	watch   *nodes.Watcher
	dropped atomic.Uint64
	ended   chan error
}

// Check reads settings and node list without starting anything.
func Check(path string) (*config.Config, []nodes.Node, error) {
	cfg, err := config.Load(path)
	if err != nil {
		return nil, nil, err
	}
	list, err := nodes.Load(cfg.Nodes, cfg)
	return cfg, list, err
}

// Start runs a router in the background. Lines for the operators go to the settings'
// log, or to stderr where it names none.
func Start(path string, stderr io.Writer) (*Service, error) {
	cfg, list, err := Check(path)
	if err != nil {
		return nil, err
	}
	s := &Service{path: path, ended: make(chan error, 1)}
	s.cfg.Store(cfg)
	out := stderr
	if cfg.Log != "" {
		name := cfg.Log
		if !filepath.IsAbs(name) {
			name = filepath.Join(filepath.Dir(path), name)
		}
		file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, fmt.Errorf("%s: [router] log: %w", path, err)
		}
		s.closers = append(s.closers, file)
		out = file
	}
	// Lines cross to another goroutine in a ring that never blocks the loop.
	ring := diode.NewWriter(nopCloser{out}, logLines, logPoll, func(missed int) {
		s.dropped.Add(uint64(missed))
		fmt.Fprintf(out, "{\"level\":\"warn\",\"message\":\"%d log lines dropped, %d in all\"}\n", missed, s.dropped.Load())
	})
	s.closers = append([]io.Closer{ring}, s.closers...)
	level, err := zerolog.ParseLevel(cfg.LogLevel)
	if err != nil {
		return nil, err
	}
	s.log = zerolog.New(ring).Level(level).With().Timestamp().Logger()
	if s.Router, err = router.New(cfg, list, s.log); err != nil {
		return nil, err
	}
	if s.watch, err = nodes.Watch(cfg.Nodes, s.takeNodes); err != nil {
		return nil, err
	}
	s.takeNodes() // what was written between the first look and the watch
	go func() { s.ended <- s.Router.Run() }()
	s.log.Info().Str("address", s.Router.Addr()).Msg("listening")
	return s, nil
}

type nopCloser struct{ io.Writer }

func (nopCloser) Close() error { return nil }

// takeNodes reads the list anew; a bad one changes nothing.
func (s *Service) takeNodes() {
	cfg := s.cfg.Load()
	list, err := nodes.Load(cfg.Nodes, cfg)
	if err != nil {
		s.log.Error().Err(err).Msg("node list not taken; the old one stays")
		return
	}
	s.Router.SetNodes(list)
}

// Reload reads the settings anew, and the node list by them; bad ones change nothing.
func (s *Service) Reload() error {
	old := s.cfg.Load()
	cfg, list, err := Check(s.path)
	if err == nil && cfg.Nodes != old.Nodes {
		err = fmt.Errorf("%s: [router] nodes: a change from %s to %s needs a restart", s.path, old.Nodes, cfg.Nodes)
	}
	if err == nil {
		err = s.Router.Reload(cfg, list)
	}
	if err != nil {
		s.log.Error().Err(err).Msg("settings not taken; the old ones stay")
		return err
	}
	s.cfg.Store(cfg)
	s.log.Info().Msg("settings taken")
	return nil
}

// Dropped is how many log lines were dropped.
func (s *Service) Dropped() uint64 { return s.dropped.Load() }

// TuneCollector lets the heap grow to five times what lives before it is collected,
// unless GOGC says otherwise: what lives is some ten megabytes, and at the usual factor
// collecting it takes a tenth of a busy router's time.
func TuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(400)
	}
}

// Stop lets every request that was taken have its answer and ends the router.
func (s *Service) Stop() error {
	s.Router.Shutdown()
	return s.Wait()
}

// Wait waits until the router has ended.
func (s *Service) Wait() error {
	err := errors.Join(<-s.ended, s.watch.Close())
	s.log.Info().Msg("stopped")
	for _, c := range s.closers {
		err = errors.Join(err, c.Close())
	}
	return err
}
