package demo

import (
	"strings"

	"martenlock/internal/fakeengine"
)

// TargetProperty is a property by which a Target selects engines.
type TargetProperty string

// The properties, as spelled before the colon of a target.
const (
	TargetName TargetProperty = "" // a target without a colon
	TargetZone TargetProperty = "zone"
	TargetKind TargetProperty = "kind"
	TargetPool TargetProperty = "pool"
)

// Target selects the engines whose Property has the Value.
type Target struct {
	Property TargetProperty
	Value    string
}

// ParseTarget parses NAME, zone:NAME, kind:NAME or pool:NAME. A target with any other property selects no engine.
func ParseTarget(text string) Target {
	property, value, hasProperty := strings.Cut(text, ":")
	if !hasProperty {
		return Target{Property: TargetName, Value: text}
	}
	return Target{Property: TargetProperty(property), Value: value}
}

// String returns the target in the form that ParseTarget accepts.
func (t Target) String() string {
	if t.Property == TargetName {
		return t.Value
	}
	return string(t.Property) + ":" + t.Value
}

// matches reports whether the target selects an engine.
func (t Target) matches(spec *fakeengine.Spec) bool {
	switch t.Property {
	case TargetName:
		return spec.Name == t.Value
	case TargetZone:
		return spec.Zone == t.Value
	case TargetKind:
		return spec.Kind == t.Value
	case TargetPool:
		return spec.Pool == t.Value
	}
	return false
}
