package decisionloop

import "martenlock/control"

// Exchanges holds the exchanges of a decision module. An exchange whose request has ended stays until
// it needs no further event: the server marks it with MarkEnded, and RemoveEnded removes it. Use
// NewExchanges; the zero Exchanges has a nil map.
type Exchanges[X Exchange] struct {
	ByID map[control.RequestID]X

	ended  []control.RequestID // marked since the last RemoveEnded
	lastID control.RequestID
}

// NewExchanges returns an Exchanges with an empty, non-nil ByID.
func NewExchanges[X Exchange]() Exchanges[X] {
	return Exchanges[X]{ByID: map[control.RequestID]X{}}
}

// NewID returns an ID that no exchange has, even after the ID counter has wrapped around.
func (e *Exchanges[X]) NewID() control.RequestID {
	for {
		e.lastID++
		if _, isUsed := e.ByID[e.lastID]; !isUsed {
			return e.lastID
		}
	}
}

// MarkEnded marks an exchange that no longer has a client. The next RemoveEnded may remove it.
func (e *Exchanges[X]) MarkEnded(id control.RequestID) { e.ended = append(e.ended, id) }

// RemoveEnded removes the marked exchanges for which isRemovable returns true, and clears all marks.
// An exchange that it keeps must be marked again. Before the call, the module must know that each marked
// exchange has ended, or an event that reports the end must have been pushed. Mailbox ignores later
// actions for a removed exchange.
func (e *Exchanges[X]) RemoveEnded(isRemovable func(X) bool) {
	for _, id := range e.ended {
		if exchange, isPresent := e.ByID[id]; isPresent && isRemovable(exchange) {
			delete(e.ByID, id)
		}
	}
	e.ended = e.ended[:0]
}
