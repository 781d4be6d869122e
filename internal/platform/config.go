package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"martenlock/internal/platformsettings"
)

// The environment variables that configure a router; docs/platform.md describes them.
const (
	variableConfig    = "PROXY_CONFIG"    // path of the configuration file
	variableName      = "PROXY_NAME"      // used where the file lacks name
	variableListen    = "PROXY_LISTEN"    // used where the file lacks listen
	variableDiscovery = "PROXY_DISCOVERY" // used where the file lacks discovery
)

// maxConfigBytes bounds the configuration file, which is read whole into memory.
const maxConfigBytes = 64 << 20

// Below these limits a router cannot work.
const (
	minCores    = 0.01
	minMemoryMB = 16
	minSockets  = 64
)

// Config is what the platform tells a router.
type Config struct {
	File      string // its path
	Name      string
	Listen    netip.AddrPort
	Discovery netip.AddrPort
	Seed      uint64
	Limits    Limits
	Known     []byte // the endpoint list as last held, as a message of discovery
	Settings  platformsettings.Settings
}

// Limits hold for all processes of a router together.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// configFile is the file's JSON. Keys that are not named here are ignored.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// ConfigError reports what of the configuration cannot be used. Its text is one line.
type ConfigError struct {
	Variable string // the environment variable at fault, or that names the file at fault
	File     string // path of the file at fault, or ""
	Key      string // the file's key at fault, or ""
	Err      error
}

// Error names the variable, the file and the key as far as they are known, and the reason.
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

// Unwrap returns the reason.
func (e *ConfigError) Unwrap() error { return e.Err }

var (
	// ErrConfigNotSet reports that no configuration file is named.
	ErrConfigNotSet = errors.New("not set; it names the router's configuration, a JSON file")
	// ErrConfigTooLarge reports a configuration file beyond maxConfigBytes.
	ErrConfigTooLarge = errors.New("configuration file too large")

	errSettingsMissing  = errors.New("missing")
	errSettingsMismatch = errors.New("RequestClasses is empty, or HostTypes and FamilyInfo.KindRole differ in length")
)

// LoadConfig reads the file that PROXY_CONFIG names; name and addresses that it lacks come from
// the other variables. getenv is os.Getenv. The error, if any, is a *ConfigError.
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
	config := &Config{File: path, Name: file.Name, Limits: file.Limits, Known: file.Known}
	if config.Name == "" {
		config.Name = getenv(variableName)
	}
	listen := addressSource{path: path, key: "listen", value: file.Listen, variable: variableListen}
	config.Listen, err = parseAddress(listen, getenv)
	if err != nil {
		return nil, err
	}
	discovery := addressSource{path: path, key: "discovery", value: file.Discovery, variable: variableDiscovery}
	config.Discovery, err = parseAddress(discovery, getenv)
	if err != nil {
		return nil, err
	}
	config.Seed, err = strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, configFileError(path, "seed", fmt.Errorf("%q is no hexadecimal number of 64 bits", file.Seed))
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

// readConfigFile reads the file, unless it is too large.
func readConfigFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxConfigBytes {
		return nil, fmt.Errorf("%w: %d bytes are more than the %d allowed", ErrConfigTooLarge, info.Size(), maxConfigBytes)
	}
	return os.ReadFile(path)
}

// configFileError reports that a key of the configuration file, or the file as a whole, cannot
// be used.
func configFileError(path, key string, err error) error {
	return &ConfigError{Variable: variableConfig, File: path, Key: key, Err: err}
}

// addressSource is where an address of the configuration may come from: the file's key, or else
// the variable.
type addressSource struct {
	path     string // of the file
	key      string
	value    string // of the key
	variable string
}

// parseAddress decodes an address with its port.
func parseAddress(source addressSource, getenv func(string) string) (netip.AddrPort, error) {
	value := source.value
	if value == "" {
		value = getenv(source.variable)
	}
	address, err := netip.ParseAddrPort(value)
	if err == nil {
		return address, nil
	}
	err = fmt.Errorf("%q is no address and port", value)
	if source.value == "" {
		return netip.AddrPort{}, &ConfigError{Variable: source.variable, Err: err}
	}
	return netip.AddrPort{}, configFileError(source.path, source.key, err)
}

// check reports the first limit with which a router cannot work.
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
			return configFileError(path, limit.key, fmt.Errorf("%v is less than %v", limit.value, limit.minimum))
		}
	}
	return nil
}

// parseSettings decodes the settings object and checks what serving needs of it.
func parseSettings(path string, seed uint64, text []byte) (platformsettings.Settings, error) {
	if len(text) == 0 {
		return platformsettings.Settings{}, configFileError(path, "settings", errSettingsMissing)
	}
	settings, err := platformsettings.Parse(seed, text)
	if err != nil {
		return platformsettings.Settings{}, configFileError(path, "", err) // it names the key
	}
	if len(settings.ClassNames) == 0 || len(settings.KindNames) != len(settings.Control.Engines.Kinds) {
		return platformsettings.Settings{}, configFileError(path, "settings", errSettingsMismatch)
	}
	// DELETE at a room leaves alone what an attempt waits for, and a request written counts only once it has
	// arrived. The simulator counts an attempt from its send, and leaves this off.
	settings.Control.Caller.ReleaseSparesAttempts = true
	return settings, nil
}
