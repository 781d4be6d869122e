package openai

import (
	"bytes"
	"strconv"

	"github.com/tidwall/gjson"
)

// customMetrics is the member of OrcaLoadReport that holds metrics of the engine's own.
const customMetrics = "named_metrics"

// ParseLoadReport parses an ORCA load report, which engines attach to responses as a header
// field. Its value is a JSON object after "JSON " or key=value pairs after "TEXT ". Metrics are
// named as in OrcaLoadReport (xDS, orca.proto); custom ones are under named_metrics.
//
// It returns the values of the named metrics in order. If one is missing it returns nil: an
// engine with half a report would look idle.
func ParseLoadReport(header []byte, names []string) []float64 {
	if len(names) == 0 {
		return nil
	}
	format, report, _ := bytes.Cut(bytes.TrimSpace(header), []byte{' '})
	switch string(format) {
	case "JSON":
		return parseJSONReport(report, names)
	case "TEXT":
		return parseTextReport(report, names)
	}
	return nil
}

// parseJSONReport returns the values of the named metrics in a JSON report, or nil.
func parseJSONReport(report []byte, names []string) []float64 {
	if !IsValidJSON(report) {
		return nil
	}
	root := gjson.ParseBytes(report)
	values := make([]float64, 0, len(names))
	for _, name := range names {
		value := root.Get(customMetrics + "." + gjson.Escape(name))
		if !value.Exists() {
			value = root.Get(gjson.Escape(name))
		}
		if value.Type != gjson.Number {
			return nil
		}
		values = append(values, value.Num)
	}
	return values
}

// parseTextReport returns the values of the named metrics in a report of comma-separated
// key=value pairs, or nil.
func parseTextReport(report []byte, names []string) []float64 {
	values := make([]float64, 0, len(names))
	for _, name := range names {
		value, found := findTextMetric(report, name)
		if !found {
			return nil
		}
		values = append(values, value)
	}
	return values
}

// findTextMetric returns the value of the first pair with the given name. found is false if there
// is none or if its value is not a number.
func findTextMetric(report []byte, name string) (value float64, found bool) {
	for pair := range bytes.SplitSeq(report, []byte{','}) {
		key, text, _ := bytes.Cut(bytes.TrimSpace(pair), []byte{'='})
		key = bytes.TrimPrefix(key, []byte(customMetrics+"."))
		if string(key) != name {
			continue
		}
		number, err := strconv.ParseFloat(string(text), 64)
		return number, err == nil
	}
	return 0, false
}
