package control_test

import (
	"fmt"
	"time"

	"martenlock/control"
)

// This file holds nearly every name of package control that the golden test uses, so that a renaming
// there changes little else here.

type (
	instant    = control.Time
	endpoint   = control.Endpoint
	endpointID = control.EndpointID
	call       = control.Request
	callID     = control.RequestID
	role       = control.Role
	verdict    = control.Result
)

const (
	prefillRole = control.RolePrefill
	decodeRole  = control.RoleDecode
	mixedRole   = control.RoleColocated
)

// newEndpoint lists a ready engine, whose kind is the number of its role.
func newEndpoint(id endpointID, r role, cell, zone uint16, weight float64) endpoint {
	return endpoint{ID: id, State: control.Ready, Kind: int(r), Cell: cell, Zone: zone, Weight: weight}
}

// goldenSettings is the configuration that scripts start from.
func goldenSettings(seed uint64) control.Settings {
	return control.Settings{
		Identity: control.RouterIdentity{Seed: seed, Routers: 1},
		Classes:  goldenClasses(),
		Tenants:  []control.Tenant{{RateLimit: 20, Share: 0.7}, {RateLimit: 5, Share: 0.3}},
		Engines: control.EngineSettings{
			Kinds: []control.EngineKind{
				{Role: control.RolePrefill},
				{Role: control.RoleDecode, MemoryTokens: engineMemory},
				{Role: control.RoleColocated, MemoryTokens: engineMemory},
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

// goldenClasses has a class of each effect and each scope.
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
		keyed := &list[3+i]
		keyed.Idempotency, keyed.DedupScope, keyed.DedupWindow = control.IdempotentWithKey, scope, time.Duration(1+i)*time.Second
	}
	return list
}

// ending makes the event that ends an attempt.
func (a *attempt) ending(result verdict, took time.Duration, final bool, report []float64) control.Outcome {
	return control.Outcome{
		ID: a.call.ID, Attempt: a.number, Endpoint: a.engine.entry.ID, Result: result, Elapsed: took,
		Final: final, Report: report,
	}
}

// missing makes the ending of an attempt whose decode engine could not fetch the state.
func (a *attempt) missing(took time.Duration) control.Outcome {
	event := a.ending(control.Rejected, took, false, nil)
	event.KVMissing = true
	return event
}

// tally counts actions by kind.
type tally struct{ send, refuse, fail, release, cancel, timer, probe, watch, log int }

func (t *tally) add(a control.Action) {
	switch a.(type) {
	case control.Forward:
		t.send++
	case control.Reject:
		t.refuse++
	case control.Fail:
		t.fail++
	case control.ReleaseKV:
		t.release++
	case control.CancelAttempt:
		t.cancel++
	case control.SetTimer:
		t.timer++
	case control.HealthCheck:
		t.probe++
	case control.SubscribeEndpoints:
		t.watch++
	case control.Log:
		t.log++
	}
}

func (t tally) String() string {
	return fmt.Sprintf("send %d refuse %d fail %d release %d cancel %d timer %d probe %d watch %d log %d",
		t.send, t.refuse, t.fail, t.release, t.cancel, t.timer, t.probe, t.watch, t.log)
}

// describe writes an action in full, in words of the golden file's own.
func describe(a control.Action) string {
	switch a := a.(type) {
	case control.Forward:
		return fmt.Sprintf("send %d to %d timeout %v leave %v", a.ID, a.Endpoint, a.Timeout, a.SendWithin)
	case control.Reject:
		return fmt.Sprintf("refuse %d retry after %v", a.ID, a.RetryAfter)
	case control.Fail:
		return fmt.Sprintf("fail %d", a.ID)
	case control.ReleaseKV:
		return fmt.Sprintf("release %d", a.ID)
	case control.CancelAttempt:
		return fmt.Sprintf("cancel %d attempt %d", a.ID, a.Attempt)
	case control.SetTimer:
		return fmt.Sprintf("timer %d after %v", a.Token, a.After)
	case control.HealthCheck:
		return fmt.Sprintf("probe %d", a.Endpoint)
	case control.SubscribeEndpoints:
		return "watch"
	case control.Log:
		return fmt.Sprintf("log server %x set aside: %s", uint64(a.Endpoint), goldenReasons[a.Reason])
	}
	return fmt.Sprintf("unknown %v", a)
}

// goldenReasons is the golden file's wording of the reasons of an ejection.
var goldenReasons = map[control.EjectionReason]string{
	control.EjectedForErrors: "errors", control.EjectedForTimeouts: "time-outs", control.EjectedAsUnreachable: "out of reach",
	control.EjectedAsSlow: "slow", control.EjectedAsUnresponsive: "silent", control.EjectedForHealthCheck: "probe unanswered",
}
