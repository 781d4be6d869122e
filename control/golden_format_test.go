package control_test

import (
	"fmt"

	"martenlock/control"
)

// The golden file uses its own words for actions and reasons, so that it does not change if the package
// renames them.

// tally counts actions by kind.
type tally struct {
	forwards, rejections, failures, releases, cancels, timers, healthChecks, subscriptions, logs int
}

func (t *tally) add(action control.Action) {
	switch action.(type) {
	case control.Forward:
		t.forwards++
	case control.Reject:
		t.rejections++
	case control.Fail:
		t.failures++
	case control.ReleaseKV:
		t.releases++
	case control.CancelAttempt:
		t.cancels++
	case control.SetTimer:
		t.timers++
	case control.HealthCheck:
		t.healthChecks++
	case control.SubscribeEndpoints:
		t.subscriptions++
	case control.Log:
		t.logs++
	}
}

// String returns the counts in the words of the golden file.
func (t *tally) String() string {
	return fmt.Sprintf("send %d refuse %d fail %d release %d cancel %d timer %d probe %d watch %d log %d",
		t.forwards, t.rejections, t.failures, t.releases, t.cancels, t.timers, t.healthChecks, t.subscriptions, t.logs)
}

// describe returns an action with its fields, in the words of the golden file.
func describe(action control.Action) string {
	switch a := action.(type) {
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
	return fmt.Sprintf("unknown %v", action)
}

// goldenReasons are the golden file's words for the reasons of an ejection.
var goldenReasons = map[control.EjectionReason]string{
	control.EjectedForErrors:      "errors",
	control.EjectedForTimeouts:    "time-outs",
	control.EjectedAsUnreachable:  "out of reach",
	control.EjectedAsSlow:         "slow",
	control.EjectedAsUnresponsive: "silent",
	control.EjectedForHealthCheck: "probe unanswered",
}
