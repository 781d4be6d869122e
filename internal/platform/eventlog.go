package platform

import (
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"martenlock/control"
)

// eventLog writes the log lines from which an incident's timeline is put together: attempts that failed,
// requests that were not served, connections that were closed, and KV releases. Lines about
// requests and lines about connections have separate budgets, so that a flood of one kind does not
// suppress the other.
type eventLog struct {
	logger        zerolog.Logger
	now           func() time.Duration
	requestBudget *rate.Limiter
	connBudget    *rate.Limiter
	suppressed    uint64 // lines suppressed since the latest that was written
}

const (
	// eventLinesPerSecond is the budget of one kind of line. It is enough to follow single requests
	// through a fault.
	eventLinesPerSecond = 50
	// eventLineBurst is the number of lines of one kind that may be logged at once. A fault begins for
	// many requests in the same moment.
	eventLineBurst = 200
)

// newEventLog returns an event log. now is the loop's clock, since the wall clock may be stepped.
func newEventLog(logger zerolog.Logger, now func() time.Duration) eventLog {
	return eventLog{
		logger:        logger,
		now:           now,
		requestBudget: rate.NewLimiter(eventLinesPerSecond, eventLineBurst),
		connBudget:    rate.NewLimiter(eventLinesPerSecond, eventLineBurst),
	}
}

// requestLine returns a line about a request. It is nil, which writes nothing, if the budget is exhausted.
func (l *eventLog) requestLine() *zerolog.Event { return l.line(l.requestBudget) }

// connLine returns a line about a connection. It is nil, which writes nothing, if the budget is
// exhausted.
func (l *eventLog) connLine() *zerolog.Event { return l.line(l.connBudget) }

// line returns a line within a budget, with the number of lines that were suppressed before it.
func (l *eventLog) line(budget *rate.Limiter) *zerolog.Event {
	if !budget.AllowN(time.Unix(0, 0).Add(l.now()), 1) {
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

// logEnd logs how an attempt ended, unless it was successful.
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

// logRetry logs an attempt that follows one that failed. previous is that one's result.
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

// logOutcome logs how a request ended that was not served, and traces it.
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

// logClose logs that this server closed a client's connection.
func (c *clientConn) logClose(reason string) {
	c.server.events.connLine().
		Stringer("state", c.conn.State()).
		Str("reason", reason).
		Dur("age_ms", c.server.loop.Now()-c.conn.AcceptedAt()).
		Msg("client connection closed")
}
