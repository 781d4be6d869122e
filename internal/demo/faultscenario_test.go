package demo

import (
	"io"
	"strings"
	"testing"

	"martenlock/internal/invariant"
)

// shortScenario is a fault scenario that is short enough for CI. Some of its nine faults overlap.
const shortScenario = `
[day]
seconds = 7
rate = 60
seed = 3
[load ask]
share = 0.4
api = chat
class = ask
stream = 0.7
prompt = 50-600
deadline = 5s
leave = 0.05
slow = 0.05
[load job]
share = 0.15
api = chat
class = job
effect = keyed
window = 3s
stream = 0.5
prompt = 50-600
deadline = 6s
[load note]
share = 0.2
api = completions
class = note
effect = unsafe
stream = 0.5
prompt = 50-600
deadline = 6s
[load search]
share = 0.15
api = embeddings
class = search
deadline = 3s
[load bulk]
share = 0.05
api = embeddings
class = search
effect = safe
prompt = 500-2500
items = 200
deadline = 3s
leave = 0.05
[load rank]
share = 0.1
api = rerank
class = search
items = 4
deadline = 3s
[fault errors]
at = 200ms
for = 1s
what = errors
value = 0.7
engines = writer1, embed1
[fault break off]
at = 500ms
for = 1s
what = reset_after
value = -1
engines = writer2
[fault break off later]
at = 700ms
for = 1s
what = reset_after
value = 3
engines = writer3
[fault drains]
at = 1500ms
what = replace
engines = writer1, reader1, embed1
[fault cut]
at = 2500ms
for = 1500ms
what = hang
engines = zone:b
[fault burst]
at = 4s
for = 500ms
what = burst
value = 2
[fault gone]
at = 4s
for = 1s
what = gone
engines = writer5
[fault dies]
at = 4500ms
for = 1s
what = die
engines = reader3, pool:rerank
[fault stalls]
at = 5s
for = 500ms
what = stall
value = 3
engines = writer4
`

func TestFaultScenarioKeepsTheFiveRules(t *testing.T) {
	scenario, err := ParseScenario("short.ini", []byte(shortScenario))
	if err != nil {
		t.Fatal(err)
	}
	limits := Limits
	limits.Skew *= 4 // on a loaded machine, events are recorded late
	report, err := scenario.Run(RunOptions{Limits: limits, Listen: "127.0.0.1:0", LogLevel: "error", Log: io.Discard, Out: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	if !report.Kept() || report.Results[invariant.Served] < report.Verdicts[0].Checked/2 {
		t.Errorf("a rule is broken, or less than half of the requests were served:\n%s", report)
	}
	for _, verdict := range report.Verdicts {
		if verdict.Checked == 0 {
			t.Errorf("rule %q: no observations to check", verdict.Rule)
		}
	}
	t.Logf("\n%s", report)
}

func TestScenarioErrorsNameFileSectionAndKey(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"what = hang", "what = melt", `s.ini: [fault cut] what: unknown fault "melt", want one of burst, die, errors`},
		{"engines = zone:b", "", "[fault cut] engines: missing value, want names of engines"},
		{"prompt = 50-600", "prompt = 600-50", `[load ask] prompt: invalid range "600-50", want numbers of tokens such as 100-1000`},
		{"api = rerank", "api = rank", `[load rank] api: unknown api "rank", want one of chat`},
		{"[day]", "[night]", "s.ini: [night]: unknown section"},
	} {
		_, err := ParseScenario("s.ini", []byte(strings.Replace(shortScenario, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("with %q: error %v, want %s", c.new, err, c.want)
		}
	}
}

func TestBuiltInScenarioIsValid(t *testing.T) {
	scenario, err := loadScenario("")
	if err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{}
	for _, spec := range EngineSpecs() {
		known[spec.Name] = true
	}
	for _, fault := range scenario.Faults {
		for _, target := range fault.Targets {
			if target.Property == TargetName && !known[target.Value] {
				t.Errorf("fault %q: no engine %q", fault.Name, target)
			}
		}
	}
}

func TestFaultKindsAreParsedFromTheirNames(t *testing.T) {
	for kind := FaultHang; kind <= FaultBurst; kind++ {
		parsed, known := parseFaultKind(kind.String())
		if !known || parsed != kind {
			t.Errorf("parseFaultKind(%q) is %v, %v", kind.String(), parsed, known)
		}
	}
	_, known := parseFaultKind(faultUnknown.String())
	if known {
		t.Errorf("parseFaultKind(%q) reports a known kind", faultUnknown.String())
	}
}
