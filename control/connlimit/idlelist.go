package connlimit

// IdleList orders client connections by the time at which they became idle, so that the one idle for
// longest can be evicted for a new one. The zero IdleList is empty and ready for use. It is not safe
// for concurrent use.
//
// A connection that becomes busy keeps its place. LongestIdle moves it to the back when it reaches
// it, and MarkIdle does so when the connection becomes idle again. So each change takes constant
// time.
type IdleList[K comparable] struct {
	connections map[K]*connection[K]
	first, last *connection[K] // doubly linked; the idle ones are in the order in which they became idle
}

// connection is a known client connection.
type connection[K comparable] struct {
	key            K
	busy           bool
	previous, next *connection[K]
}

// maxScan bounds the busy connections that one call of LongestIdle passes, and so its time. The next
// call continues where the last one ended.
const maxScan = 256

// MarkIdle records that a connection waits for a request from now on. It adds a connection that is
// not known.
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

// MarkBusy records that a request has begun to arrive on a connection. It has no effect for a
// connection that is not known.
func (l *IdleList[K]) MarkBusy(key K) {
	if known := l.connections[key]; known != nil {
		known.busy = true
	}
}

// Remove forgets a connection.
func (l *IdleList[K]) Remove(key K) {
	if known := l.connections[key]; known != nil {
		l.unlink(known)
		delete(l.connections, key)
	}
}

// LongestIdle returns the connection that has been idle for longest. It returns false if the first
// maxScan connections are all busy: a busy connection is never evicted.
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
