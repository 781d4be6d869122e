package invariant

import "testing"

// loadEvents returns the events of count requests at one engine, with interval milliseconds between them.
func loadEvents(count, interval int) (events []Event) {
	for i := range count {
		id := string(rune('a' + i))
		began := 100 + i*interval
		events = append(events,
			sent(began, id, Idempotent),
			at(began, AttemptBegan, id, "decode"),
			at(began+1, AttemptEnded, id, "decode"),
			answer(began+2, id, Served))
	}
	return events
}

func TestEngineInSlowStartIsNotOverloaded(t *testing.T) {
	start := list(at(0, EngineStarted, "", "decode"))
	checkRule(t, slowStartIndex, []testCase{
		{"in slow start, within its budget", concat(start, loadEvents(8, 400)), ""},
		{"in slow start, above its budget", concat(start, loadEvents(16, 20)), "budget"},
		{"at full speed, the same load", loadEvents(16, 20), ""},
	})
}
