package upstream

import "slices"

// Budget counts the connections of all pools that share it and closes the longest idle one when a
// new one needs its place. The zero Budget is ready for use.
type Budget struct {
	open int
	// idle holds the connections in order of becoming idle. An entry is stale if its connection was
	// used or closed since.
	idle []*Conn
}

// Open returns the number of connections, idle ones included.
func (b *Budget) Open() int { return b.open }

// ensureCapacity reports whether one more connection is within maxTotal. If necessary, it closes idle
// connections, longest idle first. A maxTotal of 0 sets no bound.
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

// The bound on the entries of Budget.idle, stale ones included, is
// maxEntriesPerConn*open + extraEntries. It is well above the number of connections, so that stale
// entries are removed in bulk.
const (
	maxEntriesPerConn = 4
	extraEntries      = 16 // so that a few connections do not cause a removal every few requests
)

// addIdle records that a connection has become idle.
func (b *Budget) addIdle(c *Conn) {
	if len(b.idle) > maxEntriesPerConn*b.open+extraEntries {
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
