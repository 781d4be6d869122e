package upstream

import "slices"

// Budget counts the connections of all pools that share it, and knows which idle one to close
// for a new one. The zero Budget is ready for use.
type Budget struct {
	open int
	idle []*Conn // in order of becoming idle; entries of connections used or closed since are stale
}

// Open returns the number of connections.
func (b *Budget) Open() int { return b.open }

// makeRoom reports whether one more connection is within total. If need be, it closes the one
// that has been idle for longest.
func (b *Budget) makeRoom(total int) bool {
	for total > 0 && b.open >= total && len(b.idle) > 0 {
		longestIdle := b.idle[0]
		b.idle = b.idle[1:]
		if longestIdle.isIdle() {
			longestIdle.closeIdle(CloseEvicted)
		}
	}
	return total == 0 || b.open < total
}

// maxEntriesPerConn bounds the entries of idle connections, stale ones included, against the
// connections that there are.
const maxEntriesPerConn = 4

// addIdle notes that a connection has become idle.
func (b *Budget) addIdle(k *Conn) {
	if len(b.idle) > maxEntriesPerConn*(b.open+maxEntriesPerConn) {
		b.dropStale(k)
	}
	b.idle = append(b.idle, k)
}

// dropStale removes the entries of connections that are not idle, repeated ones and those of
// added, which gets a new one.
func (b *Budget) dropStale(added *Conn) {
	seen := map[*Conn]bool{added: true}
	b.idle = slices.DeleteFunc(b.idle, func(k *Conn) bool {
		stale := seen[k] || !k.isIdle()
		seen[k] = true
		return stale
	})
}
