package config

import (
	"slices"

	"martenlock/control"
	"martenlock/internal/inifile"
)

// parseTenant parses a section [tenant NAME].
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

// FairShareTenant returns the name under which a tenant gets its share of what tenants share. If the
// configuration names tenants, all others have "" and get one share together: a client could
// otherwise invent names to get more.
func (c *Config) FairShareTenant(name string) string {
	if len(c.Tenants) > 0 && !slices.Contains(c.Tenants, name) {
		return ""
	}
	return name
}

// TenantIndex returns the index of a tenant in Control.Tenants. It returns that of the first tenant
// if the configuration does not name it.
func (c *Config) TenantIndex(name string) int {
	return max(slices.Index(c.Tenants, name), 0)
}
