package platformsettings

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"martenlock/control"
)

// TestParseConvertsSettingsAndReportsUnusableOnes holds that the platform's keys reach the
// decision module in its terms and units, that unknown keys are ignored, and that each object
// that cannot be used is an *Error.
func TestParseConvertsSettingsAndReportsUnusableOnes(t *testing.T) {
	text := `{"Balancers": 2, "NewKey": {"a": 1}, "FamilyInfo": {"KindRole": ["read", "both"], "TokensByKind": [5],
		"ReportX0": "share of memory that is held", "ReportX1": "thousands of prompt tokens waiting"},
		"LoadReport": {"Fields": ["rif", "lat_ms", "x1", "x0"]}, "Limits": {"MaxRetryAfterUs": 1000, "ConnIdleUs": 7000},
		"HostTypes": ["r", "b"], "Zones": ["x"],
		"RequestClasses": [{"Name": "talk", "AimUs": 1000, "Effect": "at_most_once"}]}`
	settings, err := Parse(4, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	got := settings.Control
	if got.Identity.Routers != 2 || got.Identity.Seed != 4 || got.Limits.MaxRetryAfter != 0 ||
		!reflect.DeepEqual(got.Engines.Kinds, []control.EngineKind{
			{Role: control.RolePrefill, MemoryTokens: 5},
			{Role: control.RoleColocated, MemoryTokens: 0},
		}) ||
		!reflect.DeepEqual(got.Engines.ReportFields, []control.ReportField{
			control.ReportInFlight, control.ReportOther, control.ReportBacklog,
			control.ReportMemory,
		}) ||
		got.Classes[0].Idempotency != control.NotIdempotent || got.Classes[0].TTFTObjective != time.Millisecond || settings.EngineIdleTimeout != 7*time.Millisecond ||
		!reflect.DeepEqual([][]string{settings.ClassNames, settings.KindNames, settings.ZoneNames}, [][]string{{"talk"}, {"r", "b"}, {"x"}}) {
		t.Fatalf("got %+v", settings)
	}
	for _, bad := range []struct{ text, key string }{
		{"", ""},
		{"[]", ""},
		{`{"FamilyInfo": {"KindRole": ["paint"]}}`, "FamilyInfo.KindRole"},
		{`{"RequestClasses": [{"Effect": "?"}]}`, "RequestClasses[0]"},
	} {
		_, err := Parse(0, []byte(bad.text))
		var settingsErr *Error
		if !errors.As(err, &settingsErr) || settingsErr.Key != bad.key || !strings.Contains(err.Error(), "settings") {
			t.Errorf("%q: error %v", bad.text, err)
		}
	}
}
