// Package platform implements the router's server on the operators' platform. It implements the
// platform's protocol for clients, engines and discovery on one event loop. The decision module,
// control.Router, decides to which engine and when each request is forwarded, whether it is retried, and
// how it is answered.
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

// Server is a router's server. Its state belongs to the event loop. Reload, Shutdown and Addr may be called
// from any goroutine.
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
	bufferedBytes int // of request bodies, and of streams before their first event; at most limits.maxBufferedBytes

	membership    membership.View
	discovery     *discoveryClient
	listPollTimer timerwheel.Timer // runs until membership.NextPoll
	warnings      warningLimiter

	reloadGeneration atomic.Uint64 // of the latest call to Reload
	shutdown         shutdown

	counters      counters
	tracing       *engineTracer // nil if the trace is off
	traceRequests bool          // the trace includes requests
}

// errNotEndpointList means that the endpoint list in the configuration cannot be decoded.
var errNotEndpointList = errors.New("not an endpoint list")

// Options of the event loop.
const (
	highWaterMarkBytes = 32 << 10 // unsent bytes of a connection at which the source of its output is paused
	maxUnsentBytes     = 1 << 20  // unsent bytes above which a connection is closed, since its source ignores the pause
	freeBufferDivisor  = 16       // the free buffers of each size take at most maxBufferedBytes divided by this
)

// New returns a server that listens. Call Run to serve. The error is a *ConfigError if the configuration
// is the cause.
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
		MaxFreeBytes:   s.limits.maxBufferedBytes / freeBufferDivisor,
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
	s.listPollTimer.Fire = s.pollEndpointList
	if len(config.KnownEndpoints) > 0 && s.applyEndpointList(config.KnownEndpoints) != nil {
		return nil, configFileError(config.File, "known", errNotEndpointList)
	}
	s.clients.Listener, err = s.loop.Listen(config.Listen, s.accept)
	if err != nil {
		return nil, configFileError(config.File, "listen", err)
	}
	// The limit exceeds maxClientConns because evicted connections keep their descriptors until the end of
	// the loop's iteration.
	s.clients.Listener.MaxOpen = connlimit.AcceptLimit(s.limits.maxClientConns)
	s.schedulePoll()
	s.subscribe(config.Discovery)
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.clients.Listener.Addr().String() }

// Run serves until a shutdown is complete. It returns the error of the event loop.
func (s *Server) Run() error { return s.loop.Run() }

// recordPanic counts and logs a panic in a handler. The event loop then closes the handler's connection.
func (s *Server) recordPanic(reason any) {
	s.counters.panics++
	s.log.Error().Str("panic", fmt.Sprint(reason)).Bytes("stack", debug.Stack()).Msg("handler panicked, connection closed")
}

// clockStart is the time on the decision module's clock at the start of the loop, in microseconds. It is
// one day, so that engines that started up to a day before this server have start times above zero.
const clockStart = control.Time(24 * 3600 * 1e6)

// now returns the current time on the decision module's clock.
func (s *Server) now() control.Time { return clockStart.Add(s.loop.Now()) }

// controlTime converts a Unix time in milliseconds to the decision module's clock. It returns 0 for times
// more than a day before the server's start, and the current time for times in the future. For any other
// time the result never changes, so that an engine that is listed again does not look restarted.
func (s *Server) controlTime(unixMillis int64) control.Time {
	at := int64(clockStart) + unixMillis*1000 - s.loop.Origin().UnixMicro()
	if unixMillis <= 0 || at <= 0 {
		return 0
	}
	return min(control.Time(at), s.now())
}
