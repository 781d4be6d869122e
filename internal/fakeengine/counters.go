package fakeengine

import "fmt"

// counters are the totals of an engine. A restart doesn't reset them.
type counters struct {
	served       int
	fetchedBytes int // of KV states
}

// Stats are the counters of an engine and its current state.
type Stats struct {
	Served         int // requests served; for a prefill engine, KV states that decode engines fetched
	FetchedKVBytes int // bytes of KV states that this engine fetched
	RetainedStates int // KV states held for decode engines
	Running        int // requests with a decode slot
	Waiting        int // requests in prefill, or waiting for prefill or a decode slot
	Conns          int // open connections
}

// Stats returns the engine's counters and current state.
func (e *Engine) Stats() (stats Stats) {
	e.cluster.do(func() {
		stats = Stats{
			Served:         e.counters.served,
			FetchedKVBytes: e.counters.fetchedBytes,
			RetainedStates: len(e.kvStore.states),
			Running:        e.scheduler.running,
			Waiting:        e.scheduler.waiting(),
			Conns:          len(e.conns),
		}
	})
	return stats
}

// loadReport returns an ORCA load report in the TEXT format.
func (e *Engine) loadReport() string {
	running := e.scheduler.running + e.scheduler.prefilling
	kvUsage := float64(e.scheduler.running+len(e.kvStore.states)) / float64(max(e.Spec.DecodeSlots, 1))
	return fmt.Sprintf("TEXT named_metrics.num_requests_running=%d, named_metrics.num_requests_waiting=%d, named_metrics.kv_cache_usage_perc=%.3f",
		running, len(e.scheduler.decodeQueue), min(kvUsage, 1))
}
