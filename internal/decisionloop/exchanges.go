package decisionloop

import "martenlock/control"

// Exchanges holds the exchanges of a decision module by request. An exchange stays until the module
// was notified of the request's end, and the exchange needs no further event. NewExchanges returns
// an empty one that is ready for use.
type Exchanges[X Exchange] struct {
	ByID map[control.RequestID]X

	ended  []control.RequestID // those that RemoveEnded may remove
	lastID control.RequestID
}

// NewExchanges returns an Exchanges without exchanges.
func NewExchanges[X Exchange]() Exchanges[X] {
	return Exchanges[X]{ByID: map[control.RequestID]X{}}
}

// NewID returns an id that no exchange has, also after the counter has wrapped.
func (e *Exchanges[X]) NewID() control.RequestID {
	for {
		e.lastID++
		if _, isUsed := e.ByID[e.lastID]; !isUsed {
			return e.lastID
		}
	}
}

// MarkEnded makes the next RemoveEnded consider an exchange that has no client any more.
func (e *Exchanges[X]) MarkEnded(id control.RequestID) { e.ended = append(e.ended, id) }

// RemoveEnded removes the marked exchanges that are removable, and unmarks all. An exchange that
// stays must be marked again later. The caller makes sure that the module was notified of the ends.
func (e *Exchanges[X]) RemoveEnded(isRemovable func(X) bool) {
	for _, id := range e.ended {
		if exchange, isPresent := e.ByID[id]; isPresent && isRemovable(exchange) {
			delete(e.ByID, id)
		}
	}
	e.ended = e.ended[:0]
}
