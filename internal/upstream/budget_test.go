package upstream

import (
	"errors"
	"testing"
	"time"
)

// TestIdleConnectionClosedAtBudgetLimit: at the limit on connections to all engines, an idle connection
// is closed to make room for a new one. A connection in use is not closed.
func TestIdleConnectionClosedAtBudgetLimit(t *testing.T) {
	f := newFixture(t, Options{IdleTimeout: time.Minute, MaxPerEngine: 9, MaxTotal: 1})
	f.request(false)
	other := f.newPool(f.pool.Addr)
	response, overBudget := newRecordedResponse(), newRecordedResponse()

	f.loop.Do(func() {
		if _, err := other.Start(response, getRequest, nil, false); err != nil {
			t.Error(err)
		}
		if _, err := f.pool.Start(overBudget, nil, nil, false); !errors.Is(err, ErrNoConn) {
			t.Errorf("above the budget: %v, want ErrNoConn", err)
		}
		if f.pool.Open() != 0 || f.pool.Budget.Open() != 1 {
			t.Errorf("%d connections of the first pool and %d of both are open, want 0 and 1", f.pool.Open(), f.pool.Budget.Open())
		}
	})

	f.expectComplete(response)
}
