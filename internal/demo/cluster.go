// Package demo runs a router and a small cluster of fake engines in one process. It can run a fault scenario on them: a
// load of requests, faults during it, and a check of the five rules afterwards.
//
// It does not model a real deployment. The time of a fake engine is a simple formula, its answers are invented, and clients,
// router and engines share one machine and its loopback interface. Latencies and throughput say nothing about a network or
// about GPUs. What carries over is which rules hold under which faults.
package demo

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"martenlock/internal/fakeengine"
	"martenlock/internal/invariant"
	"martenlock/internal/serve"
)

// Cluster is a router, its fake engines and the endpoint list. The methods that change engines or the endpoint list are
// safe for concurrent use.
type Cluster struct {
	Service   *serve.Service
	Engines   *fakeengine.Cluster
	Recording *invariant.Recording // observations of engines and clients; may be nil

	startedAt time.Time // zero of Clock
	dir       string    // holds the settings and the endpoint list

	mu          sync.Mutex // guards the fields below and the endpoint list's file
	endpoints   []*endpoint
	nextAddress byte // last byte of the next engine's address 127.0.1.N
}

// Options configure a Cluster.
type Options struct {
	Listen    string               // address of the router
	Seed      uint64               // seed of the router
	LogLevel  string               // log level of the router
	Log       io.Writer            // log of the router
	Recording *invariant.Recording // may be nil
	Specs     []fakeengine.Spec    // nil for EngineSpecs
	Settings  string               // settings of the router; "" for the demo's own with Listen, Seed and LogLevel
}

// Names of the files in a Cluster's directory.
const (
	settingsFile     = "martenlock.ini"
	endpointListFile = "nodes.ini"

	filePermissions = 0o644
)

// Start starts the engines and the router. The caller closes the Cluster.
func Start(options Options) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "martenlock-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{Recording: options.Recording, startedAt: time.Now(), dir: dir, nextAddress: 1}
	err = c.start(options)
	if err != nil {
		return c, errors.Join(err, c.Close())
	}
	return c, nil
}

// start starts the engines, publishes the endpoint list and starts the router.
func (c *Cluster) start(options Options) error {
	var err error
	c.Engines, err = fakeengine.NewCluster(options.Recording, c.Clock)
	if err != nil {
		return err
	}
	specs := options.Specs
	if specs == nil {
		specs = EngineSpecs()
	}
	for _, spec := range specs {
		err = c.AddEngine(spec, false)
		if err != nil {
			return err
		}
	}
	err = c.PublishEndpoints()
	if err != nil {
		return err
	}
	settings := options.Settings
	if settings == "" {
		settings = fmt.Sprintf(Settings, options.Listen, options.Seed, options.LogLevel)
	}
	path := filepath.Join(c.dir, settingsFile)
	err = os.WriteFile(path, []byte(settings), filePermissions)
	if err != nil {
		return err
	}
	c.Service, err = serve.Start(path, options.Log)
	return err
}

// Dir returns the directory of the settings and the endpoint list.
func (c *Cluster) Dir() string { return c.dir }

// Clock returns the time since the Cluster was started. All observations use it.
func (c *Cluster) Clock() time.Duration { return time.Since(c.startedAt) }

// AddEngine starts an engine. The router learns of it with the next PublishEndpoints. If slowStart is set, the engine is in
// slow start. Each engine has an IP address of its own, so that no outgoing connection can take its port while it is down.
func (c *Cluster) AddEngine(spec fakeengine.Spec, slowStart bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	spec.Listen = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, c.nextAddress}), 0)
	c.nextAddress++
	engine, err := c.Engines.Start(spec, slowStart)
	if err != nil {
		return err
	}
	added := &endpoint{engine: engine, state: Ready}
	if slowStart {
		added.startedAt = time.Now()
	}
	c.endpoints = append(c.endpoints, added)
	return nil
}

// FindEngines returns the engines that a target selects. ParseTarget describes its form.
func (c *Cluster) FindEngines(target string) []*fakeengine.Engine {
	return c.findEngines(ParseTarget(target))
}

// findEngines returns the engines that a target selects.
func (c *Cluster) findEngines(target Target) []*fakeengine.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var engines []*fakeengine.Engine
	for _, listed := range c.endpoints {
		if target.matches(&listed.engine.Spec) {
			engines = append(engines, listed.engine)
		}
	}
	return engines
}

// Close stops the router, then the engines, and removes the files.
func (c *Cluster) Close() error {
	var err error
	if c.Service != nil {
		err = c.Service.Stop()
	}
	if c.Engines != nil {
		err = errors.Join(err, c.Engines.Close())
	}
	return errors.Join(err, os.RemoveAll(c.dir))
}
