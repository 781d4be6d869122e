// Package httpserver is the server's side of HTTP/1.1 client connections on an event loop. It
// knows connections, not what requests mean: a Conn reads one request at a time, hands it to its
// Handler, frames the response, and closes the connection or waits for the next request. A Conns
// holds the open connections of one listener and evicts idle ones.
//
// A connection is Idle until the first byte of a request, Receiving until the request is complete,
// and Serving if the Handler answers later. Requests that a client pipelines wait unread
// meanwhile. The end of the client's sending half counts as the client's leaving: net/http and
// HAProxy's abortonclose take it so too, and an answer to nobody would cost an engine.
//
// The platform's server and the one behind OpenAI's API share this package. They differ in:
//
//   - Options.FirstRequestTimeout: the platform's bounds a connection's first request from the
//     accept; the other server has an idle time-out from the accept, then RequestTimeout.
//   - Options.ResponseDeliveryTime: the platform's server closes an idle connection lingering soon
//     after a response; the other one closes it plainly.
//   - Options.EvictsUploads: the platform's server evicts the largest incomplete body when Memory
//     has no space; the other one refuses the body that arrives.
//   - Options.AnnouncesKeepAlive: a client of HTTP/1.0 is told that its connection stays open by
//     the server behind OpenAI's API only.
//   - The limit on connections is each server's own: on the platform the connection above the limit
//     evicts an idle one or is rejected; in the other server the last one that fits evicts.
//   - 100 Continue: the platform's server sends it for calls that it accepts; the other one always.
//   - Shutdown: both call Conns.StopKeepAlive first. The platform's server closes idle connections
//     later, when its listener closes; the other one calls Conns.CloseAfterResponses too, so that
//     a response whose head promised keep-alive is the last one.
//
// All methods run on the event loop.
package httpserver
