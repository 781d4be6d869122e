package latency

import (
	"sync"
	"testing"
	"time"
)

func TestPercentilesOfRecordedLatencies(t *testing.T) {
	histogram := NewHistogram()
	for i := range 100 {
		histogram.Record(time.Duration(i+1) * time.Millisecond)
	}

	checkNear(t, histogram.Percentile(50), 50*time.Millisecond)
	checkNear(t, histogram.Percentile(99), 99*time.Millisecond)
	checkNear(t, histogram.Percentile(100), 100*time.Millisecond)
	checkCount(t, histogram, 100)
}

func TestPercentileOfEmptyHistogramIsZero(t *testing.T) {
	histogram := NewHistogram()

	if got := histogram.Percentile(99); got != 0 {
		t.Errorf("percentile %v, want 0", got)
	}
	checkCount(t, histogram, 0)
}

func TestLatencyBeyondTheRangeIsIgnored(t *testing.T) {
	histogram := NewHistogram()

	histogram.Record(time.Hour)

	checkCount(t, histogram, 0)
}

func TestMergeAddsLatencies(t *testing.T) {
	histogram, other := NewHistogram(), NewHistogram()
	histogram.Record(10 * time.Millisecond)
	other.Record(30 * time.Millisecond)
	other.Record(30 * time.Millisecond)

	histogram.Merge(other)

	checkCount(t, histogram, 3)
	checkCount(t, other, 2)
	checkNear(t, histogram.Percentile(50), 30*time.Millisecond)
}

func TestConcurrentRecordsAreAllCounted(t *testing.T) {
	const goroutines, records = 8, 1000
	histogram := NewHistogram()

	var recording sync.WaitGroup
	for range goroutines {
		recording.Go(func() {
			for range records {
				histogram.Record(time.Millisecond)
			}
		})
	}
	recording.Wait()

	checkCount(t, histogram, goroutines*records)
}

func TestMillisecondsKeepsMicroseconds(t *testing.T) {
	if got := Milliseconds(1234*time.Microsecond + 900*time.Nanosecond); got != 1.234 {
		t.Errorf("%v ms, want 1.234", got)
	}
}

// checkNear checks that two latencies agree within the precision of a Histogram, three significant digits.
func checkNear(t *testing.T, got, want time.Duration) {
	t.Helper()
	if (got - want).Abs() > want/1000 {
		t.Errorf("latency %v, want about %v", got, want)
	}
}

func checkCount(t *testing.T, histogram *Histogram, want int64) {
	t.Helper()
	if got := histogram.Count(); got != want {
		t.Errorf("%d latencies recorded, want %d", got, want)
	}
}
