// Package experiment compares settings of the router on fake engines. It measures the settings one after another. For each
// comparison it prints a table and draws a plot.
//
// It does not model real engines. Fake engines compute the time of a request from its number of tokens, and clients, router
// and engines share one machine and its loopback interface. The figures compare settings with each other. They say nothing
// about a real engine or a network.
package experiment

import (
	"fmt"
	"io"
	"time"

	"martenlock/control"
	"martenlock/internal/demo"
	"martenlock/internal/fakeengine"
	"martenlock/internal/printer"
)

// Options configure an experiment.
type Options struct {
	Out  io.Writer     // for the tables
	Dir  string        // directory of the plots; "" for no plots
	Span time.Duration // duration of one measurement
}

type run struct {
	out     *printer.Printer
	plotDir string        // "" for no plots
	span    time.Duration // duration of one measurement
}

// Embeddings measures the effects of sharding, of batching and of the fair queue of large requests.
func Embeddings(options Options) error {
	r := &run{out: printer.New(options.Out), plotDir: options.Dir, span: options.Span}
	for _, compare := range []func() error{r.compareShards, r.compareBatching, r.compareInterference} {
		err := compare()
		if err != nil {
			return err
		}
	}
	return r.out.Err()
}

// commonSettings are the router settings that all measurements share. They end in the section of the pool, so that the
// compared pool settings can be appended.
const commonSettings = `[router]
listen = 127.0.0.1:0
nodes = nodes.ini
seed = 1
log_level = error
[limits]
body = 67108864
[kind both]
role = mixed
[class ask]
aim = 1s
aim_per_1000 = 50ms
deadline = 5s
[class search]
aim = 300ms
whole_aim = 1s
deadline = 3s
[class bulk]
aim = 10s
whole_aim = 20s
deadline = 30s
[pool both]
apis = chat, embeddings
class = ask
`

// The request classes in commonSettings.
const (
	chatClass   = "ask"
	searchClass = "search"
	bulkClass   = "bulk"
)

// startCluster starts a router and colocated engines with the given spec. poolSettings are appended to commonSettings. The
// caller closes the cluster.
func startCluster(engines int, spec fakeengine.Spec, poolSettings string) (*demo.Cluster, error) {
	spec.Kind = "both"
	spec.Pool = "both"
	spec.Role = control.RoleColocated
	spec.Zone = "a"
	spec.Cell = "1"
	var specs []fakeengine.Spec
	for i := range engines {
		spec.Name = fmt.Sprintf("e%d", i+1)
		specs = append(specs, spec)
	}
	return demo.Start(demo.Options{Specs: specs, Settings: commonSettings + poolSettings, Log: io.Discard})
}

// fastEngine computes an embeddings call in a time proportional to its tokens: those of the inputs, plus 100 per call.
var fastEngine = fakeengine.Spec{
	PrefillTokensPerSecond: 400_000,
	DecodeSlots:            64,
	MaxWaiting:             1000,
	Dimensions:             64,
	TokenInterval:          5 * time.Millisecond,
	AnswerTokens:           20,
}
