package decisionloop

import (
	"testing"

	"martenlock/control"
)

func TestNewIDIsUnusedAfterTheCounterWraps(t *testing.T) {
	exchanges := NewExchanges[*recordedExchange]()
	exchanges.lastID--
	last := exchanges.lastID
	exchanges.lastID-- // so that the second ID is given out after the counter wraps around
	exchanges.ByID[0] = &recordedExchange{}
	exchanges.ByID[1] = &recordedExchange{}

	first, second := exchanges.NewID(), exchanges.NewID()

	if first != last || second != 2 {
		t.Errorf("IDs %d and %d, want %d and 2", first, second, last)
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

	// when: exchange 1 has ended, 2 has ended but has an attempt in flight, and 3 is open
	exchanges.MarkEnded(1)
	exchanges.MarkEnded(1) // a second mark changes nothing
	exchanges.MarkEnded(2)
	exchanges.RemoveEnded(isRemovable)

	// then
	if len(exchanges.ByID) != 2 || exchanges.ByID[1] != nil {
		t.Errorf("exchanges %v remain, want 2 and 3", exchanges.ByID)
	}

	// when: the attempt of exchange 2 has ended, but the exchange was not marked again
	inFlight[2] = false
	exchanges.RemoveEnded(isRemovable)

	// then
	if exchanges.ByID[2] == nil {
		t.Error("exchange 2 was removed without a new mark")
	}

	// when
	exchanges.MarkEnded(2)
	exchanges.RemoveEnded(isRemovable)

	// then
	if len(exchanges.ByID) != 1 || exchanges.ByID[3] == nil {
		t.Errorf("exchanges %v remain, want 3", exchanges.ByID)
	}
}
