// Package platformsettings decodes the JSON object with a router's settings. The platform and the simulator
// use the same object, with the same keys and units.
package platformsettings

import (
	"encoding/json"
	"fmt"
	"time"

	"martenlock/control"
)

// Settings holds the settings of the decision module and of the rest of the router. The decision module
// identifies classes, kinds and zones by number only; their names are here.
type Settings struct {
	Control                control.Settings
	ClassNames             []string      // indexed by control.Request.Class
	KindNames              []string      // indexed by control.Endpoint.Kind
	ZoneNames              []string      // indexed by control.Endpoint.Zone
	EngineKeepAliveTimeout time.Duration // after which engines close an idle connection; 0 if it is unknown
	MaxRequests            int           // open requests of one router; 0 for no limit
	ResumesStreams         bool          // clients may resume a truncated stream
}

// Error reports an invalid value in the settings object.
type Error struct {
	Key string // path in the object, such as "FamilyInfo.KindRole" or "RequestClasses[0]"; empty for the whole object
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

// UnknownValueError reports a name that is not one of the enumerated values.
type UnknownValueError struct {
	Kind string // the enumeration, such as "role"
	Name string
}

// Error implements error.
func (e *UnknownValueError) Error() string { return fmt.Sprintf("unknown %s %q", e.Kind, e.Name) }

// Parse decodes the settings object of a router. The seed should differ between starts of the router. Any
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
		Control:                controlSettings,
		KindNames:              decoded.KindNames,
		ZoneNames:              decoded.ZoneNames,
		EngineKeepAliveTimeout: microseconds(decoded.Limits.EngineKeepAliveTimeoutUs),
		MaxRequests:            decoded.Limits.MaxRequests,
		ResumesStreams:         decoded.Family.ResumesStreams,
	}
	for _, class := range decoded.Classes {
		settings.ClassNames = append(settings.ClassNames, class.Name)
	}
	return settings, nil
}
