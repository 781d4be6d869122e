package openaiserver

import (
	"time"

	"martenlock/internal/timerwheel"
)

// shutdown is the state of a server's shutdown.
type shutdown struct {
	inProgress bool
	checkTimer timerwheel.Timer // until connections are counted again
	limitTimer timerwheel.Timer // until what still runs is aborted
}

// drainCheckInterval is the time between two looks at what is still open.
const drainCheckInterval = 10 * time.Millisecond

// Shutdown closes the listener, lets every accepted request have its answer, and then makes Run
// return. Answers that still run after the settings' shutdown limit are aborted. Further calls
// change nothing.
func (s *Server) Shutdown() { s.loop.Post(s.startShutdown) }

// startShutdown is Shutdown on the loop.
func (s *Server) startShutdown() {
	if s.shutdown.inProgress {
		return
	}
	s.shutdown.inProgress = true
	s.clients.listener.Close()
	for client := range s.clients.conns {
		client.drain()
	}
	s.shutdown.checkTimer.Fire = s.stopWhenDrained
	s.stopWhenDrained()
	s.shutdown.limitTimer.Fire = s.abortOpenRequests
	s.loop.StartTimer(&s.shutdown.limitTimer, s.config.Limits.ShutdownTimeout)
}

// stopWhenDrained ends the loop once no client is connected, and until then looks again.
func (s *Server) stopWhenDrained() {
	if s.clients.listener.Open() == 0 {
		s.loop.Stop()
		return
	}
	s.loop.StartTimer(&s.shutdown.checkTimer, drainCheckInterval)
}

// abortOpenRequests ends what still runs when the shutdown limit is reached.
func (s *Server) abortOpenRequests() {
	s.log.Warn().Int("open_requests", s.openRequests).Msg("shutdown limit reached, open requests aborted")
	for client := range s.clients.conns {
		client.abortForShutdown()
	}
}
