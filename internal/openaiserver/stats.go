package openaiserver

import (
	"errors"
	"time"
)

// Stats holds a server's counters since its start and its current resource use.
type Stats struct {
	// Numbers of requests that were accepted for a pool, by outcome. A request that an engine rejected as invalid counts
	// as served.
	Served, Rejected, Failed, Canceled uint64

	// Other counters. Those of pools restart at 0 when a reload replaces the pools.
	Oversized         uint64 // requests above the model's context length or the memory of every engine
	AdmissionRejected uint64 // of pools: large requests rejected by the admission queue
	CacheHits         uint64 // of pools: embeddings inputs answered from the cache
	CoalescedInputs   uint64 // of pools: embeddings inputs that waited for another request's computation
	BatchedRequests   uint64 // of pools: requests answered by a batch of several
	IdleConnsEvicted  uint64 // idle client connections closed to make room for new ones

	// Current values.
	OpenRequests, ClientConnections, Timers int
	EngineConnections, PendingKVReleases    int
	BufferedBytes                           int64  // request bodies, buffered answers, copies and overhead of inputs
	CacheBytes                              uint64 // entries of the embedding caches
	MaxUnsentBytes                          int    // largest number of bytes buffered for one client
}

// ErrStopped is returned by Server.Stats if the event loop does not respond, usually because it does not run.
var ErrStopped = errors.New("openaiserver: server is not running")

// statsTimeout is how long Stats waits for the event loop. A running loop responds within one iteration.
const statsTimeout = 10 * time.Second

// Stats returns the server's counters and its current resource use. It must not be called before Run. If the event loop
// does not respond within statsTimeout, it returns ErrStopped.
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

// collectStats does the work of Stats on the event loop.
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
		stats.CacheHits += p.embeddingCache.hits
		stats.CoalescedInputs += p.embeddingCache.coalesced
		stats.BatchedRequests += p.batchScheduler.batchedRequests
		stats.AdmissionRejected += p.admissionQueue.rejected
		if p.embeddingCache.entries != nil {
			stats.CacheBytes += p.embeddingCache.entries.WeightedSize()
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
