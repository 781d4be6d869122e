package platform

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// headerTimeBudget is the header field that states how long its sender waits for the answer: a number
// and a unit, "m" for milliseconds or "u" for microseconds.
const headerTimeBudget = "X-Budget"

// maxTimeBudget is the longest valid time budget. It keeps deadlines from overflowing.
const maxTimeBudget = 24 * time.Hour

// parseTimeBudget decodes the value of headerTimeBudget. The error is a *headerError.
func parseTimeBudget(value string) (time.Duration, error) {
	unit := timeBudgetUnit(value)
	count, isDecimal := parseDecimal(value[:max(len(value)-1, 0)])
	budget := count * float64(unit)
	if unit == 0 || !isDecimal || budget < 1 || budget > float64(maxTimeBudget) {
		reason := fmt.Sprintf("%.40q is no positive number of milliseconds (m) or microseconds (u)", value)
		return 0, &headerError{Header: headerTimeBudget, Reason: reason}
	}
	return time.Duration(budget), nil
}

// timeBudgetUnit returns the unit of a time budget, or 0 if it has no known unit.
func timeBudgetUnit(value string) time.Duration {
	switch {
	case strings.HasSuffix(value, "m"):
		return time.Millisecond
	case strings.HasSuffix(value, "u"):
		return time.Microsecond
	}
	return 0
}

// appendTimeBudget appends the header field with the time that is left for an engine's answer. The
// time is rounded down, but is at least one microsecond.
func appendTimeBudget(head []byte, remaining time.Duration) []byte {
	head = append(head, headerTimeBudget+": "...)
	if remaining < time.Millisecond {
		head = strconv.AppendInt(head, max(remaining.Microseconds(), 1), 10)
		return append(head, "u\r\n"...)
	}
	head = strconv.AppendInt(head, remaining.Milliseconds(), 10)
	return append(head, "m\r\n"...)
}

// parseDecimal decodes a decimal number with at most one decimal point and no sign or exponent.
func parseDecimal(text string) (value float64, isDecimal bool) {
	for i := range len(text) {
		isDigit := text[i] >= '0' && text[i] <= '9'
		if !isDigit && text[i] != '.' {
			return 0, false
		}
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}
