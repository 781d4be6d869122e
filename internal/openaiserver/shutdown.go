package openaiserver

import (
	"time"

	"martenlock/internal/timerwheel"
)

// shutdown is the state of a server's shutdown.
type shutdown struct {
	inProgress   bool
	drainTimer   timerwheel.Timer // until the next check for open connections
	timeoutTimer timerwheel.Timer // until open requests are aborted
}

// drainCheckInterval is the time between two checks for open connections. It bounds how late Run returns.
const drainCheckInterval = 10 * time.Millisecond

// Shutdown starts a graceful shutdown: it closes the listener, and Run returns once every accepted request is answered.
// Requests that are open after Limits.ShutdownTimeout are aborted. Shutdown does not wait. Further calls have no
// effect.
func (s *Server) Shutdown() { s.loop.Post(s.startShutdown) }

// startShutdown is Shutdown on the loop.
func (s *Server) startShutdown() {
	if s.shutdown.inProgress {
		return
	}
	s.shutdown.inProgress = true
	s.clients.StopKeepAlive()
	s.clients.Listener.Close()
	s.clients.CloseAfterResponses()
	s.clients.CloseIdle()
	s.shutdown.drainTimer.Fire = s.stopWhenDrained
	s.stopWhenDrained()
	s.shutdown.timeoutTimer.Fire = s.abortOpenRequests
	s.loop.StartTimer(&s.shutdown.timeoutTimer, s.config.Limits.ShutdownTimeout)
}

// stopWhenDrained stops the loop if no client is connected, and schedules another check otherwise.
func (s *Server) stopWhenDrained() {
	if s.clients.Listener.Open() == 0 {
		s.loop.Stop()
		return
	}
	s.loop.StartTimer(&s.shutdown.drainTimer, drainCheckInterval)
}

// abortOpenRequests aborts the requests that are open when the shutdown times out.
func (s *Server) abortOpenRequests() {
	s.log.Warn().Int("open_requests", s.openRequests).Msg("shutdown limit reached, open requests aborted")
	for conn := range s.clients.All() {
		if client, isClient := conn.Handler().(*clientConn); isClient {
			client.abortForShutdown()
		}
	}
}
