package demo

import (
	"strconv"
	"strings"
	"time"

	"martenlock/internal/inifile"
	"martenlock/internal/invariant"
	"martenlock/internal/openai"
)

// maxPromptTokens bounds the prompts of a scenario, so that their texts fit in memory.
const maxPromptTokens = 1 << 20

// ParseScenario parses a scenario file. docs/operating.md explains its keys. Errors contain name, the section and the key.
func ParseScenario(name string, text []byte) (*Scenario, error) {
	file, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	section := file.Section("day")
	seconds := section.Float("seconds", 30, 0.1, 3600)
	scenario := &Scenario{
		Duration:    time.Duration(seconds * float64(time.Second)),
		RequestRate: section.Float("rate", 150, 0.1, 5000),
		Seed:        section.Int("seed", 1, 0, 1<<30),
	}
	for _, section := range file.Sections("load") {
		scenario.Loads = append(scenario.Loads, parseLoad(section))
	}
	for _, section := range file.Sections("fault") {
		scenario.Faults = append(scenario.Faults, parseFault(section))
	}
	if len(scenario.Loads) == 0 {
		file.AddError("%w section [load NAME]", inifile.ErrMissing)
	}
	return scenario, file.Err("day", "load", "fault")
}

// parseLoad parses a section [load NAME].
func parseLoad(section *inifile.Section) Load {
	load := Load{
		Name:            section.Name,
		Class:           section.Required("class"),
		Share:           section.Float("share", 1, 0, 1),
		StreamShare:     section.Float("stream", 0, 0, 1),
		Effect:          invariant.Effect(section.Choice("effect", "safe", "safe", "keyed", "unsafe")),
		DedupWindow:     section.Duration("window", 0, 0, time.Hour),
		Deadline:        section.Duration("deadline", 5*time.Second, time.Millisecond, time.Hour),
		AnswerTokens:    section.Int("answer", 16, 1, 10000),
		Items:           section.Int("items", 2, 1, 2048),
		DisconnectShare: section.Float("leave", 0, 0, 1),
		SlowReaderShare: section.Float("slow", 0, 0, 1),
		API:             openai.API(section.Choice("api", "", openai.APINames()...)),
	}
	promptRange := section.Text("prompt", "100-1000")
	var isRange bool
	load.MinPromptTokens, load.MaxPromptTokens, isRange = parsePromptRange(promptRange)
	if !isRange {
		section.AddError("prompt", "%w range %q, want numbers of tokens such as 100-1000", inifile.ErrInvalid, promptRange)
	}
	return load
}

// parsePromptRange parses a range of tokens such as 100-1000. Both ends are included. isRange is false if text is not
// a valid range.
func parsePromptRange(text string) (low, high int, isRange bool) {
	lowText, highText, _ := strings.Cut(text, "-")
	low, lowErr := strconv.Atoi(lowText)
	high, highErr := strconv.Atoi(highText)
	if lowErr != nil || highErr != nil || low < 1 || high < low || high > maxPromptTokens {
		return 0, 0, false
	}
	return low, high, true
}

// parseFault parses a section [fault NAME].
func parseFault(section *inifile.Section) Fault {
	kindName := section.Required("what")
	fault := Fault{
		Name:     section.Name,
		Start:    section.Duration("at", 0, 0, time.Hour),
		Duration: section.Duration("for", 0, 0, time.Hour),
		Value:    section.Float("value", 1, -1, 1e6),
	}
	for _, text := range section.List("engines") {
		fault.Targets = append(fault.Targets, ParseTarget(text))
	}
	kind, ok := parseFaultKind(kindName)
	if !ok {
		section.AddError("what", "%w fault %q, want one of %s", inifile.ErrUnknown, kindName, sortedFaultNames())
	}
	fault.Kind = kind
	if len(fault.Targets) == 0 && fault.Kind != FaultBurst {
		section.AddError("engines", "%w value, want names of engines, zone:NAME, kind:NAME or pool:NAME", inifile.ErrMissing)
	}
	return fault
}
