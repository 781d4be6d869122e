// Package endpointlist reads the endpoint list, an INI file with one section [node NAME] for each engine, and
// watches the file for changes. The operators' documentation calls it the node list.
package endpointlist

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"martenlock/control"
	"martenlock/internal/config"
	"martenlock/internal/inifile"
	"martenlock/internal/openai"
)

// Endpoint is one engine of the list.
type Endpoint struct {
	Name      string
	ID        control.EndpointID // a hash of the name, so that all routers agree on it, also after restarts
	Pool      string
	Addr      netip.AddrPort
	Kind      string
	Role      control.Role // of Kind
	Zone      string
	Cell      string
	Weight    float64 // capacity relative to other engines of its role
	Revision  string  // of the model; answers of different revisions differ
	State     control.EndpointState
	StartedAt time.Time // start of its process; zero if unknown, which is treated as long ago
}

// maxEndpoints is the maximum number of endpoints in a list. A longer list is treated as a mistake.
const maxEndpoints = 100_000

// Load reads and parses the list in a file. It returns errors in the list as Parse does.
func Load(path string, c *config.Config) ([]Endpoint, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, c)
}

// Parse parses the text of a list and checks it against the configuration. name is used in errors.
// If the list has errors Parse returns no endpoints. The returned error joins one *inifile.Error for
// each error in the list. A syntax error is returned alone, as an *inifile.Error.
func Parse(name string, text []byte, c *config.Config) ([]Endpoint, error) {
	file, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	p := parser{
		config:     c,
		nameByID:   map[control.EndpointID]string{},
		nameByAddr: map[netip.AddrPort]string{},
	}
	var list []Endpoint
	for _, section := range file.Sections("node") {
		list = append(list, p.parseEndpoint(section))
	}
	if len(list) == 0 { // probably a mistake: to take all engines out of service, set state = gone
		file.AddError("%w section [node NAME]", inifile.ErrMissing)
	}
	if len(list) > maxEndpoints {
		file.AddError("number of nodes %d is %w, want at most %d", len(list), inifile.ErrOutOfRange, maxEndpoints)
	}
	err = file.Err("node")
	if err != nil {
		return nil, err
	}
	return list, nil
}

// parser parses the endpoints of one list.
type parser struct {
	config     *config.Config
	nameByID   map[control.EndpointID]string // of the endpoints parsed so far
	nameByAddr map[netip.AddrPort]string     // of the endpoints parsed so far
}

// The values of the key state, and their meanings by the same index.
var (
	stateValues = []string{"gone", "ready", "draining"}
	states      = []control.EndpointState{control.Gone, control.Ready, control.Draining}
)

// parseEndpoint parses a section [node NAME]. Errors are recorded in the section.
func (p *parser) parseEndpoint(section *inifile.Section) Endpoint {
	endpoint := Endpoint{
		Name:     section.Name,
		ID:       control.EndpointID(xxhash.Sum64String(section.Name)),
		Pool:     section.Required("pool"),
		Addr:     section.Address("address", ""),
		Zone:     section.Text("zone", ""),
		Cell:     section.Text("cell", ""),
		Revision: section.Text("revision", ""),
		Weight:   section.Float("weight", 1, 0.01, 1000),
		State:    states[section.Choice("state", "ready", stateValues...)],
	}
	p.checkIdentity(section, &endpoint)
	pool := p.findPool(section, endpoint.Pool)
	p.parseKind(section, &endpoint, pool)
	endpoint.StartedAt = parseStart(section)
	return endpoint
}

// checkIdentity checks that the endpoint has a name, that no earlier endpoint has the same address, and that no
// earlier endpoint with another name has the same id. Package inifile reports endpoints with the same name.
func (p *parser) checkIdentity(section *inifile.Section, endpoint *Endpoint) {
	section.RequireName()
	idOwner, isUsed := p.nameByID[endpoint.ID]
	if isUsed && idOwner != endpoint.Name {
		section.AddError("", "%w id, the names of this node and of node %s have the same hash: rename one", inifile.ErrDuplicate, idOwner)
	}
	p.nameByID[endpoint.ID] = endpoint.Name
	addrOwner, isUsed := p.nameByAddr[endpoint.Addr]
	if isUsed {
		section.AddError("address", "%w address %s, node %s has it too", inifile.ErrDuplicate, endpoint.Addr, addrOwner)
	}
	p.nameByAddr[endpoint.Addr] = endpoint.Name
}

// findPool returns the pool with the given name. If there is none, it records an error and returns nil.
func (p *parser) findPool(section *inifile.Section, name string) *config.Pool {
	pools := p.config.Pools
	i := slices.IndexFunc(pools, func(pool config.Pool) bool { return pool.Name == name })
	if i < 0 {
		section.AddError("pool", "%w pool %q, there is no section [pool %s] in %s", inifile.ErrUnknown, name, name, p.config.File)
		return nil
	}
	return &pools[i]
}

// parseKind parses the kind of an endpoint and sets its role. pool is the endpoint's pool, or nil if that is
// unknown.
func (p *parser) parseKind(section *inifile.Section, endpoint *Endpoint, pool *config.Pool) {
	kind := section.Required("kind")
	if kind == "" {
		return
	}
	i := slices.Index(p.config.Kinds, kind)
	if i < 0 {
		section.AddError("kind", "%w kind %q, there is no section [kind %s] in %s", inifile.ErrUnknown, kind, kind, p.config.File)
		return
	}
	endpoint.Kind = kind
	endpoint.Role = p.config.Control.Engines.Kinds[i].Role
	if pool != nil && endpoint.Role != control.RoleColocated && slices.ContainsFunc(pool.APIs, openai.API.HasOneStage) {
		const format = "%w kind %q, want a kind with role mixed: [pool %s] serves embeddings or rerank, which have no separate prefill and decode stages"
		section.AddError("kind", format, inifile.ErrInvalid, kind, endpoint.Pool)
	}
}

// parseStart parses the start time of an engine's process. It returns the zero time if the key is not set.
func parseStart(section *inifile.Section) time.Time {
	text := section.Text("start", "")
	if text == "" {
		return time.Time{}
	}
	start, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		section.AddError("start", "%w time %q, want an RFC 3339 time such as 2026-12-01T08:30:00Z", inifile.ErrInvalid, text)
	}
	return start
}
