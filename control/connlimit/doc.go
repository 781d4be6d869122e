// Package connlimit holds the limits on connections and the decisions that follow from them: how many
// descriptors and how much memory connections may use, how long each phase of a connection may last,
// and which idle connection or partial request is evicted for another. Like package control, it does
// no I/O, reads no clock and starts no goroutine.
package connlimit
