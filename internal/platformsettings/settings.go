// Package platformsettings decodes the settings object that a router receives at its start. The platform
// and the simulator use the same JSON object, with the same keys and units.
package platformsettings

import (
	"encoding/json"
	"fmt"
	"time"

	"martenlock/control"
)

// Settings holds the decision module's settings, the names of the module's numbers, and the settings of
// connections and admission, which the module does not need.
type Settings struct {
	Control           control.Settings
	ClassNames        []string      // of request classes, by control.Request.Class
	KindNames         []string      // of engine kinds, by control.Endpoint.Kind
	ZoneNames         []string      // of zones, by control.Endpoint.Zone
	EngineIdleTimeout time.Duration // after which engines close an idle connection; 0 if they never do
	MaxRequests       int           // open requests of one router; 0 for no limit
	ResumesStreams    bool          // clients may resume a truncated stream
}

// Error reports an unusable key of the settings object.
type Error struct {
	Key string // path of the key, such as "FamilyInfo.KindRole"; empty for the object as a whole
	Err error  // an *UnknownValueError, or the error of the JSON decoder
}

// Error returns the key and the reason.
func (e *Error) Error() string {
	if e.Key == "" {
		return "settings: " + e.Err.Error()
	}
	return "settings: " + e.Key + ": " + e.Err.Error()
}

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

// UnknownValueError reports an unknown name of an enumerated value.
type UnknownValueError struct {
	Kind string // what the value stands for, such as "role"
	Name string
}

// Error returns the kind of the value and the unknown name.
func (e *UnknownValueError) Error() string { return fmt.Sprintf("unknown %s %q", e.Kind, e.Name) }

// Parse decodes the settings object of a router. Each start of the router should have its own seed. Any
// error is an *Error.
func Parse(seed uint64, text []byte) (Settings, error) {
	var decoded settingsObject
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
