package demo

import (
	"slices"
	"strings"
	"time"

	"martenlock/internal/fakeengine"
)

//go:generate go tool stringer -linecomment -type=FaultKind -output=enum_string.go

// Fault is a fault that is present for a part of a scenario.
type Fault struct {
	Name    string
	Kind    FaultKind
	Start   time.Duration // since the start of the scenario
	Length  time.Duration
	Value   float64  // the meaning depends on Kind
	Targets []Target // the affected engines; none for FaultBurst
}

// activeAt reports whether the fault is present at a time of the scenario.
func (f *Fault) activeAt(at time.Duration) bool {
	return at >= f.Start && at < f.end()
}

// end returns the end of the fault, since the start of the scenario.
func (f *Fault) end() time.Duration { return f.Start + f.Length }

// FaultKind is the kind of a fault. String returns its name in scenario files.
type FaultKind uint8

// The kinds of faults.
const (
	faultUnknown FaultKind = iota // unknown
	// FaultHang engines accept bytes and answer nothing.
	FaultHang // hang
	// FaultErrors engines answer a share of requests, Value, with status 500.
	FaultErrors // errors
	// FaultFull engines reject every request.
	FaultFull // full
	// FaultKVMissing engines report that KV state can't be fetched.
	FaultKVMissing // gone
	// FaultResetBefore engines reset connections instead of sending the first byte of an answer.
	FaultResetBefore // reset_before
	// FaultResetAfter engines reset connections after Value tokens of an answer; -1 for before the first.
	FaultResetAfter // reset_after
	// FaultStall engines stop streams after Value tokens and keep them open.
	FaultStall // stall
	// FaultSlow engines take Value times as long.
	FaultSlow // slow
	// FaultLost engines execute requests, and their answers never arrive.
	FaultLost // lost
	// FaultDie ends the engines' processes and starts them again at the end of the fault.
	FaultDie // die
	// FaultReplace drains the engines and starts a new engine for each.
	FaultReplace // replace
	// FaultBurst multiplies the rate of requests by Value.
	FaultBurst // burst

	faultKindCount = iota
)

// parseFaultKind returns the kind of a name in scenario files. ok is false for an unknown name.
func parseFaultKind(name string) (kind FaultKind, ok bool) {
	for kind := faultUnknown + 1; kind < faultKindCount; kind++ {
		if kind.String() == name {
			return kind, true
		}
	}
	return faultUnknown, false
}

// sortedFaultNames returns the names of all kinds for error messages.
func sortedFaultNames() string {
	var names []string
	for kind := faultUnknown + 1; kind < faultKindCount; kind++ {
		names = append(names, kind.String())
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// engineFault returns the fault for an engine. It returns the zero value for FaultDie, FaultReplace and FaultBurst, which
// are not states of an engine.
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
