// Package platform is the server for the operators' platform. It implements the platform's protocol
// for clients, engines and discovery on one event loop, with one decision module (control.Router).
// The module makes all decisions: where a request is forwarded, when, how often, and what its answer
// is.
package platform

import (
	"errors"
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/rs/zerolog"

	"martenlock/control"
	"martenlock/control/connlimit"
	"martenlock/control/membership"
	"martenlock/internal/decisionloop"
	"martenlock/internal/eventloop"
	"martenlock/internal/httpserver"
	"martenlock/internal/timerwheel"
)

// Server is one running server. Its event loop owns all of its state. Only Run, Reload and Shutdown may
// be called from other goroutines.
type Server struct {
	loop   *eventloop.Loop
	config *Config
	limits resourceLimits
	log    zerolog.Logger
	events eventLog

	mailbox decisionloop.Mailbox[*exchange] // of the decision module

	clients       *httpserver.Conns
	exchanges     exchangeTable
	endpoints     endpointTable
	kvReleases    kvReleases
	bufferedBytes int // of request bodies, and of responses before their first event

	membership      membership.View
	discovery       *discoveryClient
	listExpiryTimer timerwheel.Timer // runs until the endpoint list's next deadline
	warnings        warningLimiter

	reloadGeneration atomic.Uint64 // of the latest call to Reload
	shutdown         shutdown

	counters      counters
	tracing       *engineTracer // nil if the trace is off
	traceRequests bool          // the trace has lines for requests too
}

// errNotEndpointList means that the known endpoint list of the configuration cannot be decoded.
var errNotEndpointList = errors.New("not an endpoint list")

// Bounds of the output of one connection.
const (
	highWaterMarkBytes = 32 << 10 // unsent bytes at which the source of the output is paused
	maxUnsentBytes     = 1 << 20  // unsent bytes at which the connection closes: its source does not react to the pause
	freeBufferShare    = 16       // maxBufferedBytes divided by this bounds the free buffers of each size
)

// New returns a server that listens. Call Run to serve. The error is a *ConfigError if a value of the
// configuration is the cause.
func New(config *Config, log zerolog.Logger) (*Server, error) {
	s := &Server{
		config:    config,
		limits:    newResourceLimits(config.Limits),
		log:       log,
		exchanges: newExchangeTable(),
	}
	var err error
	s.loop, err = eventloop.New(eventloop.Options{
		HighWaterMark:  highWaterMarkBytes,
		MaxUnsentBytes: maxUnsentBytes,
		MaxFreeBytes:   s.limits.maxBufferedBytes / freeBufferShare,
		OnPanic:        s.recordPanic,
	})
	if err != nil {
		return nil, err
	}
	s.clients = newClients(s)
	s.events = newEventLog(log, s.loop.Now)
	s.endpoints = newEndpointTable(s)
	s.kvReleases = newKVReleases(s)
	s.mailbox = newMailbox(s)
	s.listExpiryTimer.Fire = s.expireEndpointList
	if len(config.Known) > 0 && s.applyEndpointList(config.Known) != nil {
		return nil, configFileError(config.File, "known", errNotEndpointList)
	}
	s.clients.Listener, err = s.loop.Listen(config.Listen, s.accept)
	if err != nil {
		return nil, configFileError(config.File, "listen", err)
	}
	// Evicted connections keep their descriptors until the end of the iteration.
	s.clients.Listener.MaxOpen = connlimit.AcceptLimit(s.limits.maxClientConns)
	s.schedulePoll()
	s.subscribe(config.Discovery)
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.clients.Listener.Addr().String() }

// Run serves until a shutdown is complete. Its error is that of the event loop.
func (s *Server) Run() error { return s.loop.Run() }

// recordPanic counts and logs a handler's panic. The event loop has closed the handler's connection.
func (s *Server) recordPanic(reason any) {
	s.counters.panics++
	s.log.Error().Str("panic", fmt.Sprint(reason)).Bytes("stack", debug.Stack()).Msg("handler panicked, connection closed")
}

// clockStart is the time on the decision module's clock when the loop starts, in microseconds. One day
// gives an engine that started within the day before this server a start time above zero.
const clockStart = control.Time(24 * 3600 * 1e6)

// now returns the current time on the decision module's clock.
func (s *Server) now() control.Time { return clockStart.Add(s.loop.Now()) }

// controlTime converts a Unix time in milliseconds to the decision module's clock. It returns 0 for times
// more than a day before the server's start, and the current time for times in the future. Other
// times always give the same result. Otherwise an engine would look restarted each time it is listed.
func (s *Server) controlTime(unixMillis int64) control.Time {
	at := int64(clockStart) + unixMillis*1000 - s.loop.Origin().UnixMicro()
	if unixMillis <= 0 || at <= 0 {
		return 0
	}
	return min(control.Time(at), s.now())
}
