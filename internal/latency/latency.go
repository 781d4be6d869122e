// Package latency records latencies and returns their percentiles.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of a Histogram.
const (
	minMicros = 1
	maxMicros = 60_000_000 // one minute; longer latencies are ignored
	precision = 3          // significant digits
)

// Histogram holds recorded latencies, rounded to three significant digits. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex // guards micros
	micros *hdrhistogram.Histogram
}

// NewHistogram returns a Histogram for latencies of up to about a minute.
func NewHistogram() *Histogram {
	return &Histogram{micros: hdrhistogram.New(minMicros, maxMicros, precision)}
}

// Record adds a latency. It ignores a latency of more than about a minute.
func (h *Histogram) Record(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.micros.RecordValue(latency.Microseconds()) // fails only for a latency beyond the range
}

// Merge adds the latencies of other. It locks both Histograms, so it deadlocks if other is h, and may deadlock if h is
// merged into other at the same time.
func (h *Histogram) Merge(other *Histogram) {
	h.mu.Lock()
	defer h.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	h.micros.Merge(other.micros)
}

// Count returns the number of recorded latencies.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.micros.TotalCount()
}

// Percentile returns the latency that the given percentage of latencies, from 0 to 100, does not exceed. It returns 0
// for an empty Histogram.
func (h *Histogram) Percentile(percent float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.micros.ValueAtQuantile(percent)) * time.Microsecond
}

// Milliseconds returns a duration in milliseconds, truncated to whole microseconds.
func Milliseconds(duration time.Duration) float64 {
	const microsPerMilli = 1000
	return float64(duration.Microseconds()) / microsPerMilli
}
