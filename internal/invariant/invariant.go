// Package invariant checks five rules that a router must keep. The evidence is what clients and engines observed on
// their own sockets, never a router's log or counters. Each rule has a file of its own.
//
// The package is not a model of a router. It states what must not be observed whatever the router chooses, and not what
// the router should choose. A rule counts as kept if no observation could have broken it; Verdict.Checked is 0 then.
package invariant

import (
	"strings"
	"time"
)

// Limits are the limits that the operators of the engines state. The rules compare observations with them.
type Limits struct {
	Skew                  time.Duration // greatest difference between two observers' clocks
	DrainGrace            time.Duration // time after a drain notice in which an engine may still get attempts
	KVRetentionLimit      time.Duration // longest time that unused KV state may be retained
	SlowStartInitialSpeed float64       // speed of an engine at its start, as a share of full speed
	SlowStartDuration     time.Duration // time from a start to full speed
	OverloadFactor        float64       // load that overloads an engine, as a multiple of its capacity
	OverloadWindow        time.Duration // time over which load is compared with capacity
}

// Check applies the rules to a recording that ended at the given time.
func Check(recording *Recording, limits Limits, end time.Duration) *Report {
	events := recording.Events()
	report := newReport()
	report.LostEvents = recording.Lost()
	c := newChecker(report, limits)
	for _, event := range events {
		c.observe(event)
	}
	for _, request := range c.inOrder {
		c.finish(request, end)
	}
	return report
}

// checker holds the histories of requests and passes each event to the rules that it concerns.
type checker struct {
	requests map[string]*requestHistory
	inOrder  []*requestHistory // sorted by first event

	finalAnswer finalAnswerRule
	execution   executionRule
	drain       drainRule
	slowStart   slowStartRule
	kvRetention kvRetentionRule
}

// newChecker returns a checker that writes its findings to a report.
func newChecker(report *Report, limits Limits) *checker {
	verdicts := &report.Verdicts
	return &checker{
		requests:    map[string]*requestHistory{},
		finalAnswer: finalAnswerRule{verdict: &verdicts[finalAnswerIndex], report: report, skew: limits.Skew},
		execution:   executionRule{verdict: &verdicts[executionIndex], skew: limits.Skew},
		drain: drainRule{
			verdict:  &verdicts[drainIndex],
			grace:    limits.DrainGrace + limits.Skew,
			drainsAt: map[string]time.Duration{},
		},
		slowStart: slowStartRule{
			verdict: &verdicts[slowStartIndex],
			limits:  limits,
			engines: map[string]*engineLoad{},
		},
		kvRetention: kvRetentionRule{
			verdict: &verdicts[kvRetentionIndex],
			limit:   limits.KVRetentionLimit + limits.Skew,
			hangs:   map[string][]span{},
		},
	}
}

// observe processes the next event of the recording.
func (c *checker) observe(event Event) {
	switch event.Kind {
	case DrainAnnounced:
		c.drain.drainAnnounced(event)
	case ReadyAnnounced:
		c.drain.readyAnnounced(event)
	case EngineStarted:
		c.slowStart.engineStarted(event)
	case EngineHung:
		c.kvRetention.engineHung(event)
	case EngineResumed:
		c.kvRetention.engineResumed(event)
	case EngineDied:
		c.engineDied(event)
	default:
		c.observeRequest(c.request(event.Request), event)
	}
}

// observeRequest processes an event of a request.
func (c *checker) observeRequest(request *requestHistory, event Event) {
	switch event.Kind {
	case RequestSent:
		c.finalAnswer.requestSent(request, event)
		request.recordSent(event)
	case FirstToken:
		request.firstTokenAt = event.At
	case FinalAnswer:
		request.answers = append(request.answers, event)
	case ClientLeft:
		request.clientLeft = true
	case AttemptBegan:
		c.attemptBegan(request, event)
	case Executed:
		c.execution.executed(request, event)
		request.executions = append(request.executions, event)
	case AttemptEnded:
		c.attemptEnded(request, event)
	case KVRetained:
		c.kvRetention.retained(request, event)
	case KVReleased:
		c.kvRetention.released(request, event)
	default:
		// Events of engines and of the endpoint list have no request.
	}
}

// attemptBegan processes the start of an attempt. The rules see the history as it was before the attempt.
func (c *checker) attemptBegan(request *requestHistory, event Event) {
	c.execution.attemptBegan(request, event)
	c.kvRetention.attemptBegan(request, event)
	request.beginAttempt(event)
	c.drain.attemptBegan(event)
	c.slowStart.attemptBegan(event)
}

// attemptEnded processes the end of a request's attempt at an engine. Without such an attempt it does nothing.
func (c *checker) attemptEnded(request *requestHistory, event Event) {
	index := request.inFlightAt(event.Engine)
	if index < 0 {
		return
	}
	c.execution.attemptEnded(request, request.inFlight[index], event.At)
	request.endAttempt(index, event.At)
}

// engineDied processes the end of an engine's process, which ends its attempts and drops its KV states.
func (c *checker) engineDied(event Event) {
	for _, request := range c.inOrder {
		c.attemptEnded(request, event)
		c.kvRetention.engineDied(request, event)
	}
}

// finish applies the rules that need the whole history of a request.
func (c *checker) finish(request *requestHistory, end time.Duration) {
	c.kvRetention.finish(request, end)
	c.execution.finish(request, end)
	c.finalAnswer.finish(request, end)
}

// request returns the history of a request or shard, and creates it if needed. A new shard inherits the effect that its
// parent declared.
func (c *checker) request(id string) *requestHistory {
	request := c.requests[id]
	if request != nil {
		return request
	}
	request = &requestHistory{id: id, retained: map[string]time.Duration{}}
	parentID, _, isShard := strings.Cut(id, ShardSeparator)
	if isShard {
		request.parent = c.request(parentID)
		request.effect = request.parent.effect
		request.dedupWindow = request.parent.dedupWindow
	}
	c.requests[id] = request
	c.inOrder = append(c.inOrder, request)
	return request
}
