package simwire

import (
	"fmt"

	"martenlock/control"
)

// ejectionLine is the simulator's text of an ejection: the endpoint and its reason in ejectionWords.
const ejectionLine = "server %x set aside: %s"

// ejectionWords are the simulator's texts of the reasons of an ejection.
var ejectionWords = [...]struct {
	reason control.EjectionReason
	words  string
}{
	{control.EjectedForErrors, "errors"},
	{control.EjectedForTimeouts, "time-outs"},
	{control.EjectedAsUnreachable, "out of reach"},
	{control.EjectedAsSlow, "slow"},
	{control.EjectedAsUnresponsive, "silent"},
	{control.EjectedForHealthCheck, "probe unanswered"},
}

// logLine codes a log as a line of text.
func logLine(c *coder, v *control.Log) {
	var line string
	if c.isWriting {
		line = formatLog(*v)
	}
	text(c, &line)
	if c.isWriting || c.err != nil {
		return
	}
	*v, c.err = parseLog(line)
}

// formatLog returns the text of a log. A kind or a reason without a text here keeps its own name.
func formatLog(log control.Log) string {
	if log.Kind != control.EndpointEjected {
		return log.Kind.String()
	}
	words := log.Reason.String()
	for _, entry := range ejectionWords {
		if entry.reason == log.Reason {
			words = entry.words
		}
	}
	return fmt.Sprintf(ejectionLine, uint64(log.Endpoint), words)
}

// parseLog parses the line that formatLog writes, for tests and tools.
func parseLog(line string) (control.Log, error) {
	for _, entry := range ejectionWords {
		log := control.Log{Kind: control.EndpointEjected, Reason: entry.reason}
		_, err := fmt.Sscanf(line, "server %x", &log.Endpoint)
		if err == nil && formatLog(log) == line {
			return log, nil
		}
	}
	return control.Log{}, fmt.Errorf("unknown log line %q", line)
}
