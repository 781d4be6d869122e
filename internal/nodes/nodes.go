// Package nodes reads the endpoint list, a file of engines, and watches it for changes.
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

// Node is one engine.
type Node struct {
	Name      string
	ID        control.EndpointID // from the name, so the same at every router and after restarts
	Pool      string
	Addr      netip.AddrPort
	Kind      string
	Role      control.Role
	Zone      string
	Cell      string
	Weight    float64
	Revision  string // of the model that it serves: answers of two are not the same
	State     control.EndpointState
	StartedAt time.Time // of its process; zero for long ago
}

// maxNodes bounds a list: a longer one is a slip.
const maxNodes = 100_000

// Load reads a list from its file.
func Load(path string, c *config.Config) ([]Node, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, c)
}

// Parse parses a list and checks it whole against the configuration. Its errors are
// *inifile.Error, joined.
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
	for _, s := range file.Sections("node") {
		list = append(list, p.parseNode(s))
	}
	if len(list) == 0 { // more likely a slip than a pool without engines: those say state = gone
		file.AddError("no section [node NAME]")
	}
	if len(list) > maxNodes {
		file.AddError("%d nodes; %d at most", len(list), maxNodes)
	}
	err = file.Err("node")
	if err != nil {
		return nil, err
	}
	return list, nil
}

// parser reads the nodes of one list, one after another.
type parser struct {
	config     *config.Config
	nameByID   map[control.EndpointID]string // of the nodes before
	nameByAddr map[netip.AddrPort]string     // of the nodes before
}

// parseNode reads one node and reports in the section what is wrong with it.
func (p *parser) parseNode(s *inifile.Section) Node {
	node := Node{
		Name:     s.Name,
		ID:       control.EndpointID(xxhash.Sum64String(s.Name)),
		Pool:     s.Required("pool"),
		Addr:     s.Address("address", ""),
		Zone:     s.Text("zone", ""),
		Cell:     s.Text("cell", ""),
		Revision: s.Text("revision", ""),
		Weight:   s.Float("weight", 1, 0.01, 1000),
		State:    control.EndpointState(s.Choice("state", "ready", "gone", "ready", "draining")), // in its order
	}
	p.checkIdentity(s, &node)
	pool := p.findPool(s, node.Pool)
	p.parseKind(s, &node, pool)
	node.StartedAt = parseStart(s)
	return node
}

// checkIdentity checks that a node is told apart from those before it.
func (p *parser) checkIdentity(s *inifile.Section, node *Node) {
	if s.Name == "" {
		s.AddError("", "has no name: write [node NAME]")
	}
	sameID, isUsed := p.nameByID[node.ID]
	if isUsed && sameID != node.Name {
		s.AddError("", "its name hashes like that of %s: rename one", sameID)
	}
	p.nameByID[node.ID] = node.Name
	sameAddr, isUsed := p.nameByAddr[node.Addr]
	if isUsed {
		s.AddError("address", "%s is node %s already", node.Addr, sameAddr)
	}
	p.nameByAddr[node.Addr] = node.Name
}

// findPool returns the pool of a name; nil where there is none.
func (p *parser) findPool(s *inifile.Section, name string) *config.Pool {
	pools := p.config.Pools
	i := slices.IndexFunc(pools, func(pool config.Pool) bool { return pool.Name == name })
	if i < 0 {
		s.AddError("pool", "there is no [pool %s] in %s", name, p.config.File)
		return nil
	}
	return &pools[i]
}

// parseKind reads the kind of a node, and its role from it.
func (p *parser) parseKind(s *inifile.Section, node *Node, pool *config.Pool) {
	kind := s.Required("kind")
	if kind == "" {
		return
	}
	i := slices.Index(p.config.Kinds, kind)
	if i < 0 {
		s.AddError("kind", "there is no [kind %s] in %s", kind, p.config.File)
		return
	}
	node.Kind = kind
	node.Role = p.config.Control.Engines.Kinds[i].Role
	if pool != nil && node.Role != control.RoleColocated && slices.ContainsFunc(pool.APIs, hasOneStage) {
		s.AddError("kind", "%s is no kind of role mixed: [pool %s] serves embeddings or rerank, which have one stage", kind, node.Pool)
	}
}

// hasOneStage tells whether an operation has no separate prefill and decode.
func hasOneStage(api openai.API) bool { return api == openai.Embeddings || api == openai.Rerank }

// parseStart reads when a node's process started; zero where the list does not say.
func parseStart(s *inifile.Section) time.Time {
	text := s.Text("start", "")
	if text == "" {
		return time.Time{}
	}
	start, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		s.AddError("start", "%q is no time such as 2026-12-01T08:30:00Z", text)
	}
	return start
}
