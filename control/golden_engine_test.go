package control_test

import (
	"time"

	"martenlock/control"
)

// start lets an engine take an attempt.
func (s *service) start(c *clientCall, e *engine, timeout time.Duration) {
	a := &attempt{call: c, number: control.AttemptNumber(len(c.attempts)), engine: e, sentAt: s.now, timeout: timeout}
	c.attempts = append(c.attempts, a)
	s.finish(a, timeout, control.TimedOut, false)
	kind, factor := s.faultAt(e)
	if s.strike(a, kind) {
		return
	}
	if e.role() == prefillRole || e.role() == mixedRole && !c.prefill {
		s.prefill(a, factor)
	} else {
		s.decode(a, 0, factor, kind == faultBroken)
	}
}

func (e *engine) role() role { return role(e.entry.Kind) }

// faultAt draws the fault, if any, that an attempt at an engine meets now.
func (s *service) faultAt(e *engine) (kind faultKind, factor float64) {
	for _, f := range s.script.faults {
		at := s.elapsed()
		if (f.engine == 0 || f.engine == e.entry.ID) && f.from <= at && at < f.to && s.chance(f.chance) {
			return f.kind, max(f.factor, 1)
		}
	}
	return faultKinds, 1
}

// strike ends an attempt by a fault and tells whether it did.
func (s *service) strike(a *attempt, kind faultKind) bool {
	delay := networkDelay + time.Duration(s.rng.IntN(20))*time.Millisecond
	switch kind {
	case faultUnreachable:
		s.finish(a, delay, control.ConnectFailed, false)
	case faultSilent: // the time-out ends it
	case faultError:
		s.finish(a, delay, control.Failed, false)
	case faultReset:
		s.finish(a, delay, control.Reset, false)
	case faultRefusing:
		s.finish(a, delay, control.Rejected, false)
	case faultUnsent:
		s.finish(a, delay, control.NotSent, false)
	case faultForgetful:
		s.plan(a.call.router, delay, func() control.Event { return s.forget(a) })
	default:
		return false
	}
	return true
}

// forget ends an attempt for want of its state.
func (s *service) forget(a *attempt) control.Event {
	if a.over {
		return nil
	}
	a.over, a.call.prefill = true, false
	return a.missing(s.now.Sub(a.sentAt))
}

// finish plans the end of an attempt; the earliest end counts.
func (s *service) finish(a *attempt, after time.Duration, result verdict, final bool) {
	s.plan(a.call.router, after, func() control.Event { return s.end(a, result, final) })
}

// end frees what an attempt holds and makes its outcome.
func (s *service) end(a *attempt, result verdict, final bool) control.Event {
	if a.over {
		return nil
	}
	a.over = true
	if a.memory > 0 {
		a.engine.streams--
		a.engine.memory -= a.memory
	}
	event := a.ending(result, s.now.Sub(a.sentAt), final || a.started, s.report(a.engine))
	if result == control.Reset {
		a.call.lost++
		event.ReusedConnection = s.chance(0.4)
	}
	a.call.over = a.call.over || event.Final
	return event
}

// prefill reads a prompt after those already accepted; a mixed engine goes on to decode.
func (s *service) prefill(a *attempt, factor float64) {
	e := a.engine
	e.busyUntil = max(e.busyUntil, s.now)
	if e.busyUntil.Sub(s.now) > prefillBacklog {
		s.finish(a, networkDelay, control.Rejected, false)
		return
	}
	kept := e.cached(a.call)
	work := float64(a.call.PromptTokens-kept+prefillFixed) * factor / max(e.entry.Weight, 0.25)
	e.busyUntil = e.busyUntil.Add(time.Duration(work * float64(prefillToken)))
	wait := e.busyUntil.Sub(s.now)
	if e.role() == mixedRole {
		s.decode(a, wait, factor, false)
		return
	}
	s.plan(a.call.router, wait, func() control.Event { return s.prefilled(a, kept) })
}

// cached returns how many tokens of a prompt an engine has kept, and keeps this prompt's prefix.
func (e *engine) cached(c *clientCall) control.Tokens {
	if c.PrefixHash == 0 {
		return 0
	}
	kept := min(e.prefixCache[c.PrefixHash], c.PrefixTokens)
	e.prefixCache[c.PrefixHash] = max(kept, c.PrefixTokens)
	return kept
}

func (s *service) prefilled(a *attempt, kept control.Tokens) control.Event {
	if a.over {
		return nil
	}
	a.over, a.call.prefill = true, true
	event := a.ending(control.PrefillDone, s.now.Sub(a.sentAt), false, s.report(a.engine))
	event.CachedTokens = uint32(kept)
	return event
}

// decode streams an answer: it begins after a wait and the fetch of the state.
func (s *service) decode(a *attempt, wait time.Duration, factor float64, breaks bool) {
	e, need := a.engine, a.call.PromptTokens+a.call.tokens
	if e.memory+need > engineMemory {
		s.finish(a, networkDelay, control.Rejected, false)
		return
	}
	e.streams++
	e.memory += need
	a.memory = need
	factor *= (1 + float64(e.streams)/engineStreams) * (0.9 + 0.2*s.rng.Float64())
	first := wait + time.Duration(float64(a.call.PromptTokens+prefillFixed)*factor*float64(fetchToken))
	stream := time.Duration(float64(a.call.tokens) * factor * float64(decodeToken))
	s.plan(a.call.router, first, func() control.Event { return s.begin(a) })
	if breaks {
		s.finish(a, first+stream/2, control.Failed, false)
		return
	}
	s.finish(a, first+stream, control.OK, true)
}

func (s *service) begin(a *attempt) control.Event {
	if a.over {
		return nil
	}
	a.started = true
	return control.AnswerStarted{ID: a.call.ID, Endpoint: a.engine.entry.ID, Attempt: a.number, Elapsed: s.now.Sub(a.sentAt)}
}

// cancel withdraws an attempt; sometimes the word comes too late, or what it crosses arrives as well.
func (s *service) cancel(c *clientCall, number control.AttemptNumber) {
	a := c.attempts[number]
	if !s.script.promptCancels && s.chance(0.2) {
		return
	}
	s.finish(a, networkDelay, control.Cancelled, false)
	if s.chance(0.2) {
		s.send(c.router, 3*networkDelay, a.ending(control.Failed, 3*networkDelay, false, nil))
		s.send(c.router, 4*networkDelay, control.ReservationResult{ID: c.ID, Attempt: number, Endpoint: a.engine.entry.ID})
	}
}

// report is an engine's load in the order of the configured fields; some answers bring none.
func (s *service) report(e *engine) []float64 {
	if !s.chance(s.script.reports) {
		return nil
	}
	backlog := max(e.busyUntil.Sub(s.now), 0).Seconds()
	values := make([]float64, 0, len(s.set.Engines.ReportFields))
	for _, field := range s.set.Engines.ReportFields {
		values = append(values, e.value(field, backlog, s.script.background))
	}
	return values
}

func (e *engine) value(field control.ReportField, backlog, background float64) float64 {
	switch field {
	case control.ReportInFlight:
		return float64(e.streams)
	case control.ReportQueued: // a mean, so no whole number
		return 8*backlog + max(float64(e.streams)-engineStreams, 0)*0.35
	case control.ReportUtilization:
		return min(float64(e.streams)/(2*engineStreams), 1)
	case control.ReportMemory:
		return background + float64(e.memory/engineMemory)
	case control.ReportBacklog:
		return backlog * 10
	}
	return 7
}

// probe answers as an engine would be found by an attempt.
func (s *service) probe(router int, e *engine) {
	kind, _ := s.faultAt(e)
	result, after := control.OK, 2*networkDelay
	switch kind {
	case faultUnreachable:
		result = control.ConnectFailed
	case faultSilent:
		result, after = control.TimedOut, time.Second
	case faultReset:
		result = control.Reset
	case faultError:
		result = control.Failed
	}
	s.plan(router, after, func() control.Event {
		event := control.HealthCheckResult{Endpoint: e.entry.ID, Result: result, Elapsed: after}
		if result == control.OK {
			event.Report = s.report(e)
		}
		return event
	})
}
