// Package invariant checks five rules that a router must keep. It uses only events that clients and engines observed on
// their sockets and the times of changes to the endpoint list, never the router's logs or counters. Each rule has its own
// file.
//
// The rules state what must never be observed, regardless of which engines the router chooses. They don't predict its
// choices. A rule counts as kept if the recording contains nothing to check; Verdict.Checked is then 0.
package invariant

import (
	"strings"
	"time"
)

// Limits are the limits that the rules compare observations with.
type Limits struct {
	Skew                  time.Duration // tolerated error of recorded times, since events may be recorded late
	DrainGrace            time.Duration // time after the announcement of a drain during which an engine may still get attempts
	KVRetentionLimit      time.Duration // maximum time that unused KV state may be retained
	SlowStartInitialShare float64       // speed of an engine at its start, as a share of full speed
	SlowStartDuration     time.Duration // time from the start of an engine to full speed
	OverloadMultiple      float64       // maximum load during slow start, as a multiple of the engine's capacity
	OverloadDuration      time.Duration // period over which load is summed and compared with capacity
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
	for _, request := range c.ordered {
		c.finish(request, end)
	}
	return report
}

// checker builds the histories of requests and passes each event to the rules that use it.
type checker struct {
	requests map[string]*requestHistory
	ordered  []*requestHistory // sorted by first event

	finalAnswer finalAnswerRule
	execution   executionRule
	drain       drainRule
	slowStart   slowStartRule
	kvRetention kvRetentionRule
}

// newChecker returns a checker that writes its verdicts to a report.
func newChecker(report *Report, limits Limits) *checker {
	verdicts := &report.Verdicts
	return &checker{
		requests:    map[string]*requestHistory{},
		finalAnswer: finalAnswerRule{verdict: &verdicts[finalAnswerIndex], report: report, skew: limits.Skew},
		execution:   executionRule{verdict: &verdicts[executionIndex], skew: limits.Skew},
		drain: drainRule{
			verdict:     &verdicts[drainIndex],
			grace:       limits.DrainGrace + limits.Skew,
			announcedAt: map[string]time.Duration{},
		},
		slowStart: slowStartRule{
			verdict: &verdicts[slowStartIndex],
			limits:  limits,
			engines: map[string]*engineLoad{},
		},
		kvRetention: kvRetentionRule{
			verdict: &verdicts[kvRetentionIndex],
			limit:   limits.KVRetentionLimit + limits.Skew,
			hangs:   map[string][]hangPeriod{},
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

// attemptBegan processes the start of an attempt. Rules that use the request's history need it without the new attempt.
func (c *checker) attemptBegan(request *requestHistory, event Event) {
	c.execution.attemptBegan(request, event)
	c.kvRetention.attemptBegan(request, event)
	request.beginAttempt(event)
	c.drain.attemptBegan(event)
	c.slowStart.attemptBegan(event)
}

// attemptEnded processes the end of the request's attempt at an engine. It does nothing if no such attempt is in flight.
func (c *checker) attemptEnded(request *requestHistory, event Event) {
	index := request.attemptIndex(event.Engine)
	if index < 0 {
		return
	}
	c.execution.attemptEnded(request, request.inFlight[index], event.At)
	request.endAttempt(index, event.At)
}

// engineDied processes the exit of an engine's process, which ends the engine's attempts and discards its KV states.
func (c *checker) engineDied(event Event) {
	for _, request := range c.ordered {
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

// request returns the history of a request or shard, and creates it if needed. A new shard inherits the declared effect of
// its parent.
func (c *checker) request(id string) *requestHistory {
	request := c.requests[id]
	if request != nil {
		return request
	}
	request = &requestHistory{id: id, kvUnusedSince: map[string]time.Duration{}}
	parentID, _, isShard := strings.Cut(id, ShardSeparator)
	if isShard {
		request.parent = c.request(parentID)
		request.effect = request.parent.effect
		request.dedupWindow = request.parent.dedupWindow
	}
	c.requests[id] = request
	c.ordered = append(c.ordered, request)
	return request
}
