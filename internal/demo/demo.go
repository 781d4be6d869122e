// Package demo runs a router before a small fleet of fake engines in the same process, and
// runs fault scenarios on them: a load of requests, faults under it, and a check of the five
// rules afterwards.
//
// It is no model of a real deployment. The fake engines take the time that a simple formula
// says, their answers are made up, and clients, router and engines share one machine, its
// loopback interface and its processor: latencies and throughput here tell nothing of a
// network or of GPUs. What carries over is which promises hold under which faults.
package demo

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"martenlock/internal/fakeengine"
	"martenlock/internal/invariant"
	"martenlock/internal/serve"
)

// stateReady is the state of an engine that may get requests; any other drains it.
const stateReady = "ready"

// node is an engine and its entry in the endpoint list.
type node struct {
	engine *fakeengine.Engine
	state  string    // ready, draining or gone
	start  time.Time // of its process; zero where it has run for long
}

// Cluster is a router, its fleet of fake engines, and the endpoint list between them.
type Cluster struct {
	Service *serve.Service
	Fleet   *fakeengine.Cluster
	Rec     *invariant.Recording // what engines and clients see; may be nil

	startedAt time.Time // the zero of Clock

	mu          sync.Mutex // guards what follows
	dir         string     // holds the settings and the endpoint list
	nodes       []*node
	nextAddress byte // the last byte of the next engine's address 127.0.1.N
}

// Options say what a World consists of.
type Options struct {
	Listen   string               // the router's address
	Seed     uint64               // the router's seed
	LogLevel string               // the router's log level
	Log      io.Writer            // the router's log
	Rec      *invariant.Recording // may be nil
	Specs    []fakeengine.Spec    // nil for the demo's own
	Settings string               // the router's settings, in place of the demo's own with Listen, Seed and LogLevel
}

// Names of the files in a World's directory.
const (
	settingsFile     = "martenlock.ini"
	endpointListFile = "nodes.ini"

	filePermissions = 0o644
)

// Start starts the fleet and the router. The caller closes the World.
func Start(options Options) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "martenlock-")
	if err != nil {
		return nil, err
	}
	w := &Cluster{Rec: options.Rec, startedAt: time.Now(), dir: dir, nextAddress: 1}
	err = w.start(options)
	if err != nil {
		return w, errors.Join(err, w.Close())
	}
	return w, nil
}

// start starts the engines, publishes them and starts the router.
func (w *Cluster) start(options Options) error {
	var err error
	w.Fleet, err = fakeengine.NewCluster(options.Rec, w.Clock)
	if err != nil {
		return err
	}
	specs := options.Specs
	if specs == nil {
		specs = Specs()
	}
	for _, spec := range specs {
		err = w.Add(spec, false)
		if err != nil {
			return err
		}
	}
	err = w.Publish()
	if err != nil {
		return err
	}
	settings := options.Settings
	if settings == "" {
		settings = fmt.Sprintf(Settings, options.Listen, options.Seed, options.LogLevel)
	}
	path := filepath.Join(w.dir, settingsFile)
	err = os.WriteFile(path, []byte(settings), filePermissions)
	if err != nil {
		return err
	}
	w.Service, err = serve.Start(path, options.Log)
	return err
}

// Dir is the directory of the settings and the endpoint list.
func (w *Cluster) Dir() string { return w.dir }

// Clock is the time since the World was started. All who record use it.
func (w *Cluster) Clock() time.Duration { return time.Since(w.startedAt) }

// Add starts an engine, which the next Publish makes known to the router; a cold one is in
// slow start. Each has an address of its own, so that no outgoing connection takes its port
// while it is down.
func (w *Cluster) Add(spec fakeengine.Spec, cold bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	spec.Listen = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, w.nextAddress}), 0)
	w.nextAddress++
	engine, err := w.Fleet.Start(spec, cold)
	if err != nil {
		return err
	}
	added := &node{engine: engine, state: stateReady}
	if cold {
		added.start = time.Now()
	}
	w.nodes = append(w.nodes, added)
	return nil
}

// Find returns the engines that a target selects, as ParseTarget reads it.
func (w *Cluster) Find(target string) []*fakeengine.Engine {
	return w.find(ParseTarget(target))
}

// find returns the engines that a target selects.
func (w *Cluster) find(target Target) []*fakeengine.Engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var engines []*fakeengine.Engine
	for _, n := range w.nodes {
		if target.matches(&n.engine.Spec) {
			engines = append(engines, n.engine)
		}
	}
	return engines
}

// Say sets the state of engines in the endpoint list, publishes it and records the change for
// the checker of the rules. Processes that started anew are listed with their start.
func (w *Cluster) Say(state string, fresh bool, engines ...*fakeengine.Engine) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setState(state, fresh, engines)
	published, err := w.publish()
	if state == stateReady {
		if err == nil { // a router that reads the list at once may send before publish returns
			w.record(invariant.ReadyAnnounced, published.startedAt, engines)
		}
		return err
	}
	w.record(invariant.DrainAnnounced, published.endedAt, engines) // no router can know it before
	return err
}

// setState sets the state of engines for the next list. The caller holds the lock.
func (w *Cluster) setState(state string, fresh bool, engines []*fakeengine.Engine) {
	for _, n := range w.nodes {
		if !slices.Contains(engines, n.engine) {
			continue
		}
		n.state = state
		if fresh {
			n.start = time.Now()
		}
	}
}

// record records what the list says of engines since a time.
func (w *Cluster) record(kind invariant.Kind, at time.Duration, engines []*fakeengine.Engine) {
	for _, engine := range engines {
		w.Rec.Add(invariant.Event{At: at, Kind: kind, Engine: engine.Spec.Name})
	}
}

// Publish writes the endpoint list. The router never sees half of it: it is written under
// another name and moved into place.
func (w *Cluster) Publish() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := w.publish()
	return err
}

// publication is when an endpoint list replaced the one before: at some time between the two.
type publication struct{ startedAt, endedAt time.Duration }

// publish is Publish for a caller that holds the lock.
func (w *Cluster) publish() (publication, error) {
	path := filepath.Join(w.dir, endpointListFile)
	err := os.WriteFile(path+".new", []byte(w.endpointList()), filePermissions)
	startedAt := w.Clock()
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	return publication{startedAt: startedAt, endedAt: w.Clock()}, err
}

// endpointList is the text of the endpoint list. The caller holds the lock.
func (w *Cluster) endpointList() string {
	var text strings.Builder
	text.WriteString("# Nodes of a martenlock router: docs/operating.md.\n")
	for _, n := range w.nodes {
		spec := &n.engine.Spec
		fmt.Fprintf(&text, "\n[node %s]\npool = %s\naddress = %s\nkind = %s\nzone = %s\ncell = %s\nstate = %s\n",
			spec.Name, spec.Pool, spec.Listen, spec.Kind, spec.Zone, spec.Cell, n.state)
		if !n.start.IsZero() {
			fmt.Fprintf(&text, "start = %s\n", n.start.Format(time.RFC3339Nano))
		}
	}
	return text.String()
}

// Close stops the router, then the fleet, and removes the files.
func (w *Cluster) Close() error {
	var err error
	if w.Service != nil {
		err = w.Service.Stop()
	}
	if w.Fleet != nil {
		err = errors.Join(err, w.Fleet.Close())
	}
	return errors.Join(err, os.RemoveAll(w.dir))
}
