package platform

import "martenlock/internal/decisionloop"

// exchangeTable holds the exchanges of a server.
type exchangeTable struct {
	decisionloop.Exchanges[*exchange]
	byClientID map[string]*exchange // those whose client waits for the answer, by X-Call-Id
}

func newExchangeTable() exchangeTable {
	return exchangeTable{
		Exchanges:  decisionloop.NewExchanges[*exchange](),
		byClientID: map[string]*exchange{},
	}
}

// add adds a new exchange.
func (t *exchangeTable) add(e *exchange) {
	t.ByID[e.id] = e
	t.byClientID[e.meta.callID] = e
}

// markEnded frees the client's id of an exchange without a client, and marks the exchange for
// RemoveEnded.
func (t *exchangeTable) markEnded(e *exchange) {
	if t.byClientID[e.meta.callID] == e {
		delete(t.byClientID, e.meta.callID)
	}
	t.MarkEnded(e.id)
}

// isRemovable reports whether the exchange, which has ended, waits for no attempt. One that does is
// marked again later.
func (e *exchange) isRemovable() bool { return e.attempt == nil && !e.cancelPropagating }
