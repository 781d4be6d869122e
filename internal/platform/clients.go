package platform

import (
	"martenlock/control/connlimit"
	"martenlock/internal/eventloop"
)

// clientTable is the clients' listener and the connections that it accepted.
type clientTable struct {
	listener *eventloop.Listener
	conns    map[*clientConn]struct{}
	idle     connlimit.IdleList[*clientConn]
}

func newClientTable() clientTable {
	return clientTable{conns: map[*clientConn]struct{}{}}
}

// add takes in a new connection, which is idle.
func (t *clientTable) add(client *clientConn) {
	t.conns[client] = struct{}{}
	t.idle.MarkIdle(client)
}

// remove forgets a connection.
func (t *clientTable) remove(client *clientConn) {
	delete(t.conns, client)
	t.idle.Remove(client)
}

// largestUpload returns the connection whose incomplete body is to be evicted first; nil where
// there is none.
func (t *clientTable) largestUpload() *clientConn {
	var largest *clientConn
	for client := range t.conns {
		if client.state != clientReceiving || len(client.request.body) == 0 {
			continue
		}
		if largest == nil || client.partialRequest().EvictedBefore(largest.partialRequest()) {
			largest = client
		}
	}
	return largest
}

// accept returns the handler of a new connection, or nil to close it.
func (s *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	if s.clients.listener.Open() > s.limits.maxClientConns && !s.evictIdleClient() {
		return nil
	}
	client := newClientConn(s, conn)
	s.clients.add(client)
	s.loop.StartTimer(&client.stateTimer, connlimit.FirstRequestTimeout)
	return client
}

// evictIdleClient closes the connection that has been idle for longest, for a new one; false
// where none is idle.
func (s *Server) evictIdleClient() bool {
	client, found := s.clients.idle.LongestIdle()
	if !found {
		s.counters.connsRejected++
		s.events.connection().Str("reason", "no_idle_connection_to_evict").Msg("client connection rejected")
		return false
	}
	s.counters.idleConnsEvicted++
	client.logClose("evicted")
	client.closeGracefully()
	return true
}

// reserveBytes makes room for more bytes of a client's body, if need be by evicting the largest
// incomplete body; false where that is the client's own, or there is none.
func (s *Server) reserveBytes(client *clientConn, bytes int) bool {
	for s.bufferedBytes+bytes > s.limits.maxBufferedBytes {
		largest := s.clients.largestUpload()
		if largest == nil || largest == client {
			return false
		}
		s.counters.uploadsEvicted++
		largest.respondOutOfMemory()
	}
	return true
}

// partialRequest is the part of a request that a connection has received, as evictions compare it.
func (c *clientConn) partialRequest() connlimit.PartialRequest {
	return connlimit.PartialRequest{BufferedBytes: len(c.request.body), AcceptedAt: c.acceptedAt}
}
