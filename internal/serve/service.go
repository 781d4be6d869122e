// Package serve runs a router from its files: configuration, endpoint list and log.
package serve

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"sync/atomic"

	"martenlock/internal/config"
	"martenlock/internal/inifile"
	"martenlock/internal/nodes"
	"martenlock/internal/openaiserver"
)

// Service is a running router and what feeds it.
type Service struct {
	Router  *openaiserver.Server
	path    string // of the configuration
	config  atomic.Pointer[config.Config]
	log     *logFile
	watcher *nodes.Watcher
	ended   chan error // receives what the router returns
}

// Check reads configuration and endpoint list without starting anything.
func Check(path string) (*config.Config, []nodes.Node, error) {
	c, err := config.Load(path)
	if err != nil {
		return nil, nil, err
	}
	list, err := nodes.Load(c.EndpointListPath, c)
	return c, list, err
}

// Start runs a router in the background. Log lines go to the file that the configuration names,
// or to stderr where it names none.
func Start(path string, stderr io.Writer) (*Service, error) {
	c, list, err := Check(path)
	if err != nil {
		return nil, err
	}
	s := &Service{path: path, ended: make(chan error, 1)}
	s.config.Store(c)
	s.log, err = openLog(c, path, stderr)
	if err != nil {
		return nil, err
	}
	s.Router, err = openaiserver.New(c, list, s.log.logger)
	if err != nil {
		return nil, err
	}
	s.watcher, err = nodes.Watch(c.EndpointListPath, s.reloadNodes)
	if err != nil {
		return nil, err
	}
	s.reloadNodes() // what was written between the first look and the watch
	go func() { s.ended <- s.Router.Run() }()
	s.log.logger.Info().Str("address", s.Router.Addr()).Msg("listening")
	return s, nil
}

// reloadNodes reads the endpoint list again. An invalid one changes nothing.
func (s *Service) reloadNodes() {
	c := s.config.Load()
	list, err := nodes.Load(c.EndpointListPath, c)
	if err != nil {
		s.log.logger.Error().Err(err).Msg("node list not taken; the old one stays")
		return
	}
	s.Router.SetNodes(list)
}

// Reload reads the configuration again, and the endpoint list by it. Where one of them is
// invalid, nothing changes.
func (s *Service) Reload() error {
	c, err := s.reload()
	if err != nil {
		s.log.logger.Error().Err(err).Msg("settings not taken; the old ones stay")
		return err
	}
	s.config.Store(c)
	s.log.logger.Info().Msg("settings taken")
	return nil
}

// errNeedsRestart is the reason why a key's change is rejected.
var errNeedsRestart = errors.New("needs a restart")

// reload hands the configuration and the endpoint list, read again, to the router.
func (s *Service) reload() (*config.Config, error) {
	c, list, err := Check(s.path)
	if err != nil {
		return nil, err
	}
	old := s.config.Load()
	if c.EndpointListPath != old.EndpointListPath {
		err := fmt.Errorf("a change from %s to %s %w", old.EndpointListPath, c.EndpointListPath, errNeedsRestart)
		return nil, &inifile.Error{File: s.path, Section: "[router]", Key: "nodes", Err: err}
	}
	err = s.Router.Reload(c, list)
	return c, err
}

// DroppedLogLines returns how many log lines were dropped.
func (s *Service) DroppedLogLines() uint64 { return s.log.dropped.Load() }

// gcPercent is how much the heap may grow before it is collected, in percent of what lives.
// What lives is some ten megabytes: at the usual 100 collecting it takes a tenth of a busy
// router's time.
const gcPercent = 400

// TuneCollector lets the heap grow to five times what lives before it is collected, unless GOGC
// says otherwise.
func TuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// Stop lets every request that was received have its answer and ends the router.
func (s *Service) Stop() error {
	s.Router.Shutdown()
	return s.Wait()
}

// Wait waits until the router has ended.
func (s *Service) Wait() error {
	routerErr := <-s.ended
	watcherErr := s.watcher.Close()
	s.log.logger.Info().Msg("stopped")
	return errors.Join(routerErr, watcherErr, s.log.Close())
}
