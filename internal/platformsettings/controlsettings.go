package platformsettings

import (
	"fmt"
	"strings"
	"time"

	"martenlock/control"
)

// controlSettings converts the object to the decision module's settings. Any error is an *Error.
func (o *settingsObject) controlSettings(seed uint64) (control.Settings, error) {
	kinds, err := o.engineKinds()
	if err != nil {
		return control.Settings{}, err
	}
	settings := control.Settings{
		Identity: control.RouterIdentity{Seed: seed, Routers: o.Routers, Rank: o.Rank, Zone: o.Zone},
		Engines: control.EngineSettings{
			Kinds:            kinds,
			ReportFields:     o.reportFields(),
			DecodeCanPrefill: o.Family.DecodeCanPrefill,
		},
		Caller: control.Capabilities{
			CanHealthCheck: o.Limits.CanHealthCheck,
			CanCancel:      o.Limits.CanCancel,
			MustSubscribe:  o.MembershipMode == membershipModeSubscribe,
		},
		Limits: control.Limits{
			MaxAttempts:      o.Limits.MaxAttempts,
			MaxRetryAfter:    microseconds(o.Limits.MaxRetryAfterUs),
			ConnectTimeout:   microseconds(o.Limits.ConnectTimeoutUs),
			KVRetentionLimit: microseconds(o.Family.KVRetentionLimitUs),
			DrainGrace:       microseconds(o.Rules.DrainGraceUs),
			AnswerGrace:      microseconds(o.Rules.AnswerGraceUs),
		},
		SlowStart: control.SlowStart{
			InitialShare:     o.Rules.SlowStartShare,
			Duration:         microseconds(o.Rules.SlowStartUs),
			OverloadMultiple: o.Rules.OverloadMultiple,
			OverloadDuration: microseconds(o.Rules.OverloadUs),
		},
	}
	if !o.Limits.SendsRetryAfter {
		settings.Limits.MaxRetryAfter = 0
	}
	for _, tenant := range o.Tenants {
		settings.Tenants = append(settings.Tenants, control.Tenant{RateLimit: tenant.RateLimitPerSecond, Share: tenant.Share})
	}
	settings.Classes, err = o.controlClasses()
	return settings, err
}

// engineKinds returns the role and memory of each kind of engine. If MemoryTokensByKind is shorter than
// RoleByKind, the memory of the remaining kinds is unknown.
func (o *settingsObject) engineKinds() ([]control.EngineKind, error) {
	var kinds []control.EngineKind
	for i, name := range o.Family.RoleByKind {
		role, err := lookupValue(roleByName, "role", name)
		if err != nil {
			return nil, &Error{Key: "FamilyInfo.KindRole", Err: err}
		}
		memory := control.Tokens(elementOrZero(o.Family.MemoryTokensByKind, i))
		kinds = append(kinds, control.EngineKind{Role: role, MemoryTokens: memory})
	}
	return kinds, nil
}

// controlClasses converts the request classes. Any error is an *Error whose key names the class.
func (o *settingsObject) controlClasses() ([]control.Class, error) {
	var classes []control.Class
	for i, class := range o.Classes {
		key := fmt.Sprintf("RequestClasses[%d]", i)
		idempotency, err := lookupValue(idempotencyByName, "effect", class.Effect)
		if err != nil {
			return nil, &Error{Key: key, Err: err}
		}
		scope, err := lookupValue(dedupScopeByName, "deduplication scope", class.DedupScope)
		if err != nil {
			return nil, &Error{Key: key, Err: err}
		}
		classes = append(classes, control.Class{
			TTFTObjective:     microseconds(class.TTFTObjectiveUs),
			TTFTPer1000Tokens: microseconds(elementOrZero(o.Family.TTFTUsPer1000PromptTokens, i)),
			ITLObjective:      microseconds(elementOrZero(o.Family.ITLObjectiveUs, i)),
			Deadline:          microseconds(class.DeadlineUs),
			PriorityWeight:    class.PriorityWeight,
			LateWeightShare:   class.LateWeightShare,
			Idempotency:       idempotency,
			DedupWindow:       microseconds(class.DedupWindowUs),
			DedupScope:        scope,
		})
	}
	return classes, nil
}

// lookupValue returns the enumerated value with a name, or an *UnknownValueError. kind is the enumeration's name
// for the error.
func lookupValue[V any](valueByName map[string]V, kind, name string) (V, error) {
	value, isKnown := valueByName[name]
	if !isKnown {
		return value, &UnknownValueError{Kind: kind, Name: name}
	}
	return value, nil
}

// reportFields returns the meaning of each field of an engine's load report, in the order of the report.
// Fields with unknown names are control.ReportOther, which the decision module does not use.
func (o *settingsObject) reportFields() []control.ReportField {
	var fields []control.ReportField
	for _, name := range o.LoadReport.Fields {
		field := reportFieldByName[name]
		switch name {
		case "x0":
			field = describedReportField(o.Family.ReportX0)
		case "x1":
			field = describedReportField(o.Family.ReportX1)
		}
		fields = append(fields, field)
	}
	return fields
}

// describedReportField returns the meaning of a field that is specific to a site. The meaning can only be
// recognized from words in the field's description.
func describedReportField(description string) control.ReportField {
	switch {
	case strings.Contains(description, "share of memory"):
		return control.ReportMemory
	case strings.Contains(description, "prompt tokens"):
		return control.ReportBacklog
	}
	return control.ReportOther
}

// microseconds converts a number of microseconds to a duration. Fractions of a microsecond are dropped.
func microseconds(count float64) time.Duration { return time.Duration(count) * time.Microsecond }

// elementOrZero returns element i of a list, or 0 if the list is too short.
func elementOrZero(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 0
}
