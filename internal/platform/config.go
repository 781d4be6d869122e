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

// The environment variables that configure a router. docs/platform.md describes them.
const (
	variableConfig    = "PROXY_CONFIG"    // path of the configuration file
	variableName      = "PROXY_NAME"      // used if the file has no name
	variableListen    = "PROXY_LISTEN"    // used if the file has no listen
	variableDiscovery = "PROXY_DISCOVERY" // used if the file has no discovery
)

// maxConfigBytes bounds the configuration file, all of which is read into memory.
const maxConfigBytes = 64 << 20

// The smallest limits with which a router works.
const (
	minCores    = 0.01
	minMemoryMB = 16
	minSockets  = 64
)

// Config is a router's configuration on the platform.
type Config struct {
	File      string // path of the configuration file
	Name      string
	Listen    netip.AddrPort
	Discovery netip.AddrPort
	Seed      uint64
	Limits    Limits
	Known     []byte // the latest known endpoint list, as a message of discovery; may be empty
	Settings  platformsettings.Settings
}

// Limits are the resources of all processes of a router together.
type Limits struct {
	Cores    float64 `json:"cores"` // in units of one core's time
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // open descriptors
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

// ConfigError is an unusable part of the configuration.
type ConfigError struct {
	Variable string // the environment variable that is unusable itself or names the unusable file
	File     string // path of the unusable file; empty if Variable itself is unusable
	Key      string // the unusable key of File; empty if it is not known
	Err      error  // the reason
}

// Error returns one line with the variable, the file and the key, as far as they are set, and the
// reason.
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
	// ErrConfigNotSet means that no configuration file is named.
	ErrConfigNotSet = errors.New("not set, want the path of the configuration file")
	// ErrConfigTooLarge means that the configuration file is larger than 64 MiB.
	ErrConfigTooLarge = errors.New("configuration file too large")

	errSettingsMissing  = errors.New("missing")
	errSettingsMismatch = errors.New("RequestClasses is empty, or HostTypes and FamilyInfo.KindRole differ in length")
)

// LoadConfig reads the file that PROXY_CONFIG names. The name and the addresses may come from other
// variables instead. getenv is os.Getenv outside tests. Any error is a *ConfigError.
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
		File:   path,
		Name:   cmp.Or(file.Name, getenv(variableName)),
		Limits: file.Limits,
		Known:  file.Known,
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

// readConfigFile reads the file. The error is ErrConfigTooLarge if the file exceeds maxConfigBytes.
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

// parseAddresses decodes the addresses of the file, or of the variables that stand in for them.
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

// addressSource is a key of the configuration file that holds an address, and the variable that is used
// if the key is missing.
type addressSource struct {
	path     string // of the file
	key      string
	value    string // of the key
	variable string
}

// parse decodes the address and its port.
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

// parseSettings decodes the settings object and checks that it has request classes and a role for each
// kind of engine.
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
	// On the platform, a KV release spares the state that an attempt waits for. The simulator counts an
	// attempt from its send and leaves this off.
	settings.Control.Caller.ReleaseSparesAttempts = true
	return settings, nil
}
