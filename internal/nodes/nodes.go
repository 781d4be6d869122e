// Package nodes reads the endpoint list, an INI file with one section for each engine, and watches
// the file for changes.
package nodes

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

// Node is one engine of the list.
type Node struct {
	Name      string
	ID        control.EndpointID // a hash of the name: the same at all routers and after restarts
	Pool      string
	Addr      netip.AddrPort
	Kind      string
	Role      control.Role // of its kind
	Zone      string
	Cell      string
	Weight    float64 // capacity, compared with other engines of its role
	Revision  string  // of the model; answers of different revisions differ
	State     control.EndpointState
	StartedAt time.Time // start of its process; zero for long ago
}

// maxNodes is the most nodes of a list. A longer list is a mistake.
const maxNodes = 100_000

// Load reads and parses the list in a file. Errors in the list are those of Parse.
func Load(path string, c *config.Config) ([]Node, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, c)
}

// Parse parses the text of a list and checks it against the configuration. name is used in errors.
// If the list has errors Parse returns no nodes. The returned error joins one *inifile.Error for
// each error in the list.
func Parse(name string, text []byte, c *config.Config) ([]Node, error) {
	file, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	p := parser{
		config:     c,
		nameByID:   map[control.EndpointID]string{},
		nameByAddr: map[netip.AddrPort]string{},
	}
	var list []Node
	for _, section := range file.Sections("node") {
		list = append(list, p.parseNode(section))
	}
	if len(list) == 0 { // more likely a mistake than a service without engines, which has state = gone
		file.AddError("%w section [node NAME]", inifile.ErrMissing)
	}
	if len(list) > maxNodes {
		file.AddError("number of nodes %d is %w, want at most %d", len(list), inifile.ErrOutOfRange, maxNodes)
	}
	err = file.Err("node")
	if err != nil {
		return nil, err
	}
	return list, nil
}

// parser parses the nodes of one list.
type parser struct {
	config     *config.Config
	nameByID   map[control.EndpointID]string // of the nodes parsed so far
	nameByAddr map[netip.AddrPort]string     // of the nodes parsed so far
}

// The values of state and what they mean.
var (
	stateWords = []string{"gone", "ready", "draining"}
	states     = []control.EndpointState{control.Gone, control.Ready, control.Draining}
)

// parseNode parses one node. It records errors in the section.
func (p *parser) parseNode(section *inifile.Section) Node {
	node := Node{
		Name:     section.Name,
		ID:       control.EndpointID(xxhash.Sum64String(section.Name)),
		Pool:     section.Required("pool"),
		Addr:     section.Address("address", ""),
		Zone:     section.Text("zone", ""),
		Cell:     section.Text("cell", ""),
		Revision: section.Text("revision", ""),
		Weight:   section.Float("weight", 1, 0.01, 1000),
		State:    states[section.Choice("state", "ready", stateWords...)],
	}
	p.checkIdentity(section, &node)
	pool := p.findPool(section, node.Pool)
	p.parseKind(section, &node, pool)
	node.StartedAt = parseStart(section)
	return node
}

// checkIdentity checks that no earlier node has the same id or address.
func (p *parser) checkIdentity(section *inifile.Section, node *Node) {
	section.RequireName()
	sameID, isUsed := p.nameByID[node.ID]
	if isUsed && sameID != node.Name {
		section.AddError("", "%w id, the names of this node and of node %s have the same hash: rename one", inifile.ErrDuplicate, sameID)
	}
	p.nameByID[node.ID] = node.Name
	sameAddr, isUsed := p.nameByAddr[node.Addr]
	if isUsed {
		section.AddError("address", "%w address %s, node %s has it too", inifile.ErrDuplicate, node.Addr, sameAddr)
	}
	p.nameByAddr[node.Addr] = node.Name
}

// findPool returns a pool of the configuration. It returns nil if there is none of that name.
func (p *parser) findPool(section *inifile.Section, name string) *config.Pool {
	pools := p.config.Pools
	i := slices.IndexFunc(pools, func(pool config.Pool) bool { return pool.Name == name })
	if i < 0 {
		section.AddError("pool", "%w pool %q, there is no section [pool %s] in %s", inifile.ErrUnknown, name, name, p.config.File)
		return nil
	}
	return &pools[i]
}

// parseKind parses the kind of a node and sets its role. pool is the node's pool, or nil if it is
// unknown.
func (p *parser) parseKind(section *inifile.Section, node *Node, pool *config.Pool) {
	kind := section.Required("kind")
	if kind == "" {
		return
	}
	i := slices.Index(p.config.Kinds, kind)
	if i < 0 {
		section.AddError("kind", "%w kind %q, there is no section [kind %s] in %s", inifile.ErrUnknown, kind, kind, p.config.File)
		return
	}
	node.Kind = kind
	node.Role = p.config.Control.Engines.Kinds[i].Role
	if pool != nil && node.Role != control.RoleColocated && slices.ContainsFunc(pool.APIs, openai.API.HasOneStage) {
		const format = "%w kind %q, want one of role mixed: [pool %s] serves embeddings or rerank, which have one stage"
		section.AddError("kind", format, inifile.ErrInvalid, kind, node.Pool)
	}
}

// parseStart parses the start of a node's process. It returns the zero time if the list has none.
func parseStart(section *inifile.Section) time.Time {
	text := section.Text("start", "")
	if text == "" {
		return time.Time{}
	}
	start, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		section.AddError("start", "%w time %q, want one such as 2026-12-01T08:30:00Z", inifile.ErrInvalid, text)
	}
	return start
}
