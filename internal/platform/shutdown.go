package platform

import (
	"time"

	"martenlock/control/connlimit"
	"martenlock/internal/timerwheel"
)

// shutdownPhase is how far a server's shutdown has come.
type shutdownPhase uint8

// The phases, in order.
const (
	serverServing shutdownPhase = iota // serving
	// serverLameDuck means that health checks fail while new connections and requests are still accepted.
	serverLameDuck // lame duck
	// serverDraining means that the listener is closed and the open requests are completed.
	serverDraining // draining
)

// shutdown is the state of a server's shutdown.
type shutdown struct {
	phase shutdownPhase
	timer timerwheel.Timer // runs until the phase ends or isDrained is checked again
}

// inProgress reports whether the shutdown has started. Health checks fail from then on, and each answer
// closes its connection.
func (s *shutdown) inProgress() bool { return s.phase != serverServing }

// acceptsRequests reports whether new requests are served.
func (s *shutdown) acceptsRequests() bool { return s.phase != serverDraining }

// Shutdown answers every accepted request and then makes Run return. New requests are accepted for
// another connlimit.ShutdownAcceptWindow, since clients and load balancers notice the shutdown with
// a delay. Later calls have no effect. Shutdown returns at once and may be called from any goroutine.
func (s *Server) Shutdown() {
	s.loop.Post(func() {
		if s.shutdown.inProgress() {
			return
		}
		s.shutdown.phase = serverLameDuck
		s.clients.StopKeepAlive()
		s.log.Info().Int("open_requests", len(s.exchanges.ByID)).Msg("shutdown started")
		s.shutdown.timer.Fire = s.startDraining
		s.loop.StartTimer(&s.shutdown.timer, connlimit.ShutdownAcceptWindow)
	})
}

// startDraining closes idle connections and the listener.
func (s *Server) startDraining() {
	s.shutdown.phase = serverDraining
	s.clients.CloseIdle()
	s.clients.Listener.Close()
	s.stopWhenDrained()
}

// drainCheckInterval is the time between two calls of isDrained.
const drainCheckInterval = 10 * time.Millisecond

// stopWhenDrained stops the loop if the server is drained, and otherwise checks again after
// drainCheckInterval.
func (s *Server) stopWhenDrained() {
	if s.isDrained() {
		s.discovery.stop()
		s.loop.Stop()
		return
	}
	s.shutdown.timer.Fire = s.stopWhenDrained
	s.loop.StartTimer(&s.shutdown.timer, drainCheckInterval)
}

// isDrained reports whether no request, connection or KV release is open. Connections that linger after
// their last answer count as open.
func (s *Server) isDrained() bool {
	return s.clients.Len() == 0 && len(s.exchanges.ByID) == 0 &&
		s.kvReleases.scheduler.Len() == 0 && s.clients.Listener.Open() == 0
}
