package upstream

import "testing"

// TestCloseReasonNamesInLogs checks the names of the reasons, which appear in logs and in docs/platform.md, and
// which reasons are routine.
func TestCloseReasonNamesInLogs(t *testing.T) {
	reasons := []struct {
		name      string
		isRoutine bool
	}{
		CloseAborted:           {"aborted", true},
		CloseNotReusable:       {"not_reusable", true},
		CloseIdleTimeout:       {"idle_timeout", true},
		CloseEvicted:           {"evicted", false},
		CloseDelisted:          {"delisted", true},
		CloseNotTrusted:        {"not_trusted", false},
		CloseConnectTimeout:    {"connect_timeout", false},
		CloseConnectFailed:     {"connect_failed", false},
		CloseSendTimeout:       {"send_timeout", false},
		CloseMalformedResponse: {"malformed_response", false},
		CloseStrayBytes:        {"stray_bytes", false},
		ClosedByEngine:         {"closed_by_engine", false},
		CloseReset:             {"reset", false},
	}
	for i, want := range reasons {
		reason := CloseReason(i)
		if reason.String() != want.name || reason.IsRoutine() != want.isRoutine {
			t.Errorf("%q, routine %v; want %q, %v", reason, reason.IsRoutine(), want.name, want.isRoutine)
		}
	}
	if unknown := CloseReason(len(reasons)).String(); unknown != "CloseReason(13)" {
		t.Errorf("unknown reason: %q", unknown)
	}
}
