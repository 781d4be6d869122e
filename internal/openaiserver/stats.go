package openaiserver

import (
	"errors"
	"time"
)

// Stats are a server's counters since its start and the present size of what it holds.
type Stats struct {
	// Counters of client requests, by their end.
	Served, Rejected, Failed, Canceled uint64

	Oversized         uint64 // requests rejected because no engine has the memory for them
	AdmissionRejected uint64 // large requests rejected by the admission queue
	CacheHits         uint64 // inputs of embeddings answered from the cache
	CoalescedInputs   uint64 // inputs of embeddings that waited for another request's computation
	BatchedRequests   uint64 // requests answered by a batch of several
	IdleConnsEvicted  uint64 // idle client connections closed in favour of new ones

	// Present sizes.
	OpenRequests, ClientConnections, Timers int
	EngineConnections, PendingKVReleases    int
	BufferedBytes                           int64  // request bodies and buffered answers
	CacheBytes                              uint64 // embedding caches
	MaxUnsentBytes                          int    // the most bytes of an answer that one client has not accepted yet
}

// ErrStopped is the error of Stats after Run has returned.
var ErrStopped = errors.New("openaiserver: server is not running")

// statsTimeout bounds the wait of Stats. A running loop answers within one iteration; only a stopped one does not.
const statsTimeout = 10 * time.Second

// Stats returns the server's statistics. It must not be called before Run. It returns ErrStopped if the loop does not
// answer within statsTimeout.
func (s *Server) Stats() (stats Stats, err error) {
	done := make(chan struct{})
	s.loop.Post(func() {
		stats = s.collectStats()
		close(done)
	})
	select {
	case <-done:
		return stats, nil
	case <-time.After(statsTimeout):
		return stats, ErrStopped
	}
}

// collectStats is Stats on the loop.
func (s *Server) collectStats() Stats {
	stats := Stats{
		Served:            s.counters.served,
		Rejected:          s.counters.rejected,
		Failed:            s.counters.failed,
		Canceled:          s.counters.canceled,
		Oversized:         s.counters.oversized,
		IdleConnsEvicted:  s.counters.idleConnsEvicted,
		OpenRequests:      s.openRequests,
		ClientConnections: s.clients.Listener.Open(),
		Timers:            s.loop.RunningTimers(),
		BufferedBytes:     s.bufferedBytes,
	}
	for _, p := range s.pools.current {
		stats.CacheHits += p.embeddings.hits
		stats.CoalescedInputs += p.embeddings.coalesced
		stats.BatchedRequests += p.batches.batchedRequests
		stats.AdmissionRejected += p.admission.rejected
		if p.embeddings.cache != nil {
			stats.CacheBytes += p.embeddings.cache.WeightedSize()
		}
	}
	for conn := range s.clients.All() {
		stats.MaxUnsentBytes = max(stats.MaxUnsentBytes, conn.UnsentBytes())
	}
	for _, e := range s.engines.byID {
		stats.EngineConnections += e.Open()
		stats.PendingKVReleases += len(e.releases.pending)
	}
	return stats
}
