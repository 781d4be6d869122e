// Package platformsettings decodes the settings that the platform and the simulator give a
// router once, when it starts: one JSON object with the same keys and units in both.
package platformsettings

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"martenlock/control"
)

// Settings holds the decision module's settings, the names behind the numbers that the module
// uses, and what concerns connections and admission alone.
type Settings struct {
	Control           control.Settings
	ClassNames        []string      // of request classes, by control.Request.Class
	KindNames         []string      // of engine kinds, by control.Endpoint.Kind
	ZoneNames         []string      // of zones, by control.Endpoint.Zone
	EngineIdleTimeout time.Duration // after which engines close an idle connection; 0 for never
	MaxRequests       int           // that one router may hold at a time; 0 for no limit
	ResumesStreams    bool          // clients ask for the rest of a broken stream
}

// Error reports which key of the settings object cannot be used, and why.
type Error struct {
	Key string // path of the key, such as "FamilyInfo.KindRole"; "" for the object as a whole
	Err error
}

// Error names the key and the reason.
func (e *Error) Error() string {
	if e.Key == "" {
		return "settings: " + e.Err.Error()
	}
	return "settings: " + e.Key + ": " + e.Err.Error()
}

// Unwrap returns the reason.
func (e *Error) Unwrap() error { return e.Err }

// Parse decodes the settings object of a router. The seed is new at each start of the router.
// The error, if any, is an *Error.
func Parse(seed uint64, text []byte) (Settings, error) {
	var decoded object
	if err := json.Unmarshal(text, &decoded); err != nil {
		return Settings{}, &Error{Err: err}
	}
	controlSettings, err := decoded.controlSettings(seed)
	if err != nil {
		return Settings{}, err
	}
	settings := Settings{
		Control:           controlSettings,
		KindNames:         decoded.KindNames,
		ZoneNames:         decoded.ZoneNames,
		EngineIdleTimeout: microseconds(decoded.Limits.EngineIdleTimeoutUs),
		MaxRequests:       decoded.Limits.MaxRequests,
		ResumesStreams:    decoded.Family.ResumesStreams,
	}
	for _, class := range decoded.Classes {
		settings.ClassNames = append(settings.ClassNames, class.Name)
	}
	return settings, nil
}

// controlSettings returns the part of the settings that the decision module needs.
func (o *object) controlSettings(seed uint64) (control.Settings, error) {
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

// engineKinds returns the role and memory of each kind of engine. The memory of a kind is unknown if the
// list of memories ends before it.
func (o *object) engineKinds() ([]control.EngineKind, error) {
	var kinds []control.EngineKind
	for i, name := range o.Family.RoleByKind {
		role, known := roleByName[name]
		if !known {
			return nil, &Error{Key: "FamilyInfo.KindRole", Err: fmt.Errorf("unknown role %q", name)}
		}
		memory := control.Tokens(elementOrZero(o.Family.MemoryTokensByKind, i))
		kinds = append(kinds, control.EngineKind{Role: role, MemoryTokens: memory})
	}
	return kinds, nil
}

// controlClasses returns the request classes in the decision module's terms.
func (o *object) controlClasses() ([]control.Class, error) {
	var classes []control.Class
	for i, class := range o.Classes {
		idempotency, knownEffect := idempotencyByName[class.Effect]
		scope, knownScope := dedupScopeByName[class.DedupScope]
		if !knownEffect || !knownScope {
			key := fmt.Sprintf("RequestClasses[%d]", i)
			return nil, &Error{Key: key, Err: fmt.Errorf("unknown effect %q or scope %q", class.Effect, class.DedupScope)}
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

// reportFields returns what each field of an engine's load report means, in their order.
func (o *object) reportFields() []control.ReportField {
	var fields []control.ReportField
	for _, name := range o.LoadReport.Fields {
		field := reportFieldByName[name]
		switch name {
		case "x0":
			field = siteReportField(o.Family.ReportX0)
		case "x1":
			field = siteReportField(o.Family.ReportX1)
		}
		fields = append(fields, field)
	}
	return fields
}

// siteReportField finds out from a site's description what its own field of the load report
// means.
func siteReportField(description string) control.ReportField {
	switch {
	case strings.Contains(description, "share of memory"):
		return control.ReportMemory
	case strings.Contains(description, "prompt tokens"):
		return control.ReportBacklog
	}
	return control.ReportOther
}

// microseconds converts a number of microseconds, cut to whole ones.
func microseconds(count float64) time.Duration { return time.Duration(count) * time.Microsecond }

// elementOrZero returns element i of a list, or 0 past its end.
func elementOrZero(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 0
}
