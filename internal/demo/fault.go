package demo

import (
	"slices"
	"strings"
	"time"

	"martenlock/internal/fakeengine"
)

//go:generate go tool stringer -linecomment -type=FaultKind -output=enum_string.go

// Fault is a fault of a scenario, with its time and the affected engines.
type Fault struct {
	Name     string
	Kind     FaultKind
	Start    time.Duration // since the start of the scenario
	Duration time.Duration
	Value    float64  // parameter of the fault; the constants of FaultKind say what it means
	Targets  []Target // the affected engines; none for FaultBurst
}

// activeAt reports whether the fault is active at a time since the start of the scenario.
func (f *Fault) activeAt(at time.Duration) bool {
	return at >= f.Start && at < f.end()
}

// end returns the end of the fault as the time since the start of the scenario.
func (f *Fault) end() time.Duration { return f.Start + f.Duration }

// FaultKind is the kind of a fault. String returns its name in scenario files.
type FaultKind uint8

const (
	faultUnknown FaultKind = iota // unknown
	// FaultHang makes engines read and send nothing while their connections stay open.
	FaultHang // hang
	// FaultErrors makes engines respond with status 500 to a share of requests, given by Value.
	FaultErrors // errors
	// FaultFull makes engines reject every request.
	FaultFull // full
	// FaultKVMissing makes engines respond that the KV state can't be fetched.
	FaultKVMissing // gone
	// FaultResetBefore makes engines reset the connection instead of executing a request.
	FaultResetBefore // reset_before
	// FaultResetAfter makes engines reset the connection after Value tokens of a decode. If Value is -1, they reset it
	// after execution has started but before the first token.
	FaultResetAfter // reset_after
	// FaultStall makes engines stop sending after Value tokens of a decode and keep the connection open.
	FaultStall // stall
	// FaultSlow makes engines take Value times as long.
	FaultSlow // slow
	// FaultLost makes engines execute prefills and decodes without sending answers. It doesn't affect embeddings and
	// rerank requests.
	FaultLost // lost
	// FaultDie ends the engines' processes and restarts them at the end of the fault.
	FaultDie // die
	// FaultReplace drains the engines and starts a replacement for each.
	FaultReplace // replace
	// FaultBurst multiplies the request rate by Value.
	FaultBurst // burst

	faultKindCount = iota
)

// parseFaultKind returns the kind with the given name in scenario files. ok is false if the name is unknown.
func parseFaultKind(name string) (kind FaultKind, ok bool) {
	for kind := faultUnknown + 1; kind < faultKindCount; kind++ {
		if kind.String() == name {
			return kind, true
		}
	}
	return faultUnknown, false
}

// sortedFaultNames returns the names of all kinds, for error messages.
func sortedFaultNames() string {
	var names []string
	for kind := faultUnknown + 1; kind < faultKindCount; kind++ {
		names = append(names, kind.String())
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// engineFault returns the fault to set on an engine. It returns the zero value for FaultDie, FaultReplace and FaultBurst,
// which are injected in other ways.
func (f *Fault) engineFault() fakeengine.Fault {
	switch f.Kind {
	case FaultHang:
		return fakeengine.Fault{Hang: true}
	case FaultErrors:
		return fakeengine.Fault{ErrorRate: f.Value}
	case FaultFull:
		return fakeengine.Fault{RejectAll: true}
	case FaultKVMissing:
		return fakeengine.Fault{KVMissing: true}
	case FaultResetBefore:
		return fakeengine.Fault{ResetBefore: true}
	case FaultResetAfter:
		return fakeengine.Fault{ResetAfter: int(f.Value)}
	case FaultStall:
		return fakeengine.Fault{StallAfter: int(f.Value)}
	case FaultSlow:
		return fakeengine.Fault{SlowdownFactor: f.Value}
	case FaultLost:
		return fakeengine.Fault{AnswersLost: true}
	default:
		return fakeengine.Fault{}
	}
}
