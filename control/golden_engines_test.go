package control_test

import (
	"time"

	"martenlock/control"
)

// The parameters of the engine model.
const (
	engineMemory          = 40000.0                 // tokens of KV memory at a decode engine
	engineStreams         = 24.0                    // concurrent streams at its usual speed
	prefillTimePerToken   = 80 * time.Microsecond   // time to compute a token of a prompt
	prefillOverheadTokens = 500.0                   // fixed cost of a prefill, in tokens
	fetchTimePerToken     = 10 * time.Microsecond   // time to fetch the KV state of a token
	decodeTimePerToken    = 6 * time.Millisecond    // time of a token of an answer
	maxPrefillBacklog     = 1500 * time.Millisecond // a longer backlog rejects requests
	networkDelay          = 2 * time.Millisecond
)

// faultKind is what goes wrong at an engine.
type faultKind int

// The kinds of faults.
const (
	faultUnreachable  faultKind = iota // connections fail
	faultUnresponsive                  // accepts attempts and never answers
	faultError                         // answers with an error
	faultReset                         // drops connections
	faultRejecting                     // rejects attempts
	faultKVMissing                     // can't fetch the KV state
	faultNotSent                       // attempts end before they are sent
	faultSlow                          // takes several times as long
	faultBroken                        // breaks streams that have begun
	faultNone
)

// faultCount is the number of kinds of faults.
const faultCount = int(faultNone)

// fault holds at an engine for a while and meets a share of its attempts.
type fault struct {
	engine   control.EndpointID // 0 for all
	kind     faultKind
	from, to time.Duration
	chance   float64
	factor   float64 // of faultSlow
}

// engine is a simulated engine.
type engine struct {
	entry       control.Endpoint
	busyUntil   control.Time // end of the prefills accepted so far
	streams     int
	memory      control.Tokens            // in use
	prefixCache map[uint64]control.Tokens // only looked up by key
}

func (e *engine) role() control.Role { return control.Role(e.entry.Kind) }

// attempt is an attempt of a request at an engine.
type attempt struct {
	request *clientRequest
	number  control.AttemptNumber
	engine  *engine
	sentAt  control.Time
	started bool // its answer has begun
	ended   bool
	memory  control.Tokens // that it occupies at the engine
}

// outcome makes the event that ends an attempt.
func (a *attempt) outcome(result control.Result, elapsed time.Duration, final bool, report []float64) control.Outcome {
	return control.Outcome{
		ID: a.request.ID, Attempt: a.number, Endpoint: a.engine.entry.ID, Result: result, Elapsed: elapsed,
		Final: final, Report: report,
	}
}

// start starts an attempt at an engine.
func (s *simulation) start(c *clientRequest, e *engine, timeout time.Duration) {
	a := &attempt{request: c, number: control.AttemptNumber(len(c.attempts)), engine: e, sentAt: s.now}
	c.attempts = append(c.attempts, a)
	s.finish(a, timeout, control.TimedOut, false)
	kind, factor := s.drawFault(e)
	if s.applyFault(a, kind) {
		return
	}
	if e.role() == control.RolePrefill || e.role() == control.RoleColocated && !c.prefilled {
		s.prefill(a, factor)
	} else {
		s.decode(a, 0, factor, kind == faultBroken)
	}
}

// drawFault draws the fault that an attempt at an engine meets now, and the factor on its times.
func (s *simulation) drawFault(e *engine) (kind faultKind, factor float64) {
	for _, f := range s.script.faults {
		at := s.elapsed()
		if (f.engine == 0 || f.engine == e.entry.ID) && f.from <= at && at < f.to && s.chance(f.chance) {
			return f.kind, max(f.factor, 1)
		}
	}
	return faultNone, 1
}

// applyFault ends an attempt by a fault. It reports whether the engine does nothing else with it.
func (s *simulation) applyFault(a *attempt, kind faultKind) bool {
	delay := networkDelay + time.Duration(s.rng.IntN(20))*time.Millisecond
	switch kind {
	case faultUnreachable:
		s.finish(a, delay, control.ConnectFailed, false)
	case faultUnresponsive: // the time-out ends it
	case faultError:
		s.finish(a, delay, control.Failed, false)
	case faultReset:
		s.finish(a, delay, control.Reset, false)
	case faultRejecting:
		s.finish(a, delay, control.Rejected, false)
	case faultNotSent:
		s.finish(a, delay, control.NotSent, false)
	case faultKVMissing:
		s.scheduleStep(a.request.router, delay, func() control.Event { return s.failKVFetch(a) })
	case faultSlow, faultBroken, faultNone:
		return false
	}
	return true
}

// failKVFetch ends an attempt whose engine can't fetch the KV state.
func (s *simulation) failKVFetch(a *attempt) control.Event {
	if a.ended {
		return nil
	}
	a.ended, a.request.prefilled = true, false
	event := a.outcome(control.Rejected, s.now.Sub(a.sentAt), false, nil)
	event.KVMissing = true
	return event
}

// finish plans the end of an attempt. The earliest end counts.
func (s *simulation) finish(a *attempt, after time.Duration, result control.Result, final bool) {
	s.scheduleStep(a.request.router, after, func() control.Event { return s.end(a, result, final) })
}

// end frees what an attempt occupies and makes its outcome.
func (s *simulation) end(a *attempt, result control.Result, final bool) control.Event {
	if a.ended {
		return nil
	}
	a.ended = true
	if a.memory > 0 {
		a.engine.streams--
		a.engine.memory -= a.memory
	}
	event := a.outcome(result, s.now.Sub(a.sentAt), final || a.started, s.report(a.engine))
	if result == control.Reset {
		a.request.resets++
		event.ReusedConnection = s.chance(0.4)
	}
	a.request.finished = a.request.finished || event.Final
	return event
}

// prefill computes a prompt after those already accepted. A colocated engine goes on to decode.
func (s *simulation) prefill(a *attempt, factor float64) {
	e := a.engine
	e.busyUntil = max(e.busyUntil, s.now)
	if e.busyUntil.Sub(s.now) > maxPrefillBacklog {
		s.finish(a, networkDelay, control.Rejected, false)
		return
	}
	cached := e.lookUpPrefix(a.request)
	work := float64(a.request.PromptTokens-cached+prefillOverheadTokens) * factor / max(e.entry.Weight, 0.25)
	e.busyUntil = e.busyUntil.Add(time.Duration(work * float64(prefillTimePerToken)))
	wait := e.busyUntil.Sub(s.now)
	if e.role() == control.RoleColocated {
		s.decode(a, wait, factor, false)
		return
	}
	s.scheduleStep(a.request.router, wait, func() control.Event { return s.finishPrefill(a, cached) })
}

// lookUpPrefix returns how many tokens of a prompt are cached, and caches the prefix of this one.
func (e *engine) lookUpPrefix(c *clientRequest) control.Tokens {
	if c.PrefixHash == 0 {
		return 0
	}
	cached := min(e.prefixCache[c.PrefixHash], c.PrefixTokens)
	e.prefixCache[c.PrefixHash] = max(cached, c.PrefixTokens)
	return cached
}

// finishPrefill ends a prefill that succeeded.
func (s *simulation) finishPrefill(a *attempt, cached control.Tokens) control.Event {
	if a.ended {
		return nil
	}
	a.ended, a.request.prefilled = true, true
	event := a.outcome(control.PrefillDone, s.now.Sub(a.sentAt), false, s.report(a.engine))
	event.CachedTokens = uint32(cached)
	return event
}

// decode streams an answer. It begins after a wait and the fetch of the KV state.
func (s *simulation) decode(a *attempt, wait time.Duration, factor float64, breaks bool) {
	e, demand := a.engine, a.request.PromptTokens+a.request.tokens
	if e.memory+demand > engineMemory {
		s.finish(a, networkDelay, control.Rejected, false)
		return
	}
	e.streams++
	e.memory += demand
	a.memory = demand
	factor *= (1 + float64(e.streams)/engineStreams) * (0.9 + 0.2*s.rng.Float64())
	firstToken := wait + time.Duration(float64(a.request.PromptTokens+prefillOverheadTokens)*factor*float64(fetchTimePerToken))
	stream := time.Duration(float64(a.request.tokens) * factor * float64(decodeTimePerToken))
	s.scheduleStep(a.request.router, firstToken, func() control.Event { return s.startAnswer(a) })
	if breaks {
		s.finish(a, firstToken+stream/2, control.Failed, false)
		return
	}
	s.finish(a, firstToken+stream, control.OK, true)
}

// startAnswer makes the event that an answer begins.
func (s *simulation) startAnswer(a *attempt) control.Event {
	if a.ended {
		return nil
	}
	a.started = true
	return control.AnswerStarted{
		ID: a.request.ID, Endpoint: a.engine.entry.ID, Attempt: a.number, Elapsed: s.now.Sub(a.sentAt),
	}
}

// cancel cancels an attempt. Sometimes the cancellation is lost, or races with the end of the attempt.
func (s *simulation) cancel(c *clientRequest, number control.AttemptNumber) {
	a := c.attempts[number]
	if !s.script.promptCancels && s.chance(0.2) {
		return
	}
	s.finish(a, networkDelay, control.Cancelled, false)
	if s.chance(0.2) {
		s.send(c.router, 3*networkDelay, a.outcome(control.Failed, 3*networkDelay, false, nil))
		s.send(c.router, 4*networkDelay, control.ReservationResult{ID: c.ID, Attempt: number, Endpoint: a.engine.entry.ID})
	}
}

// report returns an engine's load in the order of the configured fields. Some responses have none.
func (s *simulation) report(e *engine) []float64 {
	if !s.chance(s.script.reports) {
		return nil
	}
	backlog := max(e.busyUntil.Sub(s.now), 0).Seconds()
	values := make([]float64, 0, len(s.settings.Engines.ReportFields))
	for _, field := range s.settings.Engines.ReportFields {
		values = append(values, e.reportValue(field, backlog, s.script.backgroundMemory))
	}
	return values
}

// reportValue returns one value of a load report.
func (e *engine) reportValue(field control.ReportField, backlogSeconds, background float64) float64 {
	switch field {
	case control.ReportInFlight:
		return float64(e.streams)
	case control.ReportQueued: // a mean, so not a whole number
		return 8*backlogSeconds + max(float64(e.streams)-engineStreams, 0)*0.35
	case control.ReportUtilization:
		return min(float64(e.streams)/(2*engineStreams), 1)
	case control.ReportMemory:
		return background + float64(e.memory/engineMemory)
	case control.ReportBacklog:
		return backlogSeconds * 10
	case control.ReportOther:
	}
	return 7
}

// checkHealth answers a health check as an attempt would find the engine.
func (s *simulation) checkHealth(router int, e *engine) {
	kind, _ := s.drawFault(e)
	result, after := control.OK, 2*networkDelay
	switch kind {
	case faultUnreachable:
		result = control.ConnectFailed
	case faultUnresponsive:
		result, after = control.TimedOut, time.Second
	case faultReset:
		result = control.Reset
	case faultError:
		result = control.Failed
	case faultRejecting, faultKVMissing, faultNotSent, faultSlow, faultBroken, faultNone: // not of health checks
	}
	s.scheduleStep(router, after, func() control.Event {
		event := control.HealthCheckResult{Endpoint: e.entry.ID, Result: result, Elapsed: after}
		if result == control.OK {
			event.Report = s.report(e)
		}
		return event
	})
}
