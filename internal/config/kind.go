package config

import (
	"martenlock/control"
	"martenlock/internal/inifile"
)

// The values of the key role, and their meanings by the same index.
var (
	roleValues = []string{"reader", "writer", "mixed"}
	roles      = []control.Role{control.RolePrefill, control.RoleDecode, control.RoleColocated}
)

func (c *Config) parseKind(section *inifile.Section) {
	if !section.RequireName() {
		return
	}
	kind := control.EngineKind{
		Role:         roles[section.Choice("role", "", roleValues...)],
		MemoryTokens: control.Tokens(section.Float("memory_tokens", 0, 0, maxMemoryTokens)),
	}
	c.Kinds = append(c.Kinds, section.Name)
	c.Control.Engines.Kinds = append(c.Control.Engines.Kinds, kind)
}
