package invariant

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

var testLimits = Limits{
	Skew:                  20 * ms,
	DrainGrace:            250 * ms,
	KVRetentionLimit:      time.Second,
	SlowStartInitialSpeed: 0.25,
	SlowStartDuration:     10 * time.Second,
	OverloadFactor:        2,
	OverloadWindow:        time.Second,
}

// at returns an event at a time in milliseconds.
func at(millis int, kind Kind, request, engine string) Event {
	return Event{At: time.Duration(millis) * ms, Kind: kind, Request: request, Engine: engine, Work: 0.1}
}

// sent returns the begin of a request with a deadline two seconds ahead.
func sent(millis int, request string, effect Effect) Event {
	event := at(millis, RequestSent, request, "")
	event.Deadline = event.At + 2*time.Second
	event.Effect = effect
	event.DedupWindow = time.Second
	return event
}

// answer returns a request's final answer.
func answer(millis int, request string, result Result) Event {
	event := at(millis, FinalAnswer, request, "")
	event.Result = result
	return event
}

// served returns a request in two stages that keeps all rules.
func served(request string, effect Effect) []Event {
	return []Event{
		sent(0, request, effect),
		at(5, AttemptBegan, request, "prefill"),
		at(50, KVRetained, request, "prefill"),
		at(51, AttemptEnded, request, "prefill"),
		at(60, AttemptBegan, request, "decode"),
		at(70, KVReleased, request, "prefill"),
		at(71, Executed, request, "decode"),
		at(72, FirstToken, request, ""),
		at(300, AttemptEnded, request, "decode"),
		answer(301, request, Served),
	}
}

// prefilled returns a request whose KV state is retained and that has no attempt in flight.
func prefilled(request string) []Event { return served(request, Idempotent)[:4] }

// executed returns an attempt that is executed after 10 ms and ends after 20 ms.
func executed(millis int, request, engine string) []Event {
	return []Event{
		at(millis, AttemptBegan, request, engine),
		at(millis+10, Executed, request, engine),
		at(millis+20, AttemptEnded, request, engine),
	}
}

// join joins lists of events.
func join(lists ...[]Event) (joined []Event) {
	for _, list := range lists {
		joined = append(joined, list...)
	}
	return joined
}

// list returns events as a list.
func list(events ...Event) []Event { return events }

// testCase is a recording and what is to be found in it.
type testCase struct {
	name   string
	events []Event
	says   string // part of the violation's text; "" where all rules must hold
}

// record returns a recording of events, moved away from the clock's zero.
func record(events []Event) *Recording {
	recording := NewRecording(1000)
	for _, event := range events {
		event.At += time.Second
		event.Deadline += time.Second
		recording.Add(event)
	}
	return recording
}

// checkRule judges each case's recording: it must break the rule at the index and no other
// one, or none.
func checkRule(t *testing.T, ruleIndex int, cases []testCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report := Check(record(c.events), testLimits, 9*time.Second)
			if report.Kept() != (c.says == "") {
				t.Errorf("kept: %v", report.Kept())
			}
			for i, verdict := range report.Verdicts {
				isBroken := verdict.Violations > 0
				mustBeBroken := i == ruleIndex && c.says != ""
				if isBroken != mustBeBroken {
					t.Errorf("rule %q broken: %v, want %v", verdict.Rule, isBroken, mustBeBroken)
				}
			}
			if !strings.Contains(report.String(), c.says) {
				t.Errorf("the report does not say %q", c.says)
			}
			if t.Failed() {
				t.Log(report)
			}
		})
	}
}
