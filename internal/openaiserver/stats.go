package openaiserver

import (
	"errors"
	"time"
)

// Stats is what a server has done and holds.
type Stats struct {
	Served, Rejected, Failed, Canceled      uint64
	OpenRequests, ClientConnections, Timers int
	BufferedBytes                           int64
	EngineConnections                       int
	PendingKVReleases                       int
	CacheHits, CoalescedInputs              uint64 // inputs of embeddings answered from the cache, and by another's answer
	BatchedRequests                         uint64 // requests that were answered by a batch of several
	IdleConnsEvicted                        uint64 // idle connections that were closed for others
	Oversized                               uint64 // requests that no engine could take
	AdmissionRejected                       uint64 // large requests that could not end in time
	CacheBytes                              uint64 // bytes of the cache
	MaxUnsentBytes                          int    // bytes of the answer that its client has not taken, the most of any
}

// ErrStopped is Stats' error after Run has ended.
var ErrStopped = errors.New("router: not running")

// statsTimeout bounds the time in which a running loop answers Stats.
const statsTimeout = 10 * time.Second

// Stats returns the server's figures; it must not be called before Run.
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
		ClientConnections: s.clients.listener.Open(),
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
	for client := range s.clients.conns {
		stats.MaxUnsentBytes = max(stats.MaxUnsentBytes, client.conn.UnsentBytes())
	}
	for _, e := range s.engines.byID {
		stats.EngineConnections += e.Open()
		stats.PendingKVReleases += len(e.releases.pending)
	}
	return stats
}
