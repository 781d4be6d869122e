package upstream

import "testing"

// TestCloseReasonWordsOfLogs pins the words that logs print and docs/platform.md lists, and which of them are
// routine.
func TestCloseReasonWordsOfLogs(t *testing.T) {
	words := []struct {
		word      string
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
	for i, want := range words {
		reason := CloseReason(i)
		if reason.String() != want.word || reason.IsRoutine() != want.isRoutine {
			t.Errorf("%q, routine %v; want %q, %v", reason, reason.IsRoutine(), want.word, want.isRoutine)
		}
	}
	if unknown := CloseReason(len(words)).String(); unknown != "CloseReason(13)" {
		t.Errorf("unknown reason: %q", unknown)
	}
}
