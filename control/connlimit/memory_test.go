package connlimit

import (
	"testing"
	"time"
)

// TestLargestPartialRequestIsEvictedFirst: the larger request is evicted first. Of two requests of the
// same size, the one on the older connection is evicted first. No request is evicted before itself.
func TestLargestPartialRequestIsEvictedFirst(t *testing.T) {
	for _, c := range []struct {
		name         string
		first, other PartialRequest
		want         bool
	}{
		{"larger and newer", PartialRequest{2, 2 * time.Second}, PartialRequest{1, time.Second}, true},
		{"smaller and older", PartialRequest{1, time.Second}, PartialRequest{2, 2 * time.Second}, false},
		{"equal and older", PartialRequest{1, time.Second}, PartialRequest{1, 2 * time.Second}, true},
		{"equal and newer", PartialRequest{1, 2 * time.Second}, PartialRequest{1, time.Second}, false},
		{"itself", PartialRequest{1, time.Second}, PartialRequest{1, time.Second}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.first.EvictedBefore(c.other); got != c.want {
				t.Errorf("%+v is evicted before %+v: %v", c.first, c.other, got)
			}
		})
	}
}
