// Package conns decides which client connection makes room for a new one, and how many
// there may be. Like control, it does no I/O, reads no clock and starts no goroutine.
package conns

import "container/list"

// Table knows which connections are idle, in the order in which they became so.
type Table[K comparable] struct {
	order list.List // of *entry: those that have been idle for longest first; busy ones anywhere
	at    map[K]*list.Element
}

type entry[K comparable] struct {
	key  K
	busy bool
}

// mostLooks bounds the look for an idle connection among busy ones; the next look goes on
// where this one ended.
const mostLooks = 256

// Idle takes in that a connection, known or new, waits for a request from now on.
func (t *Table[K]) Idle(key K) {
	if e := t.at[key]; e != nil {
		e.Value.(*entry[K]).busy = false
		t.order.MoveToBack(e)
		return
	}
	if t.at == nil {
		t.at = map[K]*list.Element{}
	}
	t.at[key] = t.order.PushBack(&entry[K]{key: key})
}

// Busy takes in that a request has begun to come.
func (t *Table[K]) Busy(key K) {
	if e := t.at[key]; e != nil {
		e.Value.(*entry[K]).busy = true
	}
}

// Gone forgets a connection.
func (t *Table[K]) Gone(key K) {
	if e := t.at[key]; e != nil {
		t.order.Remove(e)
		delete(t.at, key)
	}
}

// Victim returns the connection that has been idle for longest, which is to be closed where
// a new one would be the last that fits; false where none is idle: nobody at work is cut.
func (t *Table[K]) Victim() (key K, ok bool) {
	for range min(mostLooks, t.order.Len()) {
		e := t.order.Front()
		v := e.Value.(*entry[K])
		if !v.busy {
			return v.key, true
		}
		t.order.MoveToBack(e)
	}
	return key, false
}

// Len returns how many connections are known.
func (t *Table[K]) Len() int { return len(t.at) }

// engineShare of the descriptors is left to connections to engines, files and the runtime.
const (
	engineShare = 4 // a quarter
	leastSpare  = 64
)

// Most returns how many client connections there may be where so many are wished for and the
// process may have so many descriptors.
func Most(wish, descriptors int) int {
	return max(min(wish, descriptors-max(descriptors/engineShare, leastSpare)), 1)
}
