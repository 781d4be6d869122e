package platform

import (
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	logBufferLines  = 512                   // further lines overwrite the oldest, so that the loop never blocks on the log
	logPollInterval = 20 * time.Millisecond // between two writes of the buffered lines
	signalBuffer    = 16                    // further signals are dropped
	maxProcs        = 1                     // one goroutine, the event loop, handles all requests
)

// Serve runs a server until its shutdown by SIGTERM or SIGINT is complete. Its configuration is read as
// by LoadConfig. Log lines go to stderr, which is closed at the end if it is an io.Closer. Signals that
// arrive while the server starts are handled once it serves. An error in the configuration is a
// *ConfigError.
func Serve(getenv func(string) string, stderr io.Writer) error {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	config, err := LoadConfig(getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(maxProcs)
	debug.SetMemoryLimit(newResourceLimits(config.Limits).heapLimitBytes)
	logBuffer := diode.NewWriter(stderr, logBufferLines, logPollInterval, func(int) {})
	log := zerolog.New(logBuffer).With().Timestamp().Str("router", config.Name).Logger()
	s, err := New(config, log)
	if err != nil {
		return err
	}
	s.startTrace(getenv(TraceVariable))
	log.Info().
		Str("listen", s.Addr()).
		Int("max_client_connections", s.limits.maxClientConns).
		Int("max_engine_connections", s.limits.maxEngineConns).
		Int("max_buffered_bytes", s.limits.maxBufferedBytes).
		Int64("heap_limit_bytes", s.limits.heapLimitBytes).
		Msg("serving")
	go s.handleSignals(signals, getenv)
	err = s.Run()
	s.counters.appendTo(log.Info()).Msg("server stopped")
	_ = logBuffer.Close() // flushes the buffered lines and closes stderr; its error can't be logged any more
	return err
}

// handleSignals reloads the configuration on SIGHUP and starts the shutdown on any other signal.
func (s *Server) handleSignals(signals <-chan os.Signal, getenv func(string) string) {
	for sig := range signals {
		if sig == syscall.SIGHUP {
			s.Reload(getenv)
		} else {
			s.Shutdown()
		}
	}
}
