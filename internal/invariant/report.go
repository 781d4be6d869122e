package invariant

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The indices of the rules in RuleNames and Report.Verdicts.
const (
	finalAnswerIndex = iota
	executionIndex
	drainIndex
	slowStartIndex
	kvRetentionIndex
	ruleCount
)

// RuleNames are the names of the rules, in the order of a report's verdicts.
var RuleNames = [ruleCount]string{
	finalAnswerIndex: "one final answer in time",
	executionIndex:   "no double execution",
	drainIndex:       "drains respected",
	slowStartIndex:   "slow starts respected",
	kvRetentionIndex: "KV state released",
}

// Verdict is the result of checking one rule.
type Verdict struct {
	Rule       string
	Checked    int      // number of observations that the rule checked
	Violations int      // number of violations, which may exceed len(Examples)
	Examples   []string // descriptions of the first violations, at most maxExamples
}

// maxExamples bounds the examples of a verdict, so that a report with many violations stays readable.
const maxExamples = 5

// addViolation counts a violation and adds its description to the examples if there is room.
func (v *Verdict) addViolation(at time.Duration, format string, args ...any) {
	v.Violations++
	if len(v.Examples) == maxExamples {
		return
	}
	v.Examples = append(v.Examples, fmt.Sprintf("%.3fs ", at.Seconds())+fmt.Sprintf(format, args...))
}

// Report is the result of checking a recording.
type Report struct {
	Verdicts    [ruleCount]Verdict
	Results     [resultCount]int // number of requests by the Result of their first answer
	ClientsLeft int              // number of requests whose client disconnected before a final answer
	LostEvents  int              // events that the recording dropped; if any, the report proves nothing
}

// newReport returns a report with an empty verdict for each rule.
func newReport() *Report {
	report := &Report{}
	for i, name := range RuleNames {
		report.Verdicts[i].Rule = name
	}
	return report
}

// Kept reports whether all rules hold. It returns false if no request was checked or events were lost.
func (r *Report) Kept() bool {
	isBroken := func(v Verdict) bool { return v.Violations > 0 }
	return r.LostEvents == 0 && r.Verdicts[finalAnswerIndex].Checked > 0 && !slices.ContainsFunc(r.Verdicts[:], isBroken)
}

// String returns the report as text for a terminal.
func (r *Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "answers: %d served, %d rejected, %d failed, %d malformed; %d clients left\n",
		r.Results[Served], r.Results[Rejected], r.Results[Failed], r.Results[Malformed], r.ClientsLeft)
	for _, verdict := range r.Verdicts {
		verdict.appendTo(&text)
	}
	if r.LostEvents > 0 {
		fmt.Fprintf(&text, "%d events were lost: nothing is proven\n", r.LostEvents)
	}
	return text.String()
}

// appendTo appends the lines of a verdict.
func (v *Verdict) appendTo(text *strings.Builder) {
	result := "kept"
	if v.Violations > 0 {
		result = fmt.Sprintf("BROKEN %d times", v.Violations)
	}
	fmt.Fprintf(text, "%-26s %-8s checked %d\n", v.Rule, result, v.Checked)
	for _, violation := range v.Examples {
		fmt.Fprintf(text, "    %s\n", violation)
	}
}
