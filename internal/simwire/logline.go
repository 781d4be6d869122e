package simwire

import (
	"fmt"

	"martenlock/control"
)

// ejectionFormat is the log line that the simulator expects for an ejection, with the endpoint's id and a
// text of ejectionTexts.
const ejectionFormat = "server %x set aside: %s"

// ejectionTexts are the texts that the simulator expects for the reasons of an ejection.
var ejectionTexts = [...]struct {
	reason control.EjectionReason
	text   string
}{
	{control.EjectedForErrors, "errors"},
	{control.EjectedForTimeouts, "time-outs"},
	{control.EjectedAsUnreachable, "out of reach"},
	{control.EjectedAsSlow, "slow"},
	{control.EjectedAsUnresponsive, "silent"},
	{control.EjectedForHealthCheck, "probe unanswered"},
}

// logLine encodes or decodes a log as a line of text.
func logLine(c *codec, v *control.Log) {
	var line string
	if c.isEncoding {
		line = formatLog(*v)
	}
	text(c, &line)
	if c.isEncoding || c.err != nil {
		return
	}
	*v, c.err = parseLog(line)
}

// formatLog returns the text of a log. Kinds other than EndpointEjected and reasons that are not in
// ejectionTexts have the text of their String method.
func formatLog(log control.Log) string {
	if log.Kind != control.EndpointEjected {
		return log.Kind.String()
	}
	reason := log.Reason.String()
	for _, entry := range ejectionTexts {
		if entry.reason == log.Reason {
			reason = entry.text
		}
	}
	return fmt.Sprintf(ejectionFormat, uint64(log.Endpoint), reason)
}

// parseLog parses a line that formatLog has written for an ejection, for tests and tools.
func parseLog(line string) (control.Log, error) {
	for _, entry := range ejectionTexts {
		log := control.Log{Kind: control.EndpointEjected, Reason: entry.reason}
		_, err := fmt.Sscanf(line, "server %x", &log.Endpoint)
		if err == nil && formatLog(log) == line {
			return log, nil
		}
	}
	return control.Log{}, fmt.Errorf("unknown log line %q", line)
}
