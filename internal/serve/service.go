// Package serve runs a router that is configured by files and can be reloaded.
package serve

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"sync/atomic"

	"martenlock/internal/config"
	"martenlock/internal/endpointlist"
	"martenlock/internal/inifile"
	"martenlock/internal/openaiserver"
)

// Service is a running router with its log, its configuration and a watch on its endpoint list.
type Service struct {
	Router    *openaiserver.Server
	path      string                        // of the configuration
	config    atomic.Pointer[config.Config] // configuration in force
	log       *logFile
	watcher   *endpointlist.Watcher
	runResult chan error // receives the result of Router.Run
}

// Check loads and checks the configuration at path and its endpoint list. It starts nothing.
func Check(path string) (*config.Config, []endpointlist.Endpoint, error) {
	c, err := config.Load(path)
	if err != nil {
		return nil, nil, err
	}
	list, err := endpointlist.Load(c.EndpointListPath, c)
	return c, list, err
}

// Start starts a router in the background. Log lines go to the file that the configuration names, or to stderr if it
// names none. The caller ends the service with Stop.
func Start(path string, stderr io.Writer) (*Service, error) {
	c, list, err := Check(path)
	if err != nil {
		return nil, err
	}
	s := &Service{path: path, runResult: make(chan error, 1)}
	s.config.Store(c)
	s.log, err = openLog(c, path, stderr)
	if err != nil {
		return nil, err
	}
	s.Router, err = openaiserver.New(c, list, s.log.logger)
	if err != nil {
		return nil, err
	}
	s.watcher, err = endpointlist.Watch(c.EndpointListPath, s.reloadEndpoints)
	if err != nil {
		return nil, err
	}
	s.reloadEndpoints() // the list may have changed between Check and Watch
	go func() { s.runResult <- s.Router.Run() }()
	s.log.logger.Info().Str("address", s.Router.Addr()).Msg("listening")
	return s, nil
}

// reloadEndpoints loads the endpoint list again. An invalid list is rejected and logged.
func (s *Service) reloadEndpoints() {
	c := s.config.Load()
	list, err := endpointlist.Load(c.EndpointListPath, c)
	if err != nil {
		s.log.logger.Error().Err(err).Msg("endpoint list rejected, the previous one stays in force")
		return
	}
	s.Router.SetEndpoints(list)
}

// Reload loads the configuration and the endpoint list again and applies them. If one of them is invalid or needs a
// restart, nothing changes and the error names file, section and key.
func (s *Service) Reload() error {
	c, err := s.reload()
	if err != nil {
		s.log.logger.Error().Err(err).Msg("configuration rejected, the previous one stays in force")
		return err
	}
	s.config.Store(c)
	s.log.logger.Info().Msg("configuration applied")
	return nil
}

// errNeedsRestart is the error of a changed setting that Reload can't apply.
var errNeedsRestart = errors.New("needs a restart")

// reload does the work of Reload except for logging and for replacing s.config. It returns the new configuration.
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

// DroppedLogLines returns the number of log lines that were dropped because they were written too slowly.
func (s *Service) DroppedLogLines() uint64 { return s.log.dropped.Load() }

// gcPercent is the value of GOGC, in percent of the live heap. The live heap of a router is small, so Go's default of
// 100 would cause frequent collections under load.
const gcPercent = 400

// TuneGC sets the garbage collector's target percentage to gcPercent unless the environment sets GOGC.
func TuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// Stop shuts the router down gracefully and waits until it has ended.
func (s *Service) Stop() error {
	s.Router.Shutdown()
	return s.Wait()
}

// Wait waits until the router has ended, and then closes the watch and the log. Stop calls Wait; the caller must call
// exactly one of the two.
func (s *Service) Wait() error {
	routerErr := <-s.runResult
	watcherErr := s.watcher.Close()
	s.log.logger.Info().Msg("stopped")
	return errors.Join(routerErr, watcherErr, s.log.Close())
}
