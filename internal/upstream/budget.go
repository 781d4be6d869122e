package upstream

import "slices"

// Budget counts the connections of all pools that share it and closes the longest idle one where a
// new one needs its place. The zero Budget is ready for use.
type Budget struct {
	open int
	// idle holds the connections in order of becoming idle. An entry is stale if its connection was
	// used or closed since.
	idle []*Conn
}

// Open returns the number of connections, idle ones included.
func (b *Budget) Open() int { return b.open }

// ensureCapacity reports whether one more connection is within maxTotal; 0 sets no bound. It
// closes idle connections, longest idle first, as far as that is needed.
func (b *Budget) ensureCapacity(maxTotal int) bool {
	for maxTotal > 0 && b.open >= maxTotal && len(b.idle) > 0 {
		longestIdle := b.idle[0]
		b.idle = b.idle[1:]
		if longestIdle.isIdle() {
			longestIdle.closeIdle(CloseEvicted)
		}
	}
	return maxTotal == 0 || b.open < maxTotal
}

// maxEntriesPerConn bounds the entries of Budget.idle, stale ones included, for each open
// connection. It is above 1 so that stale entries are removed in bulk.
const maxEntriesPerConn = 4

// addIdle records that a connection has become idle.
func (b *Budget) addIdle(c *Conn) {
	if len(b.idle) > maxEntriesPerConn*(b.open+maxEntriesPerConn) {
		b.removeStale(c)
	}
	b.idle = append(b.idle, c)
}

// removeStale removes stale and repeated entries. It also removes those of added, whose place is
// at the end now.
func (b *Budget) removeStale(added *Conn) {
	seen := map[*Conn]bool{added: true}
	b.idle = slices.DeleteFunc(b.idle, func(c *Conn) bool {
		isStale := seen[c] || !c.isIdle()
		seen[c] = true
		return isStale
	})
}
