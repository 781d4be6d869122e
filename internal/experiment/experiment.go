// Package experiment compares settings of the router on fake engines. It measures them one after another and prints a
// table and draws a plot of each comparison.
//
// It does not model real engines. The time of a fake engine is a formula of its tokens, and clients, router and engines
// share one machine and its loopback interface. The figures compare settings with each other. They say nothing about an
// engine or a network.
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
	Span time.Duration // time for one measurement
}

// run is an experiment under way.
type run struct {
	out     *printer.Printer
	plotDir string        // "" for no plots
	span    time.Duration // of one measurement
}

// Embeddings measures the effect of shards, of batching and of the fair queue of large requests.
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

// settings are the router's settings without the lines of its pool that are compared.
const settings = `[router]
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

// The request classes of settings.
const (
	chatClass   = "ask"
	searchClass = "search"
	bulkClass   = "bulk"
)

// startCluster starts a router with further lines for its pool, and a number of colocated engines. The caller closes it.
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
	return demo.Start(demo.Options{Specs: specs, Settings: settings + poolSettings, Log: io.Discard})
}

// fastEngine is an engine whose time for an embeddings call depends on the tokens alone. A call costs as much as 100
// tokens.
var fastEngine = fakeengine.Spec{
	PrefillTokensPerSecond: 400_000,
	DecodeSlots:            64,
	MaxWaiting:             1000,
	Dimensions:             64,
	TokenInterval:          5 * time.Millisecond,
	AnswerTokens:           20,
}
