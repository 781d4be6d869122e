// Package platform is the running server on the operators' platform: their protocol for
// clients, engines and discovery on one event loop, with one decision module (control.Router).
// The package decides nothing about where a request goes, when, how often, or what its answer
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
	"martenlock/internal/timerwheel"
)

// Server is one running server. All of its state belongs to its event loop; only Run, Reload
// and Shutdown may be called from other goroutines.
type Server struct {
	loop   *eventloop.Loop
	config *Config
	limits resourceLimits
	log    zerolog.Logger
	events eventLog

	mailbox decisionloop.Mailbox[*exchange] // of the decision module

	clients       clientTable
	exchanges     exchangeTable
	endpoints     endpointTable
	kvReleases    kvReleases
	bufferedBytes int // of request bodies and of answers before their first event

	membership      membership.View
	discovery       *discoveryClient
	listExpiryTimer timerwheel.Timer // until an out-of-date list may count
	warnings        warningLimiter

	reloadGeneration atomic.Uint64 // of the latest call to Reload
	shutdown         shutdown

	counters      counters
	tracing       *engineTracer // nil where it is off
	traceRequests bool
}

// errNotEndpointList tells that the configuration's list of engines can't be parsed.
var errNotEndpointList = errors.New("not a list of servers")

// Output of one connection.
const (
	highWaterMarkBytes = 32 << 10 // unsent; from here on the source of the output is paused
	maxUnsentBytes     = 1 << 20  // a connection with more has a source that ignores the mark
	freeBufferShare    = 16       // of maxBufferedBytes, one part is kept as free buffers of one size
)

// New returns a server that listens already; Run serves. The error is a *ConfigError where a
// value of the configuration is the cause.
func New(cfg *Config, log zerolog.Logger) (*Server, error) {
	s := &Server{
		config:    cfg,
		limits:    newResourceLimits(cfg.Limits),
		log:       log,
		clients:   newClientTable(),
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
	s.events = newEventLog(log, s.loop.Now)
	s.endpoints = newEndpointTable(s)
	s.kvReleases = newKVReleases(s)
	s.mailbox = newMailbox(s)
	s.listExpiryTimer.Fire = s.expireEndpointList
	if len(cfg.Known) > 0 && s.applyEndpointList(cfg.Known) != nil {
		return nil, configFileError(cfg.File, "known", errNotEndpointList)
	}
	s.clients.listener, err = s.loop.Listen(cfg.Listen, s.accept)
	if err != nil {
		return nil, configFileError(cfg.File, "listen", err)
	}
	// Connections that were evicted hold their descriptors until the end of the iteration.
	s.clients.listener.MaxOpen = connlimit.AcceptLimit(s.limits.maxClientConns)
	s.schedulePoll()
	s.subscribe(cfg.Discovery)
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.clients.listener.Addr().String() }

// Run serves until Shutdown is complete.
func (s *Server) Run() error { return s.loop.Run() }

// recordPanic takes note of a handler's panic, which ended its connection and nothing else.
func (s *Server) recordPanic(reason any) {
	s.counters.panics++
	s.log.Error().Str("panic", fmt.Sprint(reason)).Bytes("stack", debug.Stack()).Msg("handler panicked, connection closed")
}

// clockStart is what the module's clock shows when the loop starts: late enough that an
// engine which started up to a day before this server has a start above zero.
const clockStart = control.Time(24 * 3600 * 1e6)

// now returns the present time on the module's clock.
func (s *Server) now() control.Time { return clockStart.Add(s.loop.Now()) }

// routerTime converts Unix time in milliseconds to the module's clock; 0 stands for long ago.
// The same argument always gives the same result, or an engine would seem to have restarted
// each time that it is listed; times in the future are the exception: they count as now.
func (s *Server) routerTime(unixMillis int64) control.Time {
	at := int64(clockStart) + unixMillis*1000 - s.loop.Origin().UnixMicro()
	if unixMillis <= 0 || at <= 0 {
		return 0
	}
	return min(control.Time(at), s.now())
}
