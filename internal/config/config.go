// Package config reads the router's configuration from its INI file. docs/operating.md explains
// every key.
package config

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"martenlock/control"
	"martenlock/internal/inifile"
)

// Config is a router's configuration.
type Config struct {
	File             string
	Listen           netip.AddrPort
	EndpointListPath string // path of the endpoint list
	Zone             string
	Seed             uint64 // 0 for a new one at each start
	LogPath          string // path, or "" for standard error
	LogLevel         string
	MaxConnections   int

	Limits  Limits
	Request RequestRules
	Control control.Settings // without what belongs to a pool
	Kinds   []string         // names of the kinds of engine, as numbered in Control.Engines.Kinds
	Classes []Class
	Tenants []string
	Pools   []Pool
}

// Bounds that many keys share. They stop slips of the hand, such as a missing unit.
const (
	day           = 24 * time.Hour
	minTimeout    = 10 * time.Millisecond // shorter ones end connections that are only busy
	maxTimeout    = day
	maxTokens     = 1e9     // no request and no batch comes near
	maxItems      = 1 << 20 // of one request
	maxRouters    = 100_000
	maxSeed       = 1 << 62
	maxConnsLimit = 1 << 20 // Linux's default bound of a process's descriptors, fs.nr_open
)

// Load reads a file. A relative path of the endpoint list is one beside the file, wherever the
// process was started.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(path, text)
	if err != nil {
		return c, err
	}
	if !filepath.IsAbs(c.EndpointListPath) {
		c.EndpointListPath = filepath.Join(filepath.Dir(path), c.EndpointListPath)
	}
	return c, nil
}

// Parse parses a file's text; name is for errors, which are *inifile.Error, joined.
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
	for _, s := range file.Sections("kind") {
		c.parseKind(s)
	}
	for _, s := range file.Sections("class") {
		c.parseClass(s)
	}
	for _, s := range file.Sections("tenant") {
		c.parseTenant(s)
	}
	for _, s := range file.Sections("pool") {
		c.parsePool(s)
	}
	requireSection(file, "kind", len(c.Kinds))
	requireSection(file, "class", len(c.Classes))
	requireSection(file, "pool", len(c.Pools))
	return c, file.Err("router", "limits", "rules", "request", "kind", "class", "tenant", "pool")
}

// requireSection reports that a file has no section of a kind.
func requireSection(file *inifile.File, kind string, count int) {
	if count == 0 {
		file.AddError("no section [%s NAME]", kind)
	}
}

// requireName tells whether a section has the name that its kind needs, and reports where not.
func requireName(s *inifile.Section) bool {
	if s.Name == "" {
		s.AddError("", "has no name: write [%s NAME]", s.Kind)
		return false
	}
	return true
}

// parseRouter reads what concerns the process as a whole.
func (c *Config) parseRouter(s *inifile.Section) {
	logLevels := []string{"debug", "info", "warn", "error"}
	c.Listen = s.Address("listen", "127.0.0.1:8080")
	c.EndpointListPath = s.Required("nodes")
	c.Zone = s.Text("zone", "")
	c.Seed = uint64(s.Int("seed", 0, 0, maxSeed))
	c.LogPath = s.Text("log", "")
	c.LogLevel = logLevels[s.Choice("log_level", "info", logLevels...)]
	c.MaxConnections = s.Int("max_connections", 12000, 1, maxConnsLimit)
	c.Control.Identity.Routers = s.Int("routers", 1, 1, maxRouters)
	c.Control.Identity.Rank = s.Int("rank", 0, 0, maxRouters)
	if c.Control.Identity.Rank >= c.Control.Identity.Routers {
		s.AddError("rank", "%d is not below routers, %d", c.Control.Identity.Rank, c.Control.Identity.Routers)
	}
}

// parseKind reads a kind of engine.
func (c *Config) parseKind(s *inifile.Section) {
	if !requireName(s) {
		return
	}
	role := control.Role(s.Choice("role", "", "reader", "writer", "mixed")) // in the order of control.Role
	memoryTokens := control.Tokens(s.Float("memory_tokens", 0, 0, 1e12))
	c.Kinds = append(c.Kinds, s.Name)
	kind := control.EngineKind{Role: role, MemoryTokens: memoryTokens}
	c.Control.Engines.Kinds = append(c.Control.Engines.Kinds, kind)
}

// parseTenant reads what one tenant may use.
func (c *Config) parseTenant(s *inifile.Section) {
	if !requireName(s) {
		return
	}
	tenant := control.Tenant{
		RateLimit: s.Float("allowance", 0, 0, 1e9),
		Share:     s.Float("share", 1, 0, 1),
	}
	c.Tenants = append(c.Tenants, s.Name)
	c.Control.Tenants = append(c.Control.Tenants, tenant)
}

// Summary returns what a file holds, in a line for the command check.
func (c *Config) Summary() string {
	return fmt.Sprintf("%d pools, %d classes, %d kinds of engine, listens on %s", len(c.Pools), len(c.Classes), len(c.Kinds), c.Listen)
}

// ClassIndex returns the position of a class, or -1.
func (c *Config) ClassIndex(name string) int {
	return slices.IndexFunc(c.Classes, func(class Class) bool { return class.Name == name })
}

// SharingTenant returns under which name a tenant shares what is shared between tenants: its own, or,
// where the configuration names tenants, one for all that it does not name: a client can make
// up names.
func (c *Config) SharingTenant(name string) string {
	if len(c.Tenants) > 0 && !slices.Contains(c.Tenants, name) {
		return ""
	}
	return name
}

// TenantIndex returns the position of a tenant. Those that the configuration does not name are taken
// for the first.
func (c *Config) TenantIndex(name string) int {
	return max(slices.Index(c.Tenants, name), 0)
}
