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
	SlowStartInitialShare: 0.25,
	SlowStartDuration:     10 * time.Second,
	OverloadMultiple:      2,
	OverloadDuration:      time.Second,
}

func at(milliseconds int, kind Kind, request, engine string) Event {
	return Event{At: time.Duration(milliseconds) * ms, Kind: kind, Request: request, Engine: engine, Work: 0.1}
}

// sent returns the RequestSent event of a request whose deadline is two seconds later.
func sent(milliseconds int, request string, effect Effect) Event {
	event := at(milliseconds, RequestSent, request, "")
	event.Deadline = event.At + 2*time.Second
	event.Effect = effect
	event.DedupWindow = time.Second
	return event
}

// answer returns a request's final answer.
func answer(milliseconds int, request string, result Result) Event {
	event := at(milliseconds, FinalAnswer, request, "")
	event.Result = result
	return event
}

// served returns the events of a request with a prefill and a decode attempt. They break no rule.
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

// prefilled returns the events of a request up to the end of its prefill: its KV state is retained and no attempt is in
// flight.
func prefilled(request string) []Event { return served(request, Idempotent)[:4] }

// executed returns the events of an attempt that is executed after 10 ms and ends after 20 ms.
func executed(milliseconds int, request, engine string) []Event {
	return []Event{
		at(milliseconds, AttemptBegan, request, engine),
		at(milliseconds+10, Executed, request, engine),
		at(milliseconds+20, AttemptEnded, request, engine),
	}
}

func concat(lists ...[]Event) (joined []Event) {
	for _, list := range lists {
		joined = append(joined, list...)
	}
	return joined
}

func list(events ...Event) []Event { return events }

// testCase is a recording and the violation that it contains.
type testCase struct {
	name      string
	events    []Event
	violation string // part of the violation's text; "" if all rules hold
}

// record returns a recording of events. It adds a second to their times, since a time of 0 can mean that
// there was no event.
func record(events []Event) *Recording {
	recording := NewRecording(1000)
	for _, event := range events {
		event.At += time.Second
		event.Deadline += time.Second
		recording.Add(event)
	}
	return recording
}

// checkRule checks that each case's recording breaks the rule at the index and no other one, or breaks no rule if the case
// has no violation.
func checkRule(t *testing.T, ruleIndex int, cases []testCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report := Check(record(c.events), testLimits, 9*time.Second)
			if report.Kept() != (c.violation == "") {
				t.Errorf("Kept() is %v, want %v", report.Kept(), c.violation == "")
			}
			for i, verdict := range report.Verdicts {
				isBroken := verdict.Violations > 0
				mustBeBroken := i == ruleIndex && c.violation != ""
				if isBroken != mustBeBroken {
					t.Errorf("rule %q broken: %v, want %v", verdict.Rule, isBroken, mustBeBroken)
				}
			}
			if !strings.Contains(report.String(), c.violation) {
				t.Errorf("the report does not contain %q", c.violation)
			}
			if t.Failed() {
				t.Log(report)
			}
		})
	}
}
