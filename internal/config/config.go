// Package config reads the router's configuration from an INI file. The names of fields differ from
// the names of the keys in the file. docs/operating.md explains each key.
package config

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"martenlock/control"
	"martenlock/internal/inifile"
)

// Config is a router's configuration.
type Config struct {
	File             string // path of the file, for errors
	Listen           netip.AddrPort
	EndpointListPath string
	Zone             string // of this router
	Seed             uint64 // of random choices; 0 for a new one at each start
	LogPath          string // "" for standard error
	LogLevel         string // one that zerolog.ParseLevel accepts
	MaxConnections   int    // of clients

	Limits  Limits
	Request RequestRules
	Control control.Settings // for all pools; each pool sets its own report fields, zone and seed
	Kinds   []string         // names of the kinds of engines, by index in Control.Engines.Kinds
	Classes []Class
	Tenants []string // names, by index in Control.Tenants
	Pools   []Pool
}

// Bounds of values. They only catch mistakes such as a wrong unit, and don't restrict realistic values.
const (
	day             = 24 * time.Hour
	minTimeout      = 10 * time.Millisecond // a shorter time-out would close connections in normal use
	maxTimeout      = day
	maxTokens       = 1e9     // of a request or a batch
	maxMemoryTokens = 1e12    // of an engine
	maxWeight       = 1e9     // of a class
	maxRate         = 1e9     // of a tenant, in requests a second
	maxItems        = 1 << 20 // of a request
	maxRouters      = 100_000
	maxSeed         = 1 << 62
	maxClientConns  = 1 << 20 // Linux's default of fs.nr_open, the maximum number of file descriptors of a process
)

// Load reads and parses a file. A relative path of the endpoint list is relative to the directory of
// the file. It returns errors in the file as Parse does.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(path, text)
	if err != nil {
		return nil, err
	}
	if !filepath.IsAbs(c.EndpointListPath) {
		c.EndpointListPath = filepath.Join(filepath.Dir(path), c.EndpointListPath)
	}
	return c, nil
}

// Parse parses the text of a file. name is used in errors. The returned error joins one
// *inifile.Error for each error in the file. A syntax error is returned alone, as an *inifile.Error.
func Parse(name string, text []byte) (*Config, error) {
	file, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	c := &Config{File: name}
	c.parseRouter(file.Section("router"))
	c.parseLimits(file.Section("limits"))
	c.parseRules(file.Section("rules"))
	c.parseRequest(file.Section("request"))
	for _, section := range file.Sections("kind") {
		c.parseKind(section)
	}
	for _, section := range file.Sections("class") {
		c.parseClass(section)
	}
	for _, section := range file.Sections("tenant") {
		c.parseTenant(section)
	}
	for _, section := range file.Sections("pool") {
		c.parsePool(section)
	}
	requireSection(file, "kind", len(c.Kinds))
	requireSection(file, "class", len(c.Classes))
	requireSection(file, "pool", len(c.Pools))
	err = file.Err("router", "limits", "rules", "request", "kind", "class", "tenant", "pool")
	if err != nil {
		return nil, err
	}
	return c, nil
}

// requireSection records an error if count, the number of named sections of a kind, is 0.
func requireSection(file *inifile.File, kind string, count int) {
	if count == 0 {
		file.AddError("%w section [%s NAME]", inifile.ErrMissing, kind)
	}
}

var logLevels = []string{"debug", "info", "warn", "error"}

// parseRouter parses the section [router], which configures the process as a whole.
func (c *Config) parseRouter(section *inifile.Section) {
	c.Listen = section.Address("listen", "127.0.0.1:8080")
	c.EndpointListPath = section.Required("nodes")
	c.Zone = section.Text("zone", "")
	c.Seed = uint64(section.Int("seed", 0, 0, maxSeed))
	c.LogPath = section.Text("log", "")
	c.LogLevel = logLevels[section.Choice("log_level", "info", logLevels...)]
	c.MaxConnections = section.Int("max_connections", 12000, 1, maxClientConns)
	identity := &c.Control.Identity
	identity.Routers = section.Int("routers", 1, 1, maxRouters)
	identity.Rank = section.Int("rank", 0, 0, maxRouters)
	if identity.Rank >= identity.Routers {
		section.AddError("rank", "rank %d is %w, want less than routers (%d)", identity.Rank, inifile.ErrOutOfRange, identity.Routers)
	}
}

// Summary returns the listen address and the numbers of pools, classes and kinds in one line.
func (c *Config) Summary() string {
	return fmt.Sprintf("%d pools, %d classes, %d kinds of engine, listens on %s", len(c.Pools), len(c.Classes), len(c.Kinds), c.Listen)
}
