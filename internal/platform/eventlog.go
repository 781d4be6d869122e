package platform

import (
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"martenlock/control"
)

// eventLog writes the lines from which an incident's timeline is put together: what went wrong
// with an attempt, how a request ended that was not served, why a connection was closed, what
// became of a KV release. Requests and connections have budgets of their own, so that a flood of
// one kind hides none of the other.
type eventLog struct {
	logger       zerolog.Logger
	now          func() time.Duration
	requestLines *rate.Limiter
	connLines    *rate.Limiter
	suppressed   uint64 // lines since the latest that was written
}

const (
	// eventLinesPerSecond is how many lines of one kind a busy router may log: enough to follow single
	// requests through a fault.
	eventLinesPerSecond = 50
	// eventLineBurst may be logged at once: a fault begins for many requests in the same moment.
	eventLineBurst = 200
)

// newEventLog returns a log whose budgets run on the loop's clock: the wall clock may be stepped.
func newEventLog(logger zerolog.Logger, now func() time.Duration) eventLog {
	return eventLog{
		logger:       logger,
		now:          now,
		requestLines: rate.NewLimiter(eventLinesPerSecond, eventLineBurst),
		connLines:    rate.NewLimiter(eventLinesPerSecond, eventLineBurst),
	}
}

// request begins a line about a request; nil, which writes nothing, where its budget is used up.
func (l *eventLog) request() *zerolog.Event { return l.line(l.requestLines) }

// connection begins a line about a connection; nil, which writes nothing, where its budget is
// used up.
func (l *eventLog) connection() *zerolog.Event { return l.line(l.connLines) }

// line begins a line within a budget. It tells how many lines were left out before it.
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

// endpointName returns an engine's name in the endpoint list; "" where it is not known.
func (s *Server) endpointName(id control.EndpointID) string {
	e := s.endpoints.byID[id]
	if e == nil {
		return ""
	}
	return e.name
}

// logEnd logs how an attempt ended that did not bring what it was made for. written tells whether
// its last byte had left this process.
func (a *attempt) logEnd(result control.Result, written bool) {
	if result == control.OK || result == control.PrefillDone {
		return
	}
	s := a.exchange.server
	s.events.request().
		Str("request_id", a.exchange.meta.callID).
		Int("attempt", int(a.number)).
		Str("endpoint_name", s.endpointName(a.endpointID)).
		Stringer("role", a.role).
		Stringer("result", result).
		Stringer("state", a.state).
		Int("status", a.status).
		Bool("written", written).
		Bool("reused_connection", a.lostReusedConn).
		Bool("kv_missing", a.kvMissing).
		Dur("elapsed_ms", s.loop.Now()-a.startedAt).
		Msg("attempt ended")
}

// logRetry logs that a request gets a further attempt after one that went wrong.
func (a *attempt) logRetry(previous control.Result) {
	s := a.exchange.server
	s.events.request().
		Str("request_id", a.exchange.meta.callID).
		Int("attempt", int(a.number)).
		Str("endpoint_name", s.endpointName(a.endpointID)).
		Stringer("reason", previous).
		Dur("remaining_ms", a.deadline-s.loop.Now()).
		Msg("request retried")
}

// logEnd logs how a request ended that was not served.
func (x *exchange) logEnd(outcome, reason string) {
	x.server.events.request().
		Str("request_id", x.meta.callID).
		Str("outcome", outcome).
		Str("reason", reason).
		Int("attempts", x.attemptCount).
		Dur("elapsed_ms", x.server.loop.Now()-x.startedAt).
		Msg("request ended")
}

// logClose logs that this server closed a client's connection.
func (c *clientConn) logClose(reason string) {
	c.server.events.connection().
		Stringer("state", c.state).
		Str("reason", reason).
		Dur("age_ms", c.server.loop.Now()-c.acceptedAt).
		Msg("client connection closed")
}
