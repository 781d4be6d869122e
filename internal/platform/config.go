package platform

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"martenlock/internal/platformsettings"
)

// Environment variables that configure a router. docs/platform.md describes them.
const (
	variableConfig    = "PROXY_CONFIG"    // path of the configuration file
	variableName      = "PROXY_NAME"      // used if the file has no key "name"
	variableListen    = "PROXY_LISTEN"    // used if the file has no key "listen"
	variableDiscovery = "PROXY_DISCOVERY" // used if the file has no key "discovery"
)

// maxConfigBytes bounds the size of the configuration file, which is read into memory as a whole.
const maxConfigBytes = 64 << 20

// Minimum values of Limits.
const (
	minCores    = 0.01
	minMemoryMB = 16
	minSockets  = 64
)

// Config is a router's configuration on the platform.
type Config struct {
	File           string // path of the configuration file
	Name           string
	Listen         netip.AddrPort
	Discovery      netip.AddrPort
	Seed           uint64
	Limits         Limits
	KnownEndpoints []byte // initial endpoint list in the form of a discovery message; may be empty
	Settings       platformsettings.Settings
}

// Limits bounds the resources that all processes of a router use together.
type Limits struct {
	Cores    float64 `json:"cores"`     // CPU seconds per second
	MemoryMB float64 `json:"memory_mb"` // in units of 2^20 bytes
	Sockets  int     `json:"sockets"`   // open file descriptors
}

// configFile is the JSON form of the configuration file. Unknown keys are ignored.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// ConfigError reports an invalid configuration.
type ConfigError struct {
	Variable string // the environment variable that is invalid, or that names File
	File     string // path of the invalid file; empty if it was not read, or if the value of Variable is invalid
	Key      string // the invalid key of File; empty if unknown
	Err      error  // the reason
}

// Error returns one line with the variable, the file and key if they are set, and the reason.
func (e *ConfigError) Error() string {
	where := e.Variable + ": "
	if e.File != "" {
		where += e.File + ": "
	}
	if e.Key != "" {
		where += e.Key + ": "
	}
	return where + e.Err.Error()
}

// Unwrap returns Err.
func (e *ConfigError) Unwrap() error { return e.Err }

var (
	// ErrConfigNotSet means that PROXY_CONFIG is empty or not set.
	ErrConfigNotSet = errors.New("not set, want the path of the configuration file")
	// ErrConfigTooLarge means that the configuration file is larger than 64 MiB.
	ErrConfigTooLarge = errors.New("configuration file too large")

	errSettingsMissing  = errors.New("missing")
	errSettingsMismatch = errors.New("RequestClasses is empty, or HostTypes and FamilyInfo.KindRole differ in length")
)

// LoadConfig reads the configuration file at the path in PROXY_CONFIG. PROXY_NAME, PROXY_LISTEN and
// PROXY_DISCOVERY replace keys that the file lacks. getenv is os.Getenv outside of tests. Any error is a
// *ConfigError.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv(variableConfig)
	if path == "" {
		return nil, &ConfigError{Variable: variableConfig, Err: ErrConfigNotSet}
	}
	text, err := readConfigFile(path)
	if err != nil {
		return nil, &ConfigError{Variable: variableConfig, Err: err}
	}
	var file configFile
	err = json.Unmarshal(text, &file)
	if err != nil {
		return nil, configFileError(path, "", err)
	}
	config := &Config{
		File:           path,
		Name:           cmp.Or(file.Name, getenv(variableName)),
		Limits:         file.Limits,
		KnownEndpoints: file.Known,
	}
	err = config.parseAddresses(&file, getenv)
	if err != nil {
		return nil, err
	}
	config.Seed, err = strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, configFileError(path, "seed", fmt.Errorf("invalid seed %q, want a hexadecimal number of 64 bits", file.Seed))
	}
	err = config.Limits.check(path)
	if err != nil {
		return nil, err
	}
	config.Settings, err = parseSettings(path, config.Seed, file.Settings)
	if err != nil {
		return nil, err
	}
	return config, nil
}

// readConfigFile returns the content of the file. The error wraps ErrConfigTooLarge if the file exceeds
// maxConfigBytes.
func readConfigFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxConfigBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrConfigTooLarge, info.Size(), maxConfigBytes)
	}
	return os.ReadFile(path)
}

// configFileError returns the *ConfigError for a key of the configuration file, or for the file as a
// whole if key is empty.
func configFileError(path, key string, err error) error {
	return &ConfigError{Variable: variableConfig, File: path, Key: key, Err: err}
}

// parseAddresses sets the addresses from the file, or from environment variables if the file lacks them.
func (c *Config) parseAddresses(file *configFile, getenv func(string) string) error {
	listen := addressSource{path: c.File, key: "listen", value: file.Listen, variable: variableListen}
	discovery := addressSource{path: c.File, key: "discovery", value: file.Discovery, variable: variableDiscovery}
	var err error
	c.Listen, err = listen.parse(getenv)
	if err != nil {
		return err
	}
	c.Discovery, err = discovery.parse(getenv)
	return err
}

// addressSource is where an IP address and port are configured: a key of the configuration file, or an
// environment variable if the file lacks the key.
type addressSource struct {
	path     string // of the configuration file
	key      string
	value    string // of the key; empty if the file lacks it
	variable string // read if value is empty
}

// parse returns the address and port. Its error is a *ConfigError.
func (s addressSource) parse(getenv func(string) string) (netip.AddrPort, error) {
	value := cmp.Or(s.value, getenv(s.variable))
	address, err := netip.ParseAddrPort(value)
	if err == nil {
		return address, nil
	}
	err = fmt.Errorf("invalid address %q, want IP address and port", value)
	if s.value == "" {
		return netip.AddrPort{}, &ConfigError{Variable: s.variable, Err: err}
	}
	return netip.AddrPort{}, configFileError(s.path, s.key, err)
}

// check returns a *ConfigError for the first limit that is below its minimum.
func (l *Limits) check(path string) error {
	for _, limit := range []struct {
		key     string
		value   float64
		minimum float64
	}{
		{"limits.cores", l.Cores, minCores},
		{"limits.memory_mb", l.MemoryMB, minMemoryMB},
		{"limits.sockets", float64(l.Sockets), minSockets},
	} {
		if limit.value < limit.minimum {
			return configFileError(path, limit.key, fmt.Errorf("%v is below the minimum of %v", limit.value, limit.minimum))
		}
	}
	return nil
}

// parseSettings decodes the settings object. It returns a *ConfigError if the object is missing or invalid,
// has no request classes, or does not assign one role to each kind of engine.
func parseSettings(path string, seed uint64, text []byte) (platformsettings.Settings, error) {
	if len(text) == 0 {
		return platformsettings.Settings{}, configFileError(path, "settings", errSettingsMissing)
	}
	settings, err := platformsettings.Parse(seed, text)
	if err != nil {
		return platformsettings.Settings{}, configFileError(path, "", err) // err names the key
	}
	if len(settings.ClassNames) == 0 || len(settings.KindNames) != len(settings.Control.Engines.Kinds) {
		return platformsettings.Settings{}, configFileError(path, "settings", errSettingsMismatch)
	}
	// On the platform, an engine keeps KV state that an attempt waits for, even if its release is requested.
	settings.Control.Caller.ReleaseSparesAttempts = true
	return settings, nil
}
