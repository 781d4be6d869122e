package platform

import "martenlock/internal/decisionloop"

// exchangeTable indexes the exchanges of a server.
type exchangeTable struct {
	decisionloop.Exchanges[*exchange]
	byCallID map[string]*exchange // exchanges that still have a client, by X-Call-Id
}

func newExchangeTable() exchangeTable {
	return exchangeTable{
		Exchanges: decisionloop.NewExchanges[*exchange](),
		byCallID:  map[string]*exchange{},
	}
}

func (t *exchangeTable) add(e *exchange) {
	t.ByID[e.id] = e
	t.byCallID[e.meta.callID] = e
}

// markEnded marks an exchange without a client for removal by RemoveEnded, and lets a new request
// use its X-Call-Id.
func (t *exchangeTable) markEnded(e *exchange) {
	if t.byCallID[e.meta.callID] == e {
		delete(t.byCallID, e.meta.callID)
	}
	t.MarkEnded(e.id)
}

// isRemovable reports whether an ended exchange has no attempt in flight and no deferred outcome.
// Otherwise the exchange is marked again later.
func (e *exchange) isRemovable() bool { return e.attempt == nil && !e.cancelPropagating }
