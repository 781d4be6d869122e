package upstream

import "slices"

// Budget limits the total number of connections of all pools that share it. At the limit it closes
// an idle connection to make room for a new one. The zero Budget is ready for use.
type Budget struct {
	open int
	// idle lists connections in the order in which they became idle. Its entries are not removed when
	// a connection is used or closed, so there may be stale entries, and several for one connection.
	idle []*Conn
}

// Open returns the number of connections, idle ones included.
func (b *Budget) Open() int { return b.open }

// ensureCapacity reports whether one more connection is within maxTotal. If necessary, it closes idle
// connections in the order of their first entries in idle. A maxTotal of 0 means no limit.
func (b *Budget) ensureCapacity(maxTotal int) bool {
	for maxTotal > 0 && b.open >= maxTotal && len(b.idle) > 0 {
		oldest := b.idle[0]
		b.idle = b.idle[1:]
		if oldest.isIdle() {
			oldest.closeIdle(CloseEvicted)
		}
	}
	return maxTotal == 0 || b.open < maxTotal
}

// Stale entries are removed from Budget.idle when it has more than
// maxEntriesPerConn*open + extraEntries entries. This limit exceeds the number of connections, so
// that each removal covers many stale entries.
const (
	maxEntriesPerConn = 4
	extraEntries      = 16 // prevents frequent removals while few connections are open
)

// addIdle records that a connection has become idle.
func (b *Budget) addIdle(c *Conn) {
	if len(b.idle) > maxEntriesPerConn*b.open+extraEntries {
		b.removeStale(c)
	}
	b.idle = append(b.idle, c)
}

// removeStale removes all entries of connections that are not idle, and all but the first entry of each
// idle one. It also removes all entries of added, which the caller then appends.
func (b *Budget) removeStale(added *Conn) {
	seen := map[*Conn]bool{added: true}
	b.idle = slices.DeleteFunc(b.idle, func(c *Conn) bool {
		isStale := seen[c] || !c.isIdle()
		seen[c] = true
		return isStale
	})
}
