package decisionloop

import (
	"testing"

	"martenlock/control"
)

func TestNewIDIsUnusedAfterTheCounterWraps(t *testing.T) {
	exchanges := NewExchanges[*recordedExchange]()
	exchanges.lastID--
	last := exchanges.lastID
	exchanges.lastID-- // two before the wrap
	exchanges.ByID[0] = &recordedExchange{}
	exchanges.ByID[1] = &recordedExchange{}

	first, second := exchanges.NewID(), exchanges.NewID()

	if first != last || second != 2 {
		t.Errorf("ids %d and %d, want %d and 2", first, second, last)
	}
}

func TestEndedExchangeStaysUntilRemovable(t *testing.T) {
	// given
	exchanges := NewExchanges[*recordedExchange]()
	for _, id := range []control.RequestID{1, 2, 3} {
		exchanges.ByID[id] = &recordedExchange{id: id}
	}
	inFlight := map[control.RequestID]bool{2: true}
	isRemovable := func(e *recordedExchange) bool { return !inFlight[e.id] }

	// when: the first has ended, the second too but for its attempt, and the third goes on
	exchanges.MarkEnded(1)
	exchanges.MarkEnded(1) // by its client and by its attempt
	exchanges.MarkEnded(2)
	exchanges.RemoveEnded(isRemovable)

	// then
	if len(exchanges.ByID) != 2 || exchanges.ByID[1] != nil {
		t.Errorf("%v", exchanges.ByID)
	}

	// when: its attempt has ended, but it was not marked again
	inFlight[2] = false
	exchanges.RemoveEnded(isRemovable)

	// then
	if exchanges.ByID[2] == nil {
		t.Error("removed without a mark")
	}

	// when
	exchanges.MarkEnded(2)
	exchanges.RemoveEnded(isRemovable)

	// then
	if len(exchanges.ByID) != 1 || exchanges.ByID[3] == nil {
		t.Errorf("%v", exchanges.ByID)
	}
}
