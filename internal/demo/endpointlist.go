package demo

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"martenlock/internal/fakeengine"
	"martenlock/internal/invariant"
)

// EndpointState is the state of an engine in the endpoint list, as the list spells it.
type EndpointState string

// The states of an engine in the endpoint list.
const (
	Ready    EndpointState = "ready"
	Draining EndpointState = "draining"
	Gone     EndpointState = "gone"
)

// endpoint is an engine and its entry in the endpoint list.
type endpoint struct {
	engine    *fakeengine.Engine
	state     EndpointState
	startedAt time.Time // start of its process; zero for long ago
}

// SetState sets the state of engines, publishes the endpoint list and records the change for the checker of the rules.
func (c *Cluster) SetState(state EndpointState, engines ...*fakeengine.Engine) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.publishState(state, engines)
}

// SetRestarted lists engines whose processes have just started as ready, with that start. Otherwise it is like SetState.
func (c *Cluster) SetRestarted(engines ...*fakeengine.Engine) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, listed := range c.endpoints {
		if slices.Contains(engines, listed.engine) {
			listed.startedAt = time.Now()
		}
	}
	return c.publishState(Ready, engines)
}

// publishState sets the state of engines, publishes the endpoint list and records the change. The caller holds the lock.
func (c *Cluster) publishState(state EndpointState, engines []*fakeengine.Engine) error {
	for _, listed := range c.endpoints {
		if slices.Contains(engines, listed.engine) {
			listed.state = state
		}
	}
	published, err := c.writeEndpointList()
	if state == Ready {
		if err == nil {
			// A router that reads the list at once may forward requests before writeEndpointList returns.
			c.record(invariant.ReadyAnnounced, published.startedAt, engines)
		}
		return err
	}
	// A router may read the old list until writeEndpointList has returned.
	c.record(invariant.DrainAnnounced, published.endedAt, engines)
	return err
}

// record records an event of the endpoint list for each engine.
func (c *Cluster) record(kind invariant.Kind, at time.Duration, engines []*fakeengine.Engine) {
	for _, engine := range engines {
		c.Recording.Add(invariant.Event{At: at, Kind: kind, Engine: engine.Spec.Name})
	}
}

// PublishEndpoints writes the endpoint list. The router never reads an incomplete list.
func (c *Cluster) PublishEndpoints() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.writeEndpointList()
	return err
}

// publication is the period within which a new endpoint list replaced the old one.
type publication struct{ startedAt, endedAt time.Duration }

// writeEndpointList writes the endpoint list to another file and renames that. The caller holds the lock.
func (c *Cluster) writeEndpointList() (publication, error) {
	path := filepath.Join(c.dir, endpointListFile)
	err := os.WriteFile(path+".new", []byte(c.endpointListText()), filePermissions)
	startedAt := c.Clock()
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	return publication{startedAt: startedAt, endedAt: c.Clock()}, err
}

// endpointListText returns the text of the endpoint list. The caller holds the lock.
func (c *Cluster) endpointListText() string {
	var text strings.Builder
	text.WriteString("# Nodes of a martenlock router: docs/operating.md.\n")
	for _, listed := range c.endpoints {
		spec := &listed.engine.Spec
		fmt.Fprintf(&text, "\n[node %s]\npool = %s\naddress = %s\nkind = %s\nzone = %s\ncell = %s\nstate = %s\n",
			spec.Name, spec.Pool, spec.Listen, spec.Kind, spec.Zone, spec.Cell, listed.state)
		if !listed.startedAt.IsZero() {
			fmt.Fprintf(&text, "start = %s\n", listed.startedAt.Format(time.RFC3339Nano))
		}
	}
	return text.String()
}
