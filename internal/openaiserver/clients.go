package openaiserver

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

// newClientTable returns a table without listener and connections.
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

// accept returns the handler of a new connection. The last one that fits closes the one that has
// been idle for longest.
func (s *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	client := newClientConn(s, conn)
	if s.clients.listener.Open() >= s.clients.listener.MaxOpen {
		s.evictIdleClient()
	}
	s.clients.add(client)
	s.loop.StartTimer(&client.stateTimer, s.config.Limits.IdleTimeout)
	return client
}

// evictIdleClient closes the connection that has been idle for longest, where one is idle.
func (s *Server) evictIdleClient() {
	client, found := s.clients.idle.LongestIdle()
	if !found {
		return
	}
	s.counters.idleConnsEvicted++
	client.close()
}
