// Package demo runs a router and a small cluster of fake engines in one process. It can run a fault scenario: clients send
// requests while faults are injected, and the five rules of package invariant are checked afterwards.
//
// It does not model a real deployment. Fake engines compute their speed with a simple formula and make up their answers, and
// clients, router and engines share one machine and its loopback interface. The verdicts on the rules are meaningful for
// other deployments, but latency and throughput are not.
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

// Cluster is a router, its fake engines and the endpoint list. Methods that change engines or the endpoint list are safe
// for concurrent use.
type Cluster struct {
	Service   *serve.Service
	Engines   *fakeengine.Cluster
	Recording *invariant.Recording // events of engines and clients; may be nil

	startedAt time.Time // time at which Clock is 0
	dir       string    // contains the settings and the endpoint list

	mu          sync.Mutex // guards the fields below and the endpoint list's file
	endpoints   []*endpoint
	nextAddress byte // last byte of the next engine's address 127.0.1.N
}

// Options configure a Cluster.
type Options struct {
	Listen    string               // address of the router
	Seed      uint64               // random seed of the router
	LogLevel  string               // log level of the router
	Log       io.Writer            // gets the router's log
	Recording *invariant.Recording // may be nil
	Specs     []fakeengine.Spec    // nil for EngineSpecs
	Settings  string               // settings of the router; "" for the constant Settings with Listen, Seed and LogLevel
}

// Files in a Cluster's directory.
const (
	settingsFile     = "martenlock.ini"
	endpointListFile = "nodes.ini"

	filePermissions = 0o644
)

// Start starts the engines and the router. The caller must call Close, unless Start returns an error.
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

// Clock returns the time since the Cluster was started. All recorded events use it.
func (c *Cluster) Clock() time.Duration { return time.Since(c.startedAt) }

// AddEngine starts an engine, in slow start if slowStart is set. The router learns of it when the endpoint list is written
// next. Each engine has its own IP address, so that no outgoing connection can take its port while it is down.
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

// FindEngines parses a target with ParseTarget and returns the engines that it selects.
func (c *Cluster) FindEngines(target string) []*fakeengine.Engine {
	return c.findEngines(ParseTarget(target))
}

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

// Close stops the router and then the engines, and removes the Cluster's directory.
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
