package control_test

import (
	"time"

	"martenlock/control"
)

// goldenSettings returns the settings to which a script applies its configure function.
func goldenSettings(seed uint64) control.Settings {
	return control.Settings{
		Identity: control.RouterIdentity{Seed: seed, Routers: 1},
		Classes:  goldenClasses(),
		Tenants:  []control.Tenant{{RateLimit: 20, Share: 0.7}, {RateLimit: 5, Share: 0.3}},
		Engines: control.EngineSettings{
			Kinds: []control.EngineKind{
				control.RolePrefill:   {Role: control.RolePrefill},
				control.RoleDecode:    {Role: control.RoleDecode, MemoryTokens: engineMemory},
				control.RoleColocated: {Role: control.RoleColocated, MemoryTokens: engineMemory},
			},
			ReportFields: []control.ReportField{
				control.ReportOther, control.ReportInFlight, control.ReportQueued,
				control.ReportUtilization, control.ReportMemory, control.ReportBacklog,
			},
		},
		Caller: control.Capabilities{CanHealthCheck: true, CanCancel: true, MustSubscribe: true},
		Limits: control.Limits{
			MaxAttempts: 4, MaxRetryAfter: 5 * time.Second, ConnectTimeout: time.Second,
			KVRetentionLimit: 3 * time.Second, DrainGrace: 2 * time.Second, AnswerGrace: time.Second,
		},
		SlowStart: control.SlowStart{
			InitialShare: 0.3, Duration: 10 * time.Second,
			OverloadMultiple: 2, OverloadDuration: 3 * time.Second,
		},
	}
}

// goldenClasses returns classes for each kind of idempotency and each deduplication scope, and one with
// longer objectives and deadlines.
func goldenClasses() []control.Class {
	base := control.Class{
		TTFTObjective: 1500 * time.Millisecond, TTFTPer1000Tokens: 300 * time.Millisecond, Deadline: 8 * time.Second,
		ITLObjective: 50 * time.Millisecond, PriorityWeight: 1, LateWeightShare: 0.5,
	}
	list := make([]control.Class, 6)
	for i := range list {
		list[i] = base
	}
	list[1].TTFTObjective, list[1].Deadline, list[1].MaxAttempts = 4*time.Second, 12*time.Second, 3
	list[2].Idempotency = control.NotIdempotent
	for i, scope := range []control.DedupScope{control.DedupScopeAll, control.DedupScopeZone, control.DedupScopeCell} {
		class := &list[3+i]
		class.Idempotency, class.DedupScope = control.IdempotentWithKey, scope
		class.DedupWindow = time.Duration(1+i) * time.Second
	}
	return list
}

// shortDeadlines makes all requests idempotent, shortens their deadlines and turns off health checks.
func shortDeadlines(settings *control.Settings) {
	withoutHealthChecks(settings)
	for i := range settings.Classes {
		class := &settings.Classes[i]
		class.Idempotency, class.TTFTObjective, class.Deadline = control.Idempotent, time.Second, 4*time.Second
	}
}

// longDeadlines lets requests wait for longer than load reports stay valid.
func longDeadlines(settings *control.Settings) {
	settings.Identity.Routers = 2
	withoutHealthChecks(settings)
	for i := range settings.Classes {
		settings.Classes[i].TTFTObjective, settings.Classes[i].Deadline = 15*time.Second, 25*time.Second
	}
}

// releaseUnderAttempts allows ReleaseKV while attempts are in flight.
func releaseUnderAttempts(settings *control.Settings) { settings.Caller.ReleaseSparesAttempts = true }

func withoutHealthChecks(settings *control.Settings) { settings.Caller.CanHealthCheck = false }

// withoutMemory makes the KV memory of engines unknown.
func withoutMemory(settings *control.Settings) {
	for i := range settings.Engines.Kinds {
		settings.Engines.Kinds[i].MemoryTokens = 0
	}
}

// minimalSettings turns off optional capabilities and reduces the load report to two fields.
func minimalSettings(settings *control.Settings) {
	settings.Caller.CanCancel, settings.Caller.MustSubscribe, settings.Limits.MaxAttempts = false, false, 6
	settings.Engines.ReportFields = []control.ReportField{control.ReportQueued, control.ReportMemory}
	settings.Limits.KVRetentionLimit = time.Second
}

// withRouters returns a function that sets the number of routers of the service.
func withRouters(n int) func(*control.Settings) {
	return func(settings *control.Settings) { settings.Identity.Routers = n }
}
