package platform

import (
	"fmt"
	"time"

	"martenlock/control/connlimit"
	"martenlock/internal/timerwheel"
)

// shutdownPhase is how far a server's shutdown has come.
type shutdownPhase uint8

// The phases, in order.
const (
	serverServing  shutdownPhase = iota
	serverLameDuck               // unhealthy, but new connections and requests are still accepted
	serverDraining               // the listener is closed, and requests at work are finished
)

// String names the phase for tests and logs.
func (p shutdownPhase) String() string {
	switch p {
	case serverServing:
		return "serving"
	case serverLameDuck:
		return "lame duck"
	case serverDraining:
		return "draining"
	}
	return fmt.Sprintf("shutdownPhase(%d)", uint8(p))
}

// shutdown is the state of a server's shutdown.
type shutdown struct {
	phase shutdownPhase
	timer timerwheel.Timer // until the phase ends, or is looked at again
}

// inProgress tells whether the server has been told to stop: it is unhealthy, and its answers
// close their connections.
func (s *shutdown) inProgress() bool { return s.phase != serverServing }

// acceptsRequests tells whether new requests are served.
func (s *shutdown) acceptsRequests() bool { return s.phase != serverDraining }

// Shutdown lets every accepted request have its answer, and then makes Run return. New requests
// are accepted for connlimit.ShutdownAcceptWindow more: whoever directs clients here learns of
// the shutdown with a delay. Further calls change nothing.
func (s *Server) Shutdown() {
	s.loop.Post(func() {
		if s.shutdown.inProgress() {
			return
		}
		s.shutdown.phase = serverLameDuck
		s.log.Info().Int("open_requests", len(s.exchanges.byID)).Msg("shutdown started")
		s.shutdown.timer.Fire = s.startDraining
		s.loop.StartTimer(&s.shutdown.timer, connlimit.ShutdownAcceptWindow)
	})
}

// startDraining closes idle connections and the listener.
func (s *Server) startDraining() {
	s.shutdown.phase = serverDraining
	for client := range s.clients.conns {
		if client.state == clientIdle {
			client.logClose("shutdown")
			client.closeGracefully()
		}
	}
	s.clients.listener.Close()
	s.stopWhenDrained()
}

// drainCheckInterval is the time between two looks at what is still open.
const drainCheckInterval = 10 * time.Millisecond

// stopWhenDrained ends the loop once no request, connection or KV release is open, and until
// then looks again.
func (s *Server) stopWhenDrained() {
	if s.isDrained() {
		s.discovery.stop()
		s.loop.Stop()
		return
	}
	s.shutdown.timer.Fire = s.stopWhenDrained
	s.loop.StartTimer(&s.shutdown.timer, drainCheckInterval)
}

// isDrained tells whether nothing is open any more. Connections that linger after their last
// answer count.
func (s *Server) isDrained() bool {
	return len(s.clients.conns) == 0 && len(s.exchanges.byID) == 0 &&
		s.kvReleases.scheduler.Len() == 0 && s.clients.listener.Open() == 0
}
