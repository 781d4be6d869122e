package config

import (
	"slices"

	"martenlock/control"
	"martenlock/internal/inifile"
)

func (c *Config) parseTenant(section *inifile.Section) {
	if !section.RequireName() {
		return
	}
	tenant := control.Tenant{
		RateLimit: section.Float("allowance", 0, 0, maxRate),
		Share:     section.Float("share", 1, 0, 1),
	}
	c.Tenants = append(c.Tenants, section.Name)
	c.Control.Tenants = append(c.Control.Tenants, tenant)
}

// FairShareTenant returns the name that identifies a tenant in fair queueing. If the configuration has
// tenants, all others are treated as one tenant with the name "", so that a client can't get a larger
// share by sending several made-up names.
func (c *Config) FairShareTenant(name string) string {
	if len(c.Tenants) > 0 && !slices.Contains(c.Tenants, name) {
		return ""
	}
	return name
}

// TenantIndex returns the index of a tenant in Control.Tenants, or 0 if the configuration does not
// have the tenant.
func (c *Config) TenantIndex(name string) int {
	return max(slices.Index(c.Tenants, name), 0)
}
