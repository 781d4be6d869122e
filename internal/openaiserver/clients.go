package openaiserver

import (
	"martenlock/internal/config"
	"martenlock/internal/eventloop"
	"martenlock/internal/httpserver"
)

func clientOptions(limits *config.Limits) httpserver.Options {
	return httpserver.Options{
		Parsing:            &limits.HTTP,
		RequestTimeout:     limits.RequestTimeout,
		IdleTimeout:        limits.IdleTimeout,
		WriteStallTimeout:  limits.WriteStallTimeout,
		AnnouncesKeepAlive: true,
	}
}

// accept returns the handler of a new client connection. If the listener has reached its maximum of open connections,
// the connection that has been idle longest is closed, so that the next client can connect too.
func (s *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	if s.clients.Listener.Open() >= s.clients.Listener.MaxOpen {
		s.clients.EvictIdle()
	}
	client := &clientConn{server: s}
	s.clients.Add(&client.conn, conn, client)
	return &client.conn
}

// bodyMemory implements httpserver.Memory. It counts request bodies in Server.bufferedBytes, which maxBufferedBytes
// limits.
type bodyMemory struct{ server *Server }

// Reserve implements httpserver.Memory.
func (m bodyMemory) Reserve(bytes int) bool {
	s := m.server
	if !s.hasMemoryFor(bytes) {
		return false
	}
	s.bufferedBytes += int64(bytes)
	return true
}

// Release implements httpserver.Memory.
func (m bodyMemory) Release(bytes int) { m.server.bufferedBytes -= int64(bytes) }
