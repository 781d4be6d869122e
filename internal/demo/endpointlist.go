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

// EndpointState is the state of an engine, as spelled in the endpoint list.
type EndpointState string

// The router sends new requests only to Ready engines. A Draining engine finishes its requests. The process of a Gone engine
// has exited or is about to exit.
const (
	Ready    EndpointState = "ready"
	Draining EndpointState = "draining"
	Gone     EndpointState = "gone"
)

// endpoint is an engine and its entry in the endpoint list.
type endpoint struct {
	engine    *fakeengine.Engine
	state     EndpointState
	startedAt time.Time // start of the engine's process; zero if it did not start in slow start
}

// SetState sets the state of engines, publishes the endpoint list and records the change.
func (c *Cluster) SetState(state EndpointState, engines ...*fakeengine.Engine) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.publishState(state, engines)
}

// SetRestarted is like SetState with Ready, for engines whose processes have just started. The endpoint list shows the
// current time as their start.
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
			// The router may read the new list and use the engines before writeEndpointList returns.
			c.record(invariant.ReadyAnnounced, published.startedAt, engines)
		}
		return err
	}
	// The router may read the old list until writeEndpointList returns.
	c.record(invariant.DrainAnnounced, published.endedAt, engines)
	return err
}

// record adds an event for each engine to the recording.
func (c *Cluster) record(kind invariant.Kind, at time.Duration, engines []*fakeengine.Engine) {
	for _, engine := range engines {
		c.Recording.Add(invariant.Event{At: at, Kind: kind, Engine: engine.Spec.Name})
	}
}

// PublishEndpoints writes the endpoint list. The replacement is atomic, so the router never reads an incomplete list.
func (c *Cluster) PublishEndpoints() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.writeEndpointList()
	return err
}

// publication is the time during which a new endpoint list replaced the old one.
type publication struct{ startedAt, endedAt time.Duration }

// writeEndpointList writes the endpoint list to a new file and renames it. The caller holds the lock.
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
