package upstream

import (
	"errors"
	"testing"
	"time"
)

// TestIdleConnectionClosedWhereBudgetIsSpent: the connections to all engines together are bounded. An
// idle one is closed for a new one, but one in use is not.
func TestIdleConnectionClosedWhereBudgetIsSpent(t *testing.T) {
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
			t.Errorf("%d and %d open", f.pool.Open(), f.pool.Budget.Open())
		}
	})

	f.expectComplete(response)
}
