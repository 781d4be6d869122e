package connlimit

// IdleList orders client connections by the time at which they became idle, so that the one that has
// been idle longest can be evicted for a new one. The zero IdleList is empty and ready for use. It is
// not safe for concurrent use.
//
// A connection that becomes busy keeps its place, so that each change takes constant time. It is moved
// to the back when LongestIdle reaches it, or when it becomes idle again.
type IdleList[K comparable] struct {
	connections map[K]*connection[K]
	first, last *connection[K] // doubly linked list; idle connections are in the order in which they became idle
}

type connection[K comparable] struct {
	key            K
	busy           bool
	previous, next *connection[K]
}

// maxScan is the maximum number of connections that one call of LongestIdle examines. The next call
// continues where the previous one ended.
const maxScan = 256

// MarkIdle records that a connection has become idle. It adds the connection if it is unknown.
func (l *IdleList[K]) MarkIdle(key K) {
	if known := l.connections[key]; known != nil {
		known.busy = false
		l.moveToBack(known)
		return
	}
	if l.connections == nil {
		l.connections = map[K]*connection[K]{}
	}
	added := &connection[K]{key: key}
	l.connections[key] = added
	l.pushBack(added)
}

// MarkBusy records that a request has begun to arrive on a connection. It has no effect if the
// connection is unknown.
func (l *IdleList[K]) MarkBusy(key K) {
	if known := l.connections[key]; known != nil {
		known.busy = true
	}
}

// Remove removes a connection. It has no effect if the connection is unknown.
func (l *IdleList[K]) Remove(key K) {
	if known := l.connections[key]; known != nil {
		l.unlink(known)
		delete(l.connections, key)
	}
}

// LongestIdle returns the connection that has been idle longest. It returns false if the first maxScan
// connections are all busy.
func (l *IdleList[K]) LongestIdle() (key K, ok bool) {
	for range min(maxScan, l.Len()) {
		candidate := l.first
		if !candidate.busy {
			return candidate.key, true
		}
		l.moveToBack(candidate)
	}
	return key, false
}

// Len returns the number of known connections, idle and busy.
func (l *IdleList[K]) Len() int { return len(l.connections) }

func (l *IdleList[K]) moveToBack(moved *connection[K]) {
	l.unlink(moved)
	l.pushBack(moved)
}

func (l *IdleList[K]) pushBack(added *connection[K]) {
	added.previous = l.last
	if l.last != nil {
		l.last.next = added
	} else {
		l.first = added
	}
	l.last = added
}

func (l *IdleList[K]) unlink(removed *connection[K]) {
	if removed.previous != nil {
		removed.previous.next = removed.next
	} else {
		l.first = removed.next
	}
	if removed.next != nil {
		removed.next.previous = removed.previous
	} else {
		l.last = removed.previous
	}
	removed.previous = nil
	removed.next = nil
}
