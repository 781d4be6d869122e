// Package latency records latencies for measurements and returns their percentiles.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of a Histogram in microseconds, and its precision in significant digits.
const (
	minMicros = 1
	maxMicros = 60_000_000 // one minute, longer than any request of a measurement
	precision = 3
)

// Histogram holds recorded latencies, rounded to three significant digits. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex // guards micros
	micros *hdrhistogram.Histogram
}

// NewHistogram returns an empty Histogram.
func NewHistogram() *Histogram {
	return &Histogram{micros: hdrhistogram.New(minMicros, maxMicros, precision)}
}

// Record adds a latency. It ignores a latency of more than about a minute.
func (h *Histogram) Record(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.micros.RecordValue(latency.Microseconds()) // the only error is a latency beyond the range
}

// Merge adds the latencies of another Histogram, which must not be h.
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

// Percentile returns the latency that the given percentage of latencies does not exceed. It returns 0 for an
// empty Histogram.
func (h *Histogram) Percentile(percent float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.micros.ValueAtQuantile(percent)) * time.Microsecond
}

// Milliseconds returns a duration in milliseconds, in whole microseconds.
func Milliseconds(duration time.Duration) float64 {
	const microsPerMilli = 1000
	return float64(duration.Microseconds()) / microsPerMilli
}
