package platform

import (
	"martenlock/control/connlimit"
	"martenlock/internal/eventloop"
	"martenlock/internal/httpserver"
)

var clientOptions = httpserver.Options{
	Parsing:              &requestLimits,
	FirstRequestTimeout:  connlimit.FirstRequestTimeout,
	RequestTimeout:       connlimit.RequestTimeout,
	IdleTimeout:          connlimit.IdleTimeout,
	WriteStallTimeout:    connlimit.WriteStallTimeout,
	ResponseDeliveryTime: connlimit.ResponseDeliveryTime,
	EvictsUploads:        true,
}

// newClients returns the server's client connections. The caller sets their listener.
func newClients(s *Server) *httpserver.Conns {
	clients := httpserver.NewConns(s.loop, bodyMemory{server: s})
	clients.Options = clientOptions
	return clients
}

// accept returns the handler of a new connection, or nil to close it. A connection beyond the limit
// is accepted only if an idle one can be evicted.
func (s *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	if s.clients.Listener.Open() > s.limits.maxClientConns && !s.clients.EvictIdle() {
		s.counters.connsRejected++
		s.events.connLine().Str("reason", "no_idle_connection_to_evict").Msg("client connection rejected")
		return nil
	}
	client := &clientConn{server: s}
	s.clients.Add(&client.conn, conn, client)
	return &client.conn
}

// bodyMemory implements httpserver.Memory. Request bodies share maxBufferedBytes with engines'
// buffered responses.
type bodyMemory struct{ server *Server }

// Reserve implements httpserver.Memory.
func (m bodyMemory) Reserve(bytes int) bool {
	s := m.server
	if s.bufferedBytes+bytes > s.limits.maxBufferedBytes {
		return false
	}
	s.bufferedBytes += bytes
	return true
}

// Release implements httpserver.Memory.
func (m bodyMemory) Release(bytes int) { m.server.bufferedBytes -= bytes }
