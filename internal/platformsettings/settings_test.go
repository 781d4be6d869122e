package platformsettings

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"martenlock/control"
)

// TestParseConvertsNamesAndUnits also checks that unknown keys are ignored.
func TestParseConvertsNamesAndUnits(t *testing.T) {
	text := `{"Balancers": 2, "NewKey": {"a": 1}, "FamilyInfo": {"KindRole": ["read", "both"], "TokensByKind": [5],
		"ReportX0": "share of memory that is held", "ReportX1": "thousands of prompt tokens waiting"},
		"LoadReport": {"Fields": ["rif", "lat_ms", "x1", "x0"]}, "Limits": {"MaxRetryAfterUs": 1000, "ConnIdleUs": 7000},
		"HostTypes": ["r", "b"], "Zones": ["x"],
		"RequestClasses": [{"Name": "talk", "AimUs": 1000, "Effect": "at_most_once"}]}`

	settings, err := Parse(4, []byte(text))
	if err != nil {
		t.Fatal(err)
	}

	for name, c := range map[string]struct{ got, want any }{
		"routers":                   {settings.Control.Identity.Routers, 2},
		"seed":                      {settings.Control.Identity.Seed, uint64(4)},
		"max Retry-After":           {settings.Control.Limits.MaxRetryAfter, time.Duration(0)}, // RetryAfter is not set
		"idempotency":               {settings.Control.Classes[0].Idempotency, control.NotIdempotent},
		"TTFT objective":            {settings.Control.Classes[0].TTFTObjective, time.Millisecond},
		"engine keep-alive timeout": {settings.EngineKeepAliveTimeout, 7 * time.Millisecond},
		"class names":               {settings.ClassNames, []string{"talk"}},
		"kind names":                {settings.KindNames, []string{"r", "b"}},
		"zone names":                {settings.ZoneNames, []string{"x"}},
		"kinds": {settings.Control.Engines.Kinds, []control.EngineKind{
			{Role: control.RolePrefill, MemoryTokens: 5},
			{Role: control.RoleColocated, MemoryTokens: 0},
		}},
		"report fields": {settings.Control.Engines.ReportFields, []control.ReportField{
			control.ReportInFlight, control.ReportOther, control.ReportBacklog, control.ReportMemory,
		}},
	} {
		if !reflect.DeepEqual(c.got, c.want) {
			t.Errorf("%s: got %v, want %v", name, c.got, c.want)
		}
	}
}

// TestParseErrorNamesInvalidKey checks each source of an error, and the unknown value if there is one.
func TestParseErrorNamesInvalidKey(t *testing.T) {
	for _, c := range []struct {
		text    string
		key     string
		unknown UnknownValueError
	}{
		{"", "", UnknownValueError{}},
		{"[]", "", UnknownValueError{}},
		{`{"FamilyInfo": {"KindRole": ["paint"]}}`, "FamilyInfo.KindRole", UnknownValueError{"role", "paint"}},
		{`{"RequestClasses": [{"Effect": "?"}]}`, "RequestClasses[0]", UnknownValueError{"effect", "?"}},
		{`{"RequestClasses": [{"Effect": "idempotent", "DedupScope": "rack"}]}`, "RequestClasses[0]", UnknownValueError{"deduplication scope", "rack"}},
	} {
		_, err := Parse(0, []byte(c.text))

		var settingsErr *Error
		if !errors.As(err, &settingsErr) || settingsErr.Key != c.key || !strings.Contains(err.Error(), "settings") {
			t.Errorf("%q: got error %v, want an *Error with key %q", c.text, err, c.key)
		}
		unknown := &UnknownValueError{}
		if isUnknown := errors.As(err, &unknown); isUnknown != (c.unknown != UnknownValueError{}) || *unknown != c.unknown {
			t.Errorf("%q: got error %v, want one that wraps %v", c.text, err, &c.unknown)
		}
	}
}
