package control_test

import (
	"time"

	"martenlock/control"
)

// The parameters of the engine model.
const (
	engineMemory          = 40000.0                 // KV memory of a decode or colocated engine, in tokens
	engineStreams         = 24.0                    // number of streams that doubles the time per token
	prefillTimePerToken   = 80 * time.Microsecond   // time to compute a token of a prompt
	prefillOverheadTokens = 500.0                   // fixed cost of a prefill, in prompt tokens
	fetchTimePerToken     = 10 * time.Microsecond   // time to fetch the KV state of a token
	decodeTimePerToken    = 6 * time.Millisecond    // time to generate a token of an answer
	maxPrefillBacklog     = 1500 * time.Millisecond // a longer backlog rejects requests
	networkDelay          = 2 * time.Millisecond
)

type faultKind int

const (
	faultUnreachable  faultKind = iota // connections fail
	faultUnresponsive                  // the engine accepts attempts and never responds
	faultError                         // the engine responds with an error
	faultReset                         // the engine drops connections
	faultRejecting                     // the engine rejects attempts
	faultKVMissing                     // the engine can't fetch the KV state
	faultNotSent                       // attempts end before they are sent
	faultSlow                          // attempts take several times as long
	faultBroken                        // streams break after they have begun
	faultNone
)

// faultCount is the number of kinds of faults, without faultNone.
const faultCount = int(faultNone)

// fault affects attempts at an engine during a period.
type fault struct {
	engine   control.EndpointID // 0 for all engines
	kind     faultKind
	from, to time.Duration // since the start of the simulation
	chance   float64       // probability that an attempt is affected
	factor   float64       // factor by which faultSlow lengthens the engine's times
}

type engine struct {
	entry       control.Endpoint
	busyUntil   control.Time // end of all accepted prefills
	streams     int
	memory      control.Tokens            // KV memory in use
	prefixCache map[uint64]control.Tokens // cached tokens by prefix hash
}

func (e *engine) role() control.Role { return control.Role(e.entry.Kind) }

type attempt struct {
	request *clientRequest
	number  control.AttemptNumber
	engine  *engine
	sentAt  control.Time
	started bool // its answer has begun
	ended   bool
	memory  control.Tokens // KV memory that it occupies at the engine
}

func (a *attempt) outcome(result control.Result, elapsed time.Duration, final bool, report []float64) control.Outcome {
	return control.Outcome{
		ID: a.request.ID, Attempt: a.number, Endpoint: a.engine.entry.ID, Result: result, Elapsed: elapsed,
		Final: final, Report: report,
	}
}

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

// drawFault draws the fault that affects a new attempt at an engine, and the factor on the attempt's times.
func (s *simulation) drawFault(e *engine) (kind faultKind, factor float64) {
	for _, f := range s.script.faults {
		at := s.elapsed()
		if (f.engine == 0 || f.engine == e.entry.ID) && f.from <= at && at < f.to && s.chance(f.chance) {
			return f.kind, max(f.factor, 1)
		}
	}
	return faultNone, 1
}

// applyFault applies a fault to an attempt. It reports whether the fault prevents any work on the attempt.
func (s *simulation) applyFault(a *attempt, kind faultKind) bool {
	delay := networkDelay + time.Duration(s.rng.IntN(20))*time.Millisecond
	switch kind {
	case faultUnreachable:
		s.finish(a, delay, control.ConnectFailed, false)
	case faultUnresponsive: // the time-out ends the attempt
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

// failKVFetch ends an attempt whose engine can't fetch the KV state, and returns the Outcome.
func (s *simulation) failKVFetch(a *attempt) control.Event {
	if a.ended {
		return nil
	}
	a.ended, a.request.prefilled = true, false
	event := a.outcome(control.Rejected, s.now.Sub(a.sentAt), false, nil)
	event.KVMissing = true
	return event
}

// finish schedules the end of an attempt. If several are scheduled, the earliest ends it.
func (s *simulation) finish(a *attempt, after time.Duration, result control.Result, final bool) {
	s.scheduleStep(a.request.router, after, func() control.Event { return s.end(a, result, final) })
}

// end ends an attempt, frees its KV memory and returns the Outcome, or nil if the attempt has already ended.
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

// prefill adds a prompt to the engine's backlog, or rejects it. A colocated engine then decodes.
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

// lookUpPrefix returns the number of cached tokens of a request's prefix, and caches the prefix.
func (e *engine) lookUpPrefix(c *clientRequest) control.Tokens {
	if c.PrefixHash == 0 {
		return 0
	}
	cached := min(e.prefixCache[c.PrefixHash], c.PrefixTokens)
	e.prefixCache[c.PrefixHash] = max(cached, c.PrefixTokens)
	return cached
}

// finishPrefill ends a successful prefill and returns the Outcome.
func (s *simulation) finishPrefill(a *attempt, cached control.Tokens) control.Event {
	if a.ended {
		return nil
	}
	a.ended, a.request.prefilled = true, true
	event := a.outcome(control.PrefillDone, s.now.Sub(a.sentAt), false, s.report(a.engine))
	event.CachedTokens = uint32(cached)
	return event
}

// decode streams an answer, or rejects the attempt if the engine lacks memory. The answer begins after a wait
// and the fetch of the KV state.
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

// startAnswer returns the AnswerStarted of an attempt, or nil if the attempt has already ended.
func (s *simulation) startAnswer(a *attempt) control.Event {
	if a.ended {
		return nil
	}
	a.started = true
	return control.AnswerStarted{
		ID: a.request.ID, Endpoint: a.engine.entry.ID, Attempt: a.number, Elapsed: s.now.Sub(a.sentAt),
	}
}

// cancel cancels an attempt. Some cancellations are lost, and some are followed by duplicate and unexpected
// events.
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

// report returns a load report with the configured fields, or nil for some responses.
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

func (e *engine) reportValue(field control.ReportField, backlogSeconds, background float64) float64 {
	switch field {
	case control.ReportInFlight:
		return float64(e.streams)
	case control.ReportQueued: // a mean over time, so not an integer
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

// checkHealth schedules the result of a health check, which the faults of the engine affect.
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
	case faultRejecting, faultKVMissing, faultNotSent, faultSlow, faultBroken, faultNone: // do not affect health checks
	}
	s.scheduleStep(router, after, func() control.Event {
		event := control.HealthCheckResult{Endpoint: e.entry.ID, Result: result, Elapsed: after}
		if result == control.OK {
			event.Report = s.report(e)
		}
		return event
	})
}
