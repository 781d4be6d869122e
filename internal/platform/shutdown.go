package platform

import (
	"time"

	"martenlock/control/connlimit"
	"martenlock/internal/timerwheel"
)

type shutdownPhase uint8

// The phases, in order.
const (
	// serverServing means that no shutdown has started.
	serverServing shutdownPhase = iota // serving
	// serverLameDuck means that health checks fail while new connections and requests are still accepted.
	serverLameDuck // lame duck
	// serverDraining means that the listener is closed and open requests are being completed.
	serverDraining // draining
)

type shutdown struct {
	phase shutdownPhase
	timer timerwheel.Timer // runs until startDraining or the next stopWhenDrained
}

// inProgress reports whether the shutdown has started. Once it has, health checks fail and each answer
// closes its connection.
func (s *shutdown) inProgress() bool { return s.phase != serverServing }

// acceptsRequests reports whether new requests are served.
func (s *shutdown) acceptsRequests() bool { return s.phase != serverDraining }

// Shutdown starts a graceful shutdown: every accepted request is answered, then Run returns. New requests
// are accepted for connlimit.ShutdownAcceptWindow, since clients and load balancers notice the shutdown
// with a delay. Shutdown returns at once and may be called from any goroutine. Further calls have no
// effect.
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

// startDraining closes the listener and idle connections, and stops the loop once the server is drained.
func (s *Server) startDraining() {
	s.shutdown.phase = serverDraining
	s.clients.CloseIdle()
	s.clients.Listener.Close()
	s.stopWhenDrained()
}

// drainCheckInterval is how often stopWhenDrained checks whether the server is drained.
const drainCheckInterval = 10 * time.Millisecond

// stopWhenDrained stops the loop if the server is drained. Otherwise it checks again after
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

// isDrained reports whether no request, client connection or KV release is open. Connections that linger
// after their last answer count as open.
func (s *Server) isDrained() bool {
	return s.clients.Len() == 0 && len(s.exchanges.ByID) == 0 &&
		s.kvReleases.scheduler.Len() == 0 && s.clients.Listener.Open() == 0
}
