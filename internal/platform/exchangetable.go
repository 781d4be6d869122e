package platform

import "martenlock/control"

// exchangeTable holds the exchanges of a server.
type exchangeTable struct {
	byID       map[control.RequestID]*exchange
	byClientID map[string]*exchange // those whose client waits for the answer, by X-Call-Id
	ended      []*exchange          // those that removeEnded may remove
	lastID     control.RequestID
}

func newExchangeTable() exchangeTable {
	return exchangeTable{byID: map[control.RequestID]*exchange{}, byClientID: map[string]*exchange{}}
}

// newID returns an id that no exchange in the table has, also after the counter has wrapped.
func (t *exchangeTable) newID() control.RequestID {
	for {
		t.lastID++
		if t.byID[t.lastID] == nil {
			return t.lastID
		}
	}
}

// add adds a new exchange.
func (t *exchangeTable) add(e *exchange) {
	t.byID[e.id] = e
	t.byClientID[e.meta.callID] = e
}

// markEnded frees the client's id of an exchange without a client, and has removeEnded look at the
// exchange.
func (t *exchangeTable) markEnded(e *exchange) {
	if t.byClientID[e.meta.callID] == e {
		delete(t.byClientID, e.meta.callID)
	}
	t.ended = append(t.ended, e)
}

// removeEnded removes the ended exchanges, after the decision module was notified of their ends. Those
// that wait for the end of an attempt stay. They are marked again later.
func (t *exchangeTable) removeEnded() {
	for _, e := range t.ended {
		if e.attempt == nil && !e.cancelPropagating {
			delete(t.byID, e.id)
		}
	}
	clear(t.ended)
	t.ended = t.ended[:0]
}
