package platform

import (
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"martenlock/control"
)

// eventLog writes log lines about single requests and connections: failed attempts, requests that were
// not served, KV releases, and closed or rejected connections. Lines about requests and lines about
// connections have separate rate limits, so that a flood of one kind does not suppress the other.
type eventLog struct {
	logger         zerolog.Logger
	now            func() time.Duration
	requestLimiter *rate.Limiter
	connLimiter    *rate.Limiter
	suppressed     uint64 // lines suppressed since the last line written
}

const (
	// eventLinesPerSecond is the rate limit of one kind of line.
	eventLinesPerSecond = 50
	// eventLineBurst is the number of lines of one kind that may be logged at once. A fault may end many
	// requests in the same moment.
	eventLineBurst = 200
)

// newEventLog returns an event log. now is the loop's clock, which is monotonic unlike the wall clock.
func newEventLog(logger zerolog.Logger, now func() time.Duration) eventLog {
	return eventLog{
		logger:         logger,
		now:            now,
		requestLimiter: rate.NewLimiter(eventLinesPerSecond, eventLineBurst),
		connLimiter:    rate.NewLimiter(eventLinesPerSecond, eventLineBurst),
	}
}

// requestLine starts a line about a request. It returns nil, on which all methods are no-ops, if the rate
// limit is exceeded.
func (l *eventLog) requestLine() *zerolog.Event { return l.line(l.requestLimiter) }

// connLine starts a line about a connection. It returns nil, on which all methods are no-ops, if the rate
// limit is exceeded.
func (l *eventLog) connLine() *zerolog.Event { return l.line(l.connLimiter) }

// line starts a line if limiter allows it. The line has the number of lines suppressed since the previous
// line, unless there are none.
func (l *eventLog) line(limiter *rate.Limiter) *zerolog.Event {
	if !limiter.AllowN(time.Unix(0, 0).Add(l.now()), 1) {
		l.suppressed++
		return nil
	}
	line := l.logger.Info()
	if l.suppressed > 0 {
		line = line.Uint64("lines_suppressed", l.suppressed)
		l.suppressed = 0
	}
	return line
}

// logEnd logs the result of the attempt unless it succeeded.
func (a *attempt) logEnd(result control.Result) {
	if result == control.OK || result == control.PrefillDone {
		return
	}
	s := a.exchange.server
	s.events.requestLine().
		Str("request_id", a.exchange.meta.callID).
		Int("attempt", int(a.number)).
		Str("endpoint_name", s.endpointName(a.endpointID)).
		Stringer("role", a.role).
		Stringer("result", result).
		Stringer("state", a.state).
		Int("status", a.status).
		Bool("written", a.requestWritten()).
		Bool("reused_connection", a.connError.ReusedConnection).
		Bool("kv_missing", a.kvMissing).
		Dur("elapsed_ms", s.loop.Now()-a.startedAt).
		Msg("attempt ended")
}

// logRetry logs the start of a retry. previous is the result of the previous attempt.
func (a *attempt) logRetry(previous control.Result) {
	s := a.exchange.server
	s.events.requestLine().
		Str("request_id", a.exchange.meta.callID).
		Int("attempt", int(a.number)).
		Str("endpoint_name", s.endpointName(a.endpointID)).
		Stringer("reason", previous).
		Dur("remaining_ms", a.deadline-s.loop.Now()).
		Msg("request retried")
}

// logOutcome logs and traces the outcome of a request that was not served.
func (e *exchange) logOutcome(outcome requestOutcome, reason string) {
	e.server.events.requestLine().
		Str("request_id", e.meta.callID).
		Stringer("outcome", outcome).
		Str("reason", reason).
		Int("attempts", e.attemptCount).
		Dur("elapsed_ms", e.server.loop.Now()-e.startedAt).
		Msg("request ended")
	e.traceRequest(outcome)
}

// logClose logs that the server closed a client's connection.
func (c *clientConn) logClose(reason string) {
	c.server.events.connLine().
		Stringer("state", c.conn.State()).
		Str("reason", reason).
		Dur("age_ms", c.server.loop.Now()-c.conn.AcceptedAt()).
		Msg("client connection closed")
}
