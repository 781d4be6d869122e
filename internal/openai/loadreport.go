package openai

import (
	"bytes"
	"strconv"

	"github.com/tidwall/gjson"
)

// customMetrics is the member of OrcaLoadReport that holds engine-specific metrics.
const customMetrics = "named_metrics"

// ParseLoadReport parses an ORCA load report, a header field that engines add to responses. Its value
// is "JSON " and a JSON object, or "TEXT " and comma-separated key=value pairs. Metrics are named as
// in OrcaLoadReport (xDS, orca.proto); engine-specific ones are under named_metrics.
//
// It returns the values of the metrics in names, in that order. If one is missing it returns nil,
// because an engine with an incomplete report could seem idle.
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

// parseTextReport returns the values of the named metrics in a text report, or nil.
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

// findTextMetric returns the value of the first pair with the given name in a text report. found is
// false if there is none or if its value is not a number.
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
