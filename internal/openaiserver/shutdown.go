package openaiserver

import (
	"time"

	"martenlock/internal/timerwheel"
)

type shutdown struct {
	inProgress   bool
	drainTimer   timerwheel.Timer // starts the next check for open connections
	timeoutTimer timerwheel.Timer // aborts the requests that are still open at the shutdown time-out
}

// drainCheckInterval is the time between two checks for open connections. Run returns at most this long after the last
// connection has closed.
const drainCheckInterval = 10 * time.Millisecond

// Shutdown starts a graceful shutdown and does not wait for its end. The listener is closed. Run returns when every
// accepted request was answered and all client connections are closed. Requests that are still open after
// config.Limits.ShutdownTimeout are aborted. Further calls have no effect.
func (s *Server) Shutdown() { s.loop.Post(s.startShutdown) }

// startShutdown does the work of Shutdown on the event loop.
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

// stopWhenDrained stops the event loop if no client is connected. Otherwise it schedules another check.
func (s *Server) stopWhenDrained() {
	if s.clients.Listener.Open() == 0 {
		s.loop.Stop()
		return
	}
	s.loop.StartTimer(&s.shutdown.drainTimer, drainCheckInterval)
}

// abortOpenRequests aborts all open requests and closes all client connections. It is called when the shutdown times
// out.
func (s *Server) abortOpenRequests() {
	s.log.Warn().Int("open_requests", s.openRequests).Msg("shutdown limit reached, open requests aborted")
	for conn := range s.clients.All() {
		if client, isClient := conn.Handler().(*clientConn); isClient {
			client.abortForShutdown()
		}
	}
}
