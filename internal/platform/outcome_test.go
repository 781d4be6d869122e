package platform

import (
	"testing"

	"martenlock/control"
	"martenlock/internal/upstream"
)

// TestResultDependsOnResponseAndConnError checks the table of outcomes in docs/platform-design.md.
func TestResultDependsOnResponseAndConnError(t *testing.T) {
	for _, test := range []struct {
		role       control.Role
		status     int
		isRejected bool
		want       responseOutcome
	}{
		{control.RolePrefill, 202, false, responseOutcome{result: control.PrefillDone}},
		{control.RoleColocated, 202, false, responseOutcome{result: control.PrefillDone}},
		{control.RoleDecode, 202, false, responseOutcome{result: control.Failed}},
		{control.RoleDecode, 410, true, responseOutcome{result: control.Rejected, kvMissing: true}},
		{control.RoleDecode, 410, false, responseOutcome{result: control.Failed}},
		{control.RoleDecode, 503, true, responseOutcome{result: control.Rejected}},
		{control.RolePrefill, 504, true, responseOutcome{result: control.Rejected}},
		{control.RoleDecode, 503, false, responseOutcome{result: control.Failed}},
		{control.RoleDecode, 504, false, responseOutcome{result: control.Failed}},
		{control.RoleDecode, 429, true, responseOutcome{result: control.Failed}},
		{control.RoleDecode, 500, false, responseOutcome{result: control.Failed}},
		{control.RoleDecode, 302, false, responseOutcome{result: control.Failed}},
		{control.RoleDecode, 400, false, responseOutcome{result: control.NotSent, final: true}},
		{control.RolePrefill, 404, false, responseOutcome{result: control.NotSent, final: true}},
	} {
		if got := classifyResponse(test.role, test.status, test.isRejected); got != test.want {
			t.Errorf("status %d, rejected %v, role %v: outcome %+v, want %+v", test.status, test.isRejected, test.role, got, test.want)
		}
	}
	for _, test := range []struct {
		connErr upstream.ConnError
		want    control.Result
	}{
		{upstream.ConnError{}, control.ConnectFailed},
		{upstream.ConnError{Established: true}, control.ConnectFailed},
		{upstream.ConnError{Established: true, RequestWritten: true}, control.Reset},
		{upstream.ConnError{Established: true, RequestWritten: true, Malformed: "bad chunk"}, control.Failed},
	} {
		if got := classifyConnError(test.connErr); got != test.want {
			t.Errorf("%+v: result %v, want %v", test.connErr, got, test.want)
		}
	}
}
