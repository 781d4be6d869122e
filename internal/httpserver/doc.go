// Package httpserver serves HTTP/1.1 connections of clients on an event loop. It does not interpret
// requests. A Conn receives one request at a time, passes it to its Handler, frames the response,
// and then closes the connection or waits for the next request. A Conns holds the open connections
// of a listener and evicts idle ones.
//
// A connection is Idle until the first byte of a request, Receiving until the request is complete,
// and Serving if the Handler answers later. Pipelined requests are not read meanwhile. A client that
// closes its sending half counts as gone, as with net/http and HAProxy's abortonclose: otherwise
// engines would compute responses that nobody reads. A reset can destroy a response that the client
// has not read yet, so a close after a response lingers.
//
// All methods must be called on the event loop.
//
// # Differences between the servers
//
// Packages platform and openaiserver use this package. They differ in:
//
//   - First request: platform bounds it by Options.FirstRequestTimeout, from the accept.
//     openaiserver has the idle time-out from the accept and RequestTimeout from the first byte.
//   - Close of an idle connection: platform lingers within Options.ResponseDeliveryTime of the
//     latest response. openaiserver does not linger.
//   - Body that exceeds the memory: platform evicts the largest incomplete body (Options.EvictsUploads).
//     openaiserver aborts the request whose body arrives.
//   - HTTP/1.0 keep-alive: openaiserver announces it (Options.AnnouncesKeepAlive). platform keeps
//     the connection open without announcing it.
//   - Limit on connections: on platform, a connection above the limit evicts an idle one or is
//     rejected. In openaiserver, the last connection within the limit evicts an idle one, and
//     further ones wait in the backlog.
//   - 100 Continue: platform sends it for valid chat requests only, openaiserver for every request
//     with a body and no invalid deadline.
//   - Incomplete response: platform omits the last chunk and lingers. openaiserver omits the last
//     chunk and closes, or resets the connection if the response isn't chunked.
//   - Shutdown: both call Conns.StopKeepAlive first. openaiserver calls Conns.CloseAfterResponses
//     and Conns.CloseIdle at once. platform calls Conns.CloseIdle when its listener closes, and a
//     response whose head was written before the shutdown may leave its connection open.
package httpserver
